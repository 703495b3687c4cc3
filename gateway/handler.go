package gateway

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/drain"
	"github.com/rosemaryproxy/rosemaryproxy/schedule"
	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// bearer precedes a key in the Authorization header.
	bearer = "Bearer "
	// defaultTimeout bounds a request when neither its route nor its caller does.
	defaultTimeout = 30 * time.Second
	// relaxFraction is the fraction of a request's time limit within which the number
	// of endpoints that a long prompt requires falls to one if no other waits.
	relaxFraction = 0.4
	// staleRetryAfter is the Retry-After of requests that are refused because the
	// entry's configuration may be out of date.
	staleRetryAfter = 500 * time.Millisecond
	// maxStaleWait bounds the wait for a current configuration, which is checked every
	// stalePollInterval. It is at most staleWaitFraction of the request's time limit, which leaves
	// time for the answer.
	maxStaleWait      = 800 * time.Millisecond
	staleWaitFraction = 0.7
	stalePollInterval = 20 * time.Millisecond
	// retryJitter is the maximum random addition to Retry-After, which spreads the
	// retries of refused callers. It at most doubles a Retry-After.
	retryJitter = 300 * time.Millisecond
)

// errCallerGone is the error of a request whose caller has closed the connection or
// does not read its answer.
var errCallerGone = errors.New("the caller has gone")

// call is one request of a caller.
type call struct {
	Request
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	route   *Route
	service *Service
	// account is the name of the client account, "" for an anonymous caller.
	account string
	// accountPriority is the priority of the account, nil to use that of the route.
	accountPriority *int
	// version is that of the deployment by which the request is served.
	version uint64
	// needsPermission is set if the request is sent only while the configuration is known to be
	// current: it carries a key, which may have been revoked, or its route requires one.
	needsPermission bool
	body            []byte
	// heldBody accounts for body; nil if it is empty.
	heldBody *stream.Reservation
	// bodyComplete is set once the whole body has been read, and bodyFailed once a read of it
	// has failed.
	bodyComplete, bodyFailed bool
	// content identifies what endpoints execute: the account, method, path and body.
	// Requests with the same content differ in ID and deadline only.
	content uint64
	// parts identify the parts of the prompt that other requests may have too.
	parts   []uint64
	started time.Time
	// deadline is when the answer to the caller is due.
	deadline time.Time
	// placementRequest is the input for the choice of endpoints.
	placementRequest assign.Request
	// runs is the number of endpoints that may have executed the request, and sends is
	// the number of times that it was sent to an endpoint.
	runs, sends int
	// failedReserves counts the attempts that failed to reserve memory.
	failedReserves int
	// committed is set once the status has been sent to the caller.
	committed bool
	// failure is the latest error answer of an endpoint.
	failure *failureAnswer
	// delivered counts the events sent to the caller. The latest was sent at lastDelivery, and
	// longestPause is the longest time between two of them.
	delivered    int
	lastDelivery time.Time
	longestPause time.Duration
	// endpoint is the primary endpoint of the latest attempt that was sent, at lastSend.
	endpoint string
	lastSend time.Time
	// open are the attempts that have neither ended nor been cancelled. At most one of them has not
	// been sent yet. spent is when a retry was granted for
	// the next one; zero if none was.
	open  []*attempt
	spent time.Time
	// messages and silences are what open attempts send.
	messages chan message
	silences chan *attempt
}

// newCall returns the call for a request.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) *call {
	return &call{
		g: g, w: w, r: r, started: g.clock.Now(), Request: g.dialect.ReadRequest(r.Header),
		messages: make(chan message), silences: make(chan *attempt),
	}
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.metrics.inFlight.Add(1)
	defer g.metrics.inFlight.Add(-1)
	caller := &callerWriter{ResponseWriter: w, clock: g.clock, lastAnswer: g.stop.hasBegun}
	c := g.newCall(caller, r)
	defer c.logPanic()
	defer c.releaseBody()
	err := c.prepare()
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		err = c.perform(ctx)
	}
	c.finish(err)
	if err != nil {
		return
	}
	if err := caller.extend(); err != nil {
		c.log().Debug("end of the answer not sent", "error", err)
	}
}

