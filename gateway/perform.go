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
	// maxSends bounds how many times one request is sent to endpoints in total.
	maxSends = 4
	// maxReserveAttempts bounds the attempts to reserve memory.
	maxReserveAttempts = 10
	// defaultRetryAfter is the Retry-After of requests for which no endpoint was found
	// or whose endpoint failed.
	defaultRetryAfter = 300 * time.Millisecond
	// urgentTarget is the latency target up to which a request ranks before others of
	// the same priority.
	urgentTarget = 500 * time.Millisecond
)

// perform sends the request to endpoints until one answers or the retry rules allow no
// other attempt. If all fail, the latest error answer of an endpoint is passed on to
// the caller.
func (c *call) perform(ctx context.Context) error {
	err := c.runAttempts(ctx)
	if err == nil || c.failure == nil || c.committed || errors.Is(err, errCallerGone) {
		return err
	}
	c.writeHead(c.failure.head)
	return c.write(c.failure.body)
}

// runAttempts places and sends the request until an attempt succeeds or mayTryAgain
// forbids another one.
func (c *call) runAttempts(ctx context.Context) error {
	c.g.retries.recordRequest(c.started, c.service.Name)
	for {
		tried, err := c.attemptNext(ctx)
		switch {
		case err == nil && !tried:
			continue
		case err == nil:
			c.recordCompletion()
			return nil
		case !tried:
			return c.checkInterrupted(ctx, c.adjustVerdict(err))
		case ctx.Err() != nil:
			return c.checkInterrupted(ctx, err)
		}
		r := verdict.From(err)
		if !c.mayTryAgain(r) {
			return c.adjustVerdict(r)
		}
		c.log().Info("request retried", "reason", string(r.Reason), "verdict", r.Verdict.String(), "detail", r.Detail,
			"content", c.contentField(), "entries", c.g.retrySharing(), "left", c.deadline.Sub(c.g.clock.Now()))
	}
}

// attemptNext waits for endpoints and sends the request there. The result tried reports whether
// it was sent. If it was not and err is nil, a suspect request has to wait for its permit, and
// attemptNext has to be called again.
func (c *call) attemptNext(ctx context.Context) (tried bool, err error) {
	if _, err := c.checkQuarantine(); err != nil {
		return false, err
	}
	p, err := c.g.place(ctx, c)
	if err != nil {
		return false, err
	}
	if permitted, err := c.mayRun(ctx, p.Assignment); !permitted {
		p.release(true)
		if err == nil {
			err = c.awaitPermit(ctx)
		}
		return false, err
	}
	err = c.attempt(ctx, p)
	p.release(c.delivered == 0)
	c.endPermit(err)
	return true, err
}

// mayTryAgain reports whether the request may be sent to another endpoint after the
// failure r.
func (c *call) mayTryAgain(r *verdict.Refusal) bool {
	if r.Verdict != verdict.NotRun && (c.route.Kind == AtMostOnce || c.runs >= max(c.route.MaxEndpoints, 1)) {
		return false
	}
	if r.Reason == verdict.ReasonEndpointMemory {
		// Nothing was sent to the primary endpoint.
		c.failedReserves++
		return c.failedReserves < maxReserveAttempts
	}
	if c.sends >= maxSends || r.Reason == verdict.ReasonStaleConfiguration {
		return false
	}
	if r.Verdict == verdict.NotRun && unsent[r.Reason] {
		// The request reached no endpoint, so it spends no retry.
		return true
	}
	return c.g.retries.trySpend(c.g.clock.Now(), c.service.Name, c.g.retrySharing())
}

// adjustVerdict returns err as a refusal with the verdict for the whole request. The
// verdict NotRun of the last attempt does not apply to the request if an earlier
// attempt may have been executed. A refusal with the verdict NotRun and without a
// Retry-After gets defaultRetryAfter.
func (c *call) adjustVerdict(err error) error {
	r := verdict.From(err)
	if r.Verdict == verdict.NotRun && c.runs > 0 {
		return verdict.Uncertain(r.Reason, r.RetryAfter, "%s", r.Detail)
	}
	if r.Verdict == verdict.NotRun && r.RetryAfter == 0 {
		return verdict.Refuse(r.Reason, defaultRetryAfter, "%s", r.Detail)
	}
	return r
}

