package gateway

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// bookingInterval is the minimum time between two messages to a peer, so that the
	// bookings of a burst are sent together.
	bookingInterval = 5 * time.Millisecond
	// bookingHeartbeat is the maximum time between two messages to a peer. After
	// bookingTimeout without a message, the peer counts as lost and its bookings are
	// dropped.
	bookingHeartbeat = time.Second
	bookingTimeout   = 3 * time.Second
	// bookingRecheck is the last part of bookingTimeout.
	bookingRecheck = 500 * time.Millisecond
	// unlistedTimeout is how long the entry keeps retrying to send to a peer that
	// neither accepts streams nor is listed by control.
	unlistedTimeout = 10 * time.Second
	// leaveTime is how long an entry that stops lets its last messages reach the peers.
	leaveTime = 50 * time.Millisecond
	// peerRetryInterval is the wait before a stream to a peer is opened again.
	peerRetryInterval = 300 * time.Millisecond
	// maxStarts bounds the addresses for which the start of the process is known.
	maxStarts = 4096
	// peerOpenTimeout bounds the time to open a stream to a peer.
	peerOpenTimeout = time.Second
)

// bookings holds the current placements of this entry. Every change is sent to the
// other entries, so that all choose endpoints by the same loads. Its lock is
// "gateway.bookings" of kernel.LockOrder.
type bookings struct {
	mu      sync.Mutex
	lastID  uint64
	current map[uint64]*wire.Booking
	peers   map[string]*peerQueue
	// starts identifies the latest start of the process at an address. An entry may open its stream
	// before control lists it.
	starts map[string]uint32
}

// peerQueue holds the changes that are not yet sent to one peer. The lock of bookings
// guards it.
type peerQueue struct {
	// zone is the availability zone of the peer.
	zone string
	// inCell is set while the peer belongs to the cell of this entry. Only such peers are sent
	// bookings.
	inCell bool
	// unlistedSince is when control stopped listing the peer; zero while it lists it.
	unlistedSince time.Time
	// open is set while a stream to the peer is open. Without one nothing is queued, because
	// each stream begins with all that is current.
	open bool
	// begun are bookings, which may have ended since: their requests count. The others are
	// booking IDs; those in unprefilled have ended before their prompts were prefilled.
	begun       []*wire.Booking
	ended       []uint64
	unprefilled []uint64
	// answered are the bookings whose answers have begun.
	answered []uint64
	// limits are the endpoints' limits that have changed.
	limits []wire.EndpointLimit
	// slowdowns are those of engines that are slow, or were until now.
	slowdowns []wire.EndpointSlowdown
	// leaving is the address of this entry once it sends no more requests.
	leaving string
	// wake signals that there are changes. It has a buffer of one.
	wake chan struct{}
	// reopen signals that the process of the peer has restarted, or that inCell has changed. It
	// has a buffer of one.
	reopen chan struct{}
}

func newBookings() *bookings {
	return &bookings{current: map[uint64]*wire.Booking{}, peers: map[string]*peerQueue{}, starts: map[string]uint32{}}
}

func newPeerQueue() *peerQueue {
	return &peerQueue{wake: make(chan struct{}, 1), reopen: make(chan struct{}, 1)}
}

// newID returns an unused booking ID.
func (b *bookings) newID() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	return b.lastID
}

// begin adds a booking and queues it for the peers.
func (b *bookings) begin(id uint64, a *assign.Booking) {
	b.mu.Lock()
	defer b.mu.Unlock()
	booking := toWire(id, a)
	b.current[id] = booking
	b.enqueue(func(q *peerQueue) { q.begun = append(q.begun, booking) })
}

// end removes a booking and queues its end for the peers.
func (b *bookings) end(id uint64, unprefilled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.current, id)
	b.enqueue(func(q *peerQueue) {
		if unprefilled {
			q.unprefilled = append(q.unprefilled, id)
		} else {
			q.ended = append(q.ended, id)
		}
	})
}

// answered queues a notice for the peers that the answer of a booking has begun.
func (b *bookings) answered(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if booking := b.current[id]; booking != nil {
		booking.Answered = true
	}
	b.enqueue(func(q *peerQueue) { q.answered = append(q.answered, id) })
}

// limitChanged queues an endpoint's limit for the peers.
func (b *bookings) limitChanged(l assign.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enqueue(func(q *peerQueue) { q.limits = append(q.limits, wire.EndpointLimit(l)) })
}

// leave queues a notice for the peers that this entry, at the address, sends no more requests.
func (b *bookings) leave(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enqueue(func(q *peerQueue) { q.leaving = addr })
}

