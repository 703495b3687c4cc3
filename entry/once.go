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
	// retryWhileRunning is when the answer of a call in progress may be there.
	retryWhileRunning = time.Second
)

// performOnce brings a call that runs at most once to its end. The endpoint has to
// be reachable before the claim is taken, so that a dead endpoint holds no claim.
func (e *Entry) performOnce(ctx context.Context, c *call, a *answer) error {
	for {
		t, err := e.fleet.acquire(ctx, c)
		if err != nil {
			return e.lookUp(ctx, c, a, err)
		}
		err = e.attemptOnce(ctx, c, t, a)
		r := verdict.From(err)
		if r == nil || r.Verdict != verdict.NotRun {
			return err
		}
		if !retryable(r.Reason) || c.attempts >= maxAttempts || ctx.Err() != nil {
			return e.lookUp(ctx, c, a, err)
		}
		c.tried(r)
		a.reset()
	}
}

// lookUp brings a call that cannot be dispatched now to its end: an earlier
// sending of it may have run, and then its caller is owed that answer. A claim for
// no endpoint is never given out; it only finds what is recorded.
func (e *Entry) lookUp(ctx context.Context, c *call, a *answer, refused error) error {
	claimed, err := e.control.Claim(ctx, session.NewID(), command.Claim{
		Account: c.account.Name, Key: c.key, Digest: c.digest,
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

// attemptOnce claims the call for the ticket's endpoint and dispatches it there.
func (e *Entry) attemptOnce(ctx context.Context, c *call, t *ticket, a *answer) error {
	x := e.newExchange(c, t, a)
	defer x.finish()
	if err := x.open(ctx); err != nil {
		c.attempts++
		return err
	}
	claimed, err := e.control.Claim(ctx, session.NewID(), command.Claim{
		Account:     c.account.Name,
		Key:         c.key,
		Digest:      c.digest,
		Endpoint:    t.endpoint.Name,
		Incarnation: t.endpoint.Incarnation,
	})
	switch {
	case err != nil:
		return err
	case claimed.Result != nil:
		e.log.Info("kept result returned", c.fields("fence", claimed.Fence)...)
		return a.replay(claimed.Result)
	case claimed.Pending != nil:
		return e.takeUp(ctx, c, a, claimed.Pending)
	case claimed.Refused != nil:
		return claimed.Refused.Refusal()
	}
	e.log.Info("call claimed", c.fields("fence", claimed.Fence, "endpoint", t.endpoint.Name, "incarnation", t.endpoint.Incarnation)...)
	return x.carryClaim(ctx, claimed.Fence)
}

// takeUp dispatches a call under the claim that another entry took and did not
// settle. The sidecar lets the claim's number pass once, whoever brings it.
func (e *Entry) takeUp(ctx context.Context, c *call, a *answer, s *command.PendingClaim) error {
	endpoint, ok := e.fleet.find(s.Endpoint)
	if !ok || endpoint.Incarnation != s.Incarnation {
		return verdict.Uncertain(verdict.ReasonInProgress, retryWhileRunning, "the call was given to %s, which has gone", s.Endpoint)
	}
	x := e.newExchange(c, &ticket{endpoint: endpoint}, a)
	defer x.finish()
	if err := x.open(ctx); err != nil {
		return verdict.Uncertain(verdict.ReasonInProgress, retryWhileRunning, "the call was given to %s, which is not reachable", s.Endpoint)
	}
	e.log.Info("claim taken up", c.fields("fence", s.Fence, "endpoint", s.Endpoint)...)
	return x.carryClaim(ctx, s.Fence)
}

// carryClaim dispatches the call under its claim and has control keep how it ended.
func (x *exchange) carryClaim(ctx context.Context, fence uint64) error {
	settle := command.Settle{Account: x.c.account.Name, Key: x.c.key, Fence: fence}
	x.a.whole = func(r *command.Result) {
		settle.Verdict, settle.Result = verdict.Ran, r
		x.e.settle(x.c, settle)
	}
	err := x.carry(ctx, &wire.Claim{Key: x.c.key, Fence: fence})
	if settle.Verdict == verdict.Ran {
		return err
	}
	// A sidecar says NotRun of a claimed call only once it has sealed the claim.
	if r := verdict.From(err); r.Verdict == verdict.NotRun {
		settle.Verdict = verdict.NotRun
		x.e.settle(x.c, settle)
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
		e.log.Warn("result not kept", c.fields("fence", s.Fence, "error", err)...)
	}
}
