package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
)

const (
	// minFirstEventTimeout is the least wait for a stream's first event before its endpoint
	// is looked at.
	minFirstEventTimeout = 600 * time.Millisecond
	// prefillTimeoutFactor is how many times the predicted reading a stream is waited for.
	prefillTimeoutFactor = 3
	// latencyTimeoutFactor is how many times its target a repeatable call is waited for.
	latencyTimeoutFactor = 2
	// eventGapTimeoutFactor is how many of the pauses that callers want a stream is waited for:
	// half of the time after which they give up.
	eventGapTimeoutFactor = 4
	minEventGapTimeout      = 600 * time.Millisecond
	// aliveCheckInterval is the time between two looks at an engine that is silent, and
	// aliveLooks how often it may be found alive before its silence is too long.
	aliveCheckInterval = 700 * time.Millisecond
	maxAliveChecks    = 8
)

// errSilent cancels an attempt whose endpoint says nothing for too long.
var errSilent = errors.New("the endpoint says nothing")

// firstEventTimeout is how long the endpoint may take for its first word. Zero is as long
// as the caller waits: a request that runs once is not tried elsewhere.
func (c *call) firstEventTimeout(a *assign.Assignment) time.Duration {
	switch {
	case c.route.Kind == AtMostOnce:
		return 0
	case c.route.Stream:
		return max(prefillTimeoutFactor*a.PredictedPrefill, minFirstEventTimeout)
	}
	return latencyTimeoutFactor * c.route.LatencyTarget
}

// eventGapTimeout is how long a stream may pause before its endpoint is looked at.
func (c *call) eventGapTimeout() time.Duration {
	if c.route.Kind == AtMostOnce {
		return 0
	}
	return max(eventGapTimeoutFactor*c.route.EventGapTarget, minEventGapTimeout)
}

// silenceTimer cancels an attempt whose endpoint is silent for too long. An engine that
// answers other questions is busy rather than gone, and gets more time.
type silenceTimer struct {
	c        *call
	endpoint assign.Endpoint
	cancel   context.CancelCauseFunc
	timer    *time.Timer

	// mu guards looks; no other lock is taken under it.
	mu    sync.Mutex
	checksLeft int
}

func (c *call) newSilenceTimer(e assign.Endpoint, cancel context.CancelCauseFunc) *silenceTimer {
	p := &silenceTimer{c: c, endpoint: e, cancel: cancel}
	p.timer = time.AfterFunc(time.Hour, p.expired)
	return p
}

// reset gives the endpoint so long from now on; zero is without end.
func (p *silenceTimer) reset(d time.Duration) {
	p.mu.Lock()
	p.checksLeft = maxAliveChecks
	p.mu.Unlock()
	if d <= 0 {
		p.timer.Stop()
		return
	}
	p.timer.Reset(d)
}

func (p *silenceTimer) expired() {
	p.mu.Lock()
	p.checksLeft--
	more := p.checksLeft >= 0
	p.mu.Unlock()
	if more && p.c.service.Engine != nil && p.c.g.engineAlive(p.endpoint) {
		p.timer.Reset(aliveCheckInterval)
		return
	}
	p.cancel(errSilent)
}

func (p *silenceTimer) stop() { p.timer.Stop() }

// engineAlive reports whether an engine gave a sign of life just now, and asks it otherwise.
func (g *Gateway) engineAlive(e assign.Endpoint) bool {
	now := g.clock.Now()
	g.mu.Lock()
	heard := g.fleet.AliveSince(now.Add(-aliveCheckInterval), e.Name)
	g.mu.Unlock()
	if heard {
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