// peerStarted records the start of a peer's process. If it is a new one, the stream to the peer is
// replaced: the new process does not know the connection of the old one, which fails only after a long
// idle timeout if the old process was killed.
func (b *bookings) peerStarted(addr string, start uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.starts[addr]
	if start == 0 || known == start {
		return
	}
	if !ok && len(b.starts) >= maxStarts {
		clear(b.starts)
	}
	b.starts[addr] = start
	q := b.peers[addr]
	if !ok || q == nil {
		return
	}
	q.signalReopen()
}

// signalReopen makes the task of the peer look whether it needs a stream, and replace the present
// one.
func (q *peerQueue) signalReopen() {
	select {
	case q.reopen <- struct{}{}:
	default:
	}
}

// enqueue applies a change to the queue of each peer to which a stream is open, and wakes its
// sender. The caller holds b.mu.
func (b *bookings) enqueue(change func(*peerQueue)) {
	for _, q := range b.peers {
		if !q.open {
			continue
		}
		change(q)
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// openQueue starts the queue of a peer to which a stream has been opened. What changes from then
// on is either in the first message of the stream or queued.
func (b *bookings) openQueue(q *peerQueue) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.open = true
}

// closeQueue drops the pending changes of a peer whose stream has ended.
func (b *bookings) closeQueue(q *peerQueue) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.open, q.begun = false, nil
	q.take()
}

// takePending returns and clears the pending changes of a peer.
func (b *bookings) takePending(q *peerQueue) *wire.Bookings {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := q.take()
	for _, booking := range q.begun {
		m.Begun = append(m.Begun, *booking)
	}
	q.begun = nil
	return m
}

// takeAll returns all current bookings, as at the start of a stream, and clears the pending
// changes of the peer. The argument limits holds all known limits of endpoints.
func (b *bookings) takeAll(q *peerQueue, limits []assign.Limit) *wire.Bookings {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := q.take()
	m.Full = true
	for _, booking := range b.current {
		m.Begun = append(m.Begun, *booking)
	}
	for _, l := range limits {
		m.Limits = append(m.Limits, wire.EndpointLimit(l))
	}
	q.begun = nil
	return m
}

// take returns and clears the pending changes other than begun bookings.
func (q *peerQueue) take() *wire.Bookings {
	m := &wire.Bookings{Ended: q.ended, Unprefilled: q.unprefilled, Answered: q.answered, Limits: q.limits, Slowdowns: q.slowdowns, Leaving: q.leaving}
	q.ended, q.unprefilled, q.answered, q.limits, q.slowdowns = nil, nil, nil, nil, nil
	return m
}

func toWire(id uint64, b *assign.Booking) *wire.Booking {
	out := &wire.Booking{ID: id, PrefillTime: b.PrefillTime, Short: b.Short, EventGapTarget: b.EventGapTarget, Primary: wire.BookedPart(b.Primary)}
	for _, p := range b.Helpers {
		out.Helpers = append(out.Helpers, wire.BookedPart(p))
	}
	return out
}

func fromWire(b *wire.Booking) *assign.Booking {
	out := &assign.Booking{PrefillTime: b.PrefillTime, Short: b.Short, EventGapTarget: b.EventGapTarget, Primary: assign.Part(b.Primary)}
	for _, p := range b.Helpers {
		out.Helpers = append(out.Helpers, assign.Part(p))
	}
	return out
}

// updatePeers starts a task for each new peer and returns the addresses of all entries,
// including this one. A replica of control that has just started lists only
// few entries, so a peer that is no longer listed is kept for as long as it accepts
// streams.
func (g *Gateway) updatePeers(ctx context.Context, addrs []string) []string {
	now := g.clock.Now()
	b := g.bookings
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, addr := range addrs {
		if addr == string(g.Peers) || addr == "" || b.peers[addr] != nil {
			continue
		}
		q := newPeerQueue()
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

// runPeer keeps a stream to a peer open, while it belongs to the cell of this entry, until ctx
// ends or the peer is dropped.
func (g *Gateway) runPeer(ctx context.Context, addr string, q *peerQueue) {
	for ctx.Err() == nil {
		pause := peerRetryInterval
		if !g.bookings.isInCell(q) {
			pause = unlistedTimeout / 2
		} else if err := g.sendBookings(ctx, addr, q); err != nil && ctx.Err() == nil {
			g.log.Debug("stream to entry ended", "addr", addr, "error", err)
			g.dialer.Drop(addr)
		}
		if g.bookings.dropIfUnlisted(g.clock.Now(), addr, q) {
			return
		}
		select {
		case <-ctx.Done():
		case <-q.reopen:
		case <-g.clock.After(pause):
		}
	}
}

// isInCell reports whether a peer belongs to the cell of this entry.
func (b *bookings) isInCell(q *peerQueue) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return q.inCell
}

// dropIfUnlisted removes a peer that has not been listed for unlistedTimeout, and
// reports whether it did. It is called when no stream to the peer is open.
func (b *bookings) dropIfUnlisted(now time.Time, addr string, q *peerQueue) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.unlistedSince.IsZero() || now.Sub(q.unlistedSince) < unlistedTimeout {
		return false
	}
	delete(b.peers, addr)
	delete(b.starts, addr)
	return true
}

