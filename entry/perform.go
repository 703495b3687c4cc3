package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// maxAttempts bounds the attempts of one request. Most of them cost an endpoint no more
	// than a refusal, and there is a backoff after each round over all endpoints.
	maxAttempts = 100
	// maxUncertainAttempts bounds the attempts that an endpoint may have run.
	maxUncertainAttempts = 3
)

// perform performs a call. It returns nil once the complete answer has been written to the
// caller, else a refusal.
func (e *Entry) perform(ctx context.Context, c *call, a *answer) error {
	if e.stopping.Load() {
		return verdict.Refuse(verdict.ReasonStopping, time.Second, "the entry is stopping")
	}
	if c.atMostOnce {
		return e.performAtMostOnce(ctx, c, a)
	}
	for {
		tried, err := e.attemptNext(ctx, c, a)
		switch {
		case tried && err == nil:
			return nil
		case !tried && err != nil:
			return c.finalRefusal(err)
		case tried && !e.shouldRetry(ctx, c, a, err):
			return c.finalRefusal(err)
		}
		a.reset()
	}
}

// attemptNext waits for an endpoint and attempts the call there. tried reports whether an
// attempt was made. If it is false and err is nil, control has not granted a permit for a
// suspect request yet, and attemptNext has to be called again.
func (e *Entry) attemptNext(ctx context.Context, c *call, a *answer) (tried bool, err error) {
	status, err := e.checkQuarantine(c)
	if err != nil {
		return false, err
	}
	t, err := e.dispatcher.acquire(ctx, c)
	if err != nil {
		return false, err
	}
	c.alone = false
	if status == quarantine.Suspect {
		tried, err = e.attemptWithPermit(ctx, c, t, a)
	} else {
		tried, err = true, e.runAttempt(ctx, c, t, a)
	}
	if tried && c.granted && isEndpointLost(err) && c.route.Kind == config.ModelRoute {
		e.reportLoss(c, t)
	}
	return tried, err
}

// finalRefusal returns the refusal for err with the verdict on all attempts of the call. If an
// earlier attempt may have run, the verdict is MayHaveRun even if the last attempt has not run.
func (c *call) finalRefusal(err error) error {
	r := verdict.From(err)
	if c.uncertainAttempts == 0 || r.Verdict != verdict.NotRun {
		return r
	}
	return verdict.Uncertain(r.Reason, r.RetryAfter, "an earlier attempt may have run: %s", r.Detail)
}

// shouldRetry reports whether another attempt is useful and allowed after err. It allows a
// retry of a call that may have run, because performAtMostOnce performs the calls that must not
// run twice.
func (e *Entry) shouldRetry(ctx context.Context, c *call, a *answer, err error) bool {
	r := verdict.From(err)
	if r.Verdict != verdict.NotRun {
		c.uncertainAttempts++
	}
	if a.committed || ctx.Err() != nil || errors.Is(err, errCallerGone) || !retryable(r.Reason) {
		return false
	}
	if !c.retryGranted {
		if !c.attemptsLeft(c.uncertainAttempts) || r.Verdict != verdict.NotRun && !e.dispatcher.spendRetry() {
			return false
		}
	}
	c.recordFailure(r)
	e.metrics.retried(r)
	return true
}

// attemptsLeft reports whether the bounds on the attempts of one request allow another one, if
// uncertain of those before may have run.
func (c *call) attemptsLeft(uncertain int) bool {
	return c.attempts < maxAttempts && uncertain < maxUncertainAttempts
}

// grantRetry reports whether the present attempt of the call may be given up although it may run,
// and takes the retry from the budget. A probe is not retried.
func (e *Entry) grantRetry(c *call) bool {
	c.retryGranted = !c.probe && c.attemptsLeft(c.uncertainAttempts+1) && e.dispatcher.spendRetry()
	return c.probe || c.retryGranted
}

// recordFailure excludes the endpoint of the latest attempt from the next one. An endpoint that
// only had too much work waiting is not excluded, because its refusal contained a new load
// report, from which the next choice is made.
func (c *call) recordFailure(r *verdict.Refusal) {
	if r.Reason == verdict.ReasonOverloaded {
		c.routing.BacklogRefusals++
		return
	}
	c.routing.Tried = append(c.routing.Tried, c.endpoint)
}

// retryable reports whether an attempt at another endpoint may succeed after a refusal for the
// reason.
func retryable(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonUnreachable, verdict.ReasonEndpointLost, verdict.ReasonEndpointMemory,
		verdict.ReasonEndpointCold, verdict.ReasonEndpointLeaving, verdict.ReasonEndpointBusy, verdict.ReasonEndpointRestarted,
		verdict.ReasonZoneOut, verdict.ReasonStaleConfiguration, verdict.ReasonNoEndpoint, verdict.ReasonOverloaded,
		verdict.ReasonStreamBroken, verdict.ReasonStopping, verdict.ReasonEngineError:
		return true
	}
	return false
}

// newDispatch returns the message that asks a sidecar to run the next attempt of the call. It
// increments c.attempts.
func (e *Entry) newDispatch(c *call, t *ticket, now time.Time) *wire.Dispatch {
	return &wire.Dispatch{
		Attempt:      c.nextAttempt(),
		Account:      c.account.Name,
		Route:        c.route.Name,
		Endpoint:     t.endpoint.Name,
		Method:       c.method,
		Path:         c.path,
		Header:       c.header,
		PromptTokens: c.routing.PromptTokens,
		OutputTokens: c.routing.OutputTokens,
		Deadline:     c.deadline.Sub(now),
		Digest:       c.digest,
		Permission:   e.control.PermissionFor(t.endpoint.Name),
		BodyBytes:    int64(len(c.body)),
		Incarnation:  t.endpoint.Incarnation,
		MaxPending:   t.choice.MaxPending,
		Alone:        c.alone,
	}
}
