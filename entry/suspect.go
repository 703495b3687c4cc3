package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// judgeTimeout bounds the wait for control's word on a request that was in
	// flight when an endpoint fell.
	judgeTimeout = time.Second
	// aloneEvery is how often an endpoint is asked whether it is idle by now.
	aloneEvery = 100 * time.Millisecond
	// permitRetry is the longest wait before a permit is asked for again.
	permitRetry = time.Second
)

// suspects is what the entry knows of requests that may crash endpoints. Its lock
// is "entry.suspects".
type suspects struct {
	mu    sync.Mutex
	local *quarantine.LocalView
}

func newSuspects() *suspects { return &suspects{local: quarantine.NewLocalView()} }

// update takes over control's lists.
func (s *suspects) update(u *wire.Update) {
	if !u.Judged {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.Update(u.Suspects, u.Quarantine)
}

func (s *suspects) status(now time.Time, digest uint64) quarantine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.local.Status(now, digest)
}

func (s *suspects) lost(now time.Time, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.RecordLoss(now, digest)
}

func (s *suspects) judged(now time.Time, digest uint64, status uint8) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.SetStatus(now, digest, quarantine.Status(status))
}

// permit is the right to run a suspect request once; a clear one needs none.
type permit struct {
	holder string
	alone  bool
}

// checkQuarantine refuses a request that is known to crash endpoints. This sending
// has not run, but its content has: to the caller that sends it again the answer
// must not say that the request has not run.
func (e *Entry) checkQuarantine(c *call) (quarantine.Status, error) {
	status := e.suspects.status(e.clock.Now(), c.digest)
	if status == quarantine.Convicted {
		return status, verdict.Uncertain(verdict.ReasonQuarantined, 0, "this request brought endpoints down and is not run any more")
	}
	return status, nil
}

// takePermit asks control for the right to run a suspect request at the ticket's
// endpoint. A nil permit without an error means that the call has to ask again.
func (e *Entry) takePermit(ctx context.Context, c *call, t *ticket) (*permit, error) {
	p := &permit{holder: requestID(c) + "-" + strconv.Itoa(int(c.attempts)+1)}
	var answer command.Permitted
	err := e.ask(ctx, command.NamePermit, command.Permit{
		Digest: c.digest, Holder: p.holder, Endpoint: t.endpoint.Name, Incarnation: t.endpoint.Incarnation,
		MaxRunTime: c.deadline.Sub(e.clock.Now()),
	}, &answer)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonNoQuorum, retryAfterLoss, "the request was in flight when an endpoint fell, and control gives no permit: %v", err)
	}
	e.suspects.judged(e.clock.Now(), c.digest, answer.Status)
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
	case <-e.clock.After(min(answer.RetryAfter, permitRetry)):
	}
	return nil, nil
}

func (e *Entry) ask(ctx context.Context, name string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, judgeTimeout)
	defer cancel()
	return e.control.Do(ctx, name, session.NewID(), body, out)
}

// attemptApart runs a suspect request under a permit. It reports whether the call
// was tried at all.
func (e *Entry) attemptApart(ctx context.Context, c *call, t *ticket, a *answer) (bool, error) {
	p, err := e.takePermit(ctx, c, t)
	if p == nil {
		e.fleet.finished(t, nil)
		return false, err
	}
	c.alone = p.alone
	e.log.Info("suspect request runs apart", c.fields("endpoint", t.endpoint.Name, "alone", p.alone)...)
	err = e.attempt(ctx, c, t, a)
	for c.alone && verdict.IsReason(err, verdict.ReasonEndpointBusy) && e.pause(ctx, aloneEvery) {
		err = e.attempt(ctx, c, e.fleet.again(c, t), a)
	}
	// A run whose end is not certain may still bring the endpoint down; its permit
	// lapses by itself.
	if err == nil || verdict.From(err).Verdict == verdict.NotRun {
		whole := err == nil
		e.later(func() { e.returnPermit(c, p, whole) })
	}
	return true, err
}

// pause waits and reports whether there is time left.
func (e *Entry) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.clock.After(d):
		return true
	}
}

// returnPermit tells control that the run brought nothing down.
func (e *Entry) returnPermit(c *call, p *permit, whole bool) {
	err := e.ask(context.Background(), command.NameEnded, command.Ended{Digest: c.digest, Holder: p.holder, Completed: whole}, nil)
	if err != nil {
		e.log.Warn("permit not returned", c.fields("error", err)...)
		return
	}
	if whole {
		e.suspects.judged(e.clock.Now(), c.digest, uint8(quarantine.Clear))
	}
}

// lostEndpoint reports whether an attempt ended because its endpoint fell.
func lostEndpoint(err error) bool {
	return verdict.IsReason(err, verdict.ReasonEndpointLost)
}

// reportLoss tells control that an endpoint fell with the call in flight. From
// then on the call runs apart, whether or not control hears of it now.
func (e *Entry) reportLoss(c *call, t *ticket) {
	e.suspects.lost(e.clock.Now(), c.digest)
	var answer command.SuspectStatuses
	err := e.ask(context.Background(), command.NameSuspect, command.Suspect{
		Endpoint: t.endpoint.Name, Incarnation: t.endpoint.Incarnation, Digests: []uint64{c.digest}, Alone: c.alone,
	}, &answer)
	if err != nil || len(answer.Statuses) != 1 {
		e.log.Warn("loss not reported", c.fields("endpoint", t.endpoint.Name, "error", err)...)
		return
	}
	e.suspects.judged(e.clock.Now(), c.digest, answer.Statuses[0])
	e.log.Warn("endpoint lost", c.fields("endpoint", t.endpoint.Name, "incarnation", t.endpoint.Incarnation,
		"alone", c.alone, "status", quarantine.Status(answer.Statuses[0]).String())...)
}
