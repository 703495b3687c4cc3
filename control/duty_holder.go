package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/autoscale"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/duty"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/usage"
)

const (
	// dutyTick is the time between two ticks of the core. It bounds how late a window is closed and
	// how late a lost grant is noticed; each call checks its grant itself.
	dutyTick = 200 * time.Millisecond
	// dutyCommandTimeout bounds a command about windows.
	dutyCommandTimeout = 2 * time.Second
	// acquiresPerLease bounds an AcquireDuty, as a fraction of the lease, so that one without an answer is
	// repeated before the grant expires.
	acquiresPerLease = 3
)

// ErrDutyNotSent is the error of a call that was not written because DutyCall.MayWrite returned false.
var ErrDutyNotSent = errors.New("the lease has too little left for a call")

// DutyReplica is the part of a replica of control that the holder of duties uses.
type DutyReplica interface {
	// Leader reports whether this replica leads the group.
	Leader() bool
	// AcquireDuty acquires or renews the right to a duty for this process.
	AcquireDuty(ctx context.Context, duty string, ttl time.Duration) (command.DutyGrant, error)
	// CloseWindow fixes the counts of a window and returns them.
	CloseWindow(ctx context.Context, number, window uint64) (command.ClosedWindow, error)
	// ReportWindow marks a window as reported.
	ReportWindow(ctx context.Context, number, window uint64) error
	// Usage returns the state of the windows after a barrier.
	Usage(ctx context.Context) (command.UsageState, error)
}

// DutyCall is what all calls to the platform have in common.
type DutyCall struct {
	// Holder is the name of this process's node, and Number the fencing number of its grant.
	Holder string
	Number uint64
	// MayWrite reports whether the lease has enough left. It is asked before each write.
	MayWrite func() bool
}

// DutyPlatform makes the calls of duties. A call returns the HTTP status of a complete response. Without
// one it returns an error, which is ErrDutyNotSent if nothing was written.
type DutyPlatform interface {
	ReportUsage(ctx context.Context, c DutyCall, window uint64, counts map[string]uint64) (status int, err error)
	Scale(ctx context.Context, c DutyCall, order autoscale.ScaleOrder) (status int, err error)
}

// scaler decides how many endpoints there should be. Orders returns the same subjects in the same order
// while the configuration is the same. Its time is that of the process's clock, by which load reports are
// dated; DutyHolder.now is ahead of it by the time of suspensions.
type scaler interface {
	Orders(now time.Time) []autoscale.ScaleOrder
}

// DutyHolder runs a duty.Core: it passes the time and answers to it and carries out its effects.
type DutyHolder struct {
	Settings duty.Settings
	Replica  DutyReplica
	Platform DutyPlatform
	// Scaler may be nil: nothing is then ordered.
	Scaler scaler
	// TrueTime returns the true time. By default it is an usage.TrueTime.
	TrueTime func() time.Time

	log   hclog.Logger
	name  string
	clock kernel.Clock
	// suspended is kernel.Suspended, except in tests.
	suspended func() time.Duration
	// base is the time of Provision, when the VM had been suspended for suspendedBefore.
	base            time.Time
	suspendedBefore time.Duration
	metrics         *metrics.Set
	reportAge       *metrics.Histogram
	// running counts the goroutines of effects.
	running sync.WaitGroup

	// mu guards core. No other lock is taken while it is held.
	mu   sync.Mutex
	core *duty.Core
}

var _ kernel.Runner = (*DutyHolder)(nil)

// Provision sets the holder up. Run starts it.
func (h *DutyHolder) Provision(host *kernel.Host) {
	h.log, h.name, h.clock = host.Log, host.Node.Name, host.Clock
	if h.suspended == nil {
		h.suspended = kernel.Suspended
	}
	h.base, h.suspendedBefore = h.clock.Now(), h.suspended()
	if h.TrueTime == nil {
		var mu sync.Mutex // guards estimate; no other lock is taken while it is held
		estimate := usage.NewTrueTime(h.base, h.suspended())
		h.TrueTime = func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			now := h.clock.Now()
			return estimate.Now(now, now.Sub(h.base)+h.suspended())
		}
	}
	h.core = duty.NewCore(h.Settings)
	h.metrics = host.Metrics
	h.reportAge = host.Metrics.NewHistogram("rosemary_usage_report_age_seconds")
	host.Metrics.NewGauge("rosemary_duty_held", h.countHeld)
	host.Metrics.NewGauge("rosemary_usage_windows_open", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return float64(h.core.Unreported())
	})
}

