package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// renewAfterFraction is the fraction of a reservation's TTL after which it is
	// renewed.
	renewAfterFraction = 0.6
	// maxReleaseAttempts is how many times the release of a ticket is sent if a reserve
	// or release request for it got no answer. Engines may still execute such requests
	// some seconds later.
	maxReleaseAttempts   = 10
	releaseRetryInterval = 600 * time.Millisecond
)

// ticket is a reservation of KV memory at a helper.
type ticket struct {
	Helper
	endpoint string
	tokens   int64
	// unacknowledged is set once a reserve or release request for the ticket got no
	// answer.
	unacknowledged *atomic.Bool
}

// reserve makes the reservation or renews it.
func (t *ticket) reserve(e EngineClient, ttl time.Duration) error {
	err := e.Reserve(t.Addr, t.Ticket, t.tokens, ttl)
	if err != nil {
		t.unacknowledged.Store(true)
	}
	return err
}

// newTicket returns a ticket that no other request uses. It also differs from the
// tickets of earlier starts of this process, because engines may still execute reserve
// and release requests from before a restart.
func (g *Gateway) newTicket() string {
	return fmt.Sprintf("%s-%08x-%d", g.node.Name, g.startID, g.ticketSeq.Add(1))
}

// currentTicketTTL is the TTL of a reservation.
func (g *Gateway) currentTicketTTL() time.Duration { return time.Duration(g.ticketTTL.Load()) }

// reserve makes the memory reservations of the assignment and renews them until ctx ends or
// free is called. The returned function free releases them and is never nil. The attempt is
// cancelled if its primary endpoint has failed silently.
func (c *call) reserve(ctx context.Context, cancel context.CancelCauseFunc, a *assign.Assignment) (helpers []Helper, free func(), err error) {
	var reserved []ticket
	for i, h := range a.Helpers {
		t := ticket{Helper: Helper{Addr: h.Addr}, endpoint: h.Name, tokens: a.Booking.Helpers[i].Tokens, unacknowledged: &atomic.Bool{}}
		if t.tokens > 0 {
			t.Ticket = c.g.newTicket()
			reserved = append(reserved, t)
		}
		helpers = append(helpers, t.Helper)
	}
	renewCtx, stop := context.WithCancel(ctx)
	c.g.metrics.ticketsHeld.Add(int64(len(reserved)))
	free = func() {
		stop()
		c.g.metrics.ticketsHeld.Add(-int64(len(reserved)))
		for _, t := range reserved {
			go c.release(t)
		}
	}
	if len(reserved) == 0 {
		return helpers, free, nil
	}
	failed := make(chan error, len(reserved))
	for _, t := range reserved {
		go func() { failed <- t.reserve(c.g.engines, c.g.currentTicketTTL()) }()
	}
	for range reserved {
		if reserveErr := <-failed; reserveErr != nil {
			err = reserveErr
		}
	}
	if err != nil {
		return nil, free, c.markMemoryFull(a, reserved, err)
	}
	go c.renew(renewCtx, cancel, a.Primary, reserved)
	return helpers, free, nil
}

// markMemoryFull marks the memory of all helpers as full for a moment, because the
// error does not show which of them refused, and returns the refusal.
func (c *call) markMemoryFull(a *assign.Assignment, reserved []ticket, err error) error {
	c.g.mu.Lock()
	for _, t := range reserved {
		c.g.fleet.MarkMemoryFull(c.g.clock.Now(), t.endpoint)
	}
	c.g.mu.Unlock()
	c.log().Info("memory reservation failed", "helpers", len(reserved), "tokens", c.PromptTokens, "error", err)
	return verdict.Refuse(verdict.ReasonEndpointMemory, defaultRetryAfter, "no memory for %d tokens beside endpoint %s", c.PromptTokens, a.Primary.Name)
}

// renew renews the reservations until ctx ends or the primary endpoint, without which they
// serve nothing, no longer answers health checks. It then cancels the attempt, unless the
// request must not be sent to another endpoint.
func (c *call) renew(ctx context.Context, cancel context.CancelCauseFunc, primary assign.Endpoint, reserved []ticket) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.g.clock.After(time.Duration(renewAfterFraction * float64(c.g.currentTicketTTL()))):
		}
		if c.route.Kind == Repeatable && !c.g.engineAlive(primary) {
			cancel(errSilent)
			return
		}
		for _, t := range reserved {
			if err := t.reserve(c.g.engines, c.g.currentTicketTTL()); err != nil && ctx.Err() == nil {
				c.log().Warn("memory reservation not renewed", "ticket", t.Ticket, "addr", t.Addr, "error", err)
			}
		}
	}
}

// release ends a reservation. A reserve or release request that got no answer may be
// executed later, even after newer requests, so the release is then repeated for a
// while.
func (c *call) release(t ticket) {
	for try := range maxReleaseAttempts {
		err := c.g.engines.Release(t.Addr, t.Ticket)
		if err == nil && !t.unacknowledged.Load() {
			return
		}
		if err != nil {
			t.unacknowledged.Store(true)
			c.log().Warn("memory reservation not released", "ticket", t.Ticket, "addr", t.Addr, "try", try, "error", err)
		}
		<-c.g.clock.After(releaseRetryInterval)
	}
}
