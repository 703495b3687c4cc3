package gateway

import (
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
	// MaxSignOfLifeAge is the age of the last sign of life of an engine up to which the memory
	// reservations of its requests are renewed.
	MaxSignOfLifeAge = healthCheckInterval
	// maxPause is how long a sound endpoint may send nothing after it was found to be silent.
	maxPause = 3 * time.Second
	// progressSent is silenceTimer.progress of a request that has been sent, and nothing of whose answer has come.
	progressSent = 1
	// progressBytes is how many bytes of an answer count as a sign of progress.
	progressBytes = 16 << 10
)

// errEndpointReplaced is the cause with which an attempt is cancelled when its endpoint has fallen
// silent and a later incarnation has taken its place.
var errEndpointReplaced = errors.New("the endpoint has started again")

// errSilent is why an endpoint that sends nothing is distrusted.
var errSilent = errors.New("the endpoint says nothing")

// firstEventTimeout is how long the attempt waits for the head of the endpoint's answer or
// for its first event before the endpoint is checked. Zero means no limit other than the caller's deadline. It is zero
// for AtMostOnce requests, because these are not sent to another endpoint.
func (a *attempt) firstEventTimeout() time.Duration {
	switch route := a.c.route; {
	case route.Kind == AtMostOnce:
		return 0
	case route.Stream:
		return a.maxFirstEventWait()
	default:
		return latencyTimeoutFactor * route.LatencyTarget
	}
}

// eventGapTimeout is how long a stream may pause before its endpoint is checked. Zero
// means no limit.
func (a *attempt) eventGapTimeout() time.Duration {
	if a.c.route.Kind == AtMostOnce {
		return 0
	}
	return a.maxEventGap()
}

// maxFirstEventWait is the longest time that a sound endpoint should need for the first event of a stream.
func (a *attempt) maxFirstEventWait() time.Duration {
	return max(prefillTimeoutFactor*a.placed.PredictedPrefill, minFirstEventTimeout)
}

// maxEventGap is the longest pause between two events of a stream from a sound endpoint.
func (a *attempt) maxEventGap() time.Duration {
	return max(eventGapTimeoutFactor*a.c.route.EventGapTarget, minEventGapTimeout)
}

// silenceTimer tells the call when the endpoint of an attempt sends nothing for too long. An engine
// that still answers health checks is busy rather than lost, and gets more time.
type silenceTimer struct {
	a     *attempt
	timer *time.Timer

	// mu guards the fields below. No other lock is taken under it.
	mu         sync.Mutex
	checksLeft int
	// resets counts the calls of reset, so that progress during a health check is noticed.
	resets int
	// lastProgress is when the request was sent or the last progress came.
	lastProgress time.Time
	silent       bool
	// since is when the endpoint was last found to be silent after progress.
	since time.Time
	// held is set while what the endpoint has sent waits for the caller.
	held bool
}

// newSilenceTimer returns a timer that does not run. The attempt sets its duration with reset and
// stops it at its end.
func newSilenceTimer(a *attempt) *silenceTimer {
	t := &silenceTimer{a: a}
	t.timer = time.AfterFunc(time.Hour, t.expired)
	t.timer.Stop()
	return t
}

// reset records progress and restarts the timer with duration d; zero stops it.
func (t *silenceTimer) reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checksLeft = maxAliveChecks
	t.resets++
	t.lastProgress = t.a.c.g.clock.Now()
	t.silent, t.held = false, false
	if d <= 0 {
		t.timer.Stop()
		return
	}
	t.timer.Reset(d)
}

func (t *silenceTimer) stop() { t.reset(0) }

// hold records progress, and that the endpoint is not silent until the next reset.
func (t *silenceTimer) hold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resets++
	t.lastProgress = t.a.c.g.clock.Now()
	t.silent, t.held = false, true
}

// askAgain lets a timer that has told the call of a silence do so again after a while.
func (t *silenceTimer) askAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent {
		t.timer.Reset(healthCheckInterval)
	}
}

// isSilent reports whether the endpoint has sent nothing since the call was told.
func (t *silenceTimer) isSilent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent
}

// silentFor returns for how long the endpoint has been found to be silent.
func (t *silenceTimer) silentFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.silent {
		return 0
	}
	return now.Sub(t.since)
}

// quietFor returns the time since the last progress, zero if the request has not been sent.
func (t *silenceTimer) quietFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resets == 0 {
		return 0
	}
	return now.Sub(t.lastProgress)
}

// isHeld reports whether what the endpoint has sent waits for the caller.
func (t *silenceTimer) isHeld() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}

// expired extends the wait while the engine answers health checks, and else tells the call.
func (t *silenceTimer) expired() {
	t.mu.Lock()
	if t.held {
		t.mu.Unlock()
		return
	}
	t.checksLeft--
	mayCheck, resets := t.checksLeft >= 0, t.resets
	t.mu.Unlock()
	if !mayCheck || t.a.c.service.Engine == nil || !t.a.c.g.engineAlive(t.a.placed.Primary) {
		t.declareSilent(resets)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resets == resets {
		t.timer.Reset(healthCheckInterval)
	}
}

// progress returns a number that changes with each sign of progress.
func (t *silenceTimer) progress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resets
}

// declareSilent tells the call that the endpoint is silent, unless there has been progress since, or
// the request has not been sent.
func (t *silenceTimer) declareSilent(since int) {
	t.mu.Lock()
	progressed, first := t.resets != since || since == 0, !t.silent
	t.silent = !progressed
	if t.silent && first {
		t.since = t.a.c.g.clock.Now()
	}
	t.mu.Unlock()
	if !progressed {
		t.a.fellSilent(first)
	}
}

// fellSilent tells the call that the endpoint sends nothing. The attempt goes on, unless a later
// incarnation shows that the endpoint has ended. An endpoint is distrusted once for a silence.
func (a *attempt) fellSilent(first bool) {
	if a.c.g.replaced(a.placed.Primary) {
		a.giveUp(errEndpointReplaced)
		return
	}
	if first {
		a.distrust(a.endpoint(), "silent", errSilent)
	}
	select {
	case a.c.silences <- a:
	case <-a.ctx.Done():
	}
}

// replaced reports whether a later incarnation has taken the place of an endpoint.
func (g *Gateway) replaced(e assign.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Replaced(e)
}

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
	if !g.engines.Alive(e.Addr, e.Incarnation) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.MarkAlive(g.clock.Now(), e.Name)
	return true
}
