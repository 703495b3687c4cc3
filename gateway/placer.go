package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/schedule"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// waitingNoticeInterval is how often the placing entry reports that a request still
	// waits.
	waitingNoticeInterval = 150 * time.Millisecond
	// placerTimeout is how long this entry waits for a message of the placing entry
	// before it places a request by itself.
	placerTimeout = 500 * time.Millisecond
	// placerBackoff is the pause before an entry that gave no usable answer is asked again to
	// place a request.
	placerBackoff = time.Second
	// maxPlacersAsked bounds the entries that are asked to place one request. Only entries that
	// answered without a usable choice are followed by another one.
	maxPlacersAsked = 3
)

// placer selects the placing entry, which chooses the endpoints for the long prompts of
// all entries: the first by address among the entries that answer with a usable choice. A
// single chooser prevents entries from choosing the same idle endpoints at the same
// moment. Its lock is "gateway.placer" of kernel.LockOrder.
type placer struct {
	mu    sync.Mutex
	addrs []string
	// lastUnusable is when an entry last gave no usable answer, by address.
	lastUnusable map[string]time.Time
	// cells are the cells of the deployment; nil if there is only this entry's.
	cells *assign.Cells
	// unconfirmed are the bookings made here for other entries of the cell that these have not
	// reported as theirs yet.
	unconfirmed map[peerBooking]bool
}

// peerBooking identifies a booking of another entry.
type peerBooking struct {
	owner string
	id    uint64
}

// expectConfirmation records that an entry has yet to report a booking that was made for it.
func (p *placer) expectConfirmation(b peerBooking) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unconfirmed == nil {
		p.unconfirmed = map[peerBooking]bool{}
	}
	p.unconfirmed[b] = true
}

// confirm records that an entry has reported a booking, and returns whether that was outstanding.
func (p *placer) confirm(b peerBooking) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	outstanding := p.unconfirmed[b]
	delete(p.unconfirmed, b)
	return outstanding
}

// currentAddr returns the address of the entry to ask, "" when there is none.
func (p *placer) currentAddr(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range p.addrs {
		if p.usable(now, addr) {
			return addr
		}
	}
	return ""
}

// usable reports whether an entry may be asked. The caller holds p.mu.
func (p *placer) usable(now time.Time, addr string) bool {
	at, ok := p.lastUnusable[addr]
	return !ok || now.Sub(at) > placerBackoff
}

// markUnusable records that an entry gave no usable answer.
func (p *placer) markUnusable(now time.Time, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastUnusable == nil {
		p.lastUnusable = map[string]time.Time{}
	}
	p.lastUnusable[addr] = now
}

// placeAtPeer lets the placing entry choose endpoints. It returns nil and no error when
// this entry has to choose by itself.
func (g *Gateway) placeAtPeer(ctx context.Context, w *waiter) (*placement, error) {
	for range maxPlacersAsked {
		addr := g.placer.currentAddr(g.clock.Now())
		if addr == "" || addr == string(g.Peers) || g.stopping.Load() {
			return nil, nil
		}
		answer, _ := g.askPlacer(ctx, addr, w.toWire(g.clock.Now()), false)
		if ctx.Err() != nil {
			g.bookings.end(w.BookingID, true)
			return nil, g.withdraw(ctx, w)
		}
		if answer != nil && answer.Refused != nil && answer.Refused.Refusal().Reason != verdict.ReasonStaleConfiguration {
			return nil, answer.Refused.Refusal()
		}
		p, rejected := g.acceptPlacement(addr, w, answer, nil)
		if p != nil {
			return p, nil
		}
		g.bookings.end(w.BookingID, true)
		w.BookingID = g.bookings.newID()
		if rejected != "" && rejected != verdict.ReasonZoneOut {
			return nil, nil // the lists of endpoints differ for a moment
		}
		g.placer.markUnusable(g.clock.Now(), addr)
		if answer == nil {
			return nil, nil // another silent entry would cost another placerTimeout
		}
	}
	return nil, nil
}

// acceptPlacement books the choice of another entry, if there is one. It rejects a choice that does
// not hold by what this entry knows, and returns the reason: the other one may lack changes, and
// the request is sent under the permission of this entry. The argument held is the stream to an
// entry of another cell, which holds the booking; nil if this entry does.
func (g *Gateway) acceptPlacement(addr string, w *waiter, answer *wire.Placed, held wire.Stream) (p *placement, rejected verdict.Reason) {
	if answer == nil || answer.Booking == nil {
		return nil, ""
	}
	now := g.clock.Now()
	g.mu.Lock()
	a, known := g.fleet.ResolveBooking(fromWire(answer.Booking))
	endpoint, rejected := "", verdict.ReasonEndpointLost
	if known {
		endpoint, rejected = g.fleet.Withdrawn(now, a, w.Request.Request)
	}
	if rejected == "" {
		a.PredictedPrefill, a.Candidates = answer.PredictedPrefill, answer.Candidates
		if held == nil {
			g.fleet.Book(now, "", w.BookingID, &a.Booking)
		}
	}
	g.mu.Unlock()
	if rejected != "" {
		g.metrics.placementsRejected.Inc()
		g.log.Warn("placement by another entry rejected", "placer", addr, "booking", w.BookingID, "primary", answer.Booking.Primary.Endpoint, "rejected", endpoint,
			"reason", string(rejected), "placer_revision", answer.Revision, "revision", g.client.Permission().Revision)
		return nil, rejected
	}
	g.metrics.placedByPeers.Inc()
	if held == nil {
		g.bookings.begin(w.BookingID, &a.Booking)
	}
	return &placement{Assignment: a, g: g, id: w.BookingID, placer: addr, revision: answer.Revision, held: held}, ""
}

