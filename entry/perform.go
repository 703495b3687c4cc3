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
	// maxAttempts bounds the tries of one request, most of which cost an endpoint
	// nothing but a refusal. Between rounds over all endpoints there are pauses.
	maxAttempts = 100
	// maxRuns bounds the tries that an endpoint may have worked on.
	maxRuns = 3
)

// perform brings a call to its end: a whole answer, or a refusal.
func (e *Entry) perform(ctx context.Context, c *call, a *answer) error {
	if e.stopping.Load() {
		return verdict.Refuse(verdict.ReasonStopping, time.Second, "the entry is stopping")
	}
	if c.once {
		return e.performOnce(ctx, c, a)
	}
	for {
		tried, err := e.attemptNext(ctx, c, a)
		switch {
		case tried && err == nil:
			return nil
		case !tried && err != nil:
			return c.combine(err)
		case tried && !e.retries(ctx, c, a, err):
			return c.combine(err)
		}
		a.reset()
	}
}

// attemptNext tries the call at the next endpoint. It reports whether the call got
// so far; without that and without an error there was no permit yet.
func (e *Entry) attemptNext(ctx context.Context, c *call, a *answer) (tried bool, err error) {
	status, err := e.checkQuarantine(c)
	if err != nil {
		return false, err
	}
	t, err := e.fleet.acquire(ctx, c)
	if err != nil {
		return false, err
	}
	c.alone = false
	if status == quarantine.Suspect {
		tried, err = e.attemptApart(ctx, c, t, a)
	} else {
		tried, err = true, e.attempt(ctx, c, t, a)
	}
	if tried && lostEndpoint(err) && c.route.Kind == config.ModelRoute {
		e.reportLoss(c, t)
	}
	return tried, err
}

// combine keeps the verdict honest after a retry: an earlier attempt of the same
// request may have run.
func (c *call) combine(err error) error {
	r := verdict.From(err)
	if c.runs == 0 || r.Verdict != verdict.NotRun {
		return r
	}
	return verdict.Uncertain(r.Reason, r.RetryAfter, "an earlier attempt may have run: %s", r.Detail)
}

// retries says whether another attempt makes sense and is allowed. A call that
// may have run is tried again only because it is idempotent.
func (e *Entry) retries(ctx context.Context, c *call, a *answer, err error) bool {
	r := verdict.From(err)
	if r.Verdict != verdict.NotRun {
		c.runs++
	}
	if a.committed || ctx.Err() != nil || errors.Is(err, errCaller) || !retryable(r.Reason) {
		return false
	}
	if c.attempts >= maxAttempts || c.runs >= maxRuns {
		return false
	}
	if r.Verdict != verdict.NotRun && !e.fleet.mayRetry() {
		return false
	}
	c.tried(r)
	e.metrics.retried(r)
	return true
}

// tried notes where the latest attempt failed. An endpoint that only had too much
// waiting may be chosen again, by a fresher view.
func (c *call) tried(r *verdict.Refusal) {
	if r.Reason == verdict.ReasonOverloaded {
		c.want.BacklogRefusals++
		return
	}
	c.want.Tried = append(c.want.Tried, c.endpoint)
}

// retryable lists what another endpoint may do better.
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
		Digest:       c.digest,
		Permission:   e.control.PermissionFor(t.endpoint.Name),
		BodyBytes:    int64(len(c.body)),
		Incarnation:  t.endpoint.Incarnation,
		MaxPending:   t.choice.MaxPending,
		Alone:        c.alone,
	}
}
