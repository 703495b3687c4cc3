package wire

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// Opener opens streams to other processes; tests replace it.
type Opener interface {
	Open(ctx context.Context, addr string) (Stream, error)
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	// KeepAlive is the interval of pings on open connections. With zero, no pings are
	// sent and idle connections close.
	KeepAlive time.Duration
	// StreamWindow is the receive window of each stream in bytes. Zero stands for
	// StreamWindowBytes.
	StreamWindow uint64
	// IdleTimeout is the time without any packet from the peer after which a connection
	// is closed. Zero stands for 30 s. Together with KeepAlive it detects a crashed peer.
	IdleTimeout time.Duration
	// CloseUnused is the time without open streams after which a connection may be
	// closed; the next Open of the pool closes it. With zero, only IdleTimeout applies.
	CloseUnused time.Duration
}

// Pool holds one connection to each peer process. Connections are opened on demand and
// close when idle, so that entries and sidecars do not maintain a full mesh. Its methods
// may be called concurrently.
type Pool struct {
	id        *Identity
	options   PoolOptions
	traffic   *Traffic
	transport *quic.Transport
	// dialing ends when the pool is closed.
	dialing     context.Context
	stopDialing context.CancelFunc

	mu    sync.Mutex
	conns map[string]*pooledConn
	// replaced are the connections that Replace has taken out of use and that have open streams.
	replaced map[*pooledConn]bool
	closed   bool
}

// pooledConn is a connection of a Pool that is being dialed, open, or closed.
type pooledConn struct {
	// ready is closed when dialing has ended. conn or err is set before that.
	ready chan struct{}
	conn  *quic.Conn
	err   error

	// streams is the number of streams of which a side is open, including those that Open is
	// about to open, and lastUsed is when it last changed. Pool.mu guards both.
	streams  int
	lastUsed time.Time
}

var _ Opener = (*Pool)(nil)

// NewPool returns a pool that dials all connections from one UDP socket. It counts the
// bytes of all messages in traffic.
func NewPool(id *Identity, o PoolOptions, traffic *Traffic) (*Pool, error) {
	if o.StreamWindow == 0 {
		o.StreamWindow = StreamWindowBytes
	}
	packet, err := net.ListenPacket("udp", net.JoinHostPort(id.bindIP, "0"))
	if err != nil {
		return nil, errors.Wrap(err, "open UDP socket for peer connections")
	}
	dialing, stopDialing := context.WithCancel(context.Background())
	return &Pool{
		dialing:     dialing,
		stopDialing: stopDialing,
		id:          id,
		options:     o,
		traffic:     traffic,
		transport:   &quic.Transport{Conn: packet},
		conns:       map[string]*pooledConn{},
		replaced:    map[*pooledConn]bool{},
	}, nil
}

// Open opens a stream to the process at addr, an IP address and port.
func (p *Pool) Open(ctx context.Context, addr string) (Stream, error) {
	c, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	q, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		p.addStreams(c, -1)
		p.removeBroken(addr, c)
		return nil, errors.Wrapf(err, "open stream to %s", addr)
	}
	// The peer may end the sending side while data that it has sent is still to be read.
	var sides atomic.Int32
	sides.Store(2)
	ended := func() {
		if sides.Add(-1) == 0 {
			p.addStreams(c, -1)
		}
	}
	context.AfterFunc(q.Context(), ended)
	return &stream{q: q, peer: peerOf(c.conn.ConnectionState().TLS), traffic: p.traffic, readEnded: sync.OnceFunc(ended)}, nil
}

// addStreams adds n to the number of open streams of c.
func (p *Pool) addStreams(c *pooledConn, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.streams += n
	c.lastUsed = time.Now()
	p.closeReplaced(c)
}