// askPlacer returns the final answer of the placing entry, or nil when it does not answer. With
// keep set, it also returns the open stream if the answer is a booking.
func (g *Gateway) askPlacer(ctx context.Context, addr string, m *wire.Place, keep bool) (*wire.Placed, wire.Stream) {
	g.mu.Lock()
	m.MemoryFull = g.fleet.MemoryFull(g.clock.Now())
	g.mu.Unlock()
	openCtx, cancel := context.WithTimeout(ctx, placerTimeout)
	defer cancel()
	stream, err := g.dialer.Open(openCtx, addr)
	if err != nil {
		return nil, nil
	}
	detach := context.AfterFunc(ctx, stream.Abort)
	answer := g.awaitPlaced(stream, m)
	if keep && answer != nil && answer.Booking != nil && detach() {
		return answer, stream
	}
	detach()
	stream.Abort()
	return answer, nil
}

// awaitPlaced sends a request to the placing entry and returns the final answer, or nil.
func (g *Gateway) awaitPlaced(stream wire.Stream, m *wire.Place) *wire.Placed {
	if err := stream.Send(m); err != nil {
		return nil
	}
	for {
		if err := stream.SetDeadline(g.clock.Now().Add(placerTimeout)); err != nil {
			return nil
		}
		m, err := stream.Recv()
		if err != nil {
			return nil
		}
		placed, ok := m.(*wire.Placed)
		switch {
		case !ok:
			return nil
		case placed.Refused != nil || placed.Booking != nil:
			return placed
		}
	}
}

// toWire returns the request as a message to the placing entry.
func (w *waiter) toWire(now time.Time) *wire.Place {
	r := w.Request.Request
	m := &wire.Place{
		Booking: w.BookingID, Service: r.Service, Account: w.Account, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Tried: r.Tried, EventGapTarget: r.EventGapTarget, Waited: now.Sub(w.Arrived), StartIn: w.StartBy.Sub(now), ExpiresIn: w.GiveUpAt.Sub(now), RelaxAfter: r.RelaxAfter,
		Immediate: w.Immediate,
	}
	if !r.Due.IsZero() {
		m.DueIn = r.Due.Sub(now)
	}
	if !w.YieldAt.IsZero() {
		m.YieldIn = w.YieldAt.Sub(now)
	}
	return m
}

// servePlace places a request for another entry and sends the answer.
func (g *Gateway) servePlace(stream wire.Stream, m *wire.Place) {
	now := g.clock.Now()
	w := newWaiter(schedule.Request{
		Owner: stream.Peer().Name, BookingID: m.Booking, Account: m.Account, Arrived: now.Add(-m.Waited),
		StartBy: now.Add(m.StartIn), GiveUpAt: now.Add(m.ExpiresIn), Immediate: m.Immediate,
		Request: &assign.Request{
			Service: m.Service, PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens, Tried: m.Tried, Zone: g.node.Zone, ForPeer: true,
			EventGapTarget: m.EventGapTarget, RelaxAfter: m.RelaxAfter,
		},
	})
	g.mu.Lock()
	for _, endpoint := range m.MemoryFull {
		g.fleet.MarkMemoryFull(now, endpoint)
	}
	g.mu.Unlock()
	if m.DueIn != 0 {
		w.Due = now.Add(m.DueIn)
	}
	if m.YieldIn > 0 {
		w.YieldAt = now.Add(m.YieldIn)
	}
	if m.Hold > 0 {
		// The bookings of an entry of another cell are those of this entry here.
		w.Owner, w.BookingID = "", g.bookings.newID()
	}
	answer := &wire.Placed{}
	switch d := g.deployment.Load(); {
	case d == nil || d.Services[m.Service] == nil:
		answer.Refused = wire.NewRefused(wire.Attempt{}, verdict.Refuse(verdict.ReasonStaleConfiguration, staleRetryAfter, "service %q is not known at entry %s", m.Service, g.node.Name))
	case !g.client.Fresh():
		answer.Refused = g.refusePlacing(w)
	default:
		w.Engine, w.MinEventGapTarget = d.Services[m.Service].Engine, d.Services[m.Service].minEventGapTarget
		answer = g.placeForPeer(stream, w, m.Hold)
	}
	switch {
	case answer == nil:
	case answer.Booking != nil && m.Hold > 0:
		g.holdForPeer(stream, w, answer, m.Hold)
	case answer.Booking != nil:
		booked := peerBooking{owner: w.Owner, id: w.BookingID}
		g.placer.expectConfirmation(booked)
		g.sendPlaced(stream, answer)
		time.AfterFunc(bookingTimeout, func() { g.endUnconfirmed(booked) })
	default:
		g.sendPlaced(stream, answer)
	}
}

