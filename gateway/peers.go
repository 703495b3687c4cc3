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
	// bookingHeartbeat is the longest time between two messages, and bookingSilence that
	// after which a peer's bookings are dropped: it may be gone.
	bookingHeartbeat    = time.Second
	bookingTimeout = 3 * time.Second
	// unlistedTimeout is how long a peer is kept that neither listens nor is listed.
	unlistedTimeout = 10 * time.Second
	// peerRetryInterval is the wait before a peer is tried again.
	peerRetryInterval = 300 * time.Millisecond
	// peerOpenTimeout bounds the opening of a stream to a peer.
	peerOpenTimeout = time.Second
)

// bookings are this entry's placements in force. Every change is passed on to the
// other entries, so that all choose by the same loads. Its lock is "gateway.bookings"
// of kernel.LockOrder.
type bookings struct {
	mu      sync.Mutex
	lastID    uint64
	current map[uint64]*wire.Booking
	peers   map[string]*peerQueue
}

// peerQueue is what one peer has not been told yet.
type peerQueue struct {
	// unlistedSince is since when control has not listed the peer; zero while it does.
	unlistedSince time.Time
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

// newID returns a newID for a booking.
func (b *bookings) newID() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	return b.lastID
}

// begin has the peers told of a booking.
func (b *bookings) begin(id uint64, a *assign.Booking) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current[id] = toWire(id, a)
	b.enqueue(func(q *peerQueue) { q.begun = append(q.begun, id) })
}

// end has the peers told that a booking is over.
func (b *bookings) end(id uint64, unread bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.current, id)
	b.enqueue(func(q *peerQueue) {
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
	b.enqueue(func(q *peerQueue) { q.answered = append(q.answered, id) })
}

func (b *bookings) enqueue(note func(*peerQueue)) {
	for _, q := range b.peers {
		note(q)
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// takePending returns what the peer has not been told, or everything at the start of a stream.
func (b *bookings) takePending(q *peerQueue, all bool) *wire.Bookings {
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

// updatePeers starts telling new peers. A replica of control that has just started lists few
// entries, so one that is no longer listed is told on for as long as it listens. It
// returns the addresses of all entries, this one among them.
func (g *Gateway) updatePeers(ctx context.Context, addrs []string) []string {
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
		g.peerTasks.Go(func() { g.runPeer(ctx, addr, q) })
	}
	all := []string{string(g.Peers)}
	for addr, q := range b.peers {
		switch {
		case slices.Contains(addrs, addr):
			q.unlistedSince = time.Time{}
		case q.unlistedSince.IsZero():
			q.unlistedSince = now
		}
		all = append(all, addr)
	}
	slices.Sort(all)
	return all
}

// runPeer keeps a stream to a peer until ctx ends or the peer is gone.
func (g *Gateway) runPeer(ctx context.Context, addr string, q *peerQueue) {
	for ctx.Err() == nil {
		if err := g.sendBookings(ctx, addr, q); err != nil && ctx.Err() == nil {
			g.log.Debug("stream to entry ended", "addr", addr, "error", err)
			g.dialer.Drop(addr)
		}
		if g.bookings.dropIfUnlisted(g.clock.Now(), addr, q) {
			return
		}
		select {
		case <-ctx.Done():
		case <-g.clock.After(peerRetryInterval):
		}
	}
}

// dropIfUnlisted forgets a peer that does not listen and has not been listed for a while.
func (b *bookings) dropIfUnlisted(now time.Time, addr string, q *peerQueue) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.unlistedSince.IsZero() || now.Sub(q.unlistedSince) < unlistedTimeout {
		return false
	}
	delete(b.peers, addr)
	return true
}

func (g *Gateway) sendBookings(ctx context.Context, addr string, q *peerQueue) error {
	bounded, cancel := context.WithTimeout(ctx, peerOpenTimeout)
	stream, err := g.dialer.Open(bounded, addr)
	cancel()
	if err != nil {
		return err
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	for first := true; ; first = false {
		if err := stream.SetSendDeadline(g.clock.Now().Add(bookingTimeout)); err != nil {
			return errors.Wrap(err, "set deadline of bookings")
		}
		if err := stream.Send(g.bookings.takePending(q, first)); err != nil {
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
		case <-g.clock.After(bookingHeartbeat):
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
	if err := stream.SetDeadline(g.clock.Now().Add(bookingTimeout)); err != nil {
		return
	}
	m, err := stream.Recv()
	if err != nil {
		return
	}
	switch m := m.(type) {
	case *wire.Bookings:
		g.receiveBookings(stream, m)
	case *wire.Place:
		g.servePlace(stream, m)
	default:
		g.log.Warn("stream refused", "peer", peer.Name, "message", m.Kind())
	}
}

// setColdLimit sets what an endpoint may get while it may be cold. While every entry that is
// known tells this one what it places, all draw on one bound; otherwise each has a part
// of its own, so that those which do not hear one another stay below it together.
func (g *Gateway) setColdLimit(r *assign.Request, s *Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.ColdRateLimit, r.ColdRateShare = s.ColdRateLimit, 0
	if entries := int(g.entries.Load()); len(g.bookingStreams) < entries-1 {
		r.ColdRateShare = s.ColdRateLimit / float64(entries)
	}
}

// receiveBookings takes in what another entry tells, until its stream ends.
func (g *Gateway) receiveBookings(stream wire.Stream, first *wire.Bookings) {
	peer := stream.Peer()
	g.log.Info("entry met", "peer", peer.Name)
	g.mu.Lock()
	g.bookingStreams[peer.Name]++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.fleet.EndAll(peer.Name)
		if g.bookingStreams[peer.Name]--; g.bookingStreams[peer.Name] == 0 {
			delete(g.bookingStreams, peer.Name)
		}
		g.mu.Unlock()
		g.log.Info("entry lost", "peer", peer.Name)
	}()
	for b := first; ; {
		g.applyBookings(peer.Name, b)
		if err := stream.SetDeadline(g.clock.Now().Add(bookingTimeout)); err != nil {
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

func (g *Gateway) applyBookings(owner string, b *wire.Bookings) {
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
	g.placeQueued(now)
}
