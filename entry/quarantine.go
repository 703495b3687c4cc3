package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// idlePollInterval is the delay before another attempt of a request that has to run alone
	// at an endpoint that is still running other requests.
	idlePollInterval = 100 * time.Millisecond
	// permitRetryInterval is the delay before a permit is requested again from a control that gave no
	// answer.
	permitRetryInterval = 300 * time.Millisecond
	// maxControlSilence is the time after which a control that gives no answer counts as being
	// without a quorum: a leader that is lost has a successor by then.
	maxControlSilence = 3 * time.Second
	// maxPermitWait is the longest wait before a request to control for a permit is retried.
	maxPermitWait = time.Second
)

// permit is the right to run a suspect request once. Requests that are not suspect need none.
type permit struct {
	// holder identifies the attempt to control.
	holder string
	// alone is set if the request must run with no other on its endpoint.
	alone bool
}

// checkQuarantine refuses a request that is known to crash endpoints. The verdict is MayHaveRun
// although this request was not dispatched: a request with the same content has run, and
// this one may be a retry of it. With the verdict NotRun, the caller would conclude that the
// first one has not run either.
func (e *Entry) checkQuarantine(c *call) (quarantine.Status, error) {
	status := e.suspects.Status(c.digest)
	if status == quarantine.Convicted {
		return status, verdict.Uncertain(verdict.ReasonQuarantined, 0, "this request brought endpoints down and is not run any more")
	}
	return status, nil
}

// takePermit asks control for the right to run a suspect request at the ticket's endpoint. If
// control does not grant it yet, or does not answer, takePermit waits for up to maxPermitWait and
// returns nil and no error. Before the next attempt, the quarantine is checked again.
func (e *Entry) takePermit(ctx context.Context, c *call, t *ticket) (*permit, error) {
	p := &permit{holder: requestID(c) + "-" + strconv.Itoa(int(c.attempts)+1)}
	answer, err := e.suspects.RequestPermit(ctx, command.Permit{
		Digest: c.digest, Holder: p.holder, Endpoint: t.endpoint.Name, Incarnation: t.endpoint.Incarnation,
		MaxRunTime: c.deadline.Sub(e.clock.Now()),
	})
	if err != nil {
		return nil, e.awaitControl(ctx, c, err)
	}
	c.controlSilentSince = time.Time{}
	if answer.Granted {
		p.alone = answer.Alone
		return p, nil
	}
	if quarantine.Status(answer.Status) == quarantine.Convicted {
		return nil, nil
	}
	if answer.RetryAfter > c.deadline.Sub(e.clock.Now()) {
		return nil, verdict.Uncertain(verdict.ReasonQuarantined, answer.RetryAfter, "this request was in flight whenever endpoints fell and waits for more to be known")
	}
	select {
	case <-ctx.Done():
	case <-e.clock.After(min(answer.RetryAfter, maxPermitWait)):
	}
	return nil, nil
}

// awaitControl waits before control, which has not answered, is asked for a permit again. It returns a
// refusal once control has been silent for maxControlSilence.
func (e *Entry) awaitControl(ctx context.Context, c *call, err error) error {
	now := e.clock.Now()
	if c.controlSilentSince.IsZero() {
		c.controlSilentSince = now
	}
	if now.Sub(c.controlSilentSince) >= maxControlSilence {
		return verdict.Refuse(verdict.ReasonNoQuorum, lossRetryAfter, "the request was in flight when an endpoint fell, and control gives no permit: %v", err)
	}
	e.log.Warn("permit not received", c.logFields("left", c.deadline.Sub(now), "error", err)...)
	e.sleep(ctx, permitRetryInterval)
	return nil
}

// attemptWithPermit attempts a suspect request under a permit, or releases the ticket if it
// gets none. It reports whether an attempt was made.
func (e *Entry) attemptWithPermit(ctx context.Context, c *call, t *ticket, a *answer) (bool, error) {
	p, err := e.takePermit(ctx, c, t)
	if p == nil {
		e.dispatcher.releaseTicket(t, nil)
		return false, err
	}
	c.alone = p.alone
	e.log.Info("suspect request runs under permit", c.logFields("endpoint", t.endpoint.Name, "alone", p.alone)...)
	err = e.runAttempt(ctx, c, t, a)
	for c.alone && verdict.IsReason(err, verdict.ReasonEndpointBusy) && e.sleep(ctx, idlePollInterval) {
		err = e.runAttempt(ctx, c, e.dispatcher.reissueTicket(c, t), a)
	}
	// If the outcome is uncertain, the request may still crash the endpoint. Its permit is
	// then not returned and expires.
	if err == nil || verdict.From(err).Verdict == verdict.NotRun {
		complete := err == nil
		e.runInBackground(func() { e.returnPermit(c, p, complete) })
	}
	return true, err
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func (e *Entry) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.clock.After(d):
		return true
	}
}

// returnPermit informs control that the attempt ended without a lost endpoint. complete is set
// if the caller got a complete answer, which clears the request of suspicion.
func (e *Entry) returnPermit(c *call, p *permit, complete bool) {
	err := e.suspects.End(context.Background(), command.Ended{Digest: c.digest, Holder: p.holder, Completed: complete})
	if err != nil {
		e.log.Warn("permit not returned", c.logFields("error", err)...)
	}
}

// isEndpointLost reports whether an attempt failed because its endpoint was lost.
func isEndpointLost(err error) bool {
	return verdict.IsReason(err, verdict.ReasonEndpointLost)
}

// reportLoss informs control that an endpoint was lost with the call in flight. From then on the
// call needs a permit to run, even if the report does not reach control.
func (e *Entry) reportLoss(c *call, t *ticket) {
	e.suspects.RecordLoss(c.digest)
	statuses, err := e.suspects.Report(context.Background(), command.Suspect{
		Endpoint: t.endpoint.Name, Incarnation: t.endpoint.Incarnation, Digests: []uint64{c.digest}, Alone: c.alone,
	})
	status, ok := statuses[c.digest]
	if err != nil || !ok {
		e.log.Warn("endpoint loss not reported", c.logFields("endpoint", t.endpoint.Name, "error", err)...)
		return
	}
	e.log.Warn("endpoint lost", c.logFields("endpoint", t.endpoint.Name, "incarnation", t.endpoint.Incarnation,
		"alone", c.alone, "status", status.String())...)
}
