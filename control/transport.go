package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// groupConsensus, a value of wire.ReplicaMessage.Group, marks the messages of the
	// consensus protocol.
	groupConsensus = "consensus"
	// groupStart marks the first message of a stream, a startMessage.
	groupStart = "start"
	// maxQueued bounds the messages queued for one replica. Further messages are dropped,
	// which the protocol tolerates.
	maxQueued = 1024
	// sendTimeout bounds the sending of one message.
	sendTimeout = time.Second
	// peerOpenTimeout bounds the opening of a stream to another replica.
	peerOpenTimeout = time.Second
	// peerRetryInterval is the delay before the next attempt to reach a replica.
	peerRetryInterval = 100 * time.Millisecond
	// peerSilence is the time without a message from a replica, or a packet on a connection to it, after which
	// the connection is replaced: the replica may have been restarted, or the connection has gone silent for good.
	peerSilence = 2 * time.Second
)

// transport carries the messages of the consensus protocol between replicas. Each pair of
// replicas has one stream in each direction. Messages that cannot be queued or sent are
// dropped.
type transport struct {
	dialer session.Dropper
	clock  kernel.Clock
	log    hclog.Logger
	// start is sent first on each stream. Its random number tells the other replicas when this
	// process was restarted: they then replace their connections, which the new process does
	// not know.
	start startMessage

	// mu guards start and the fields below, except running. No other lock is taken while it
	// is held.
	mu      sync.Mutex
	addrs   map[replica.ID]string
	senders map[replica.ID]*sender
	// seen holds when the newest message from a replica arrived, or when checkSilent last
	// began to measure its silence anew.
	seen map[replica.ID]time.Time
	// heard holds when the newest message of any kind from a replica arrived.
	heard map[replica.ID]time.Time
	// starts holds startMessage.Start of the latest start of each replica.
	starts map[replica.ID]uint64
	// ctx is the context of the senders, which run until it ends. It is nil before open.
	ctx context.Context
	// running waits for the senders.
	running sync.WaitGroup
}

// sender queues the messages to one replica.
type sender struct {
	queue chan *replica.Message
	// redial has a buffer of one. It requests a new connection.
	redial chan struct{}
}

// startMessage is the first message on a stream to another replica.
type startMessage struct {
	ID replica.ID `cbor:"1,keyasint"`
	// Start is a random number, which differs for each start of the sender's process.
	Start uint64 `cbor:"2,keyasint"`
	// Addr is the address on which the sender listens. A replica that has just joined does
	// not know the other members yet, and needs the address to answer.
	Addr string `cbor:"3,keyasint"`
}

var _ replica.Transport = (*transport)(nil)

// newTransport returns a transport that drops all messages until open is called.
func newTransport(dialer session.Dropper, clock kernel.Clock, log hclog.Logger, addrs map[replica.ID]string) *transport {
	return &transport{
		dialer: dialer, clock: clock, log: log, addrs: addrs,
		senders: map[replica.ID]*sender{}, seen: map[replica.ID]time.Time{}, heard: map[replica.ID]time.Time{}, starts: map[replica.ID]uint64{},
	}
}

// open starts sending, as replica id that listens on addr, until ctx ends. Messages sent
// before open are dropped.
func (t *transport) open(ctx context.Context, id replica.ID, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx = ctx
	t.start = startMessage{ID: id, Start: rand.Uint64(), Addr: addr}
}

// peerStarted records the start of another replica's process. If it is a new start, the
// connection to that replica is replaced, also while there is no sender to it: reports use the
// connection, and so does a sender that starts later.
func (t *transport) peerStarted(m startMessage) {
	t.mu.Lock()
	if t.starts[m.ID] == m.Start {
		t.mu.Unlock()
		return
	}
	if _, ok := t.addrs[m.ID]; !ok {
		t.addrs[m.ID] = m.Addr
	}
	t.starts[m.ID] = m.Start
	addr, s := t.addrs[m.ID], t.senders[m.ID]
	t.mu.Unlock()
	if s == nil {
		t.dialer.Drop(addr)
		return
	}
	select {
	case s.redial <- struct{}{}:
	default:
	}
}

// Send implements replica.Transport.
func (t *transport) Send(to replica.ID, m *replica.Message) {
	s := t.sender(to)
	if s == nil {
		return
	}
	select {
	case s.queue <- m:
	default:
	}
}

// sender returns the sender to a replica, which it starts if needed. It starts none, and returns
// nil, before open is called and after the context passed to open has ended.
func (t *transport) sender(to replica.ID) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.senders[to]; ok {
		return s
	}
	if t.ctx == nil || t.ctx.Err() != nil {
		return nil
	}
	s := &sender{queue: make(chan *replica.Message, maxQueued), redial: make(chan struct{}, 1)}
	t.senders[to] = s
	ctx := t.ctx
	t.running.Go(func() { t.run(ctx, to, s) })
	return s
}

