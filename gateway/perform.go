package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/schedule"
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

// runAttempts lets attempts place and send the request until one succeeds or mayTryAgain forbids
// another one. An attempt whose endpoint is silent stays open beside the next one: the first to go
// on is kept, and the others are cancelled.
func (c *call) runAttempts(ctx context.Context) error {
	c.g.retries.recordRequest(c.started, c.service.Name)
	defer c.endAttempts(nil)
	if c.tooLateToSend() {
		return c.refuseStopping()
	}
	c.begin(ctx)
	stopBegan := c.g.stop.began
	var sendBy, answerBy <-chan time.Time // once the process stops
	for {
		select {
		case m := <-c.messages:
			done, err := c.take(ctx, m)
			m.from.taken <- struct{}{}
			if done {
				return err
			}
		case a := <-c.silences:
			if done, err := c.takeSilence(ctx, a); done {
				return err
			}
		case <-stopBegan:
			stopBegan = nil
			now := c.g.clock.Now()
			sendBy, answerBy = c.g.clock.After(c.sendBy().Sub(now)), c.g.clock.After(c.g.stop.answerBy.Sub(now))
		case <-sendBy:
			sendBy = nil
			if done, err := c.endUnsent(); done {
				return err
			}
		case <-answerBy:
			return c.stopped()
		case <-ctx.Done():
			if c.endAttempts(context.Cause(ctx)) && c.committed {
				return nil // all of the stream was passed on, only its end is late
			}
			return c.interrupted(ctx)
		}
	}
}

// begin starts an attempt.
func (c *call) begin(ctx context.Context) { c.beginAt(ctx, nil, nil) }

// beginAt starts an attempt at endpoints that are booked already, if placed is not nil, once the memory
// of earlier attempts has been released.
func (c *call) beginAt(ctx context.Context, placed *placement, earlier []*attempt) {
	a := c.newAttempt(ctx)
	a.booked, a.earlier = placed, earlier
	a.spent, c.spent = c.spent, time.Time{}
	a.immediate = slices.ContainsFunc(c.open, (*attempt).holdsHelpers)
	c.open = append(c.open, a)
	go a.run()
}

// take deals with a message of an attempt. It returns true if the request ends with err. Messages of
// an attempt that has been replaced are dropped.
func (c *call) take(ctx context.Context, m message) (done bool, err error) {
	switch {
	case !slices.Contains(c.open, m.from):
		return false, nil
	case m.sending && m.from.tooLateToSend():
		// The stop began after the attempt's own check.
		m.from.withdrawn = true
		c.close(m.from, false)
		return c.endUnsent()
	case m.sending:
		c.recordSend(m.from)
		return false, nil
	case m.event != nil:
		err := c.takeEvent(m)
		return err != nil, err
	case m.err != nil:
		return c.takeFailure(ctx, m)
	}
	c.keepOnly(m.from)
	if !c.committed {
		c.writeHead(m.head)
	}
	if err := c.write(m.body); err != nil {
		return true, err
	}
	c.recordCompletion()
	return true, nil
}

