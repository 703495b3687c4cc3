package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// maxSends bounds the endpoints that may turn a request away.
	maxSends = 4
	// maxReserves bounds the tries to set memory aside.
	maxReserves = 10
	// retryAfterLoss is when a request that found no endpoint is worth another try.
	retryAfterLoss = 300 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 8 << 20
	// shortTarget separates urgent prompts from others of the same priority.
	shortTarget = 500 * time.Millisecond
)

// perform sends the request to endpoints until one answers or nothing more is allowed.
// An endpoint's own failure is passed on when no other one does better.
func (c *call) perform(ctx context.Context) error {
	err := c.attempts(ctx)
	if err == nil || c.failure == nil || c.committed || errors.Is(err, errCallerGone) {
		return err
	}
	c.commit(c.failure.head)
	return c.write(c.failure.body)
}

// attempts places and sends the request again and again.
func (c *call) attempts(ctx context.Context) error {
	c.g.retries.requested(c.started, c.service.Name)
	for {
		p, err := c.g.place(ctx, c)
		if err != nil {
			return c.orInterrupted(ctx, c.orUncertain(err))
		}
		err = c.attempt(ctx, p)
		p.end(c.delivered == 0)
		if err == nil || ctx.Err() != nil {
			return c.orInterrupted(ctx, err)
		}
		r := verdict.From(err)
		if !c.mayTryAgain(r) {
			return c.orUncertain(r)
		}
		c.log().Info("request sent again", "reason", string(r.Reason), "verdict", r.Verdict.String(), "detail", r.Detail,
			"left", c.end.Sub(c.g.clock.Now()))
	}
}

// mayTryAgain decides on another endpoint after one that failed.
func (c *call) mayTryAgain(r *verdict.Refusal) bool {
	if r.Verdict != verdict.NotRun && (c.route.Kind == AtMostOnce || c.runs >= max(c.route.MaxEndpoints, 1)) {
		return false
	}
	if r.Reason == verdict.ReasonEndpointMemory {
		// Nothing was sent.
		c.reserved++
		return c.reserved < maxReserves
	}
	if c.sends >= maxSends {
		return false
	}
	if r.Reason == verdict.ReasonUnreachable {
		// Nothing arrived at an endpoint.
		return true
	}
	return c.g.retries.take(c.g.clock.Now(), c.service.Name, c.g.entries.Load())
}

// orUncertain keeps a refusal true: once an endpoint may have run a request that runs
// at most once, nothing later proves the contrary.
func (c *call) orUncertain(err error) error {
	r := verdict.From(err)
	if r.Verdict == verdict.NotRun && c.runs > 0 {
		return verdict.Uncertain(r.Reason, r.RetryAfter, "%s", r.Detail)
	}
	if r.Verdict == verdict.NotRun && r.RetryAfter == 0 {
		return verdict.Refuse(r.Reason, retryAfterLoss, "%s", r.Detail)
	}
	return r
}

// orInterrupted says how a request ended whose time is over or whose caller went.
func (c *call) orInterrupted(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case c.r.Context().Err() != nil:
		return errCallerGone
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return err
	case c.runs == 0:
		return verdict.Refuse(verdict.ReasonDeadline, retryAfterLoss, "no endpoint took the request in time")
	}
	return verdict.Uncertain(verdict.ReasonDeadline, 0, "the time is over at endpoint %s", c.endpoint)
}

// attempt carries the request to its endpoint and the answer back.
func (c *call) attempt(ctx context.Context, placed *placement) error {
	a := placed.Assignment
	c.placed = placed
	c.endpoint = a.Primary.Name
	c.log().Info("request placed", "addr", a.Primary.Addr, "zone", a.Primary.Zone, "helpers", len(a.Helpers), "considered", a.Candidates,
		"prompt_tokens", c.PromptTokens, "predicted", a.PredictedPrefill, "left", c.end.Sub(c.g.clock.Now()))
	helpers, free, err := c.reserve(ctx, a)
	defer free()
	if err != nil {
		return err
	}
	c.want.Tried = append(c.want.Tried, a.Primary.Name)
	c.g.metrics.sent(c.reason())
	c.sends++
	c.sent = c.g.clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := c.newPatience(a.Primary, cancel)
	defer patience.stop()
	patience.wait(c.firstPatience(a))
	res, err := c.g.http.RoundTrip(c.outgoing(ctx, a, helpers))
	if err != nil {
		return c.failed(ctx, a, err)
	}
	defer func() { _ = res.Body.Close() }()
	return c.take(ctx, a, res, patience)
}

