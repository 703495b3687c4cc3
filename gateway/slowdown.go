package gateway

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// slowdownCheckInterval is the time between two questions for the speed of an engine, and
	// slowdownPollInterval the time in which a suspected one is asked first.
	slowdownCheckInterval = time.Second
	slowdownPollInterval  = 50 * time.Millisecond
	// lateAnswerFactor is the time to the first event from which engines are suspected to be slow, as a
	// multiple of the predicted time, and lateAnswerSlack is added to it.
	lateAnswerFactor = 1.5
	lateAnswerSlack  = 200 * time.Millisecond
)

// checkSlowdowns asks the engines that are suspected to be slow for their speed until ctx ends, and
// tells the other entries of its cell of those that are. Engines that nobody suspects are not asked:
// a connection may hold one of their slots.
func (g *Gateway) checkSlowdowns(ctx context.Context) {
	lastAsked := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(slowdownPollInterval):
		}
		for _, e := range g.takeSlowSuspects(lastAsked) {
			if ctx.Err() != nil {
				return
			}
			g.checkSlowdown(ctx, e)
		}
	}
}

// checkSlowdown asks an engine for its speed. It does not wait for the answer when ctx ends.
func (g *Gateway) checkSlowdown(ctx context.Context, e assign.Endpoint) {
	var factor float64
	var err error
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		factor, err = g.engines.Slowdown(e.Addr)
	}()
	select {
	case <-answered:
	case <-ctx.Done():
		return
	}
	if err != nil {
		g.log.Debug("speed of an endpoint not known", "endpoint", e.Name, "error", err)
		return
	}
	s := assign.Slowdown{Endpoint: e.Name, Incarnation: e.Incarnation, Factor: factor}
	g.mu.Lock()
	if g.observeSlowdown(g.clock.Now(), "", s) || s.Slow() {
		g.bookings.slowdown(s)
	}
	if s.Slow() {
		g.slowSuspects[e.Name] = true
	}
	g.mu.Unlock()
}

// takeSlowSuspects returns the engines to ask now, and removes them from those that are suspected. An
// engine is asked once in slowdownCheckInterval; lastAsked is when it was.
func (g *Gateway) takeSlowSuspects(lastAsked map[string]time.Time) []assign.Endpoint {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []assign.Endpoint
	for name, foundHere := range g.slowSuspects {
		if now.Sub(lastAsked[name]) < slowdownCheckInterval {
			continue
		}
		delete(g.slowSuspects, name)
		if e, ok := g.fleet.MayAskSlowdown(now, name, foundHere); ok {
			lastAsked[name] = now
			out = append(out, e)
		}
	}
	for name, at := range lastAsked {
		if now.Sub(at) >= slowdownCheckInterval {
			delete(lastAsked, name)
		}
	}
	return out
}

// suspectLateEngines suspects the engines of a placement if the first event came much later than
// predicted: each of them may be the slow one.
func (c *call) suspectLateEngines(a *assign.Assignment, waited time.Duration) {
	if c.service.Engine == nil || waited < time.Duration(lateAnswerFactor*float64(a.PredictedPrefill))+2*c.service.Engine.DecodeRunTime()+lateAnswerSlack {
		return
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.suspect(a.Primary.Name)
	for _, h := range a.Helpers {
		c.g.suspect(h.Name)
	}
}

// suspect adds an engine to those that are to be asked. The caller holds g.mu.
func (g *Gateway) suspect(name string) {
	if _, ok := g.slowSuspects[name]; !ok {
		g.slowSuspects[name] = false
	}
}

// suspectSlow suspects the engine of a stream that paused over its target, unless what it had to read
// explains the pause. The caller holds g.mu.
func (g *Gateway) suspectSlow(name string, load assign.Load) {
	if load.Running > 0 && load.Helping == 0 && load.Backlog == 0 {
		g.suspect(name)
	}
}

// observeSlowdown records the slowdown of an engine, of which the entry called peer has told; "" stands
// for this entry. It reports whether it is slow now and was not before, or the reverse. The caller
// holds g.mu.
func (g *Gateway) observeSlowdown(now time.Time, peer string, s assign.Slowdown) (changed bool) {
	if !g.fleet.ObserveSlowdown(now, s) {
		return false
	}
	g.metrics.slowdowns.Inc()
	g.log.Info("endpoint speed changed", "endpoint", s.Endpoint, "incarnation", s.Incarnation, "slow", s.Slow(), "slowdown", s.Factor, "peer", peer)
	return true
}

// slowdown queues the slowdown of an engine for the peers.
func (b *bookings) slowdown(s assign.Slowdown) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enqueue(func(q *peerQueue) { q.slowdowns = append(q.slowdowns, wire.EndpointSlowdown(s)) })
}