// checkInterrupted replaces err if the request ended because its deadline passed or its
// caller has disconnected.
func (c *call) checkInterrupted(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case c.r.Context().Err() != nil:
		return errCallerGone
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return err
	case c.runs == 0:
		return verdict.Refuse(verdict.ReasonDeadline, defaultRetryAfter, "no endpoint took the request in time")
	}
	return verdict.Uncertain(verdict.ReasonDeadline, 0, "the time is over at endpoint %s", c.endpoint)
}

// attempt sends the request to the placed endpoints and the answer to the caller.
func (c *call) attempt(ctx context.Context, placed *placement) error {
	a := placed.Assignment
	c.placed = placed
	c.endpoint = a.Primary.Name
	c.log().Info("request placed", "addr", a.Primary.Addr, "zone", a.Primary.Zone, "helpers", len(a.Helpers), "helper_names", helperNames(a), "considered", a.Candidates,
		"prompt_tokens", c.PromptTokens, "predicted", a.PredictedPrefill, "left", c.deadline.Sub(c.g.clock.Now()),
		"placer", placed.placer, "placer_revision", placed.revision, "revision", c.g.client.Permission().Revision)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	helpers, free, err := c.reserve(ctx, cancel, a)
	defer free()
	if err == nil {
		err = c.checkSend(ctx, a)
	}
	if err != nil {
		return err
	}
	c.placementRequest.Tried = append(c.placementRequest.Tried, a.Primary.Name)
	c.g.metrics.countSend(c.sendReason())
	c.sends++
	c.sentAt = c.g.clock.Now()
	timer := c.newSilenceTimer(a.Primary, cancel)
	defer timer.stop()
	timer.reset(c.firstEventTimeout(a))
	res, err := c.g.http.RoundTrip(c.endpointRequest(ctx, a, helpers))
	if err != nil {
		err = c.handleTransportError(ctx, a, err)
	} else {
		defer func() { _ = res.Body.Close() }()
		err = c.handleAnswer(ctx, a, res, timer)
	}
	if errors.Is(err, errCallerGone) {
		c.recordInterruption(a, false)
	}
	return err
}

// sendReason returns the reason of the current attempt as a label value for metrics.
func (c *call) sendReason() string {
	switch {
	case c.committed:
		return sendResume
	case c.sends > 0:
		return sendRetry
	}
	return sendFirst
}

