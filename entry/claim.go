package entry

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// settleTimeout bounds the time for control to record how a claimed call ended.
	settleTimeout = 2 * time.Second
	// inProgressRetryAfter is the retry delay for a call that was dispatched under an earlier
	// claim and may still be running.
	inProgressRetryAfter = time.Second
)

// performAtMostOnce performs a call that runs at most once. It connects to the endpoint
// before it asks control for a claim, so that no claim is open for an unreachable endpoint.
func (e *Entry) performAtMostOnce(ctx context.Context, c *call, a *answer) error {
	for {
		t, err := e.dispatcher.acquire(ctx, c)
		if err != nil {
			return e.answerFromRecord(ctx, c, a, err)
		}
		err = e.attemptWithClaim(ctx, c, t, a)
		r := verdict.From(err)
		if r == nil || r.Verdict != verdict.NotRun {
			return err
		}
		if !retryable(r.Reason) || c.attempts >= maxAttempts || ctx.Err() != nil {
			return e.answerFromRecord(ctx, c, a, err)
		}
		c.recordFailure(r)
		a.reset()
	}
}

// answerFromRecord ends a call that cannot be dispatched now. If control has recorded the result
// or refusal of an earlier request with the same key, the caller gets that, because the earlier
// request may have run. Otherwise answerFromRecord returns refused. The claim that it sends
// names no endpoint, so control only looks up the record and never grants the claim.
func (e *Entry) answerFromRecord(ctx context.Context, c *call, a *answer, refused error) error {
	claimed, err := e.control.Claim(ctx, session.NewID(), command.Claim{
		Account: c.account.Name, Key: c.idempotencyKey, Digest: c.digest,
	})
	switch {
	case err != nil:
		return refused
	case claimed.Result != nil:
		return a.replay(claimed.Result)
	case claimed.Refused != nil && claimed.Refused.Reason != verdict.ReasonEndpointRestarted:
		return claimed.Refused.Refusal()
	}
	return refused
}

// attemptWithClaim claims the call for the ticket's endpoint and dispatches it there.
func (e *Entry) attemptWithClaim(ctx context.Context, c *call, t *ticket, a *answer) error {
	x := e.newExchange(c, t, a)
	defer x.close()
	if err := x.openStream(ctx); err != nil {
		c.attempts++
		return err
	}
	claimed, err := e.control.Claim(ctx, session.NewID(), command.Claim{
		Account:     c.account.Name,
		Key:         c.idempotencyKey,
		Digest:      c.digest,
		Endpoint:    t.endpoint.Name,
		Incarnation: t.endpoint.Incarnation,
	})
	switch {
	case err != nil:
		return err
	case claimed.Result != nil:
		e.log.Info("stored result returned", c.logFields("fence", claimed.Fence)...)
		return a.replay(claimed.Result)
	case claimed.PendingClaim != nil:
		return e.resumeClaim(ctx, c, a, claimed.PendingClaim)
	case claimed.Refused != nil:
		return claimed.Refused.Refusal()
	}
	e.log.Info("call claimed", c.logFields("fence", claimed.Fence, "endpoint", t.endpoint.Name, "incarnation", t.endpoint.Incarnation)...)
	return x.executeClaim(ctx, claimed.Fence)
}

// resumeClaim dispatches a call under a claim that was granted earlier and not settled, for
// example because the entry that made the claim has stopped. The sidecar accepts each fencing
// number only once, no matter which entry sends it.
func (e *Entry) resumeClaim(ctx context.Context, c *call, a *answer, pending *command.PendingClaim) error {
	endpoint, ok := e.dispatcher.findEndpoint(pending.Endpoint)
	if !ok || endpoint.Incarnation != pending.Incarnation {
		return verdict.Uncertain(verdict.ReasonInProgress, inProgressRetryAfter, "the call was given to %s, which has gone", pending.Endpoint)
	}
	x := e.newExchange(c, &ticket{endpoint: endpoint}, a)
	defer x.close()
	if err := x.openStream(ctx); err != nil {
		return verdict.Uncertain(verdict.ReasonInProgress, inProgressRetryAfter, "the call was given to %s, which is not reachable", pending.Endpoint)
	}
	e.log.Info("claim resumed", c.logFields("fence", pending.Fence, "endpoint", pending.Endpoint)...)
	return x.executeClaim(ctx, pending.Fence)
}

// executeClaim dispatches the call under its claim and has control record how the call ended.
func (x *exchange) executeClaim(ctx context.Context, fence uint64) error {
	settle := command.Settle{Account: x.c.account.Name, Key: x.c.idempotencyKey, Fence: fence}
	x.a.onComplete = func(r *command.Result) {
		settle.Verdict, settle.Result = verdict.Ran, r
		x.e.settle(x.c, settle)
	}
	err := x.execute(ctx, &wire.Claim{Key: x.c.idempotencyKey, Fence: fence})
	if settle.Verdict == verdict.Ran {
		return err
	}
	// A sidecar answers NotRun to a claimed call only after it has sealed the claim: it will
	// not admit a copy of the dispatch that arrives later.
	if r := verdict.From(err); r.Verdict == verdict.NotRun {
		settle.Verdict = verdict.NotRun
		x.e.settle(x.c, settle)
	}
	return err
}

// settle has control record how a claimed call ended. The caller may have disconnected by
// then, so settle does not use the request's context. If settle fails, the claim stays open,
// and a request with the same key learns from the sidecar that the call may have run.
func (e *Entry) settle(c *call, s command.Settle) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := e.control.Do(ctx, command.NameSettle, session.NewID(), s, nil); err != nil {
		e.log.Warn("outcome of claimed call not recorded", c.logFields("fence", s.Fence, "error", err)...)
	}
}
