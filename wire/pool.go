package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// Opener opens streams to other processes; tests replace it.
type Opener interface {
	Open(ctx context.Context, addr string) (Stream, error)
}

// PoolOptions set a Pool.
type PoolOptions struct {
	// KeepAlive is the interval of pings on open connections; zero lets idle ones
	// close.
	KeepAlive time.Duration
	// StreamWindow is the credit in bytes that each stream gives its peer; zero is
	// StreamWindowBytes.
	StreamWindow uint64
}

// Pool keeps connections to other processes. Connections are opened when wanted
// and close by themselves when idle, so that entries and sidecars do not hold a
// full mesh.
type Pool struct {
	id        *Identity
	options   PoolOptions
	traffic   *Traffic
	transport *quic.Transport

	mu    sync.Mutex
	conns map[string]*pooled
	done  bool
}

type pooled struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

var _ Opener = (*Pool)(nil)

// NewPool returns a pool that dials from one UDP socket.
func NewPool(id *Identity, o PoolOptions, traffic *Traffic) (*Pool, error) {
	if o.StreamWindow == 0 {
		o.StreamWindow = StreamWindowBytes
	}
	packet, err := net.ListenPacket("udp", ":0")
	if err != nil {
		return nil, errors.Wrap(err, "open socket for processes")
	}
	return &Pool{
		id:        id,
		options:   o,
		traffic:   traffic,
		transport: &quic.Transport{Conn: packet},
		conns:     map[string]*pooled{},
	}, nil
}

// Open opens a stream to the process at addr, an IP number and port.
func (p *Pool) Open(ctx context.Context, addr string) (Stream, error) {
	conn, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	q, err := conn.OpenStreamSync(ctx)
	if err != nil {
		p.forget(addr, conn)
		return nil, errors.Wrapf(err, "open stream to %s", addr)
	}
	return &stream{q: q, peer: peerOf(conn.ConnectionState().TLS), traffic: p.traffic}, nil
}

func (p *Pool) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	p.mu.Lock()
	if p.done {
		p.mu.Unlock()
		return nil, errors.New("connection pool is closed")
	}
	c, ok := p.conns[addr]
	if ok && c.broken() {
		ok = false
	}
	if !ok {
		c = &pooled{ready: make(chan struct{})}
		p.conns[addr] = c
		go p.dial(addr, c)
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
		return c.conn, c.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "connect to %s", addr)
	}
}

// broken reports whether the connection was opened and has ended.
func (c *pooled) broken() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.conn.Context().Err() != nil
	default:
		return false
	}
}

func (p *Pool) dial(addr string, c *pooled) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		c.err = errors.Wrapf(err, "address %s", addr)
		return
	}
	conn, err := p.transport.Dial(ctx, udp, p.id.ClientConfig(), quicConfig(p.options))
	if err != nil {
		c.err = errors.Wrapf(err, "connect to %s", addr)
		return
	}
	c.conn = conn
}

func (p *Pool) forget(addr string, conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok && c.broken() && c.conn == conn {
		delete(p.conns, addr)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	p.done = true
	conns := p.conns
	p.conns = map[string]*pooled{}
	p.mu.Unlock()
	for _, c := range conns {
		<-c.ready
		if c.conn != nil {
			_ = c.conn.CloseWithError(closeCode, "")
		}
	}
	_ = p.transport.Close()
	_ = p.transport.Conn.Close()
}
