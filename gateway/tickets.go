package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// renewAfterFraction is the fraction of a reservation's TTL after which it is
	// renewed.
	renewAfterFraction = 0.45
	// renewRetryInterval is the time until a renewal that failed, or was put off because the primary
	// endpoint answered no health check, is tried again.
	renewRetryInterval = 200 * time.Millisecond
	// maxReleaseAttempts is how many times the release of a ticket is sent if a reserve
	// or release request for it got no answer. Engines may still execute such requests
	// some seconds later.
	maxReleaseAttempts   = 10
	releaseRetryInterval = 600 * time.Millisecond
	// maxHoldersAsked is how many engines that hold memory of a request are asked before a renewal, until
	// one answers.
	maxHoldersAsked = 2
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

// reserve makes the memory reservations of the attempt and renews them until its end or until
// free is called. The returned function free releases them and is never nil.
func (a *attempt) reserve() (helpers []Helper, free func(), err error) {
	g := a.c.g
	var reserved []ticket
	for i, h := range a.placed.Helpers {
		t := ticket{Helper: Helper{Addr: h.Addr}, endpoint: h.Name, tokens: a.placed.Booking.Helpers[i].Tokens, unacknowledged: &atomic.Bool{}}
		if t.tokens > 0 {
			t.Ticket = g.newTicket()
			reserved = append(reserved, t)
		}
		helpers = append(helpers, t.Helper)
	}
	renewCtx, stop := context.WithCancel(a.ctx)
	g.metrics.ticketsHeld.Add(int64(len(reserved)))
	free = func() {
		stop()
		g.metrics.ticketsHeld.Add(-int64(len(reserved)))
		go a.releaseAll(reserved)
	}
	if len(reserved) == 0 {
		return helpers, free, nil
	}
	failures := make([]error, len(reserved))
	var orders sync.WaitGroup
	for i, t := range reserved {
		orders.Go(func() { failures[i] = t.reserve(g.engines, g.currentTicketTTL()) })
	}
	orders.Wait()
	if slices.ContainsFunc(failures, func(err error) bool { return err != nil }) {
		return nil, free, a.markMemoryFull(reserved, failures)
	}
	go a.renew(renewCtx, reserved)
	return helpers, free, nil
}

// markMemoryFull marks the memory of the helpers with a failed reservation as full for a moment, and
// returns the refusal. The argument failures has an entry for each reservation, nil if it was made.
func (a *attempt) markMemoryFull(reserved []ticket, failures []error) error {
	g, tokens := a.c.g, a.request.PromptTokens
	var failed []string
	var last error
	for i, err := range failures {
		if err != nil {
			failed, last = append(failed, reserved[i].endpoint), err
		}
	}
	g.mu.Lock()
	for _, endpoint := range failed {
		g.fleet.MarkMemoryFull(g.clock.Now(), endpoint)
	}
	g.mu.Unlock()
	a.log().Info("memory reservation failed", "helpers", len(reserved), "refused_by", failed, "placer", a.placed.placer, "tokens", tokens, "error", last)
	return verdict.Refuse(verdict.ReasonEndpointMemory, defaultRetryAfter, "no memory for %d tokens beside endpoint %s", tokens, a.endpoint())
}

// renew renews the reservations until ctx ends. They are not renewed, and the call is told of the
// silence, while the primary endpoint, without which they serve nothing, answers no health checks, unless
// the request must not be sent to another endpoint, and while no request uses them. Reservations that were not renewed
// for their TTL have ended, and are not made anew.
func (a *attempt) renew(ctx context.Context, reserved []ticket) {
	g := a.c.g
	wait := func() time.Duration { return time.Duration(renewAfterFraction * float64(g.currentTicketTTL())) }
	due, ends := reserved, a.reservationEnd()
	for next := wait(); ; {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(next):
		}
		progress := a.timer.progress()
		if len(reserved) > 0 && g.clock.Now().After(ends) {
			a.releaseEnded(reserved)
			reserved, due = nil, nil
		}
		if a.c.route.Kind == Repeatable && !g.engineAlive(a.placed.Primary) {
			a.timer.declareSilent(progress)
			next = renewRetryInterval
			continue
		}
		if !a.usesMemory(reserved) {
			a.declareLost(progress)
			next = healthCheckInterval
			continue
		}
		ends = a.reservationEnd()
		if due = a.renewOnce(ctx, due); len(due) > 0 {
			next = renewRetryInterval
			continue
		}
		next, due = wait(), reserved
	}
}

// reservationEnd returns when reservations end that are made or renewed now.
func (a *attempt) reservationEnd() time.Time {
	return a.c.g.clock.Now().Add(a.c.g.currentTicketTTL())
}

// releaseEnded releases reservations whose TTL has passed, for an engine that has not ended them by itself.
func (a *attempt) releaseEnded(reserved []ticket) {
	a.log().Info("memory reservation ended without a renewal", "tickets", len(reserved), "quiet", a.quiet())
	var orders sync.WaitGroup
	for _, t := range reserved {
		orders.Go(func() {
			if err := a.c.g.engines.Release(t.Addr, t.Ticket); err != nil {
				a.log().Warn("memory reservation not released", "ticket", t.Ticket, "addr", t.Addr, "try", 0, "error", err)
			}
		})
	}
	orders.Wait()
}

// renewOnce renews reservations at the same time and returns those for which that failed.
func (a *attempt) renewOnce(ctx context.Context, due []ticket) (failed []ticket) {
	failures := make(chan ticket, len(due))
	var orders sync.WaitGroup
	for _, t := range due {
		orders.Go(func() {
			err := t.reserve(a.c.g.engines, a.c.g.currentTicketTTL())
			if err == nil || ctx.Err() != nil {
				return
			}
			a.log().Warn("memory reservation not renewed", "ticket", t.Ticket, "addr", t.Addr, "error", err)
			failures <- t
		})
	}
	orders.Wait()
	close(failures)
	for t := range failures {
		failed = append(failed, t)
	}
	return failed
}

// releaseAll ends reservations.
func (a *attempt) releaseAll(reserved []ticket) {
	var first sync.WaitGroup
	for _, t := range reserved {
		first.Add(1)
		go a.release(t, first.Done)
	}
	first.Wait()
	close(a.released)
}

// release ends a reservation, and calls tried after the first try. A reserve or release request that got no answer may be
// executed later, even after newer requests, so the release is then repeated for a
// while.
func (a *attempt) release(t ticket, tried func()) {
	g := a.c.g
	for try := range maxReleaseAttempts {
		err := g.engines.Release(t.Addr, t.Ticket)
		if try == 0 {
			tried()
		}
		if err == nil && !t.unacknowledged.Load() {
			return
		}
		if err != nil {
			t.unacknowledged.Store(true)
			a.log().Warn("memory reservation not released", "ticket", t.Ticket, "addr", t.Addr, "try", try, "error", err)
		}
		<-g.clock.After(releaseRetryInterval)
	}
}
