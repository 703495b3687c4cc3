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
	// waitingNoticeInterval is how often the placing entry says that a request still waits.
	waitingNoticeInterval = 150 * time.Millisecond
	// placerTimeout is after how long without a word this entry places by itself.
	placerTimeout = 500 * time.Millisecond
	// placerBackoff is for how long an entry that was silent is not asked.
	placerBackoff = time.Second
)

// placer is the entry that places the long prompts of all: the first by address of
// those that answer. One order for all of them keeps entries from taking the same idle
// endpoints at the same moment. Its lock is "gateway.placer" of kernel.LockOrder.
type placer struct {
	mu     sync.Mutex
	addrs  []string
	silentSince map[string]time.Time
}

// setAddrs takes over the addresses of the entries, which are sorted.
func (p *placer) setAddrs(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs = addrs
}

// currentAddr returns the entry to ask, "" before any is known.
func (p *placer) currentAddr(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range p.addrs {
		if at, ok := p.silentSince[addr]; !ok || now.Sub(at) > placerBackoff {
			return addr
		}
	}
	return ""
}

func (p *placer) markSilent(now time.Time, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silentSince == nil {
		p.silentSince = map[string]time.Time{}
	}
	p.silentSince[addr] = now
}

// placeAtPeer has the placing entry choose. It returns nothing when this entry has to
// choose by itself.
func (g *Gateway) placeAtPeer(ctx context.Context, w *waiter) (*placement, error) {
	addr := g.placer.currentAddr(g.clock.Now())
	if addr == "" || addr == string(g.Peers) || g.stopping.Load() {
		return nil, nil
	}
	a, err := g.askPlacer(ctx, addr, w)
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
	now := g.clock.Now()
	g.bookings.begin(w.bookingID, &a.Booking)
	g.mu.Lock()
	g.fleet.Book(now, "", w.bookingID, &a.Booking)
	g.mu.Unlock()
	return &placement{Assignment: a, g: g, id: w.bookingID}, nil
}

// askPlacer returns the placing entry's choice, its refusal, or nothing when it is silent.
func (g *Gateway) askPlacer(ctx context.Context, addr string, w *waiter) (*assign.Assignment, error) {
	opening, cancel := context.WithTimeout(ctx, placerTimeout)
	defer cancel()
	stream, err := g.dialer.Open(opening, addr)
	if err != nil {
		return nil, nil
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	if err := stream.Send(w.toWire(g.clock.Now())); err != nil {
		return nil, nil
	}
	for {
		if err := stream.SetDeadline(g.clock.Now().Add(placerTimeout)); err != nil {
			return nil, nil
		}
		m, err := stream.Recv()
		if err != nil {
			return nil, nil
		}
		placed, ok := m.(*wire.Placed)
		switch {
		case !ok:
			return nil, nil
		case placed.Refused != nil:
			return nil, placed.Refused.Refusal()
		case placed.Booking != nil:
			return g.resolvePlaced(placed), nil
		}
	}
}

// resolvePlaced rebuilds the choice; nil when an endpoint is not known here.
func (g *Gateway) resolvePlaced(p *wire.Placed) *assign.Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.fleet.ResolveBooking(fromWire(p.Booking))
	if !ok {
		return nil
	}
	a.PredictedPrefill, a.Candidates = p.Ahead, p.Considered
	return a
}

func (w *waiter) toWire(now time.Time) *wire.Place {
	r := w.request
	return &wire.Place{
		Booking: w.bookingID, Service: r.Service, Account: w.account, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Tried: r.Tried, Pause: r.EventGapTarget, Waited: now.Sub(w.arrived), StartIn: w.startBy.Sub(now), GiveUpIn: w.giveUpAt.Sub(now), Patience: r.RelaxAfter,
	}
}

// servePlace places a request of another entry and answers it.
func (g *Gateway) servePlace(stream wire.Stream, m *wire.Place) {
	now := g.clock.Now()
	w := &waiter{
		owner: stream.Peer().Name, bookingID: m.Booking, account: m.Account, arrived: now.Add(-m.Waited),
		startBy: now.Add(m.StartIn), giveUpAt: now.Add(m.GiveUpIn), result: make(chan placeResult, 1),
		request: &assign.Request{
			Service: m.Service, PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens, Tried: m.Tried, Zone: g.node.Zone,
			EventGapTarget: m.Pause, RelaxAfter: m.Patience,
		},
	}
	answer := &wire.Placed{}
	if d := g.deployment.Load(); d == nil || d.Services[m.Service] == nil {
		answer.Refused = wire.NewRefused(wire.Attempt{}, verdict.Refuse(verdict.ReasonStaleConfiguration, staleRetryAfter, "service %q is not known at entry %s", m.Service, g.node.Name))
	} else {
		w.request.Engine, w.request.MinEventGapTarget = d.Services[m.Service].Engine, d.Services[m.Service].minEventGapTarget
		g.setColdLimit(w.request, d.Services[m.Service])
		answer = g.placeForPeer(stream, w)
	}
	if answer != nil {
		g.sendPlaced(stream, answer)
	}
}

// placeForPeer waits for the request's turn and tells its entry so now and then. It returns
// nil when the entry has withdrawn.
func (g *Gateway) placeForPeer(stream wire.Stream, w *waiter) *wire.Placed {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		// Nothing more comes: the end of the stream is the sender's word that it withdraws.
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
			return &wire.Placed{Booking: toWire(w.bookingID, &o.assignment.Booking), Ahead: o.assignment.PredictedPrefill, Considered: o.assignment.Candidates}
		case <-g.clock.After(waitingNoticeInterval):
			if !g.sendPlaced(stream, &wire.Placed{Waiting: true}) {
				cancel()
			}
		}
	}
}

// cancelBooking takes back what was booked for an entry that has withdrawn.
func (g *Gateway) cancelBooking(w *waiter, o placeResult) {
	if o.assignment == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.EndBooking(w.owner, w.bookingID, true)
}

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
