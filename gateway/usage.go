package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/usage"
)

const (
	// usageInterval is the time between two reports of usage. An entry that is killed loses the counts
	// since the last one.
	usageInterval = 500 * time.Millisecond
	// usageJitter is the largest random change of usageInterval, as a fraction of it, so that entries that
	// were started together do not report together.
	usageJitter = 0.2
	// usageTimeout bounds one report.
	usageTimeout = time.Second
	// usageStopReserve is the part of stopReserve that the last report leaves for the end of the process.
	usageStopReserve = 200 * time.Millisecond
	// minLastUsageTime is the least time for the last report. Handlers have ended within handlerEndTime
	// after connections were closed, so that it fits in stopReserve beside usageStopReserve.
	minLastUsageTime = 150 * time.Millisecond
	// lastUsageRetry is the pause after a failure of the last report.
	lastUsageRetry = 20 * time.Millisecond
)

// usageCounts counts the requests that endpoints began to run. Its lock is "gateway.usage" of
// kernel.LockOrder.
type usageCounts struct {
	clock     kernel.Clock
	started   time.Time
	suspended func() time.Duration

	mu       sync.Mutex
	counter  *usage.Counter
	trueTime *usage.TrueTime
}

// newUsageCounts returns counts with windows of this length, or nil if the length is zero and nothing is
// counted.
func newUsageCounts(window time.Duration, clock kernel.Clock, suspended func() time.Duration) *usageCounts {
	if window <= 0 {
		return nil
	}
	now := clock.Now()
	return &usageCounts{
		clock: clock, started: now, suspended: suspended, counter: usage.NewCounter(window), trueTime: usage.NewTrueTime(now, suspended()),
	}
}

// now returns the true time. The calling code holds u.mu.
func (u *usageCounts) now() time.Time {
	now := u.clock.Now()
	return u.trueTime.Now(now, now.Sub(u.started)+u.suspended())
}

// began counts a request of a client account that an endpoint began to run this long ago.
func (u *usageCounts) began(account string, ago time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Began(u.now().Add(-ago), account)
}

// report returns the counts that are to be sent. It also follows the wall clock, which has to be read while
// no request arrives.
func (u *usageCounts) report() []command.WindowCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.now()
	return u.counter.Report()
}

// acknowledged records an answer of control.
func (u *usageCounts) acknowledged(sent []command.WindowCounts, oldestOpen uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Acknowledged(sent, oldestOpen)
}

// takeDropped returns what was dropped since the last call.
func (u *usageCounts) takeDropped() []usage.Dropped {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counter.TakeDropped()
}

// pending returns how many requests control has not recorded.
func (u *usageCounts) pending() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counter.Pending()
}

// countRun counts the attempt for the usage of its client account, once, as one that its endpoint began to run this
// long ago. Requests without a client account are not counted.
func (a *attempt) countRun(ago time.Duration) {
	u := a.c.g.usage
	if u == nil || a.counted || a.c.account == "" {
		return
	}
	a.counted = true
	u.began(a.c.account, ago)
}

// startUsageReports starts the reports of usage to control. The returned function ends them with the last
// counts.
func (g *Gateway) startUsageReports() (end func()) {
	if g.usage == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(g.background)
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.reportUsage(ctx)
	}()
	return func() {
		cancel()
		<-done
		g.reportLastUsage()
	}
}

// reportUsage sends new counts until ctx ends.
func (g *Gateway) reportUsage(ctx context.Context) {
	for failures := 0; ; {
		jitter := 1 + usageJitter*(2*rand.Float64()-1)
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(time.Duration(jitter * float64(usageInterval))):
		}
		sent, err := g.sendUsage(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			if failures++; failures == 1 {
				g.log.Warn("usage not reported", "pending", g.usage.pending(), "error", err)
			}
		case sent && failures > 0:
			g.log.Info("usage reported again", "failures", failures)
			failures = 0
		}
	}
}

// reportLastUsage sends the last counts before the process ends. The stop leaves it at least minLastUsageTime.
func (g *Gateway) reportLastUsage() {
	left := minLastUsageTime
	if g.stop.hasBegun() {
		end := g.stop.answerBy.Add(answerReserve + stopReserve - usageStopReserve)
		left = min(max(left, end.Sub(g.clock.Now())), usageTimeout)
	}
	ctx, cancel := context.WithTimeout(g.background, left)
	defer cancel()
	for g.usage.pending() > 0 {
		_, err := g.sendUsage(ctx)
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			g.log.Warn("usage lost at the end of the process", "pending", g.usage.pending(), "error", err)
			return
		case <-g.clock.After(lastUsageRetry):
		}
	}
}

// sendUsage sends the counts that control does not have, if there are any, and logs those that were dropped.
func (g *Gateway) sendUsage(ctx context.Context) (sent bool, err error) {
	defer g.logDroppedUsage()
	windows := g.usage.report()
	if len(windows) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	var recorded command.UsageRecorded
	report := command.Usage{Source: fmt.Sprintf("%s/%08x", g.node.Name, g.startID), Windows: windows}
	if err := g.client.Do(ctx, command.NameUsage, "", report, &recorded); err != nil {
		g.countUsageReport("failed")
		return false, err
	}
	g.countUsageReport("sent")
	g.usage.acknowledged(windows, recorded.OldestOpen)
	return true, nil
}

// countUsageReport counts a report of usage by its outcome.
func (g *Gateway) countUsageReport(outcome string) {
	g.metrics.set.GetOrCreateCounter(fmt.Sprintf("rosemary_gateway_usage_reports_total{outcome=%q}", outcome)).Inc()
}

// logDroppedUsage logs the counts that control will not have.
func (g *Gateway) logDroppedUsage() {
	for _, d := range g.usage.takeDropped() {
		g.metrics.set.GetOrCreateCounter("rosemary_gateway_usage_dropped_total").Add(int(d.Count))
		g.log.Warn("usage counts dropped", "window", d.Window, "requests", d.Count, "reason", d.Reason)
	}
}