// now returns the time of the holder, which does not step and includes suspensions.
func (h *DutyHolder) now() time.Time {
	return h.base.Add(h.clock.Now().Sub(h.base) + h.suspended() - h.suspendedBefore)
}

func (h *DutyHolder) countHeld() float64 {
	n := 0
	for _, d := range h.Settings.Duties {
		if h.holds(d) {
			n++
		}
	}
	return float64(n)
}

func (h *DutyHolder) holds(d string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Holds(h.now(), d)
}

// Run implements kernel.Runner. Grants are not given back at the end; they expire.
func (h *DutyHolder) Run(ctx context.Context) error {
	defer h.running.Wait()
	for {
		h.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-h.clock.After(dutyTick):
		}
	}
}

func (h *DutyHolder) tick(ctx context.Context) {
	t := duty.Tick{Leader: h.Replica.Leader(), Wall: h.TrueTime()}
	if h.Scaler != nil && h.holds(duty.Scaling) {
		t.Orders = h.Scaler.Orders(h.clock.Now())
	}
	h.step(ctx, t)
}

// step passes an event to the core and carries out the effects.
func (h *DutyHolder) step(ctx context.Context, ev duty.Event) {
	h.mu.Lock()
	effects := h.core.Step(h.now(), ev)
	h.mu.Unlock()
	for _, e := range effects {
		h.carryOut(ctx, e)
	}
}

// carryOut logs an effect or begins it on a goroutine of its own.
func (h *DutyHolder) carryOut(ctx context.Context, e duty.Effect) {
	switch e := e.(type) {
	case duty.Held:
		h.log.Info("duty held", "duty", e.Duty, "number", e.Number)
	case duty.Lost:
		h.log.Warn("duty lost", "duty", e.Duty, "number", e.Number, "reason", e.Reason)
	case duty.Acquire:
		h.async(ctx, h.Settings.Lease/acquiresPerLease, func(ctx context.Context) duty.Event { return h.acquire(ctx, e) })
	case duty.Read:
		h.async(ctx, dutyCommandTimeout, func(ctx context.Context) duty.Event { return h.readWindows(ctx, e) })
	case duty.Close:
		h.async(ctx, dutyCommandTimeout, func(ctx context.Context) duty.Event { return h.closeWindow(ctx, e) })
	case duty.Mark:
		h.async(ctx, dutyCommandTimeout, func(ctx context.Context) duty.Event { return h.mark(ctx, e) })
	case duty.Call:
		h.async(ctx, dutyCommandTimeout, func(ctx context.Context) duty.Event { return h.call(ctx, e) })
	}
}

// async runs f and passes its event to the core, unless the process stops.
func (h *DutyHolder) async(ctx context.Context, timeout time.Duration, f func(context.Context) duty.Event) {
	h.running.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if ev := f(bounded); ctx.Err() == nil {
			h.step(ctx, ev)
		}
	})
}

func (h *DutyHolder) acquire(ctx context.Context, e duty.Acquire) duty.Event {
	g, err := h.Replica.AcquireDuty(ctx, e.Duty, h.Settings.Lease)
	if err != nil {
		h.log.Warn("duty not acquired", "duty", e.Duty, "error", err)
	}
	return duty.Acquired{Duty: e.Duty, Sent: e.Sent, Failed: err != nil, Granted: g.Granted, Number: g.Number, Left: g.Left}
}

