package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// ticketHold is for how long memory is set aside without a renewal: less than what
	// endpoints may be left with after an entry died.
	ticketHold = 3 * time.Second
	// ticketRenewal is the time between renewals while the request runs.
	ticketRenewal = time.Second
)

// ticket is memory that was set aside at a helper.
type ticket struct {
	Helper
	tokens int64
}

// reserve sets aside the memory that the assignment asks for. The returned function
// frees it, and is never nil.
func (c *call) reserve(ctx context.Context, a *assign.Assignment) (helpers []Helper, free func(), err error) {
	var held []ticket
	renewing, stop := context.WithCancel(ctx)
	free = func() {
		stop()
		for _, t := range held {
			go c.release(t)
		}
	}
	for i, h := range a.Helpers {
		t := ticket{Helper: Helper{Addr: h.Addr}, tokens: a.Booking.Helpers[i].Tokens}
		if t.tokens > 0 {
			t.Ticket = fmt.Sprintf("%s-%d", c.g.node.Name, c.g.tickets.Add(1))
			held = append(held, t)
			if err := c.g.memory.Reserve(t.Addr, t.Ticket, t.tokens, ticketHold); err != nil {
				return nil, free, c.noMemory(h.Name, t.tokens, err)
			}
		}
		helpers = append(helpers, t.Helper)
	}
	if len(held) > 0 {
		go c.renew(renewing, held)
	}
	return helpers, free, nil
}

func (c *call) noMemory(name string, tokens int64, err error) error {
	c.g.mu.Lock()
	c.g.fleet.Full(c.g.clock.Now(), name)
	c.g.mu.Unlock()
	c.want.Tried = append(c.want.Tried, name)
	c.log().Info("memory not set aside", "helper", name, "tokens", tokens, "error", err)
	return verdict.Refuse(verdict.ReasonEndpointMemory, retryAfterLoss, "endpoint %s has no memory for %d tokens", name, tokens)
}

// renew keeps the memory set aside until ctx ends.
func (c *call) renew(ctx context.Context, held []ticket) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.g.clock.After(ticketRenewal):
		}
		for _, t := range held {
			if err := c.g.memory.Reserve(t.Addr, t.Ticket, t.tokens, ticketHold); err != nil && ctx.Err() == nil {
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
