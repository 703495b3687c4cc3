package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
)

const (
	// minFirstEventTimeout is the lower bound of the wait for a stream's first event.
	minFirstEventTimeout = 600 * time.Millisecond
	// prefillTimeoutFactor is the wait for a stream's first event as a multiple of the
	// predicted prefill time.
	prefillTimeoutFactor = 3
	// latencyTimeoutFactor is the wait for the answer to a repeatable call as a
	// multiple of the route's latency target.
	latencyTimeoutFactor = 2
	// eventGapTimeoutFactor is the wait for the next event of a stream as a multiple of
	// the route's event gap target. The resulting timeout is half of the time after
	// which callers abandon a stream. minEventGapTimeout is its lower bound.
	eventGapTimeoutFactor = 4
	minEventGapTimeout    = 600 * time.Millisecond
	// healthCheckInterval is the time between two health checks of an engine that sends
	// no events, and maxAliveChecks how many may succeed before its silence counts as a
	// failure.
	healthCheckInterval = 700 * time.Millisecond
	maxAliveChecks      = 8
	// progressBytes is how many bytes of an answer count as a sign of progress.
	progressBytes = 16 << 10
)

// errSilent is the cause with which an attempt is cancelled when its endpoint sends
// nothing for too long.
var errSilent = errors.New("the endpoint says nothing")

// firstEventTimeout is how long the call waits for the head of the endpoint's answer or
// for its first event. Zero means no limit other than the caller's deadline. It is zero
// for AtMostOnce requests, because these are not sent to another endpoint.
func (c *call) firstEventTimeout(a *assign.Assignment) time.Duration {
	switch {
	case c.route.Kind == AtMostOnce:
		return 0
	case c.route.Stream:
		return max(prefillTimeoutFactor*a.PredictedPrefill, minFirstEventTimeout)
	}
	return latencyTimeoutFactor * c.route.LatencyTarget
}

// eventGapTimeout is how long a stream may pause before its endpoint is checked. Zero
// means no limit.
func (c *call) eventGapTimeout() time.Duration {
	if c.route.Kind == AtMostOnce {
		return 0
	}
	return max(eventGapTimeoutFactor*c.route.EventGapTarget, minEventGapTimeout)
}

// silenceTimer cancels an attempt whose endpoint sends nothing for too long. An engine
// that still answers health checks is busy rather than lost, and gets more time.
type silenceTimer struct {
	c        *call
	endpoint assign.Endpoint
	cancel   context.CancelCauseFunc
	timer    *time.Timer

	// mu guards checksLeft. No other lock is taken under it.
	mu         sync.Mutex
	checksLeft int
}

// newSilenceTimer returns a timer for an attempt at endpoint e. The caller sets its
// duration with reset and stops it at the end of the attempt.
func (c *call) newSilenceTimer(e assign.Endpoint, cancel context.CancelCauseFunc) *silenceTimer {
	t := &silenceTimer{c: c, endpoint: e, cancel: cancel}
	t.timer = time.AfterFunc(time.Hour, t.expired)
	return t
}

// reset restarts the timer with duration d; zero stops it.
func (t *silenceTimer) reset(d time.Duration) {
	t.mu.Lock()
	t.checksLeft = maxAliveChecks
	t.mu.Unlock()
	if d <= 0 {
		t.timer.Stop()
		return
	}
	t.timer.Reset(d)
}

// expired extends the wait while the engine answers health checks, and else cancels the
// attempt.
func (t *silenceTimer) expired() {
	t.mu.Lock()
	t.checksLeft--
	mayCheck := t.checksLeft >= 0
	t.mu.Unlock()
	if mayCheck && t.c.service.Engine != nil && t.c.g.engineAlive(t.endpoint) {
		t.timer.Reset(healthCheckInterval)
		return
	}
	t.cancel(errSilent)
}

func (t *silenceTimer) stop() { t.timer.Stop() }

// progressReader calls progressed each time that progressBytes more have been read.
type progressReader struct {
	r          io.Reader
	progressed func()
	read       int
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if p.read += n; p.read >= progressBytes {
		p.read = 0
		p.progressed()
	}
	return n, err
}

// engineAlive reports whether an engine has shown activity within healthCheckInterval,
// or else answers a health check. One that a later incarnation has replaced is not alive,
// whoever answers at its address.
func (g *Gateway) engineAlive(e assign.Endpoint) bool {
	now := g.clock.Now()
	g.mu.Lock()
	replaced := g.fleet.Replaced(e)
	recentlyAlive := g.fleet.AliveSince(now.Add(-healthCheckInterval), e.Name)
	if !recentlyAlive && !replaced {
		g.fleet.RecordHealthCheck(now, e.Name)
	}
	g.mu.Unlock()
	if replaced {
		return false
	}
	if recentlyAlive {
		return true
	}
	if !g.engines.Alive(e.Addr) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.MarkAlive(g.clock.Now(), e.Name)
	return true
}