func (h *DutyHolder) readWindows(ctx context.Context, e duty.Read) duty.Event {
	u, err := h.Replica.Usage(ctx)
	if err != nil {
		h.log.Warn("usage windows not read", "number", e.Number, "error", err)
		return duty.WindowsRead{Number: e.Number, Failed: true}
	}
	closed := make(map[uint64]map[string]uint64, len(u.Closed))
	for _, w := range u.Closed {
		closed[w.Window] = w.Counts
	}
	return duty.WindowsRead{Number: e.Number, OldestOpen: u.OldestOpen, Open: u.Open, Closed: closed}
}

func (h *DutyHolder) closeWindow(ctx context.Context, e duty.Close) duty.Event {
	w, err := h.Replica.CloseWindow(ctx, e.Number, e.Window)
	if err == nil && w.Window != e.Window {
		err = errors.Errorf("control has closed window %d instead", w.Window)
	}
	if err != nil {
		h.log.Warn("usage window not closed", "window", e.Window, "number", e.Number, "error", err)
		return duty.WindowClosed{Number: e.Number, Window: e.Window, Failed: true}
	}
	h.log.Info("usage window closed", "window", e.Window, "number", e.Number, "age", h.age(e.Window), "accounts", len(w.Counts))
	return duty.WindowClosed{Number: e.Number, Window: e.Window, Counts: w.Counts}
}

func (h *DutyHolder) mark(ctx context.Context, e duty.Mark) duty.Event {
	err := h.Replica.ReportWindow(ctx, e.Number, e.Window)
	if err != nil {
		h.log.Warn("usage window not marked as reported", "window", e.Window, "number", e.Number, "error", err)
	}
	return duty.Marked{Number: e.Number, Window: e.Window, Failed: err != nil}
}

// call makes a call to the platform, logs and counts its outcome.
func (h *DutyHolder) call(ctx context.Context, e duty.Call) duty.Event {
	c := DutyCall{Holder: h.name, Number: e.Number, MayWrite: func() bool { return h.mayCall(e) }}
	began := h.now()
	var status int
	var err error
	var about []any
	switch e.Duty {
	case duty.Usage:
		status, err = h.Platform.ReportUsage(ctx, c, e.Window, e.Counts)
		about = []any{"window", e.Window, "age", h.age(e.Window)}
	case duty.Scaling:
		status, err = h.Platform.Scale(ctx, c, e.Order)
		about = []any{"service", e.Order.Service, "for_zone", e.Order.Zone, "count", e.Order.Count}
	}
	notSent := errors.Is(err, ErrDutyNotSent)
	outcome := callOutcome(status, notSent)
	h.metrics.GetOrCreateCounter(fmt.Sprintf("rosemary_duty_calls_total{duty=%q,outcome=%q}", e.Duty, outcome)).Inc()
	about = append([]any{"duty", e.Duty, "number", e.Number, "outcome", outcome, "status", status, "took", h.now().Sub(began), "error", err}, about...)
	if outcome == outcomeAccepted {
		h.log.Info("duty call", about...)
		if e.Duty == duty.Usage {
			h.reportAge.Update(h.age(e.Window).Seconds())
		}
	} else {
		h.log.Warn("duty call", about...)
	}
	return duty.Responded{ID: e.ID, Status: status, NotSent: notSent}
}

func (h *DutyHolder) mayCall(e duty.Call) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.MayCall(h.now(), e)
}

// age returns the time since the end of a window.
func (h *DutyHolder) age(window uint64) time.Duration {
	return h.TrueTime().Sub(time.Unix(0, int64(window+1)*int64(h.Settings.Window)))
}

// Outcomes of a call, as in logs and metrics.
const (
	outcomeAccepted   = "accepted"
	outcomeFenced     = "fenced"
	outcomeLimited    = "limited"
	outcomeRefused    = "refused"
	outcomeNoResponse = "no_response"
	outcomeNotSent    = "not_sent"
)

// callOutcome names what became of a call.
func callOutcome(status int, notSent bool) string {
	switch {
	case notSent:
		return outcomeNotSent
	case status >= 200 && status < 300:
		return outcomeAccepted
	case status == http.StatusConflict:
		return outcomeFenced
	case status == http.StatusTooManyRequests:
		return outcomeLimited
	case status >= 400 && status < 500:
		return outcomeRefused
	}
	return outcomeNoResponse
}