// reason says in metrics why the request is sent.
func (c *call) reason() string {
	switch {
	case c.committed:
		return sentResume
	case c.sends > 0:
		return sentAgain
	}
	return sentFirst
}

// outgoing is the request as the endpoint gets it.
func (c *call) outgoing(ctx context.Context, a *assign.Assignment, helpers []Helper) *http.Request {
	header := c.r.Header.Clone()
	for _, name := range connectionHeaders(header) {
		header.Del(name)
	}
	header.Del("Authorization")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	c.g.dialect.WriteDispatch(header, &Dispatch{
		Instance: a.Primary.Name, Account: c.account, Deadline: c.end.Sub(c.g.clock.Now()), Priority: c.urgency(),
		Helpers: helpers, LastEvent: c.LastEvent,
	})
	out := (&http.Request{
		Method: c.r.Method, Host: c.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           &url.URL{Scheme: "http", Host: a.Primary.Addr, Opaque: c.r.RequestURI},
		ContentLength: int64(len(c.body)),
	}).WithContext(ctx)
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out
}

// urgency ranks the request at the engine by its route's priority, and short prompts
// before long ones.
func (c *call) urgency() int {
	u := 2 * c.route.Priority
	if c.priority != nil {
		u = 2 * *c.priority
	}
	if c.route.LatencyTarget > shortTarget {
		u++
	}
	return min(u, 9)
}

// connectionHeaders lists the headers that concern one connection only.
func connectionHeaders(h http.Header) []string {
	names := []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length"}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// failed says what a call without an answer means.
func (c *call) failed(ctx context.Context, a *assign.Assignment, err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		c.distrust(a.Primary.Name, "not reached", err)
		return verdict.Refuse(verdict.ReasonUnreachable, retryAfterLoss, "endpoint %s takes no connection", a.Primary.Name)
	}
	c.runs++
	return c.broken(ctx, a, err)
}

// broken says what an answer means that did not come whole.
func (c *call) broken(ctx context.Context, a *assign.Assignment, err error) error {
	if c.r.Context().Err() != nil {
		return errCallerGone
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		if silent := c.g.clock.Now().Sub(c.sent); c.route.LatencyTarget > 0 && silent > plainPatience*c.route.LatencyTarget && c.delivered == 0 {
			c.distrust(a.Primary.Name, "silent until the deadline", err)
		}
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the time is over at endpoint %s", a.Primary.Name)
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	c.distrust(a.Primary.Name, "broke off", err)
	return verdict.Uncertain(verdict.ReasonEndpointLost, retryAfterLoss, "endpoint %s: %v", a.Primary.Name, err)
}

// distrust leaves an endpoint alone for a while.
func (c *call) distrust(name, what string, err error) {
	c.g.mu.Lock()
	span := c.g.fleet.MarkFailed(c.g.clock.Now(), name)
	c.g.mu.Unlock()
	c.g.metrics.distrusts.Inc()
	c.log().Warn("endpoint distrusted", "suspect", name, "what", what, "for", span, "error", err)
}

// take judges the head of the answer and passes the rest on.
func (c *call) take(ctx context.Context, a *assign.Assignment, res *http.Response, p *patience) error {
	outcome, at := c.g.dialect.ClassifyAnswer(res, c.ID)
	switch outcome {
	case NotRun, Misdirected:
		return c.turnedAway(a, outcome, at, res.StatusCode)
	case Mismatched:
		c.runs++
		return c.broken(ctx, a, errors.Errorf("an answer with status %d that is none to this request", res.StatusCode))
	}
	c.runs++
	if res.StatusCode < http.StatusMultipleChoices && c.route.Stream {
		return c.relay(ctx, a, res, p)
	}
	return c.pass(ctx, a, res)
}

// turnedAway notes what an endpoint says that has not run the request.
func (c *call) turnedAway(a *assign.Assignment, outcome Outcome, at string, status int) error {
	name := a.Primary.Name
	c.g.mu.Lock()
	if at != "" {
		if other, ok := c.g.fleet.FindAddr(at); ok {
			name = other
		}
	}
	if outcome == NotRun && name == a.Primary.Name {
		c.g.fleet.MarkBusy(c.g.clock.Now(), name)
	}
	c.g.mu.Unlock()
	if outcome == Misdirected || name != a.Primary.Name {
		c.distrust(name, "turned away", errors.Errorf("status %d", status))
		c.want.Tried = append(c.want.Tried, name)
	}
	return verdict.Refuse(verdict.ReasonEndpointBusy, retryAfterLoss, "endpoint %s turned the request away with status %d", name, status)
}

// pass hands an answer on once it is whole.
func (c *call) pass(ctx context.Context, a *assign.Assignment, res *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return c.broken(ctx, a, err)
	}
	if len(body) > maxAnswerBytes {
		return verdict.Uncertain(verdict.ReasonTooLarge, 0, "the answer of endpoint %s is over %d bytes", a.Primary.Name, maxAnswerBytes)
	}
	if c.committed {
		return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "endpoint %s did not resume the stream: status %d", a.Primary.Name, res.StatusCode)
	}
	if promises(res.StatusCode) {
		return verdict.Uncertain(verdict.ReasonEngineError, 0, "endpoint %s answered %d without saying that it has not run the request", a.Primary.Name, res.StatusCode)
	}
	if res.StatusCode >= http.StatusInternalServerError && c.route.Kind == Repeatable {
		c.failure = &failure{head: res, body: body}
		return verdict.Uncertain(verdict.ReasonEngineError, retryAfterLoss, "endpoint %s answered %d", a.Primary.Name, res.StatusCode)
	}
	c.heard(a)
	c.commit(res)
	return c.write(body)
}

