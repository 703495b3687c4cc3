package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// bearer precedes a key in the Authorization header.
	bearer = "Bearer "
	// defaultTimeout bounds a request when neither its route nor its caller does.
	defaultTimeout = 30 * time.Second
	// relaxFraction is the part of its caller's time after which a request takes any place.
	relaxFraction = 0.4
	// staleRetryAfter is when an entry without permission is worth another try.
	staleRetryAfter = 500 * time.Millisecond
	// maxStaleWait bounds the wait for the permission, looked at every staleLook.
	maxStaleWait = 800 * time.Millisecond
	stalePollInterval = 20 * time.Millisecond
	// retryJitter spreads the return of refused callers: the most that is added.
	retryJitter = 300 * time.Millisecond
	// writeTimeout ends a request whose caller takes nothing for so long.
	writeTimeout = 10 * time.Second
)

// errCallerGone marks a caller that has closed its connection or takes nothing.
var errCallerGone = errors.New("the caller has gone")

// call is one request of a caller.
type call struct {
	Request
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	route   *Route
	service *Service
	account string
	// accountPriority is the account's, nil for that of the route.
	accountPriority *int
	body     []byte
	started  time.Time
	// sentAt is when the last attempt began.
	sentAt time.Time
	// deadline is when the caller's answer is due.
	deadline time.Time
	// placementRequest is what the choice of endpoint depends on.
	placementRequest assign.Request
	// runs counts the endpoints that may have run the request, and sends those that it
	// was sent to.
	runs, sends int
	// failedReserves counts the tries in which no memory could be set aside.
	failedReserves int
	// committed is set once the caller has seen a status.
	committed bool
	// failure is the last failure that an endpoint answered with.
	failure *failureAnswer
	// delivered counts the events that were passed on.
	delivered int
	// placed is the attempt in progress.
	placed   *placement
	endpoint string
}

// serve takes one request to its final answer.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	g.metrics.inFlight.Add(1)
	defer g.metrics.inFlight.Add(-1)
	c := &call{g: g, w: w, r: r, started: g.clock.Now(), Request: g.dialect.ReadRequest(r.Header)}
	err := c.prepare()
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		err = c.perform(ctx)
	}
	c.finish(err)
}

// prepare finds the route, the account and the service, and reads the body.
func (c *call) prepare() error {
	d, fresh := c.awaitDeployment()
	if d == nil {
		return verdict.Refuse(verdict.ReasonStaleConfiguration, staleRetryAfter, "the entry has no configuration yet")
	}
	c.route = d.Route(hostOf(c.r.Host), c.r.URL.Path)
	keyed := len(d.Accounts) > 0 && (c.route == nil || !c.route.Anonymous)
	if keyed && !fresh {
		return verdict.Refuse(verdict.ReasonStaleConfiguration, staleRetryAfter, "the entry's permission has lapsed at version %d", d.Version)
	}
	key, _ := strings.CutPrefix(c.r.Header.Get("Authorization"), bearer)
	account := d.Account(key)
	if keyed && account == nil {
		return verdict.Refuse(verdict.ReasonUnauthenticated, 0, "no client account has the key")
	}
	if account != nil {
		c.account, c.accountPriority = account.Name, account.Priority
	}
	if c.route == nil {
		return verdict.Refuse(verdict.ReasonUnknownRoute, 0, "no route for host %q and path %q in version %d", c.r.Host, c.r.URL.Path, d.Version)
	}
	c.deadline = c.started.Add(c.timeout())
	c.service = d.pickService(c.route)
	c.placementRequest = assign.Request{
		Service: c.service.Name, Engine: c.service.Engine, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens,
		Zone: c.g.node.Zone, EventGapTarget: c.route.EventGapTarget, MinEventGapTarget: c.service.minEventGapTarget,
		RelaxAfter: time.Duration(relaxFraction * float64(c.deadline.Sub(c.started))),
	}
	c.g.setColdLimit(&c.placementRequest, c.service)
	return c.readBody(d.MaxBodyBytes)
}

