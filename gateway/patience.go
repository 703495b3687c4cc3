package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
)

const (
	// minFirstPatience is the least wait for a stream's first event before its endpoint
	// is looked at.
	minFirstPatience = 600 * time.Millisecond
	// readPatience is how many times the predicted reading a stream is waited for.
	readPatience = 3
	// plainPatience is how many times its target a repeatable call is waited for.
	plainPatience = 2
	// pausePatience is how many of the pauses that callers want a stream is waited for:
	// half of the time after which they give up.
	pausePatience = 4
	minPause      = 600 * time.Millisecond
	// aliveInterval is the time between two looks at an engine that is silent, and
	// aliveLooks how often it may be found alive before its silence is too long.
	aliveInterval = 700 * time.Millisecond
	aliveLooks    = 8
)

// errSilent cancels an attempt whose endpoint says nothing for too long.
var errSilent = errors.New("the endpoint says nothing")

// firstPatience is how long the endpoint may take for its first word. Zero is as long
// as the caller waits: a request that runs once is not tried elsewhere.
func (c *call) firstPatience(a *assign.Assignment) time.Duration {
	switch {
	case c.route.Kind == AtMostOnce:
		return 0
	case c.route.Stream:
		return max(readPatience*a.PredictedPrefill, minFirstPatience)
	}
	return plainPatience * c.route.LatencyTarget
}

// pausePatience is how long a stream may pause before its endpoint is looked at.
func (c *call) pausePatience() time.Duration {
	if c.route.Kind == AtMostOnce {
		return 0
	}
	return max(pausePatience*c.route.EventGapTarget, minPause)
}

// patience cancels an attempt whose endpoint is silent for too long. An engine that
// answers other questions is busy rather than gone, and gets more time.
type patience struct {
	c        *call
	endpoint assign.Endpoint
	cancel   context.CancelCauseFunc
	timer    *time.Timer

	// mu guards looks; no other lock is taken under it.
	mu    sync.Mutex
	looks int
}

func (c *call) newPatience(e assign.Endpoint, cancel context.CancelCauseFunc) *patience {
	p := &patience{c: c, endpoint: e, cancel: cancel}
	p.timer = time.AfterFunc(time.Hour, p.expired)
	return p
}

// wait gives the endpoint so long from now on; zero is without end.
func (p *patience) wait(d time.Duration) {
	p.mu.Lock()
	p.looks = aliveLooks
	p.mu.Unlock()
	if d <= 0 {
		p.timer.Stop()
		return
	}
	p.timer.Reset(d)
}

func (p *patience) expired() {
	p.mu.Lock()
	p.looks--
	more := p.looks >= 0
	p.mu.Unlock()
	if more && p.c.service.Engine != nil && p.c.g.alive(p.endpoint) {
		p.timer.Reset(aliveInterval)
		return
	}
	p.cancel(errSilent)
}

func (p *patience) stop() { p.timer.Stop() }

// alive reports whether an engine gave a sign of life just now, and asks it otherwise.
func (g *Gateway) alive(e assign.Endpoint) bool {
	now := g.clock.Now()
	g.mu.Lock()
	heard := g.fleet.AliveSince(now.Add(-aliveInterval), e.Name)
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
