package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
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
	// placerBackoff is the pause before an entry that did not answer is asked again to
	// place a request.
	placerBackoff = time.Second
)

// placer selects the placing entry, which chooses the endpoints for the long prompts of
// all entries: the first by address among the entries that answer. A single chooser
// prevents entries from choosing the same idle endpoints at the same moment. Its lock
// is "gateway.placer" of kernel.LockOrder.
type placer struct {
	mu    sync.Mutex
	addrs []string
	// lastUnanswered is when an entry last failed to answer, by address.
	lastUnanswered map[string]time.Time
}

// setAddrs replaces the addresses of the entries, which are sorted.
func (p *placer) setAddrs(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs = addrs
}

// currentAddr returns the address of the entry to ask, "" when there is none.
func (p *placer) currentAddr(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range p.addrs {
		if at, ok := p.lastUnanswered[addr]; !ok || now.Sub(at) > placerBackoff {
			return addr
		}
	}
	return ""
}

// markSilent records that an entry did not answer.
func (p *placer) markSilent(now time.Time, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastUnanswered == nil {
		p.lastUnanswered = map[string]time.Time{}
	}
	p.lastUnanswered[addr] = now
}

// placeAtPeer lets the placing entry choose endpoints. It returns nil and no error when
// this entry has to choose by itself.
func (g *Gateway) placeAtPeer(ctx context.Context, w *waiter) (*placement, error) {
	addr := g.placer.currentAddr(g.clock.Now())
	if addr == "" || addr == string(g.Peers) || g.stopping.Load() {
		return nil, nil
	}
	a, revision, err := g.askPlacer(ctx, addr, w)
	if ctx.Err() != nil {
		g.bookings.end(w.bookingID, true)
		return nil, g.withdraw(ctx, w)
	}
	if err != nil {
		return nil, err
	}
	if a == nil {
		g.placer.markSilent(g.clock.Now(), addr)
		g.bookings.end(w.bookingID, true)
		w.bookingID = g.bookings.newID()
		return nil, nil
	}
	g.metrics.placedByPeers.Inc()
	now := g.clock.Now()
	g.bookings.begin(w.bookingID, &a.Booking)
	g.mu.Lock()
	g.fleet.Book(now, "", w.bookingID, &a.Booking)
	g.mu.Unlock()
	return &placement{Assignment: a, g: g, id: w.bookingID, placer: addr, revision: revision}, nil
}

// askPlacer returns the choice of the placing entry with the revision of its configuration, or
// its refusal, and nil without an error when that entry does not answer.
func (g *Gateway) askPlacer(ctx context.Context, addr string, w *waiter) (a *assign.Assignment, revision uint64, err error) {
	openCtx, cancel := context.WithTimeout(ctx, placerTimeout)
	defer cancel()
	stream, err := g.dialer.Open(openCtx, addr)
	if err != nil {
		return nil, 0, nil
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	if err := stream.Send(w.toWire(g.clock.Now())); err != nil {
		return nil, 0, nil
	}
	for {
		if err := stream.SetDeadline(g.clock.Now().Add(placerTimeout)); err != nil {
			return nil, 0, nil
		}
		m, err := stream.Recv()
		if err != nil {
			return nil, 0, nil
		}
		placed, ok := m.(*wire.Placed)
		switch {
		case !ok:
			return nil, 0, nil
		case placed.Refused != nil:
			return nil, 0, placed.Refused.Refusal()
		case placed.Booking != nil:
			return g.resolvePlaced(placed), placed.Revision, nil
		}
	}
}

// resolvePlaced returns the assignment of a Placed message, or nil when it names an
// endpoint that this entry does not know.
func (g *Gateway) resolvePlaced(p *wire.Placed) *assign.Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.fleet.ResolveBooking(fromWire(p.Booking))
	if !ok {
		return nil
	}
	a.PredictedPrefill, a.Candidates = p.PredictedPrefill, p.Candidates
	return a
}

// toWire returns the request as a message to the placing entry.
func (w *waiter) toWire(now time.Time) *wire.Place {
	r := w.request
	return &wire.Place{
		Booking: w.bookingID, Service: r.Service, Account: w.account, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Tried: r.Tried, EventGapTarget: r.EventGapTarget, Waited: now.Sub(w.arrived), StartIn: w.startBy.Sub(now), ExpiresIn: w.giveUpAt.Sub(now), RelaxAfter: r.RelaxAfter,
	}
}

// servePlace places a request for another entry and sends the answer.
func (g *Gateway) servePlace(stream wire.Stream, m *wire.Place) {
	now := g.clock.Now()
	w := &waiter{
		owner: stream.Peer().Name, bookingID: m.Booking, account: m.Account, arrived: now.Add(-m.Waited),
		startBy: now.Add(m.StartIn), giveUpAt: now.Add(m.ExpiresIn), result: make(chan placeResult, 1),
		request: &assign.Request{
			Service: m.Service, PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens, Tried: m.Tried, Zone: g.node.Zone,
			EventGapTarget: m.EventGapTarget, RelaxAfter: m.RelaxAfter,
		},
	}
	answer := &wire.Placed{}
	if d := g.deployment.Load(); d == nil || d.Services[m.Service] == nil {
		answer.Refused = wire.NewRefused(wire.Attempt{}, verdict.Refuse(verdict.ReasonStaleConfiguration, staleRetryAfter, "service %q is not known at entry %s", m.Service, g.node.Name))
	} else {
		w.request.Engine, w.request.MinEventGapTarget = d.Services[m.Service].Engine, d.Services[m.Service].minEventGapTarget
		answer = g.placeForPeer(stream, w)
	}
	if answer != nil {
		g.sendPlaced(stream, answer)
	}
}

// placeForPeer waits for endpoints for a request of another entry and reports regularly
// that the request still waits. It returns nil when the other entry has withdrawn the
// request.
func (g *Gateway) placeForPeer(stream wire.Stream, w *waiter) *wire.Placed {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		// The other entry sends nothing more. It closes the stream to withdraw the request.
		if _, err := stream.Recv(); err != nil {
			cancel()
		}
	}()
	if err := stream.SetDeadline(w.giveUpAt.Add(placerTimeout)); err != nil {
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
			g.metrics.placedForPeers.Inc()
			permission := g.client.Permission()
			g.log.Info("request placed for another entry", "peer", w.owner, "booking", w.bookingID, "service", w.request.Service,
				"endpoint", o.assignment.Primary.Name, "zone", o.assignment.Primary.Zone, "helper_names", helperNames(o.assignment),
				"considered", o.assignment.Candidates, "revision", permission.Revision, "permission_left", permission.Left)
			return &wire.Placed{
				Booking: toWire(w.bookingID, &o.assignment.Booking), PredictedPrefill: o.assignment.PredictedPrefill, Candidates: o.assignment.Candidates,
				Revision: permission.Revision,
			}
		case <-g.clock.After(waitingNoticeInterval):
			if !g.sendPlaced(stream, &wire.Placed{Waiting: true}) {
				cancel()
			}
		}
	}
}

// cancelBooking ends the booking of an entry that has withdrawn its request.
func (g *Gateway) cancelBooking(w *waiter, o placeResult) {
	if o.assignment == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.EndBooking(w.owner, w.bookingID, true)
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
