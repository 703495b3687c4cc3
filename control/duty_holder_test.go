package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/autoscale"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/duty"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// dutyFake is control, the platform, the scaler and the clock of a holder. Its time passes with each wait
// of the holder, so the test does not depend on speed.
type dutyFake struct {
	mu        sync.Mutex
	now       time.Time
	suspended time.Duration
	usage     command.UsageState
	reports   []uint64
	scales    []autoscale.ScaleOrder
	// atCall runs when the platform is called, before MayWrite is asked.
	atCall  func()
	notSent int
	// askedAt is the last time that was passed to Orders.
	askedAt time.Time
}

func (f *dutyFake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *dutyFake) After(d time.Duration) <-chan time.Time {
	time.Sleep(time.Millisecond) // lets the goroutines of effects run
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	c := make(chan time.Time, 1)
	c <- f.now
	return c
}

func (f *dutyFake) Leader() bool { return true }

func (f *dutyFake) AcquireDuty(_ context.Context, d string, ttl time.Duration) (command.DutyGrant, error) {
	number := uint64(3)
	if d == duty.Scaling {
		number = 4
	}
	return command.DutyGrant{Granted: true, Holder: "edge-1", Number: number, Left: ttl}, nil
}

func (f *dutyFake) CloseWindow(_ context.Context, number, window uint64) (command.ClosedWindow, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number != 3 {
		return command.ClosedWindow{}, errors.New("fenced")
	}
	f.usage.OldestOpen = window + 1
	w := command.ClosedWindow{Window: window, Counts: map[string]uint64{"hule": window}}
	f.usage.Closed = append(f.usage.Closed, w)
	return w, nil
}

func (f *dutyFake) ReportWindow(_ context.Context, _, window uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usage.Closed = slices.DeleteFunc(f.usage.Closed, func(w command.ClosedWindow) bool { return w.Window == window })
	return nil
}

func (f *dutyFake) Usage(context.Context) (command.UsageState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return command.UsageState{OldestOpen: f.usage.OldestOpen, Closed: slices.Clone(f.usage.Closed)}, nil
}

func (f *dutyFake) ReportUsage(_ context.Context, c DutyCall, window uint64, counts map[string]uint64) (int, error) {
	if f.atCall != nil {
		f.atCall()
	}
	if !c.MayWrite() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.notSent++
		return 0, errors.Wrap(ErrDutyNotSent, "call")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Holder == "edge-1" && c.Number == 3 && counts["hule"] == window {
		f.reports = append(f.reports, window)
	}
	return 200, nil
}

func (f *dutyFake) Scale(_ context.Context, _ DutyCall, o autoscale.ScaleOrder) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scales = append(f.scales, o)
	return 200, nil
}

func (f *dutyFake) Orders(now time.Time) []autoscale.ScaleOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.askedAt = now
	return []autoscale.ScaleOrder{{Service: "huvo", Zone: "hall", Count: 6}}
}

// runHolder runs a holder until done reports true.
func runHolder(t *testing.T, f *dutyFake, done func() bool) {
	t.Helper()
	h := &DutyHolder{
		Settings: duty.Settings{Duties: []string{duty.Usage, duty.Scaling}, Lease: 3 * time.Second, ThawSlack: 300 * time.Millisecond,
			Window: 5 * time.Second, ReportWithin: 10 * time.Second, PerSecond: 4},
		Replica: f, Platform: f, Scaler: f,
		suspended: func() time.Duration {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.suspended
		},
	}
	h.Provision(&kernel.Host{Node: settings.Node{Name: "edge-1"}, Log: hclog.NewNullLogger(), Clock: f, Metrics: metrics.NewSet()})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	eventuallyHeld(t, done)
	cancel()
	is.New(t).NoErr(<-ended)
}

func eventuallyHeld(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the holder has not done it in 30 s")
		}
	}
}

func TestHolderReportsAndOrders(t *testing.T) {
	is := is.New(t)
	f := &dutyFake{now: time.Unix(1_765_000_000, 0)}
	runHolder(t, f, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.reports) >= 4
	})
	next := f.reports[0]
	for _, w := range f.reports {
		is.True(w <= next) // in order, and none left out; repeats are possible on a slow machine
		if w == next {
			next++
		}
	}
	is.True(f.reports[0] >= 352_999_998 && f.reports[0] <= 353_000_000)
	is.Equal(slices.Compact(f.scales), []autoscale.ScaleOrder{{Service: "huvo", Zone: "hall", Count: 6}})
}

// A call that is held up between the decision and the socket, while the VM is suspended, must not be made.
func TestHolderCallsNothingAfterASuspension(t *testing.T) {
	is := is.New(t)
	f := &dutyFake{now: time.Unix(1_765_000_000, 0)}
	suspend := sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.suspended += time.Minute
	})
	f.atCall = suspend
	runHolder(t, f, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.reports) >= 1
	})
	is.True(f.notSent >= 1)
}

// TestScalerHasTheTimeOfLoadReports guards against a scaler whose time is ahead of that of load reports by the
// time of suspensions: after 3 s of these, each report is taken as outdated and no number of endpoints changes.
func TestScalerHasTheTimeOfLoadReports(t *testing.T) {
	is := is.New(t)
	f := &dutyFake{now: time.Unix(1_765_000_000, 0)}
	f.atCall = sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.suspended += time.Minute
		f.askedAt = time.Time{}
	})
	runHolder(t, f, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.suspended > 0 && !f.askedAt.IsZero()
	})
	is.True(!f.askedAt.After(f.now))
}
