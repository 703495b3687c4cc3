// Package gateway serves callers of endpoints that are reached over HTTP without a
// sidecar. A process that runs it is called an entry. Operators publish the complete
// deployment under a version number that they choose, and endpoints register themselves
// with control, the replicated control plane.
//
// This package holds the routing, waiting and retry logic. A Dialect maps it to the
// headers and documents that one platform uses on the wire.
package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/prefix"
)

// Kind states whether a request may be executed more than once.
type Kind int

// The execution kinds of requests.
const (
	// AtMostOnce requests must not be executed more than once.
	AtMostOnce Kind = iota
	// Repeatable requests are idempotent: they may be executed more than once.
	Repeatable
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	if k == AtMostOnce {
		return "once"
	}
	return "repeatable"
}

// Route maps requests to services by host and path prefix.
type Route struct {
	Name string
	// Host and Prefix select the route. Among the routes of a host, the longest
	// matching prefix wins.
	Host   string
	Prefix string
	Kind   Kind
	// Stream is set when answers are streams of server-sent events. A broken stream of
	// a Repeatable route is resumed after its last event.
	Stream bool
	// Timeout bounds the time to the complete answer. Zero means defaultTimeout.
	Timeout time.Duration
	// LatencyTarget is the time within which callers want the answer or, for a stream,
	// its first event.
	LatencyTarget time.Duration
	// EventGapTarget is the longest gap between two events that callers want. Zero
	// means no target.
	EventGapTarget time.Duration
	// AbandonAfter is the time without an event after which callers abandon a stream.
	// Zero means unknown.
	AbandonAfter time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// MaxEndpoints bounds the number of endpoints that may execute one request of a
	// caller.
	MaxEndpoints int
	// Anonymous routes require no key.
	Anonymous bool
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Name   string
	Weight int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// Engine describes the engines of an LLM service; nil for a plain HTTP service.
	Engine *costmodel.Engine
	// ColdRateLimit is the number of requests per second that one endpoint may receive
	// from all entries together, so that an endpoint that has not warmed up is not
	// overloaded. Zero means no limit.
	ColdRateLimit float64
	// Autoscale is nil for a service whose number of endpoints this deployment does not order.
	Autoscale *Autoscale
	// Prefix describes the prefix caches of the engines; nil if they keep no prompt after its request.
	Prefix *prefix.Policy

	// minEventGapTarget is the smallest EventGapTarget among the routes to the service;
	// zero when no route has one.
	minEventGapTarget time.Duration
}

// Autoscale bounds the number of endpoints of a service in each availability zone. BootTime is the time until
// a new endpoint serves.
type Autoscale struct {
	Min, Max int
	BootTime time.Duration
}

// noteEventGapTarget lowers minEventGapTarget to the target of a route; zero means that
// the route has none.
func (s *Service) noteEventGapTarget(target time.Duration) {
	if s != nil && target > 0 && (s.minEventGapTarget == 0 || target < s.minEventGapTarget) {
		s.minEventGapTarget = target
	}
}

// Account is a client account and its API keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of routes where it is set.
	Priority *int
}

// Deployment is the configuration that an operator published. It is read-only after
// Index.
type Deployment struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	// Accounts is empty when callers need no key.
	Accounts []Account
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64

	byHost map[string][]*Route
	// accountsByKey are the accounts by key.
	accountsByKey map[string]*Account
}

// Index builds the lookup tables of a decoded deployment and returns the deployment.
func (d *Deployment) Index() *Deployment {
	d.byHost = map[string][]*Route{}
	for i := range d.Routes {
		r := &d.Routes[i]
		d.byHost[r.Host] = append(d.byHost[r.Host], r)
		for _, s := range r.Services {
			d.Services[s.Name].noteEventGapTarget(r.EventGapTarget)
		}
	}
	d.accountsByKey = map[string]*Account{}
	for i := range d.Accounts {
		for _, key := range d.Accounts[i].Keys {
			d.accountsByKey[key] = &d.Accounts[i]
		}
	}
	return d
}

// coldRates returns the rates that endpoints bear when cold, by service.
func (d *Deployment) coldRates() map[string]float64 {
	rates := map[string]float64{}
	for name, s := range d.Services {
		rates[name] = s.ColdRateLimit
	}
	return rates
}