// recordSend counts an attempt that is about to be sent.
func (c *call) recordSend(a *attempt) {
	c.g.metrics.countSend(c.sendReason())
	c.sends++
	c.lastSend = c.g.clock.Now()
	c.endpoint = a.endpoint()
	c.placementRequest.Tried = append(c.placementRequest.Tried, c.endpoint)
	a.sent = true
	if !a.spent.IsZero() {
		c.g.retries.moveTo(c.g.clock.Now(), c.service.Name, a.spent)
	}
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

// takeFailure deals with the end of an attempt. While another one is open, the request goes on.
func (c *call) takeFailure(ctx context.Context, m message) (done bool, err error) {
	a := m.from
	c.close(a, a.ran)
	if m.failure != nil {
		c.failure = m.failure
	}
	c.placementRequest.Tried = append(c.placementRequest.Tried, a.excluded...)
	if err := c.flush(); err != nil {
		return true, err
	}
	if ctx.Err() != nil {
		return false, nil
	}
	if c.tooLateToSend() && len(c.open) > 0 {
		if done, err := c.endUnsent(); done {
			return true, err
		}
	}
	r := verdict.From(m.err)
	if a.immediate && a.placed == nil && schedule.MayClear(r.Reason) && c.takeOverHelpers(ctx, a) {
		return false, nil
	}
	if c.awaitsOpen() {
		c.log().Info("attempt failed beside another one", "failed", a.endpoint(), "reason", string(r.Reason), "detail", r.Detail)
		return false, nil
	}
	// A request that could not be placed has no better chance now.
	if a.placed != nil && c.mayTryAgain(r) {
		c.log().Info("request retried", "reason", string(r.Reason), "verdict", r.Verdict.String(), "detail", r.Detail,
			"content", c.contentField(), "entries", c.g.retrySharing(), "left", c.deadline.Sub(c.g.clock.Now()))
		c.begin(ctx)
		return false, nil
	}
	if len(c.open) > 0 {
		c.log().Info("request waits for a silent endpoint", "waits_for", c.open[0].endpoint(), "failed", a.endpoint(), "reason", string(r.Reason), "detail", r.Detail)
		return false, nil
	}
	return true, c.adjustVerdict(r)
}

// takeOverHelpers begins an attempt in place of the silent ones with helpers if the request of a, which
// found no room, has room only without them: the memory of the helpers is of no use to a dead endpoint.
// An endpoint that may still go on keeps it, and the new attempt is booked before the others end.
func (c *call) takeOverHelpers(ctx context.Context, a *attempt) bool {
	if c.tooLateToSend() {
		return false
	}
	var silent []*attempt
	for _, o := range c.open {
		switch {
		case !o.holdsHelpers():
		case o.timer.silentFor(c.g.clock.Now()) < maxPause:
			return false
		default:
			silent = append(silent, o)
		}
	}
	p := c.g.placeWithout(silent, &a.request)
	if p == nil {
		return false
	}
	for _, o := range silent {
		c.log().Info("attempt replaced", "replaced", o.endpoint(), "kept", p.Primary.Name, "events", c.delivered, "reason", "its helpers are needed")
		o.cancel(errReplaced)
		<-o.done
		c.close(o, o.ran)
	}
	c.beginAt(ctx, p, silent)
	return true
}

// holdsHelpers reports whether a sent attempt has helpers that are booked at this entry.
func (a *attempt) holdsHelpers() bool {
	return a.sent && a.placed.held == nil && len(a.placed.Helpers) > 0
}

// takeSilence deals with an attempt whose endpoint sends nothing. Another one is begun if the retry
// rules allow it; the silent one stays open, because its endpoint may go on.
func (c *call) takeSilence(ctx context.Context, a *attempt) (done bool, err error) {
	if !slices.Contains(c.open, a) || !a.timer.isSilent() {
		return false, nil
	}
	a.timer.askAgain()
	if c.awaitsOpen() {
		return false, nil
	}
	if err := c.flush(); err != nil {
		return true, err
	}
	r := verdict.Uncertain(verdict.ReasonEndpointLost, 0, "endpoint %s sends nothing", a.endpoint())
	replaced := c.mayTryAgain(r)
	if replaced || !a.toldSilent {
		c.logSilence(a, replaced)
	}
	a.toldSilent = true
	if replaced {
		c.begin(ctx)
	}
	return false, nil
}

// logSilence logs that the endpoint of an attempt sends nothing and whether another attempt is begun.
func (c *call) logSilence(a *attempt, replaced bool) {
	c.log().Info("endpoint silent", "silent", a.endpoint(), "for", c.g.clock.Now().Sub(a.sentAt), "events", c.delivered, "open", len(c.open), "another_attempt", replaced,
		"entries", c.g.retrySharing(), "left", c.deadline.Sub(c.g.clock.Now()))
}

// awaitsOpen reports whether an open attempt has not fallen silent.
func (c *call) awaitsOpen() bool {
	return slices.ContainsFunc(c.open, func(a *attempt) bool { return !a.timer.isSilent() })
}

// keepOnly cancels all attempts but one, which has gone on.
func (c *call) keepOnly(kept *attempt) {
	c.endpoint = kept.endpoint()
	for _, a := range slices.Clone(c.open) {
		if a == kept {
			continue
		}
		replaced := "" // the endpoint of an attempt that is being placed is not known yet
		if a.sent {
			replaced = a.endpoint()
		}
		c.log().Info("attempt replaced", "replaced", replaced, "kept", kept.endpoint(), "events", c.delivered)
		a.cancel(errReplaced)
		c.close(a, a.sent)
	}
}

// close removes an attempt that has ended or has been cancelled. The argument ran is set if its
// endpoint may have executed the request.
func (c *call) close(a *attempt, ran bool) {
	c.open = slices.DeleteFunc(c.open, func(o *attempt) bool { return o == a })
	if ran {
		c.runs++
	}
	if !a.sent && !a.spent.IsZero() {
		c.spent = a.spent // for the next attempt
	}
}

// endAttempts cancels all open attempts and gives back a retry that was not sent. It waits for the
// attempts that were sent, which end at once, so that it is known what may have run. It reports
// whether one of them had read all of its answer.
func (c *call) endAttempts(cause error) (complete bool) {
	for _, a := range slices.Clone(c.open) {
		a.cancel(cause)
		if a.sent {
			<-a.done
			complete = complete || a.complete
		}
		c.close(a, a.sent && a.ran)
	}
	if !c.spent.IsZero() {
		c.g.retries.giveBack(c.service.Name, c.spent)
		c.spent = time.Time{}
	}
	return complete
}

// mayTryAgain reports whether the request may be sent to another endpoint after the
// failure r. An open attempt counts as one that runs.
func (c *call) mayTryAgain(r *verdict.Refusal) bool {
	if c.tooLateToSend() {
		return false
	}
	if r.Verdict != verdict.NotRun && (c.route.Kind == AtMostOnce || c.runs+len(c.open) >= max(c.route.MaxEndpoints, 1)) {
		return false
	}
	if r.Reason == verdict.ReasonEndpointMemory {
		// Nothing was sent to the primary endpoint.
		c.failedReserves++
		return c.failedReserves < maxReserveAttempts
	}
	if c.sends >= maxSends || mayNotRepeat[r.Reason] {
		return false
	}
	if r.Verdict == verdict.NotRun && unsent[r.Reason] {
		// The request reached no endpoint, so it spends no retry.
		return true
	}
	now := c.g.clock.Now()
	if c.spent.IsZero() && c.g.retries.trySpend(now, c.service.Name, c.g.retrySharing()) {
		c.spent = now
	}
	return !c.spent.IsZero()
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

// interrupted returns why the request ended before its attempts: its caller has disconnected or its
// deadline has passed.
func (c *call) interrupted(ctx context.Context) error {
	switch {
	case c.r.Context().Err() != nil:
		return errCallerGone
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ctx.Err()
	case c.runs == 0:
		return verdict.Refuse(verdict.ReasonDeadline, defaultRetryAfter, "no endpoint took the request in time")
	}
	return verdict.Uncertain(verdict.ReasonDeadline, 0, "the time is over at endpoint %s", c.endpoint)
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