// refusePlacing returns the refusal of an entry whose permission has lapsed: it may lack changes
// that the asking entry has.
func (g *Gateway) refusePlacing(w *waiter) *wire.Refused {
	revision := g.client.Permission().Revision
	g.log.Info("placing for another entry refused", "peer", w.Owner, "booking", w.BookingID, "service", w.Service, "revision", revision)
	return wire.NewRefused(wire.Attempt{}, verdict.Refuse(verdict.ReasonStaleConfiguration, staleRetryAfter, "the permission of entry %s has lapsed at revision %d", g.node.Name, revision))
}

// placeForPeer waits for endpoints for a request of another entry and reports regularly
// that the request still waits. It returns nil when the other entry has withdrawn the
// request. The argument hold is Place.Hold: if it is set, the other entry goes on to use the stream.
func (g *Gateway) placeForPeer(stream wire.Stream, w *waiter, hold time.Duration) *wire.Placed {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	if hold == 0 {
		go func() {
			// The other entry sends nothing more. It closes the stream to withdraw the request.
			if _, err := stream.Recv(); err != nil {
				cancel()
			}
		}()
	}
	if err := stream.SetDeadline(w.GiveUpAt.Add(placerTimeout + hold)); err != nil {
		return nil
	}
	done := make(chan placeResult, 1)
	go func() {
		a, err := g.waitForPlacement(ctx, w)
		done <- placeResult{assignment: a, err: err}
	}()
	for {
		select {
		case o := <-done:
			if ctx.Err() != nil {
				g.cancelBooking(w, o)
				return nil
			}
			if o.err != nil {
				return &wire.Placed{Refused: wire.NewRefused(wire.Attempt{}, verdict.From(o.err))}
			}
			if !g.client.Fresh() {
				g.cancelBooking(w, o)
				return &wire.Placed{Refused: g.refusePlacing(w)}
			}
			g.metrics.placedForPeers.Inc()
			permission := g.client.Permission()
			g.log.Info("request placed for another entry", "peer", stream.Peer().Name, "booking", w.BookingID, "other_cell", hold > 0, "service", w.Service,
				"endpoint", o.assignment.Primary.Name, "zone", o.assignment.Primary.Zone, "helper_names", helperNames(o.assignment),
				"considered", o.assignment.Candidates, "readers", o.assignment.Readers, "waiting", g.waitingFor(w), "predicted", o.assignment.PredictedPrefill, "queued", g.clock.Now().Sub(w.Arrived), "revision", permission.Revision, "permission_left", permission.Left)
			return &wire.Placed{
				Booking: toWire(w.BookingID, &o.assignment.Booking), PredictedPrefill: o.assignment.PredictedPrefill, Candidates: o.assignment.Candidates,
				Revision: permission.Revision,
			}
		case <-g.clock.After(waitingNoticeInterval):
			if !g.sendPlaced(stream, &wire.Placed{Waiting: true}) {
				cancel()
			}
		}
	}
}

// waitingFor returns how many requests wait in the queue of a request.
func (g *Gateway) waitingFor(w *waiter) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting.WaitingWith(&w.Request)
}

// cancelBooking ends the booking of an entry that has withdrawn its request.
func (g *Gateway) cancelBooking(w *waiter, o placeResult) {
	if o.assignment == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.EndBooking(w.Owner, w.BookingID, true)
}

// endUnconfirmed ends a booking that the entry for which it was made has not reported. That entry may
// have gone on without it.
func (g *Gateway) endUnconfirmed(b peerBooking) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.placer.confirm(b) {
		return
	}
	g.log.Info("booking for another entry ended", "peer", b.owner, "booking", b.id, "reason", "that entry has not reported it")
	g.fleet.EndBooking(b.owner, b.id, true)
	g.placeQueued(g.clock.Now())
}

// sendPlaced sends a message to the asking entry and reports whether that succeeded.
func (g *Gateway) sendPlaced(stream wire.Stream, m *wire.Placed) bool {
	if err := stream.SetSendDeadline(g.clock.Now().Add(placerTimeout)); err != nil {
		return false
	}
	err := stream.Send(m)
	if err != nil {
		g.log.Debug("placement not delivered", "peer", stream.Peer().Name, "error", err)
	}
	return err == nil
}
