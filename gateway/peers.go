package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// bookingInterval is the least time between two messages to a peer, so that a burst
	// travels as one.
	bookingInterval = 5 * time.Millisecond
	// bookingBeat is the longest time between two messages, and bookingSilence that
	// after which a peer's bookings are dropped: it may be gone.
	bookingBeat    = time.Second
	bookingSilence = 3 * time.Second
	// unlistedFor is how long a peer is kept that neither listens nor is listed.
	unlistedFor = 10 * time.Second
	// peerRetry is the wait before a peer is tried again.
	peerRetry = 300 * time.Millisecond
	// peerOpenTimeout bounds the opening of a stream to a peer.
	peerOpenTimeout = time.Second
)

// bookings are this entry's placements in force. Every change is passed on to the
// other entries, so that all choose by the same loads. Its lock is "gateway.bookings"
// of kernel.LockOrder.
type bookings struct {
	mu      sync.Mutex
	next    uint64
	current map[uint64]*wire.Booking
	peers   map[string]*peerQueue
}

// peerQueue is what one peer has not been told yet.
type peerQueue struct {
	// unlisted is since when control has not listed the peer; zero while it does.
	unlisted time.Time
	begun    []uint64
	ended    []uint64
	unread   []uint64
	// answered are those whose answers began.
	answered []uint64
	// wake has one place.
	wake chan struct{}
}

func newBookings() *bookings {
	return &bookings{current: map[uint64]*wire.Booking{}, peers: map[string]*peerQueue{}}
}

// number returns a number for a booking.
func (b *bookings) number() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.next
}

// begin has the peers told of a booking.
func (b *bookings) begin(id uint64, a *assign.Booking) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current[id] = toWire(id, a)
	b.tell(func(q *peerQueue) { q.begun = append(q.begun, id) })
}

// end has the peers told that a booking is over.
func (b *bookings) end(id uint64, unread bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.current, id)
	b.tell(func(q *peerQueue) {
		if unread {
			q.unread = append(q.unread, id)
		} else {
			q.ended = append(q.ended, id)
		}
	})
}

// answered has the peers told that an answer has begun.
func (b *bookings) answered(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tell(func(q *peerQueue) { q.answered = append(q.answered, id) })
}