// prepare authenticates the caller, finds the route and the service, and reads the
// body.
func (c *call) prepare() error {
	d, fresh := c.awaitDeployment()
	if d == nil {
		return verdict.Refuse(verdict.ReasonStaleConfiguration, staleRetryAfter, "the entry has no configuration yet")
	}
	c.route, c.version = d.Route(hostOf(c.r.Host), c.r.URL.Path), d.Version
	needsKey := len(d.Accounts) > 0 && (c.route == nil || !c.route.Anonymous)
	key := c.key()
	c.needsPermission = needsKey || key != ""
	if !fresh && (c.needsPermission || c.route == nil) {
		return verdict.Refuse(verdict.ReasonStaleConfiguration, staleRetryAfter, "the entry's permission has lapsed at version %d", d.Version)
	}
	account := d.Account(key)
	if needsKey && account == nil {
		return verdict.Refuse(verdict.ReasonUnauthenticated, 0, "no client account has the key")
	}
	if account != nil {
		c.account, c.accountPriority = account.Name, account.Priority
	}
	if c.route == nil {
		return verdict.Refuse(verdict.ReasonUnknownRoute, 0, "no route for host %q and path %q in version %d", c.r.Host, c.r.URL.Path, d.Version)
	}
	if err := c.checkTarget(); err != nil {
		return err
	}
	c.deadline = c.started.Add(c.timeout(c.route))
	if !c.g.clock.Now().Before(c.deadline) {
		return verdict.Refuse(verdict.ReasonDeadline, defaultRetryAfter, "the time is over before the request was read")
	}
	c.service = d.pickService(c.route)
	c.placementRequest = assign.Request{
		Service: c.service.Name, Engine: c.service.Engine, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens,
		Zone: c.g.node.Zone, EventGapTarget: c.route.EventGapTarget, MinEventGapTarget: c.service.minEventGapTarget,
		RelaxAfter: time.Duration(relaxFraction * float64(c.deadline.Sub(c.started))),
	}
	if c.route.LatencyTarget > 0 {
		c.placementRequest.Due = c.started.Add(c.route.LatencyTarget)
	}
	if c.tooLateToSend() {
		return c.refuseStopping()
	}
	return c.readBody(d.MaxBodyBytes)
}

// key returns the API key that the request carries, "" if it carries none.
func (c *call) key() string {
	key, _ := strings.CutPrefix(c.r.Header.Get("Authorization"), bearer)
	return key
}

// awaitDeployment returns the newest deployment and whether it is known to be current.
// If it is not, awaitDeployment waits for up to maxStaleWait: after the loss of a
// replica of control, the lease on the configuration is renewed before a refused caller
// would retry. The wait ends while a part of the request's own time is left. Requests without a
// key to anonymous routes, which are served without a valid lease, do not wait.
//
// After a start of this process, awaitDeployment also waits for the other entries to tell it the
// limits of endpoints, for as long as awaitsPeers says.
func (c *call) awaitDeployment() (d *Deployment, fresh bool) {
	for {
		// The lease must be read first, because it covers the publications received up
		// to the moment of reading. The deployment that is loaded afterwards must be at
		// least as new as the last one of these publications.
		fresh = c.g.client.Fresh()
		published := c.g.client.Config().PublishedVersion()
		d = c.g.deployment.Load()
		fresh = fresh && d != nil && d.Version >= published
		var route *Route
		if d != nil {
			route = d.Route(hostOf(c.r.Host), c.r.URL.Path)
		}
		waited := c.g.clock.Now().Sub(c.started)
		if fresh && !c.g.awaitsPeers() || waited > c.maxDeploymentWait(route) || c.r.Context().Err() != nil {
			return d, fresh
		}
		if route != nil && route.Anonymous && c.key() == "" {
			return d, false
		}
		<-c.g.clock.After(stalePollInterval)
	}
}

// maxDeploymentWait is how long awaitDeployment may wait. A change may shorten the time limit of
// the route, which is nil if it is not known, during the wait.
func (c *call) maxDeploymentWait(route *Route) time.Duration {
	return min(maxStaleWait, time.Duration(staleWaitFraction*float64(c.timeout(route))))
}

// hostOf returns the host without its port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// timeout is the shorter one of the route's and the caller's time limit. The route may be nil.
func (c *call) timeout(route *Route) time.Duration {
	t := defaultTimeout
	if route != nil && route.Timeout > 0 {
		t = route.Timeout
	}
	if c.Deadline > 0 {
		t = min(t, c.Deadline)
	}
	return t
}

// pickService chooses one of the route's services at random by weight.
func (d *Deployment) pickService(r *Route) *Service {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	n := rand.IntN(max(total, 1))
	for _, s := range r.Services {
		if n < s.Weight {
			return d.Services[s.Name]
		}
		n -= s.Weight
	}
	return d.Services[r.Services[0].Name]
}

