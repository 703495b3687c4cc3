package session

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// testTimeout is the longest wait in the tests, far longer than they need.
const testTimeout = 20 * time.Second

// fakeStream is one end of a stream in memory.
type fakeStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	in     chan wire.Message
	out    chan wire.Message
	// closed is closed by CloseSend, and peerClosed by the peer's CloseSend.
	closed     chan struct{}
	peerClosed chan struct{}
	once       sync.Once
}

var _ wire.Stream = (*fakeStream)(nil)

// newStreamPair returns the two ends of a stream.
func newStreamPair() (client, server *fakeStream) {
	ctx, cancel := context.WithCancel(context.Background())
	up, down := make(chan wire.Message, 64), make(chan wire.Message, 64)
	upClosed, downClosed := make(chan struct{}), make(chan struct{})
	client = &fakeStream{ctx: ctx, cancel: cancel, in: down, out: up, closed: upClosed, peerClosed: downClosed}
	server = &fakeStream{ctx: ctx, cancel: cancel, in: up, out: down, closed: downClosed, peerClosed: upClosed}
	return client, server
}

func (s *fakeStream) Peer() wire.Peer                 { return wire.Peer{} }
func (s *fakeStream) SetDeadline(time.Time) error     { return nil }
func (s *fakeStream) SetSendDeadline(time.Time) error { return nil }
func (s *fakeStream) Context() context.Context        { return s.ctx }
func (s *fakeStream) Abort()                          { s.cancel() }

func (s *fakeStream) CloseSend() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

func (s *fakeStream) Send(m wire.Message) error {
	select {
	case s.out <- m:
		return nil
	case <-s.ctx.Done():
		return errors.New("stream was aborted")
	}
}

func (s *fakeStream) Recv() (wire.Message, error) {
	select {
	case m := <-s.in:
		return m, nil
	case <-s.peerClosed:
	case <-s.ctx.Done():
		return nil, errors.New("stream was aborted")
	}
	// Messages that the peer sent before CloseSend are still delivered.
	select {
	case m := <-s.in:
		return m, nil
	default:
		return nil, io.EOF
	}
}

// fakeNetwork is a Dropper whose replicas are functions that serve the other end of a stream.
type fakeNetwork struct {
	replicas map[string]func(s *fakeStream)

	// mu guards dropped and opened, the arguments of Drop and Open.
	mu      sync.Mutex
	dropped []string
	opened  []string
}

var _ Dropper = (*fakeNetwork)(nil)

func (n *fakeNetwork) Open(ctx context.Context, addr string) (wire.Stream, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.opened = append(n.opened, addr)
	n.mu.Unlock()
	serve, ok := n.replicas[addr]
	if !ok {
		return nil, errors.Errorf("%s cannot be reached", addr)
	}
	client, server := newStreamPair()
	go serve(server)
	return client, nil
}

func (n *fakeNetwork) Drop(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped = append(n.dropped, addr)
}

// newClient returns a client of the replicas at the given addresses.
func newClient(t *testing.T, n *fakeNetwork, replicas ...string) *Client {
	t.Helper()
	c, err := New(Options{
		Node: settings.Node{Name: "entry-1"}, Role: wire.RoleEntry, Replicas: replicas, Opener: n,
		Heartbeat: 20 * time.Millisecond, Lease: 10 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// eventually waits until ok returns true. condition describes it in the failure message.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not reached within the timeout: %s", condition)
}
