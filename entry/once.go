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
	// settleTimeout bounds the wait for control to keep a result.
	settleTimeout = 2 * time.Second
	// inProgressRetryAfter is when the answer of a call in progress may be there.
	inProgressRetryAfter = time.Second
)

// performAtMostOnce brings a call that runs at most once to its end. The endpoint has to
// be reachable before the claim is taken, so that a dead endpoint holds no claim.
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

// answerFromRecord brings a call that cannot be dispatched now to its end: an earlier
// sending of it may have run, and then its caller is owed that answer. A claim for
// no endpoint is never given out; it only finds what is recorded.
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
		e.log.Info("kept result returned", c.logFields("fence", claimed.Fence)...)
		return a.replay(claimed.Result)
	case claimed.Standing != nil:
		return e.resumeClaim(ctx, c, a, claimed.Standing)
	case claimed.Refused != nil:
		return claimed.Refused.Refusal()
	}
	e.log.Info("call claimed", c.logFields("fence", claimed.Fence, "endpoint", t.endpoint.Name, "incarnation", t.endpoint.Incarnation)...)
	return x.executeClaim(ctx, claimed.Fence)
}

// resumeClaim dispatches a call under the claim that another entry took and did not
// settle. The sidecar lets the claim's number pass once, whoever brings it.
func (e *Entry) resumeClaim(ctx context.Context, c *call, a *answer, s *command.Standing) error {
	endpoint, ok := e.dispatcher.endpoint(s.Endpoint)
	if !ok || endpoint.Incarnation != s.Incarnation {
		return verdict.Uncertain(verdict.ReasonInProgress, inProgressRetryAfter, "the call was given to %s, which has gone", s.Endpoint)
	}
	x := e.newExchange(c, &ticket{endpoint: endpoint}, a)
	defer x.close()
	if err := x.openStream(ctx); err != nil {
		return verdict.Uncertain(verdict.ReasonInProgress, inProgressRetryAfter, "the call was given to %s, which is not reachable", s.Endpoint)
	}
	e.log.Info("claim taken up", c.logFields("fence", s.Fence, "endpoint", s.Endpoint)...)
	return x.executeClaim(ctx, s.Fence)
}

// executeClaim dispatches the call under its claim and has control keep how it ended.
func (x *exchange) executeClaim(ctx context.Context, fence uint64) error {
	settle := command.Settle{Account: x.call.account.Name, Key: x.call.idempotencyKey, Fence: fence}
	x.answer.onComplete = func(r *command.Result) {
		settle.Verdict, settle.Result = verdict.Ran, r
		x.entry.settle(x.call, settle)
	}
	err := x.execute(ctx, &wire.Claim{Key: x.call.idempotencyKey, Fence: fence})
	if settle.Verdict == verdict.Ran {
		return err
	}
	// A sidecar says NotRun of a claimed call only once it has sealed the claim.
	if r := verdict.From(err); r.Verdict == verdict.NotRun {
		settle.Verdict = verdict.NotRun
		x.entry.settle(x.call, settle)
	}
	return err
}

// settle has control keep how a claimed call ended. The caller may have gone by
// then, so it has a time of its own. Without it the claim stands, and a resend
// learns from the sidecar that it may have run.
func (e *Entry) settle(c *call, s command.Settle) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := e.control.Do(ctx, command.NameSettle, session.NewID(), s, nil); err != nil {
		e.log.Warn("result not kept", c.logFields("fence", s.Fence, "error", err)...)
	}
}