// connect returns an open connection to addr, which it dials if there is none. It adds the
// stream that the caller is going to open to the connection's number of streams.
func (p *Pool) connect(ctx context.Context, addr string) (*pooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errors.New("connection pool is closed")
	}
	p.closeUnused()
	c, ok := p.conns[addr]
	if ok && c.broken() {
		ok = false
	}
	if !ok {
		c = &pooledConn{ready: make(chan struct{})}
		p.conns[addr] = c
		go p.dial(addr, c)
	}
	c.streams++
	c.lastUsed = time.Now()
	p.mu.Unlock()
	select {
	case <-c.ready:
		if c.err != nil {
			p.addStreams(c, -1)
		}
		return c, c.err
	case <-ctx.Done():
		p.addStreams(c, -1)
		return nil, errors.Wrapf(ctx.Err(), "connect to %s", addr)
	}
}

// closeUnused closes the connections that have had no open stream for
// PoolOptions.CloseUnused. The caller holds p.mu.
func (p *Pool) closeUnused() {
	if p.options.CloseUnused == 0 {
		return
	}
	now := time.Now()
	for addr, c := range p.conns {
		if c.streams > 0 || now.Sub(c.lastUsed) < p.options.CloseUnused || !c.dialDone() {
			continue
		}
		delete(p.conns, addr)
		if c.conn != nil {
			go func() { _ = c.conn.CloseWithError(closeCode, "") }()
		}
	}
}

// dialDone reports whether dialing has succeeded or failed.
func (c *pooledConn) dialDone() bool {
	select {
	case <-c.ready:
		return true
	default:
		return false
	}
}

// Drop closes the connection to addr, including its open streams, so that the next Open
// dials again. It is for a peer that does not respond.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	c := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if c != nil && c.dialDone() && c.conn != nil {
		_ = c.conn.CloseWithError(closeCode, "")
	}
}

// Replace makes the next Open dial a new connection to addr. The streams that are open go on, and
// their connection closes after the last of them. It is for a peer that may have restarted, or may
// only be slow to answer.
func (p *Pool) Replace(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil || !c.dialDone() {
		return
	}
	delete(p.conns, addr)
	if c.conn != nil {
		p.replaced[c] = true
		p.closeReplaced(c)
		context.AfterFunc(c.conn.Context(), func() { p.forgetReplaced(c) })
	}
}

// closeReplaced closes a connection that Replace has taken out of use, if it has no open streams. The
// caller holds p.mu.
func (p *Pool) closeReplaced(c *pooledConn) {
	if !p.replaced[c] || c.streams > 0 {
		return
	}
	delete(p.replaced, c)
	go func() { _ = c.conn.CloseWithError(closeCode, "") }()
}

// forgetReplaced forgets a connection that has ended.
func (p *Pool) forgetReplaced(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replaced, c)
}

// broken reports whether dialing failed or the connection has ended.
func (c *pooledConn) broken() bool {
	return c.dialDone() && (c.err != nil || c.conn.Context().Err() != nil)
}

// dial opens the connection and sets c.conn or c.err.
func (p *Pool) dial(addr string, c *pooledConn) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(p.dialing, handshakeTimeout)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		c.err = errors.Wrapf(err, "resolve address %s", addr)
		return
	}
	conn, err := p.transport.Dial(ctx, udp, p.id.ClientConfig(), quicConfig(p.options))
	if err != nil {
		c.err = errors.Wrapf(err, "connect to %s", addr)
		return
	}
	c.conn = conn
}

// removeBroken removes a broken connection from the pool, unless another connection to
// addr has replaced it.
func (p *Pool) removeBroken(addr string, broken *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == broken && broken.broken() {
		delete(p.conns, addr)
	}
}

// Close closes all connections, those being dialed too, and the socket. A later Open fails.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := slices.Concat(slices.Collect(maps.Values(p.conns)), slices.Collect(maps.Keys(p.replaced)))
	clear(p.conns)
	clear(p.replaced)
	p.mu.Unlock()
	p.stopDialing()
	for _, c := range conns {
		<-c.ready
		if c.conn != nil {
			_ = c.conn.CloseWithError(closeCode, "")
		}
	}
	_ = p.transport.Close()
	_ = p.transport.Conn.Close()
}
