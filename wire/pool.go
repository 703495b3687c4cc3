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
	// IdleTimeout closes a connection whose peer gave no sign of life for so long;
	// zero is the usual 30 s. With KeepAlive it finds a peer that died.
	IdleTimeout time.Duration
	// CloseUnused closes a connection without open streams after so long; zero
	// leaves that to IdleTimeout.
	CloseUnused time.Duration
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

	// streams counts the open streams, and used is when it last changed. They
	// belong to the pool's lock.
	streams int
	used    time.Time
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
	c, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	q, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		p.count(c, -1)
		p.forget(addr, c)
		return nil, errors.Wrapf(err, "open stream to %s", addr)
	}
	context.AfterFunc(q.Context(), func() { p.count(c, -1) })
	return &stream{q: q, peer: peerOf(c.conn.ConnectionState().TLS), traffic: p.traffic}, nil
}

func (p *Pool) count(c *pooled, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.streams += n
	c.used = time.Now()
}

// connect returns an open connection and counts the stream to come.
func (p *Pool) connect(ctx context.Context, addr string) (*pooled, error) {
	p.mu.Lock()
	if p.done {
		p.mu.Unlock()
		return nil, errors.New("connection pool is closed")
	}
	p.closeUnused()
	c, ok := p.conns[addr]
	if ok && c.broken() {
		ok = false
	}
	if !ok {
		c = &pooled{ready: make(chan struct{})}
		p.conns[addr] = c
		go p.dial(addr, c)
	}
	c.streams++
	c.used = time.Now()
	p.mu.Unlock()
	select {
	case <-c.ready:
		if c.err != nil {
			p.count(c, -1)
		}
		return c, c.err
	case <-ctx.Done():
		p.count(c, -1)
		return nil, errors.Wrapf(ctx.Err(), "connect to %s", addr)
	}
}

// closeUnused closes the connections without open streams that were not used for
// a while. The caller holds the lock.
func (p *Pool) closeUnused() {
	if p.options.CloseUnused == 0 {
		return
	}
	now := time.Now()
	for addr, c := range p.conns {
		if c.streams > 0 || now.Sub(c.used) < p.options.CloseUnused || !c.opened() {
			continue
		}
		delete(p.conns, addr)
		if c.conn != nil {
			go func() { _ = c.conn.CloseWithError(closeCode, "") }()
		}
	}
}

// opened reports whether dialing has ended, well or badly.
func (c *pooled) opened() bool {
	select {
	case <-c.ready:
		return true
	default:
		return false
	}
}

// Drop closes the connection to addr, whose peer does not answer, so that the
// next Open makes a new one. Its open streams break.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	c := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if c != nil && c.opened() && c.conn != nil {
		_ = c.conn.CloseWithError(closeCode, "")
	}
}

// broken reports whether the connection was opened and has ended.
func (c *pooled) broken() bool {
	return c.opened() && (c.err != nil || c.conn.Context().Err() != nil)
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

func (p *Pool) forget(addr string, broken *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == broken && broken.broken() {
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