// updateAddrs records the addresses of the members. Empty addresses are ignored.
func (t *transport) updateAddrs(members []replica.MemberStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if m.Addr != "" {
			t.addrs[m.ID] = m.Addr
		}
	}
}

// self returns the address of this replica.
func (t *transport) self() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.start.Addr
}

// addr returns the address of a replica, or an empty string if it is unknown.
func (t *transport) addr(id replica.ID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addrs[id]
}

// markHeard records the arrival of a message of any kind from a replica. All replicas report to each
// other, so that each knows how long the others have been silent, also before it leads.
func (t *transport) markHeard(from replica.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard[from] = t.clock.Now()
}

// lastHeard returns when a replica was last heard, and whether it was since this process started.
func (t *transport) lastHeard(id replica.ID) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok = t.heard[id]
	return at, ok
}

// markSeen records the arrival of a message of the consensus protocol from a replica.
func (t *transport) markSeen(from replica.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen[from] = t.clock.Now()
}

// checkSilent reports whether no message from the replica has arrived for peerSilence, counted
// from the first call if none ever arrived. After it has returned true, it measures the
// silence anew, so that it returns true at most once in peerSilence.
func (t *transport) checkSilent(id replica.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	last, ok := t.seen[id]
	if ok && now.Sub(last) < peerSilence {
		return false
	}
	t.seen[id] = now
	return ok
}

// outbound is the stream to one other replica. Only the goroutine of transport.run uses it.
type outbound struct {
	transport *transport
	to        replica.ID
	stream    wire.Stream
	// detach keeps the end of the senders' context from aborting the stream.
	detach func() bool
}

// run sends the queued messages to one replica until ctx ends.
func (t *transport) run(ctx context.Context, to replica.ID, s *sender) {
	out := &outbound{transport: t, to: to}
	defer out.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.redial:
			out.drop()
		case m := <-s.queue:
			if t.checkSilent(to) {
				out.drop()
			}
			out.send(ctx, m)
		}
	}
}

// close ends the stream. The next send opens a new one.
func (o *outbound) close() {
	if o.stream != nil {
		o.detach()
		o.stream.Abort()
		o.stream = nil
	}
}

// drop ends the stream and its connection, so that the next send makes a new connection.
func (o *outbound) drop() {
	o.close()
	o.transport.dialer.Drop(o.transport.addr(o.to))
}

// send sends one message. The message is lost if that fails.
func (o *outbound) send(ctx context.Context, m *replica.Message) {
	if o.stream == nil && !o.open(ctx) {
		return
	}
	if err := o.transport.send(o.stream, m); err != nil {
		o.transport.log.Debug("message to replica lost", "replica", o.to, "error", err)
		o.drop()
	}
}

// open opens the stream and reports whether that succeeded. After a failure it waits for
// peerRetryInterval.
func (o *outbound) open(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, peerOpenTimeout)
	defer cancel()
	stream, err := o.transport.dial(bounded, o.to)
	if err == nil {
		o.stream, o.detach = stream, context.AfterFunc(ctx, stream.Abort)
		return true
	}
	o.transport.log.Debug("replica not reached", "replica", o.to, "error", err)
	select {
	case <-ctx.Done():
	case <-o.transport.clock.After(peerRetryInterval):
	}
	return false
}

// dial opens a stream to another replica and sends the startMessage.
func (t *transport) dial(ctx context.Context, to replica.ID) (wire.Stream, error) {
	addr := t.addr(to)
	if addr == "" {
		return nil, errors.Errorf("no address of replica %d", to)
	}
	stream, err := t.dialer.Open(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, stream.Abort)()
	t.mu.Lock()
	first := t.start
	t.mu.Unlock()
	data, err := wire.Marshal(&first)
	if err == nil {
		err = stream.Send(&wire.ReplicaMessage{Group: groupStart, Data: data})
	}
	if err != nil {
		stream.Abort()
		return nil, err
	}
	return stream, nil
}

// send sends a message of the consensus protocol within sendTimeout.
func (t *transport) send(stream wire.Stream, m *replica.Message) error {
	data, err := m.Marshal()
	if err != nil {
		return err
	}
	if err := stream.SetSendDeadline(t.clock.Now().Add(sendTimeout)); err != nil {
		return err
	}
	return stream.Send(&wire.ReplicaMessage{Group: groupConsensus, Data: data})
}

// wait waits until all senders have stopped. The context passed to open must have
// ended.
func (t *transport) wait() { t.running.Wait() }
