// Package gateway serves callers of endpoints that are reached over HTTP without a
// sidecar. Operators publish the whole deployment under a number of their own, and
// endpoints register themselves with control.
//
// What callers, endpoints and operators call things on the wire is the business of a
// Dialect; this package decides.
package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
)

// Kind says how often a request may run.
type Kind int

// The kinds of request.
const (
	// AtMostOnce is a request that runs at most once.
	AtMostOnce Kind = iota
	// Repeatable is a request that may run more than once.
	Repeatable
)

// String names the kind in metrics.
func (k Kind) String() string {
	if k == AtMostOnce {
		return "once"
	}
	return "repeatable"
}

// Route leads requests to services.
type Route struct {
	Name string
	// Host and Prefix select the route; the longest prefix wins.
	Host   string
	Prefix string
	Kind   Kind
	// Stream is set when answers are streams of events. A repeatable stream is resumed
	// after its last event.
	Stream bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to a stream's first event, that callers want.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between events that callers want.
	EventGapTarget time.Duration
	// AbandonAfter is after how long without an event callers of a stream go away; zero is not
	// known.
	AbandonAfter time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// MaxEndpoints is how many endpoints may run one attempt of a caller.
	MaxEndpoints int
	// Anonymous routes need no key.
	Anonymous bool
}

// WeightedService is a service and its part of a route's requests.
type WeightedService struct {
	Name   string
	Weight int
}

// Service is a set of like endpoints.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *costmodel.Engine
	// ColdRateLimit is what one cold endpoint bears from all entries; 0 is no bound.
	ColdRateLimit float64

	// minEventGapTarget is the shortest that callers of any route to the service want.
	minEventGapTarget time.Duration
}

// noteEventGapTarget notes a pause that callers of a route want; zero is none.
func (s *Service) noteEventGapTarget(pause time.Duration) {
	if s != nil && pause > 0 && (s.minEventGapTarget == 0 || pause < s.minEventGapTarget) {
		s.minEventGapTarget = pause
	}
}

// Account is a client account and its keys.
type Account struct {
	Name string
	Keys []string
	// Priority, where it is set, goes before that of routes.
	Priority *int
}

// Deployment is what an operator published.
type Deployment struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	// Accounts is empty when callers need no key.
	Accounts []Account
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64

	byHost map[string][]*Route
	// accountsByKey are the accounts by key.
	accountsByKey map[string]*Account
}

// Index prepares the look-ups of a decoded deployment.
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

// Route returns the route of a request, or nil.
func (d *Deployment) Route(host, path string) *Route {
	var best *Route
	for _, r := range d.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Account returns the account that holds a key, or nil.
func (d *Deployment) Account(key string) *Account { return d.accountsByKey[key] }

// Request is what a caller says about its request beside method, path and body.
type Request struct {
	// ID names the caller's attempt.
	ID string
	// Deadline is how long the caller waits; zero when it does not say.
	Deadline time.Duration
	// PromptTokens and OutputTokens are the sizes of a prompt and its longest answer.
	PromptTokens int
	OutputTokens int
	// LastEvent is the event after which the caller resumes a stream.
	LastEvent string
}

// Dispatch is what an endpoint is told beside the caller's request.
type Dispatch struct {
	// Instance is the name of the endpoint; another one at its address refuses.
	Instance string
	// Account is empty for callers without a key.
	Account  string
	Deadline time.Duration
	// Priority ranks requests at the engine; 0 is the most urgent.
	Priority int
	// Helpers read parts of the prompt.
	Helpers []Helper
	// LastEvent is the event after which the stream goes on.
	LastEvent string
}

// Helper is an endpoint that reads a part of a prompt. Ticket names memory that was
// set aside there, and is empty where there is none.
type Helper struct {
	Addr   string
	Ticket string
}

// Outcome is what the head of an endpoint's answer says.
type Outcome int

// The outcomes.
const (
	// Answered is an answer of the endpoint to this request, good or bad.
	Answered Outcome = iota
	// NotRun is the endpoint's word that it has not run the request.
	NotRun
	// Misdirected is NotRun because another endpoint has the address.
	Misdirected
	// Mismatched is an answer that does not belong to this request.
	Mismatched
)

// Dialect translates between the gateway and one platform's wire.
type Dialect interface {
	// DecodeDeployment reads a publication. Its error says what is wrong with it.
	DecodeDeployment(content []byte) (*Deployment, error)
	// ReadRequest takes what a caller says from its headers.
	ReadRequest(h http.Header) Request
	// WriteDispatch replaces what a caller said by what an endpoint is told.
	WriteDispatch(h http.Header, d *Dispatch)
	// ClassifyAnswer reads the head of an endpoint's answer to the request called id. At names
	// the address of the endpoint that is at fault, where the answer says so.
	ClassifyAnswer(res *http.Response, id string) (outcome Outcome, at string)
}

// EngineClient asks engines for what is no request.
type EngineClient interface {
	// Alive reports whether an engine answers at all, which takes it no slot.
	Alive(addr string) bool
	// Reserve sets tokens aside under the name ticket for a time, or renews that.
	Reserve(addr, ticket string, tokens int64, hold time.Duration) error
	// Release ends the reservation.
	Release(addr, ticket string) error
}
