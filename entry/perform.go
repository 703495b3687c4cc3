package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// maxAttempts bounds the tries of one request.
const maxAttempts = 4

// perform brings a call to its end: a whole answer, or a refusal.
func (e *Entry) perform(ctx context.Context, c *call, a *answer) error {
	if e.stopping.Load() {
		return verdict.Refuse(verdict.ReasonStopping, time.Second, "the entry is stopping")
	}
	if c.once {
		return e.performOnce(ctx, c, a)
	}
	for {
		t, err := e.fleet.acquire(ctx, c)
		if err != nil {
			return e.combine(c, err)
		}
		err = e.attempt(ctx, c, t, a, nil)
		if err == nil {
			return nil
		}
		if !e.retries(ctx, c, a, err) {
			return err
		}
		a.reset()
	}
}

// combine keeps the verdict honest when a retry found no endpoint: an earlier
// attempt of the same request may have run.
func (e *Entry) combine(c *call, err error) error {
	r := verdict.From(err)
	if !c.mayHaveRun || r.Verdict != verdict.NotRun {
		return r
	}
	return verdict.Uncertain(r.Reason, r.RetryAfter, "an earlier attempt may have run: %s", r.Detail)
}

// retries says whether another attempt makes sense and is allowed. A call that
// may have run is tried again only because it is idempotent.
func (e *Entry) retries(ctx context.Context, c *call, a *answer, err error) bool {
	r := verdict.From(err)
	if r.Verdict != verdict.NotRun {
		c.mayHaveRun = true
	}
	if a.committed || ctx.Err() != nil || c.attempts >= maxAttempts || errors.Is(err, errCaller) {
		return false
	}
	if !retryable(r.Reason) {
		return false
	}
	c.want.Tried = append(c.want.Tried, c.endpoint)
	e.metrics.retried(r)
	return true
}

// retryable lists what another endpoint may do better.
func retryable(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonUnreachable, verdict.ReasonEndpointLost, verdict.ReasonEndpointMemory,
		verdict.ReasonEndpointCold, verdict.ReasonEndpointLeaving, verdict.ReasonIncarnation,
		verdict.ReasonZoneOut, verdict.ReasonStale, verdict.ReasonNoEndpoint,
		verdict.ReasonStreamBroken, verdict.ReasonStopping, verdict.ReasonEngineError:
		return true
	}
	return false
}

// dispatchOf describes an attempt to the sidecar.
func (e *Entry) dispatchOf(c *call, t *ticket, now time.Time) *wire.Dispatch {
	return &wire.Dispatch{
		Attempt:      c.attempt(),
		Account:      c.account.Name,
		Route:        c.route.Name,
		Endpoint:     t.endpoint.Name,
		Method:       c.method,
		Path:         c.path,
		Header:       c.header,
		PromptTokens: c.want.PromptTokens,
		OutputTokens: c.want.OutputTokens,
		Deadline:     c.deadline.Sub(now),
		Priority:     int(c.want.Class),
		Digest:       c.digest,
		Permission:   e.control.Permission(now),
		BodyBytes:    int64(len(c.body)),
		Incarnation:  t.endpoint.Incarnation,
	}
}