// awaitDeployment returns the newest deployment and whether it is known to be current.
// It waits a little for both: after the loss of a replica the permission comes back
// sooner than a refused caller. Routes that need no permission are not kept waiting.
func (c *call) awaitDeployment() (d *Deployment, fresh bool) {
	limit := c.g.clock.Now().Add(maxStaleWait)
	for {
		// The permission is asked first: what it vouches for is then in the deployment.
		fresh = c.g.client.Fresh()
		published := c.g.client.Config().Published()
		d = c.g.deployment.Load()
		fresh = fresh && d != nil && d.Version >= published
		if fresh || c.g.clock.Now().After(limit) || c.r.Context().Err() != nil {
			return d, fresh
		}
		if d != nil {
			if route := d.Route(hostOf(c.r.Host), c.r.URL.Path); route != nil && route.Anonymous {
				return d, false
			}
		}
		<-c.g.clock.After(stalePollInterval)
	}
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// timeout is the shorter of the route's and the caller's.
func (c *call) timeout() time.Duration {
	t := c.route.Timeout
	if t <= 0 {
		t = defaultTimeout
	}
	if c.Deadline > 0 {
		t = min(t, c.Deadline)
	}
	return t
}

// pickService chooses one of the route's services by weight.
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

func (c *call) readBody(limit int64) error {
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(c.deadline); err != nil {
		return errors.Wrap(err, "set the deadline of the body")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.Refuse(verdict.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	case err != nil:
		return errors.Wrap(errCallerGone, err.Error())
	}
	c.body = body
	return errors.Wrap(control.SetReadDeadline(time.Time{}), "lift the deadline of the body")
}

// finish gives the caller its final answer and writes the line about it.
func (c *call) finish(err error) {
	took := c.g.clock.Now().Sub(c.started)
	if err == nil {
		c.recordEnd("answered", took)
		c.log().Info("request answered", "took", took, "events", c.delivered)
		return
	}
	if errors.Is(err, errCallerGone) {
		c.recordEnd("caller_gone", took)
		c.log().Info("request abandoned", "took", took, "detail", err.Error())
		panic(http.ErrAbortHandler)
	}
	r := verdict.From(err)
	c.recordEnd(string(r.Reason), took)
	c.log().Info("request refused", "took", took, "verdict", r.Verdict.String(), "reason", string(r.Reason),
		"retry_after", r.RetryAfter, "detail", r.Detail, "committed", c.committed, "events", c.delivered)
	if c.committed {
		// The end of the connection shows that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	c.writeRefusal(r)
}

// recordEnd counts the request by how it recordEnd.
func (c *call) recordEnd(outcome string, took time.Duration) {
	kind := AtMostOnce
	if c.route != nil {
		kind = c.route.Kind
	}
	c.g.metrics.observeRequest(outcome, kind, c.class(), took)
}

// class names the request's length class; it is empty before the service is known.
func (c *call) class() string {
	if c.service == nil {
		return ""
	}
	return classOf(&c.placementRequest).String()
}

// log adds the keys of every line about the request.
func (c *call) log() logger {
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	return logger{log: c.g.log, fields: []any{
		"request", c.ID, "account", c.account, "route", route, "endpoint", c.endpoint, "sends", c.sends, "runs", c.runs,
	}}
}

// writeRefusal answers with a refusal.
func (c *call) writeRefusal(r *verdict.Refusal) {
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		after := r.RetryAfter + rand.N(retryJitter)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	c.w.WriteHeader(statusOf(r))
	body := map[string]any{"error": map[string]any{
		"verdict": r.Verdict.String(), "reason": string(r.Reason), "message": r.Detail, "request_id": c.ID,
	}}
	if err := json.NewEncoder(c.w).Encode(body); err != nil {
		c.log().Debug("refusal not delivered", "error", err)
	}
}

// statusOf returns the status of a refusal. 503 promises that the request has not
// run, and 502 and 504 promise nothing.
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