// sendBookings opens a stream to a peer and sends bookings over it until the stream
// fails or ctx ends.
func (g *Gateway) sendBookings(ctx context.Context, addr string, q *peerQueue) error {
	openCtx, cancel := context.WithTimeout(ctx, peerOpenTimeout)
	stream, err := g.dialer.Open(openCtx, addr)
	cancel()
	if err != nil {
		return err
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	g.bookings.openQueue(q)
	defer g.bookings.closeQueue(q)
	for first := true; ; first = false {
		if err := stream.SetSendDeadline(g.clock.Now().Add(bookingTimeout)); err != nil {
			return errors.Wrap(err, "set send deadline of bookings")
		}
		if err := stream.Send(g.nextBookings(q, first)); err != nil {
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
		case <-q.reopen:
			return errors.New("the process of the peer has restarted, or it belongs to another cell")
		case <-q.wake:
		case <-g.clock.After(bookingHeartbeat):
		}
	}
}

// nextBookings returns the next message to a peer. The first one of a stream holds all that is
// current.
func (g *Gateway) nextBookings(q *peerQueue, first bool) *wire.Bookings {
	if !first {
		return g.bookings.takePending(q)
	}
	g.mu.Lock()
	limits := g.fleet.Limits()
	g.mu.Unlock()
	all := g.bookings.takeAll(q, limits)
	all.Addr, all.Start = string(g.Peers), g.startID
	return all
}

// servePeer serves a stream of another entry according to its first message, until the process ends.
func (g *Gateway) servePeer(stream wire.Stream) {
	defer context.AfterFunc(g.background, stream.Abort)()
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

// receiveBookings applies the bookings of another entry until its stream ends, and then
// drops them.
func (g *Gateway) receiveBookings(stream wire.Stream, first *wire.Bookings) {
	peer := stream.Peer()
	g.log.Info("booking stream opened", "peer", peer.Name)
	g.bookings.peerStarted(first.Addr, first.Start)
	g.mu.Lock()
	g.bookingStreams[peer.Name]++
	g.streamAddrs[peer.Name] = first.Addr
	delete(g.leftEntries, peer.Name)
	g.updateSharing()
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.fleet.EndAll(peer.Name)
		if g.bookingStreams[peer.Name]--; g.bookingStreams[peer.Name] == 0 {
			delete(g.bookingStreams, peer.Name)
			delete(g.streamAddrs, peer.Name)
		}
		g.updateSharing()
		g.mu.Unlock()
		g.log.Info("booking stream closed", "peer", peer.Name)
	}()
	for b := first; ; {
		g.applyBookings(peer.Name, b)
		m, err := g.awaitBookings(stream)
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

// awaitBookings returns the next message of a peer, for which it waits for up to bookingTimeout. It
// does so in two steps: after a pause of this process the first deadline has passed, though messages
// may have arrived.
func (g *Gateway) awaitBookings(stream wire.Stream) (m wire.Message, err error) {
	for _, wait := range []time.Duration{bookingTimeout - bookingRecheck, bookingRecheck} {
		if err := stream.SetDeadline(g.clock.Now().Add(wait)); err != nil {
			return nil, err
		}
		if m, err = stream.Recv(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return m, err
		}
	}
	return nil, err
}

// applyBookings applies one message of bookings from the entry called owner.
func (g *Gateway) applyBookings(owner string, b *wire.Bookings) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	book := g.fleet.Book
	if b.Full {
		g.fleet.EndAll(owner)
		book = g.fleet.Restore
	}
	for i := range b.Begun {
		g.placer.confirm(peerBooking{owner: owner, id: b.Begun[i].ID})
		book(now, owner, b.Begun[i].ID, fromWire(&b.Begun[i]))
		if b.Begun[i].Answered {
			g.fleet.MarkAnswered(owner, b.Begun[i].ID)
		}
	}
	for _, id := range b.Answered {
		g.fleet.MarkAnswered(owner, id)
	}
	for _, id := range b.Ended {
		g.fleet.EndBooking(owner, id, false)
	}
	for _, id := range b.Unprefilled {
		g.fleet.EndBooking(owner, id, true)
	}
	g.mergeLimits(now, owner, b.Limits)
	for _, s := range b.Slowdowns {
		g.observeSlowdown(now, owner, assign.Slowdown(s))
	}
	if b.Leaving != "" {
		g.leftEntries[owner] = b.Leaving
		g.updateSharing()
	}
	g.placeQueued(now)
}