// failure is an endpoint's own answer that says that it failed.
type failure struct {
	head *http.Response
	body []byte
}

// promises reports whether a status tells callers that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (c *call) heard(a *assign.Assignment) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.fleet.MarkAlive(c.g.clock.Now(), a.Primary.Name)
}

// commit shows the caller the head of the answer.
func (c *call) commit(res *http.Response) {
	c.committed = true
	for _, name := range connectionHeaders(res.Header) {
		if name != "Content-Length" {
			res.Header.Del(name)
		}
	}
	h := c.w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	c.w.WriteHeader(res.StatusCode)
}

func (c *call) write(data []byte) error {
	control := http.NewResponseController(c.w)
	if err := control.SetWriteDeadline(c.g.clock.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if _, err := c.w.Write(data); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// relay passes a stream on, event by event.
func (c *call) relay(ctx context.Context, a *assign.Assignment, res *http.Response, p *patience) error {
	events := newEventReader(res.Body)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			if !c.committed {
				c.commit(res)
			}
			return nil
		}
		if err != nil {
			return orGone(c.flush(), c.broken(ctx, a, err))
		}
		p.wait(c.pausePatience())
		c.heard(a)
		if err := c.deliver(res, a, ev, events.more()); err != nil {
			return err
		}
	}
}

// deliver passes one event on, unless the caller has it already.
func (c *call) deliver(res *http.Response, a *assign.Assignment, ev event, more bool) error {
	if ev.id != "" && c.LastEvent != "" && seen(ev.id, c.LastEvent) {
		return nil
	}
	if !c.committed {
		c.commit(res)
		c.placed.answered()
		now := c.g.clock.Now()
		c.g.metrics.begun(c.class(), now.Sub(c.started))
		c.log().Info("stream begun", "took", now.Sub(c.started), "predicted", a.PredictedPrefill, "waited", now.Sub(c.sent),
			"prompt_tokens", c.PromptTokens, "helpers", len(a.Helpers))
	}
	if err := c.write(ev.raw); err != nil {
		return err
	}
	c.delivered++
	if ev.id != "" {
		c.LastEvent = ev.id
	}
	if more {
		return nil
	}
	return c.flush()
}

// flush has the caller see what was passed on.
func (c *call) flush() error {
	if !c.committed {
		return nil
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// orGone returns why the caller is gone, or else err.
func orGone(gone, err error) error {
	if gone != nil {
		return gone
	}
	return err
}