// Route returns the route with the longest matching prefix, or nil when none matches.
func (d *Deployment) Route(host, path string) *Route {
	var best *Route
	for _, r := range d.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Account returns the account that owns the key, or nil.
func (d *Deployment) Account(key string) *Account { return d.accountsByKey[key] }

// Request holds the information in the headers of a caller's request.
type Request struct {
	// ID identifies the request and is chosen by the caller. Endpoints echo it in their
	// answers.
	ID string
	// Deadline is how long the caller waits for the answer; zero when the request
	// states none.
	Deadline time.Duration
	// PromptTokens is the length of the prompt and OutputTokens the maximum length of
	// the answer. Both are zero for plain services.
	PromptTokens int
	OutputTokens int
	// ExpectedTokens is the length of the answer that the caller expects; zero if it states none. It may
	// be far off.
	ExpectedTokens int
	// LastEvent is the ID of the last event that the caller received, after which the
	// stream is resumed.
	LastEvent string
	// Parts are the IDs of the parts of the prompt, but for the last, which belongs to the request
	// or its session. Requests with the same ID have the same text there.
	Parts []string
	// Segments are all parts of the prompt in order, with their tokens.
	Segments []prefix.Segment
}

// Dispatch holds what the gateway adds to the caller's request for the endpoint.
type Dispatch struct {
	// Instance is the name of the intended endpoint. Another endpoint that now has its
	// address refuses the request.
	Instance string
	// Account is empty for callers without a key.
	Account string
	// Deadline is the time left until the caller's deadline.
	Deadline time.Duration
	// Priority ranks requests at the engine; 0 is the most urgent.
	Priority int
	// Helpers are the endpoints that prefill parts of the prompt.
	Helpers []Helper
	// LastEvent is the ID of the event after which the endpoint resumes the stream.
	LastEvent string
}

// Helper is an endpoint that prefills a part of a prompt. Ticket identifies the KV
// memory that is reserved there; it is empty when none is.
type Helper struct {
	Addr   string
	Ticket string
}

// Outcome classifies the head of an endpoint's answer.
type Outcome int

// The outcomes.
const (
	// Answered is an answer of the endpoint to this request, successful or not.
	Answered Outcome = iota
	// NotRun means that the endpoint states that it has not executed the request.
	NotRun
	// Misdirected means that the request was not executed because another endpoint now
	// has the address.
	Misdirected
	// Mismatched is an answer that does not belong to this request.
	Mismatched
)

// NamedLimit is the limit that an answer names.
type NamedLimit struct {
	// Named is unset if the answer names no limit.
	Named bool
	// PerSecond is how many requests per second the endpoint takes from all entries
	// together.
	PerSecond float64
	// Header is the name of the header that holds the limit.
	Header string
}

// Dialect translates between the gateway and the wire format of one platform.
type Dialect interface {
	// DecodeDeployment decodes and validates a publication.
	DecodeDeployment(content []byte) (*Deployment, error)
	// ReadRequest decodes the headers of a caller's request.
	ReadRequest(h http.Header) Request
	// WriteDispatch replaces the values of the caller's headers by those for the
	// endpoint.
	WriteDispatch(h http.Header, d *Dispatch)
	// ClassifyAnswer classifies the head of an endpoint's answer to the request with
	// this ID. If the answer names the endpoint that caused a failure, the result at is
	// the address of that endpoint, and otherwise "".
	ClassifyAnswer(res *http.Response, id string) (outcome Outcome, at string)
	// ReadLimit decodes the limit that an endpoint names in the head of an answer.
	ReadLimit(h http.Header) (NamedLimit, error)
	// ReadLeaving decodes whether an endpoint says in the head of an answer that it leaves.
	ReadLeaving(h http.Header) (bool, error)
	// ReadPause decodes for how long an endpoint wants no request from this entry, by an answer
	// with which it turned one away. Zero means that it asks for no pause.
	ReadPause(now time.Time, res *http.Response) (time.Duration, error)
}

// EngineClient sends engines health checks and memory reservations. Unlike requests,
// these occupy no slot of the engine.
type EngineClient interface {
	// Alive reports whether the engine at addr answers a health check, and does not say that it has
	// started after this incarnation.
	Alive(addr string, incarnation uint64) bool
	// Slowdown returns the time that the engine at addr takes for its work, as a multiple of the usual
	// time. Zero means that the engine does not tell.
	Slowdown(addr string) (float64, error)
	// TicketUsed reports whether a request uses the memory of a ticket at the engine at addr, as the engine
	// says, some hundred ms late. An error means that it does not say.
	TicketUsed(addr, ticket string) (bool, error)
	// Requests returns the numbers of requests that run and that wait at the engine at addr, as the engine
	// says, some hundred ms late. An error means that it does not say; running is -1 if it says only how many wait.
	Requests(addr string) (running, waiting int, err error)
	// Reserve reserves KV memory for the given number of tokens until ttl has passed.
	// The ticket identifies the reservation; another call with the same ticket renews
	// it.
	Reserve(addr, ticket string, tokens int64, ttl time.Duration) error
	// Release ends the reservation of the ticket.
	Release(addr, ticket string) error
}
