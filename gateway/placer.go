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
	// waitingInterval is how often the placing entry says that a request still waits.
	waitingInterval = 150 * time.Millisecond
	// placerSilence is after how long without a word this entry places by itself.
	placerSilence = 500 * time.Millisecond
	// placerPause is for how long an entry that was silent is not asked.
	placerPause = time.Second
)

// placer is the entry that places the long prompts of all: the first by address of
// those that answer. One order for all of them keeps entries from taking the same idle
// endpoints at the same moment. Its lock is "gateway.placer" of kernel.LockOrder.
type placer struct {
	mu     sync.Mutex
	addrs  []string
	silent map[string]time.Time
}

// list takes over the addresses of the entries, which are sorted.
func (p *placer) list(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs = addrs
}

// addr returns the entry to ask, "" before any is known.
func (p *placer) addr(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range p.addrs {
		if at, ok := p.silent[addr]; !ok || now.Sub(at) > placerPause {
			return addr
		}
	}
	return ""
}

func (p *placer) missed(now time.Time, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = map[string]time.Time{}
	}
	p.silent[addr] = now
}

// placeAtPeer has the placing entry choose. It returns nothing when this entry has to
// choose by itself.
func (g *Gateway) placeAtPeer(ctx context.Context, w *waiter) (*placement, error) {
	addr := g.placer.addr(g.clock.Now())
	if addr == "" || addr == string(g.Peers) || g.stopping.Load() {
		return nil, nil
	}
	a, err := g.askPlacer(ctx, addr, w)
	if ctx.Err() != nil {
		g.bookings.end(w.booking, true)
		return nil, g.leave(ctx, w)
	}
	if err != nil {
		return nil, err
	}
	if a == nil {
		g.placer.missed(g.clock.Now(), addr)
		g.bookings.end(w.booking, true)
		w.booking = g.bookings.number()
		return nil, nil
	}
	now := g.clock.Now()
	g.bookings.begin(w.booking, &a.Booking)
	g.mu.Lock()
	g.fleet.Book(now, "", w.booking, &a.Booking)
	g.mu.Unlock()
	return &placement{Assignment: a, g: g, id: w.booking}, nil
}

// askPlacer returns the placing entry's choice, its refusal, or nothing when it is silent.
func (g *Gateway) askPlacer(ctx context.Context, addr string, w *waiter) (*assign.Assignment, error) {
	opening, cancel := context.WithTimeout(ctx, placerSilence)
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
		if err := stream.SetDeadline(g.clock.Now().Add(placerSilence)); err != nil {
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
			return g.assignment(placed), nil
		}
	}
}

// assignment rebuilds the choice; nil when an endpoint is not known here.
func (g *Gateway) assignment(p *wire.Placed) *assign.Assignment {
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
	r := w.want
	return &wire.Place{
		Booking: w.booking, Service: r.Service, Account: w.account, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Tried: r.Tried, Pause: r.EventGapTarget, Waited: now.Sub(w.since), StartIn: w.startBy.Sub(now), GiveUpIn: w.giveUp.Sub(now), Patience: r.RelaxAfter,
	}
}

// placeFor places a request of another entry and answers it.
func (g *Gateway) placeFor(stream wire.Stream, m *wire.Place) {
	now := g.clock.Now()
	w := &waiter{
		owner: stream.Peer().Name, booking: m.Booking, account: m.Account, since: now.Add(-m.Waited),
		startBy: now.Add(m.StartIn), giveUp: now.Add(m.GiveUpIn), result: make(chan outcome, 1),
		want: &assign.Request{
			Service: m.Service, PromptTokens: m.PromptTokens, OutputTokens: m.OutputTokens, Tried: m.Tried, Zone: g.node.Zone,
			EventGapTarget: m.Pause, RelaxAfter: m.Patience,
		},
	}
	answer := &wire.Placed{}
	if d := g.deployment.Load(); d == nil || d.Services[m.Service] == nil {
		answer.Refused = wire.NewRefused(wire.Attempt{}, verdict.Refuse(verdict.ReasonStaleConfiguration, retryWhenStale, "service %q is not known at entry %s", m.Service, g.node.Name))
	} else {
		w.want.Engine, w.want.MinEventGapTarget = d.Services[m.Service].Engine, d.Services[m.Service].pause
		g.boundCold(w.want, d.Services[m.Service])
		answer = g.waitFor(stream, w)
	}
	if answer != nil {
		g.send(stream, answer)
	}
}

// waitFor waits for the request's turn and tells its entry so now and then. It returns
// nil when the entry has withdrawn.
func (g *Gateway) waitFor(stream wire.Stream, w *waiter) *wire.Placed {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		// Nothing more comes: the end of the stream is the sender's word that it withdraws.
		if _, err := stream.Recv(); err != nil {
			cancel()
		}
	}()
	if err := stream.SetDeadline(w.giveUp.Add(placerSilence)); err != nil {
		return nil
	}
	done := make(chan outcome, 1)
	go func() {
		a, err := g.wait(ctx, w)
		done <- outcome{assignment: a, err: err}
	}()
	for {
		select {
		case o := <-done:
			if ctx.Err() != nil {
				g.unbook(w, o)
				return nil
			}
			if o.err != nil {
				return &wire.Placed{Refused: wire.NewRefused(wire.Attempt{}, verdict.From(o.err))}
			}
			return &wire.Placed{Booking: toWire(w.booking, &o.assignment.Booking), Ahead: o.assignment.PredictedPrefill, Considered: o.assignment.Candidates}
		case <-g.clock.After(waitingInterval):
			if !g.send(stream, &wire.Placed{Waiting: true}) {
				cancel()
			}
		}
	}
}

// unbook takes back what was booked for an entry that has withdrawn.
func (g *Gateway) unbook(w *waiter, o outcome) {
	if o.assignment == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.EndBooking(w.owner, w.booking, true)
}

func (g *Gateway) send(stream wire.Stream, m *wire.Placed) bool {
	if err := stream.SetSendDeadline(g.clock.Now().Add(placerSilence)); err != nil {
		return false
	}
	err := stream.Send(m)
	if err != nil {
		g.log.Debug("placement not delivered", "peer", stream.Peer().Name, "error", err)
	}
	return err == nil
}