// contentDigest returns a hash of what endpoints execute. Lengths separate the fields.
func contentDigest(account, method, uri string, body []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, field := range []string{account, method, uri} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		// Writes to a hash return no error.
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// partDigests returns hashes of the IDs of parts, which differ from those of contents.
func partDigests(ids []string) []uint64 {
	var digests []uint64
	for _, id := range ids {
		digests = append(digests, xxhash.Sum64String("part\x00"+id))
	}
	return digests
}

// contentField returns the content digest as it appears in logs.
func (c *call) contentField() string { return strconv.FormatUint(c.content, 16) }

// finish logs how the request ended and, if err is a refusal, sends it to the caller.
// After a part of the answer has been sent, it aborts the connection instead.
func (c *call) finish(err error) {
	took := c.g.clock.Now().Sub(c.started)
	if err == nil {
		c.recordEnd("answered", took)
		c.log().Info("request answered", "took", took, "events", c.delivered, "longest_pause", c.longestPause, "pause_target", c.pauseTarget())
		if c.delivered > 0 {
			c.g.metrics.observeLongestPause(c.class(), c.longestPause)
		}
		return
	}
	if errors.Is(err, errCallerGone) && c.g.cut.Load() {
		c.recordEnd(string(verdict.ReasonStopping), took)
		c.log().Warn("request cut at the end of the grace time", "took", took, "committed", c.committed, "events", c.delivered, "detail", err.Error())
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, errCallerGone) {
		c.recordEnd("caller_gone", took)
		c.log().Info("request abandoned by its caller", "took", took, "detail", err.Error())
		panic(http.ErrAbortHandler)
	}
	r := verdict.From(err)
	c.recordEnd(string(r.Reason), took)
	c.recordRefusal(r)
	c.log().Info("request refused", "took", took, "verdict", r.Verdict.String(), "reason", string(r.Reason),
		"retry_after", r.RetryAfter, "detail", r.Detail, "committed", c.committed, "events", c.delivered)
	if c.committed {
		// The aborted connection shows the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	c.writeRefusal(r)
}

// logPanic logs the end of a request whose handler panics, and aborts its connection.
func (c *call) logPanic() {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler {
		c.recordEnd(string(verdict.ReasonInternal), c.g.clock.Now().Sub(c.started))
		c.log().Warn("request panicked", "panic", p, "committed", c.committed, "events", c.delivered, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// pauseTarget is the longest pause that the caller wants between two events.
func (c *call) pauseTarget() time.Duration {
	if c.route == nil {
		return 0
	}
	return c.route.EventGapTarget
}

// recordEnd counts the request in metrics by its outcome.
func (c *call) recordEnd(outcome string, took time.Duration) {
	kind := AtMostOnce
	if c.route != nil {
		kind = c.route.Kind
	}
	c.g.metrics.observeRequest(outcome, kind, c.class(), took)
}

// class returns the name of the request's length class, "" before the service is known.
func (c *call) class() string {
	if c.service == nil {
		return ""
	}
	return schedule.ClassOf(&c.placementRequest).String()
}

// log returns a logger that adds the fields of the request to each line.
func (c *call) log() logger { return c.logFor(c.endpoint, c.sends, c.runs) }

// logFor returns a logger that adds the fields of the request, an endpoint, and how often the request
// was sent and may have run.
func (c *call) logFor(endpoint string, sends, runs int) logger {
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	return logger{log: c.g.log, fields: []any{
		"request", c.ID, "account", c.account, "route", route, "endpoint", endpoint, "sends", sends, "runs", runs,
	}}
}

// writeRefusal answers with a refusal. The connection is closed if the rest of the body is still
// on its way.
func (c *call) writeRefusal(r *verdict.Refusal) {
	reusable := c.discardBody()
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		after := r.RetryAfter + rand.N(min(retryJitter, r.RetryAfter))
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(map[string]any{"error": map[string]any{
		"verdict": r.Verdict.String(), "reason": string(r.Reason), "message": r.Detail, "request_id": c.ID,
	}})
	if err != nil {
		c.log().Debug("refusal not encoded", "error", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if !reusable {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(statusOf(r))
	if _, err := c.w.Write(body); err != nil {
		c.log().Debug("refusal not delivered", "error", err)
	}
	if reusable {
		return
	}
	c.g.lingering.Add(1)
	defer c.g.lingering.Add(-1)
	if err := drain.Linger(c.w, c.g.clock.Now()); err != nil {
		c.log().Debug("connection not closed in order", "error", err)
	}
}

// statusOf returns the HTTP status of a refusal. Status 503 guarantees that the request
// was not executed, and 502 and 504 guarantee nothing.
func statusOf(r *verdict.Refusal) int {
	if r.Verdict != verdict.NotRun {
		if r.Reason == verdict.ReasonDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch r.Reason {
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case verdict.ReasonUnauthenticated:
		return http.StatusUnauthorized
	case verdict.ReasonUnknownRoute:
		return http.StatusNotFound
	case verdict.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}
