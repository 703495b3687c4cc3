package gateway

import (
	"context"
	"maps"
	"sync"

	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
)

// placing holds the attempts that wait for endpoints.
type placing struct {
	// mu guards waits. It is "gateway.placing" of kernel.LockOrder.
	mu    sync.Mutex
	waits map[*attempt]endpointWait
}

// endpointWait is the wait of an attempt for endpoints.
type endpointWait struct {
	cancel context.CancelCauseFunc
	// trialOf is that of the attempt when the wait began.
	trialOf uint64
}

func newPlacing() *placing { return &placing{waits: map[*attempt]endpointWait{}} }

// begin adds an attempt and returns the context of its wait. The attempt is removed with end.
func (p *placing) begin(a *attempt) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(a.ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits[a] = endpointWait{cancel: cancel, trialOf: a.trialOf}
	return ctx, func() {
		p.mu.Lock()
		delete(p.waits, a)
		p.mu.Unlock()
		cancel(nil)
	}
}

// all returns the waits of now.
func (p *placing) all() map[*attempt]endpointWait {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.waits)
}

// endConvictedWaits ends the waits of requests that are known to crash endpoints, with the refusal as the
// cause. Those that may be tried go on.
func (g *Gateway) endConvictedWaits() {
	for a, wait := range g.placing.all() {
		if s := a.c.suspicion(); s.status == quarantine.Convicted && s.digest != wait.trialOf && a.c.clearableFor(s) == 0 {
			wait.cancel(a.c.refuseConvicted(s))
		}
	}
}
