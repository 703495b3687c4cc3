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
	// renewAfterFraction is the part of a hold after which it is renewed.
	renewAfterFraction = 0.6
	// maxReleaseAttempts is how often a ticket is released whose orders got no answer: some
	// seconds, in which engines may still carry them out.
	maxReleaseAttempts = 10
	releaseRetryInterval = 600 * time.Millisecond
)

// ticket is memory that was set aside at a helper.
type ticket struct {
	Helper
	endpoint string
	tokens   int64
	// unacknowledged is set once an order about the ticket got no answer.
	unacknowledged *atomic.Bool
}

// reserve sets the memory aside, or renews that.
func (t *ticket) reserve(e EngineClient, hold time.Duration) error {
	err := e.Reserve(t.Addr, t.Ticket, t.tokens, hold)
	if err != nil {
		t.unacknowledged.Store(true)
	}
	return err
}

// newTicket returns a name that no other request uses, also none of an earlier start of
// this process: an engine may still run those.
func (g *Gateway) newTicket() string {
	return fmt.Sprintf("%s-%08x-%d", g.node.Name, g.startID, g.ticketSeq.Add(1))
}

// currentTicketTTL is for how long memory is set aside at a time.
func (g *Gateway) currentTicketTTL() time.Duration { return time.Duration(g.ticketTTL.Load()) }

// reserve sets aside the memory that the assignment asks for. The returned function
// frees it, and is never nil.
func (c *call) reserve(ctx context.Context, a *assign.Assignment) (helpers []Helper, free func(), err error) {
	var held []ticket
	for i, h := range a.Helpers {
		t := ticket{Helper: Helper{Addr: h.Addr}, endpoint: h.Name, tokens: a.Booking.Helpers[i].Tokens, unacknowledged: &atomic.Bool{}}
		if t.tokens > 0 {
			t.Ticket = c.g.newTicket()
			held = append(held, t)
		}
		helpers = append(helpers, t.Helper)
	}
	renewing, stop := context.WithCancel(ctx)
	c.g.metrics.ticketsHeld.Add(int64(len(held)))
	free = func() {
		stop()
		c.g.metrics.ticketsHeld.Add(-int64(len(held)))
		for _, t := range held {
			go c.release(t)
		}
	}
	if len(held) == 0 {
		return helpers, free, nil
	}
	failed := make(chan error, len(held))
	for _, t := range held {
		go func() { failed <- t.reserve(c.g.engines, c.g.currentTicketTTL()) }()
	}
	for range held {
		if reserveErr := <-failed; reserveErr != nil {
			err = reserveErr
		}
	}
	if err != nil {
		return nil, free, c.markMemoryFull(a, held, err)
	}
	go c.renew(renewing, held)
	return helpers, free, nil
}

// markMemoryFull has the endpoints left alone for a moment: one of them had no memory.
func (c *call) markMemoryFull(a *assign.Assignment, held []ticket, err error) error {
	c.g.mu.Lock()
	for _, t := range held {
		c.g.fleet.MarkMemoryFull(c.g.clock.Now(), t.endpoint)
	}
	c.g.mu.Unlock()
	c.log().Info("memory not set aside", "helpers", len(held), "tokens", c.PromptTokens, "error", err)
	return verdict.Refuse(verdict.ReasonEndpointMemory, defaultRetryAfter, "no memory for %d tokens beside endpoint %s", c.PromptTokens, a.Primary.Name)
}

// renew keeps the memory set aside until ctx ends.
func (c *call) renew(ctx context.Context, held []ticket) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.g.clock.After(time.Duration(renewAfterFraction * float64(c.g.currentTicketTTL()))):
		}
		for _, t := range held {
			if err := t.reserve(c.g.engines, c.g.currentTicketTTL()); err != nil && ctx.Err() == nil {
				c.log().Warn("memory not renewed", "ticket", t.Ticket, "addr", t.Addr, "error", err)
			}
		}
	}
}

// release gives the memory back. An order that got no answer may be carried out later,
// even after newer ones, so that after one the release is repeated for a while.
func (c *call) release(t ticket) {
	for try := range maxReleaseAttempts {
		err := c.g.engines.Release(t.Addr, t.Ticket)
		if err == nil && !t.unacknowledged.Load() {
			return
		}
		if err != nil {
			t.unacknowledged.Store(true)
			c.log().Warn("memory not released", "ticket", t.Ticket, "addr", t.Addr, "try", try, "error", err)
		}
		<-c.g.clock.After(releaseRetryInterval)
	}
}
