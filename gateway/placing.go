package gateway

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
)

// errConvicted is the cause with which the wait of a request for endpoints ends once it is known to
// crash them.
var errConvicted = errors.New("the request is known to crash endpoints")

// placing holds the attempts that wait for endpoints.
type placing struct {
	// mu guards attempts. It is "gateway.placing" of kernel.LockOrder.
	mu       sync.Mutex
	attempts map[*attempt]context.CancelCauseFunc
}

func newPlacing() *placing { return &placing{attempts: map[*attempt]context.CancelCauseFunc{}} }

// begin adds an attempt and returns the context of its wait. The attempt is removed with end.
func (p *placing) begin(a *attempt) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(a.ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[a] = cancel
	return ctx, func() {
		p.mu.Lock()
		delete(p.attempts, a)
		p.mu.Unlock()
		cancel(nil)
	}
}

// all returns the attempts that wait now.
func (p *placing) all() map[*attempt]context.CancelCauseFunc {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[*attempt]context.CancelCauseFunc, len(p.attempts))
	for a, cancel := range p.attempts {
		out[a] = cancel
	}
	return out
}

// endConvictedWaits ends the waits of requests that are known to crash endpoints. Those that may be tried
// go on.
func (g *Gateway) endConvictedWaits() {
	for a, cancel := range g.placing.all() {
		if s := a.c.suspicion(); s.status == quarantine.Convicted && s.digest != a.trialOf {
			cancel(errConvicted)
		}
	}
}
