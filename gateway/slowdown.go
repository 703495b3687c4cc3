package gateway

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// slowdownCheckInterval is the time between two questions for the speed of an engine.
const slowdownCheckInterval = time.Second

// checkSlowdowns asks the engines that fall to this entry for their speed until ctx ends, and tells
// the other entries of its cell of those that are slow.
func (g *Gateway) checkSlowdowns(ctx context.Context) {
	slow := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(slowdownCheckInterval):
		}
		for _, e := range g.slowdownChecks() {
			if ctx.Err() != nil {
				return
			}
			factor, err := g.engines.Slowdown(e.Addr)
			if err != nil {
				g.log.Debug("speed of an endpoint not known", "endpoint", e.Name, "error", err)
				continue
			}
			s := assign.Slowdown{Endpoint: e.Name, Incarnation: e.Incarnation, Factor: factor}
			if s.Slow() || slow[e.Name] {
				g.bookings.slowdown(s)
			}
			if slow[e.Name] = s.Slow(); !s.Slow() {
				delete(slow, e.Name)
			}
			g.mu.Lock()
			g.observeSlowdown(g.clock.Now(), "", s)
			g.mu.Unlock()
		}
	}
}

// slowdownChecks returns the engines that this entry asks for their speed.
func (g *Gateway) slowdownChecks() []assign.Endpoint {
	now, d := g.clock.Now(), g.deployment.Load()
	if d == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []assign.Endpoint
	for name, s := range d.Services {
		if s.Engine != nil {
			out = append(out, g.fleet.SlowdownChecks(now, name, g.entryAddrs, string(g.Peers))...)
		}
	}
	return out
}

// observeSlowdown records the slowdown of an engine, of which the entry called peer has told; "" stands
// for this entry. The caller holds g.mu.
func (g *Gateway) observeSlowdown(now time.Time, peer string, s assign.Slowdown) {
	if g.fleet.ObserveSlowdown(now, s) {
		g.metrics.slowdowns.Inc()
		g.log.Info("endpoint speed changed", "endpoint", s.Endpoint, "incarnation", s.Incarnation, "slow", s.Slow(), "slowdown", s.Factor, "peer", peer)
	}
}

// slowdown queues the slowdown of an engine for the peers.
func (b *bookings) slowdown(s assign.Slowdown) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enqueue(func(q *peerQueue) { q.slowdowns = append(q.slowdowns, wire.EndpointSlowdown(s)) })
}
