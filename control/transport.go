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
	// groupConsensus marks the messages of the consensus protocol in wire.Replica.
	groupConsensus = "consensus"
	// groupStart marks the first message of a stream: the sender's start.
	groupStart = "start"
	// maxQueued bounds the messages that wait for one replica; more are dropped,
	// as the protocol allows.
	maxQueued = 1024
	// sendTimeout bounds the sending of one message.
	sendTimeout = time.Second
	// peerOpenTimeout bounds the opening of a stream to another replica.
	peerOpenTimeout = time.Second
	// peerRetry is the wait before another replica is tried again.
	peerRetry = 100 * time.Millisecond
	// peerSilence is after how long without a message from a replica its
	// connection is made anew: it may have been restarted.
	peerSilence = 2 * time.Second
)

// transport carries the consensus protocol between replicas. Each pair has one
// stream a way; a message that cannot be sent at once is dropped.
type transport struct {
	dialer session.Dropper
	clock  kernel.Clock
	log    hclog.Logger
	// start names this start of the process. A replica that was restarted does not
	// know its earlier connections, and nothing tells the others but its new name.
	start startMessage

	// mu is "control.transport" of kernel.LockOrder.
	mu      sync.Mutex
	addrs   map[replica.ID]string
	senders map[replica.ID]*sender
	seen    map[replica.ID]time.Time
	starts  map[replica.ID]uint64
	ctx     context.Context
	running sync.WaitGroup
}

// sender sends to one replica.
type sender struct {
	queue chan *replica.Message
	// redial has one place: it asks for a new connection.
	redial chan struct{}
}

// startMessage is what a replica says first on a stream to another.
type startMessage struct {
	ID    replica.ID `cbor:"1,keyasint"`
	Start uint64     `cbor:"2,keyasint"`
	// Addr is where the sender listens: a replica that has just joined does not know
	// the others yet and has to answer them.
	Addr string `cbor:"3,keyasint"`
}

var _ replica.Transport = (*transport)(nil)

func newTransport(dialer session.Dropper, clock kernel.Clock, log hclog.Logger, addrs map[replica.ID]string) *transport {
	return &transport{
		dialer: dialer, clock: clock, log: log, addrs: addrs,
		senders: map[replica.ID]*sender{}, seen: map[replica.ID]time.Time{}, starts: map[replica.ID]uint64{},
	}
}

// open lets messages of the replica id, which listens on addr, out until ctx ends.
// Earlier ones are dropped.
func (t *transport) open(ctx context.Context, id replica.ID, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx = ctx
	t.start = startMessage{ID: id, Start: rand.Uint64(), Addr: addr}
}

// peerStarted notes which start of a replica sends to us. At a new one the
// connection to it is made anew.
func (t *transport) peerStarted(m startMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.starts[m.ID] == m.Start {
		return
	}
	if _, ok := t.addrs[m.ID]; !ok {
		t.addrs[m.ID] = m.Addr
	}
	t.starts[m.ID] = m.Start
	if s, ok := t.senders[m.ID]; ok {
		select {
		case s.redial <- struct{}{}:
		default:
		}
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

// updateAddrs takes over the addresses of the members.
func (t *transport) updateAddrs(members []replica.MemberStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if m.Addr != "" {
			t.addrs[m.ID] = m.Addr
		}
	}
}

// self returns the address that the replica told the others.
func (t *transport) self() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.start.Addr
}

func (t *transport) addr(id replica.ID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addrs[id]
}

// markSeen notes a message from a replica.
func (t *transport) markSeen(from replica.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen[from] = t.clock.Now()
}

// checkSilent reports whether nothing was heard of the replica for a while, and starts
// the while anew.
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

// outbound is the sending end of one pair of replicas.
type outbound struct {
	transport *transport
	to        replica.ID
	stream    wire.Stream
}

// run sends the messages of one queue until ctx ends.
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

func (o *outbound) close() {
	if o.stream != nil {
		o.stream.Abort()
		o.stream = nil
	}
}

// drop gives up the connection too.
func (o *outbound) drop() {
	o.close()
	o.transport.dialer.Drop(o.transport.addr(o.to))
}

func (o *outbound) send(ctx context.Context, m *replica.Message) {
	if o.stream == nil && !o.open(ctx) {
		return
	}
	if err := o.transport.send(o.stream, m); err != nil {
		o.transport.log.Debug("message to replica lost", "replica", o.to, "error", err)
		o.drop()
	}
}

// open opens a stream and says who we are. After a failure it waits.
func (o *outbound) open(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, peerOpenTimeout)
	defer cancel()
	stream, err := o.transport.dial(bounded, o.to)
	if err == nil {
		o.stream = stream
		return true
	}
	o.transport.log.Debug("replica not reached", "replica", o.to, "error", err)
	select {
	case <-ctx.Done():
	case <-o.transport.clock.After(peerRetry):
	}
	return false
}

// dial opens a stream to another replica.
func (t *transport) dial(ctx context.Context, to replica.ID) (wire.Stream, error) {
	addr := t.addr(to)
	if addr == "" {
		return nil, errors.Errorf("no address of replica %d", to)
	}
	stream, err := t.dialer.Open(ctx, addr)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	hello := t.start
	t.mu.Unlock()
	data, err := wire.Marshal(&hello)
	if err == nil {
		err = stream.Send(&wire.Replica{Group: groupStart, Data: data})
	}
	if err != nil {
		stream.Abort()
		return nil, err
	}
	return stream, nil
}

func (t *transport) send(stream wire.Stream, m *replica.Message) error {
	data, err := m.Marshal()
	if err != nil {
		return err
	}
	if err := stream.SetSendDeadline(t.clock.Now().Add(sendTimeout)); err != nil {
		return err
	}
	return stream.Send(&wire.Replica{Group: groupConsensus, Data: data})
}

// wait returns once no message is on its way any more.
func (t *transport) wait() { t.running.Wait() }