func (b *bookings) tell(note func(*peerQueue)) {
	for _, q := range b.peers {
		note(q)
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// news returns what the peer has not been told, or everything at the start of a stream.
func (b *bookings) news(q *peerQueue, all bool) *wire.Bookings {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &wire.Bookings{Whole: all, Ended: q.ended, Unread: q.unread, Answered: q.answered}
	if all {
		for _, one := range b.current {
			m.Begun = append(m.Begun, *one)
		}
	} else {
		for _, id := range q.begun {
			if one := b.current[id]; one != nil {
				m.Begun = append(m.Begun, *one)
			}
		}
	}
	q.begun, q.ended, q.unread, q.answered = nil, nil, nil, nil
	return m
}

func toWire(id uint64, b *assign.Booking) *wire.Booking {
	out := &wire.Booking{ID: id, Read: b.PrefillTime, Short: b.Short, First: wire.BookedPart(b.Primary)}
	for _, p := range b.Helpers {
		out.Helpers = append(out.Helpers, wire.BookedPart(p))
	}
	return out
}

func fromWire(b *wire.Booking) *assign.Booking {
	out := &assign.Booking{PrefillTime: b.Read, Short: b.Short, Primary: assign.Part(b.First)}
	for _, p := range b.Helpers {
		out.Helpers = append(out.Helpers, assign.Part(p))
	}
	return out
}

// meet starts telling new peers. A replica of control that has just started lists few
// entries, so one that is no longer listed is told on for as long as it listens. It
// returns the addresses of all entries, this one among them.
func (g *Gateway) meet(ctx context.Context, addrs []string) []string {
	now := g.clock.Now()
	b := g.bookings
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, addr := range addrs {
		if addr == string(g.Peers) || addr == "" || b.peers[addr] != nil {
			continue
		}
		q := &peerQueue{wake: make(chan struct{}, 1)}
		b.peers[addr] = q
		g.running.Go(func() { g.runPeer(ctx, addr, q) })
	}
	all := []string{string(g.Peers)}
	for addr, q := range b.peers {
		switch {
		case slices.Contains(addrs, addr):
			q.unlisted = time.Time{}
		case q.unlisted.IsZero():
			q.unlisted = now
		}
		all = append(all, addr)
	}
	slices.Sort(all)
	return all
}

// runPeer keeps a stream to a peer until ctx ends or the peer is gone.
func (g *Gateway) runPeer(ctx context.Context, addr string, q *peerQueue) {
	for ctx.Err() == nil {
		if err := g.tellPeer(ctx, addr, q); err != nil && ctx.Err() == nil {
			g.log.Debug("stream to entry ended", "addr", addr, "error", err)
			g.dialer.Drop(addr)
		}
		if g.bookings.drop(g.clock.Now(), addr, q) {
			return
		}
		select {
		case <-ctx.Done():
		case <-g.clock.After(peerRetry):
		}
	}
}

// drop forgets a peer that does not listen and has not been listed for a while.
func (b *bookings) drop(now time.Time, addr string, q *peerQueue) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.unlisted.IsZero() || now.Sub(q.unlisted) < unlistedFor {
		return false
	}
	delete(b.peers, addr)
	return true
}

func (g *Gateway) tellPeer(ctx context.Context, addr string, q *peerQueue) error {
	bounded, cancel := context.WithTimeout(ctx, peerOpenTimeout)
	stream, err := g.dialer.Open(bounded, addr)
	cancel()
	if err != nil {
		return err
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	for first := true; ; first = false {
		if err := stream.SetSendDeadline(g.clock.Now().Add(bookingSilence)); err != nil {
			return errors.Wrap(err, "set deadline of bookings")
		}
		if err := stream.Send(g.bookings.news(q, first)); err != nil {
			return errors.Wrap(err, "send bookings")
		}
		select {
		case <-stream.Context().Done():
			return errors.New("the peer closed the stream")
		case <-g.clock.After(bookingInterval):
		}
		select {
		case <-stream.Context().Done():
			return errors.New("the peer closed the stream")
		case <-q.wake:
		case <-g.clock.After(bookingBeat):
		}
	}
}

// servePeer serves one stream of another entry by its first message.
func (g *Gateway) servePeer(stream wire.Stream) {
	peer := stream.Peer()
	if peer.Role != wire.RoleEntry {
		g.log.Warn("stream refused", "peer", peer.Name, "role", string(peer.Role))
		return
	}
	if err := stream.SetDeadline(g.clock.Now().Add(bookingSilence)); err != nil {
		return
	}
	m, err := stream.Recv()
	if err != nil {
		return
	}
	switch m := m.(type) {
	case *wire.Bookings:
		g.hearPeer(stream, m)
	case *wire.Place:
		g.placeFor(stream, m)
	default:
		g.log.Warn("stream refused", "peer", peer.Name, "message", m.Kind())
	}
}

// boundCold sets what an endpoint may get while it may be cold. While every entry that is
// known tells this one what it places, all draw on one bound; otherwise each has a part
// of its own, so that those which do not hear one another stay below it together.
func (g *Gateway) boundCold(r *assign.Request, s *Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.ColdRateLimit, r.ColdRateShare = s.ColdRateLimit, 0
	if entries := int(g.entries.Load()); len(g.heard) < entries-1 {
		r.ColdRateShare = s.ColdRateLimit / float64(entries)
	}
}

// hearPeer takes in what another entry tells, until its stream ends.
func (g *Gateway) hearPeer(stream wire.Stream, first *wire.Bookings) {
	peer := stream.Peer()
	g.log.Info("entry met", "peer", peer.Name)
	g.mu.Lock()
	g.heard[peer.Name]++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.fleet.EndAll(peer.Name)
		if g.heard[peer.Name]--; g.heard[peer.Name] == 0 {
			delete(g.heard, peer.Name)
		}
		g.mu.Unlock()
		g.log.Info("entry lost", "peer", peer.Name)
	}()
	for b := first; ; {
		g.takeBookings(peer.Name, b)
		if err := stream.SetDeadline(g.clock.Now().Add(bookingSilence)); err != nil {
			return
		}
		m, err := stream.Recv()
		if err != nil {
			return
		}
		var ok bool
		if b, ok = m.(*wire.Bookings); !ok {
			g.log.Warn("stream refused", "peer", peer.Name, "message", m.Kind())
			return
		}
	}
}

func (g *Gateway) takeBookings(owner string, b *wire.Bookings) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.Whole {
		g.fleet.EndAll(owner)
	}
	for i := range b.Begun {
		g.fleet.Book(now, owner, b.Begun[i].ID, fromWire(&b.Begun[i]))
	}
	for _, id := range b.Answered {
		g.fleet.MarkAnswered(owner, id)
	}
	for _, id := range b.Ended {
		g.fleet.EndBooking(owner, id, false)
	}
	for _, id := range b.Unread {
		g.fleet.EndBooking(owner, id, true)
	}
	g.drainQueues(now)
}
