package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// renewalPart is the part of a hold after which it is renewed.
const renewalPart = 0.6

// ticket is memory that was set aside at a helper.
type ticket struct {
	Helper
	endpoint string
	tokens   int64
}

// reserve sets aside the memory that the assignment asks for. The returned function
// frees it, and is never nil.
func (c *call) reserve(ctx context.Context, a *assign.Assignment) (helpers []Helper, free func(), err error) {
	var held []ticket
	for i, h := range a.Helpers {
		t := ticket{Helper: Helper{Addr: h.Addr}, endpoint: h.Name, tokens: a.Booking.Helpers[i].Tokens}
		if t.tokens > 0 {
			t.Ticket = fmt.Sprintf("%s-%d", c.g.node.Name, c.g.tickets.Add(1))
			held = append(held, t)
		}
		helpers = append(helpers, t.Helper)
	}
	renewing, stop := context.WithCancel(ctx)
	free = func() {
		stop()
		for _, t := range held {
			go c.release(t)
		}
	}
	if len(held) == 0 {
		return helpers, free, nil
	}
	failed := make(chan error, len(held))
	for _, t := range held {
		go func() { failed <- c.g.memory.Reserve(t.Addr, t.Ticket, t.tokens, c.g.TicketHold) }()
	}
	for range held {
		if reserveErr := <-failed; reserveErr != nil {
			err = reserveErr
		}
	}
	if err != nil {
		return nil, free, c.noMemory(a, held, err)
	}
	go c.renew(renewing, held)
	return helpers, free, nil
}

// noMemory has the endpoints left alone for a moment: one of them had no memory.
func (c *call) noMemory(a *assign.Assignment, held []ticket, err error) error {
	c.g.mu.Lock()
	for _, t := range held {
		c.g.fleet.MemoryFull(c.g.clock.Now(), t.endpoint)
	}
	c.g.mu.Unlock()
	c.log().Info("memory not set aside", "helpers", len(held), "tokens", c.PromptTokens, "error", err)
	return verdict.Refuse(verdict.ReasonEndpointMemory, retryAfterLoss, "no memory for %d tokens beside endpoint %s", c.PromptTokens, a.First.Name)
}

// renew keeps the memory set aside until ctx ends.
func (c *call) renew(ctx context.Context, held []ticket) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.g.clock.After(time.Duration(renewalPart * float64(c.g.TicketHold))):
		}
		for _, t := range held {
			if err := c.g.memory.Reserve(t.Addr, t.Ticket, t.tokens, c.g.TicketHold); err != nil && ctx.Err() == nil {
				c.log().Warn("memory not renewed", "ticket", t.Ticket, "addr", t.Addr, "error", err)
			}
		}
	}
}

// release gives the memory back. One that cannot be asked keeps it until the hold ends.
func (c *call) release(t ticket) {
	if err := c.g.memory.Release(t.Addr, t.Ticket); err != nil {
		c.log().Warn("memory not released", "ticket", t.Ticket, "addr", t.Addr, "error", err)
	}
}