// endpointRequest returns the HTTP request for the primary endpoint.
func (c *call) endpointRequest(ctx context.Context, a *assign.Assignment, helpers []Helper) *http.Request {
	header := c.r.Header.Clone()
	for _, name := range connectionHeaders(header) {
		header.Del(name)
	}
	header.Del("Authorization")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	c.g.dialect.WriteDispatch(header, &Dispatch{
		Instance: a.Primary.Name, Account: c.account, Deadline: c.deadline.Sub(c.g.clock.Now()), Priority: c.enginePriority(),
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

// enginePriority returns the priority of the request at the engine, from 0, the most
// urgent, to 9. It follows the priority of the account or route; among requests of
// equal priority, those with a latency target of up to urgentTarget come first.
func (c *call) enginePriority() int {
	priority := 2 * c.route.Priority
	if c.accountPriority != nil {
		priority = 2 * *c.accountPriority
	}
	if c.route.LatencyTarget > urgentTarget {
		priority++
	}
	return min(priority, 9)
}

// connectionHeaders lists the headers that are not forwarded: the hop-by-hop headers
// and Content-Length.
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

// handleTransportError returns the refusal for an attempt that got no answer.
func (c *call) handleTransportError(ctx context.Context, a *assign.Assignment, err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		c.distrust(a.Primary.Name, "connection failed", err)
		return verdict.Refuse(verdict.ReasonUnreachable, defaultRetryAfter, "endpoint %s takes no connection", a.Primary.Name)
	}
	c.runs++
	return c.handleBrokenAnswer(ctx, a, err)
}

// handleBrokenAnswer returns the refusal for an answer that did not arrive completely.
func (c *call) handleBrokenAnswer(ctx context.Context, a *assign.Assignment, err error) error {
	if c.r.Context().Err() != nil {
		return errCallerGone
	}
	if errors.Is(err, errHeldBytes) {
		c.log().Warn("answer given up for lack of memory", "error", err)
		return verdict.Uncertain(verdict.ReasonTooLarge, defaultRetryAfter, "the answer of endpoint %s: %v", a.Primary.Name, err)
	}
	// A broken connection may be the first sign that the endpoint has ended.
	c.recordInterruption(a, context.Cause(ctx) == nil)
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		if silentFor := c.g.clock.Now().Sub(c.sentAt); c.route.LatencyTarget > 0 && silentFor > latencyTimeoutFactor*c.route.LatencyTarget && c.delivered == 0 {
			c.distrust(a.Primary.Name, "silent until the deadline", err)
		}
		return verdict.Uncertain(verdict.ReasonDeadline, 0, "the time is over at endpoint %s", a.Primary.Name)
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	c.distrust(a.Primary.Name, "answer broken off", err)
	return verdict.Uncertain(verdict.ReasonEndpointLost, defaultRetryAfter, "endpoint %s: %v", a.Primary.Name, err)
}

// distrust excludes a failed endpoint from placements for a while. The argument failure
// describes the failure in the log.
func (c *call) distrust(name, failure string, err error) {
	c.g.mu.Lock()
	duration := c.g.fleet.MarkFailed(c.g.clock.Now(), name)
	c.g.mu.Unlock()
	c.g.metrics.distrusts.Inc()
	c.log().Warn("endpoint distrusted", "suspect", name, "what", failure, "content", c.contentField(), "for", duration, "error", err)
}

// handleAnswer classifies the head of the answer and forwards the answer to the caller.
func (c *call) handleAnswer(ctx context.Context, a *assign.Assignment, res *http.Response, timer *silenceTimer) error {
	outcome, at := c.g.dialect.ClassifyAnswer(res, c.ID)
	if outcome == Answered || outcome == NotRun {
		c.observeHead(a.Primary, res)
	}
	switch outcome {
	case NotRun, Misdirected:
		return c.handleNotRun(a, outcome, at, res.StatusCode)
	case Mismatched:
		c.runs++
		return c.handleBrokenAnswer(ctx, a, errors.Errorf("an answer with status %d that is none to this request", res.StatusCode))
	}
	c.runs++
	if res.StatusCode < http.StatusMultipleChoices && c.route.Stream {
		return c.relayStream(ctx, a, res, timer)
	}
	return c.forwardComplete(ctx, a, res, timer)
}

// handleNotRun records an endpoint's statement that it has not executed the request,
// and returns the refusal. The argument at is the address of the endpoint at fault, if
// the answer names one.
func (c *call) handleNotRun(a *assign.Assignment, outcome Outcome, at string, status int) error {
	name := a.Primary.Name
	c.g.mu.Lock()
	if at != "" {
		if other, ok := c.g.fleet.AtAddr(at); ok {
			name = other.Name
		}
	}
	if outcome == NotRun && name == a.Primary.Name {
		c.g.fleet.MarkBusy(c.g.clock.Now(), name)
	}
	c.g.mu.Unlock()
	if name != a.Primary.Name {
		c.recordHelperInterruption(a, name)
	}
	if outcome == Misdirected || name != a.Primary.Name {
		c.distrust(name, "refused the request", errors.Errorf("status %d", status))
		c.placementRequest.Tried = append(c.placementRequest.Tried, name)
	}
	return verdict.Refuse(verdict.ReasonEndpointBusy, defaultRetryAfter, "endpoint %s turned the request away with status %d", name, status)
}
