package wire

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// idleTimeout is the default of PoolOptions.IdleTimeout.
	idleTimeout = 30 * time.Second
	// handshakeTimeout bounds the time to open a connection.
	handshakeTimeout = 3 * time.Second
	// StreamWindowBytes is the default receive window of a stream, which is also the
	// most memory that the receiver holds for a stream that nobody reads.
	StreamWindowBytes = 256 << 10
	// connWindowBytes is the receive window that all streams of a connection share.
	connWindowBytes = 4 << 20
	// maxStreams is the maximum number of streams that a peer may have open on a
	// connection.
	maxStreams = 4096
	// handlerEndTime is how long the handlers of a stopping server have to return before their connections
	// are closed.
	handlerEndTime = 100 * time.Millisecond

	// cancelCode and closeCode are the QUIC error codes of an aborted stream and of a
	// connection that is closed without an error.
	cancelCode quic.StreamErrorCode      = 1
	closeCode  quic.ApplicationErrorCode = 0
)

// quicConfig returns the transport settings. The receive windows are fixed instead of
// auto-tuned, so that StreamWindow and connWindowBytes bound the memory for slow readers.
func quicConfig(o PoolOptions) *quic.Config {
	idle := o.IdleTimeout
	if idle == 0 {
		idle = idleTimeout
	}
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idle,
		KeepAlivePeriod:                o.KeepAlive,
		InitialStreamReceiveWindow:     o.StreamWindow,
		MaxStreamReceiveWindow:         o.StreamWindow,
		InitialConnectionReceiveWindow: connWindowBytes,
		MaxConnectionReceiveWindow:     connWindowBytes,
		MaxIncomingStreams:             maxStreams,
	}
}

// Stream carries messages in order between two processes. One goroutine may call Send
// while another one calls Recv.
type Stream interface {
	// Peer returns the process at the other end, as its certificate names it.
	Peer() Peer
	// Send writes m. It blocks while the peer's receive window is full.
	Send(m Message) error
	// Recv returns the next message, or io.EOF once the peer has closed its side.
	Recv() (Message, error)
	// SetDeadline sets the time after which Send and Recv fail.
	SetDeadline(t time.Time) error
	// SetSendDeadline sets the time after which Send fails.
	SetSendDeadline(t time.Time) error
	// CloseSend closes the sending side. The peer's Recv returns io.EOF after the last
	// message.
	CloseSend() error
	// Abort cancels both directions immediately and discards unsent and unread data.
	Abort()
	// Context returns a context that ends when the sending side is closed or aborted, or
	// the connection ends.
	Context() context.Context
}

// Traffic counts the bytes of messages sent and received.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Register adds the counts to set, as "<name>_sent_bytes" and "<name>_received_bytes".
func (t *Traffic) Register(set *metrics.Set, name string) {
	set.NewGauge(name+"_sent_bytes", func() float64 { return float64(t.Sent.Load()) })
	set.NewGauge(name+"_received_bytes", func() float64 { return float64(t.Received.Load()) })
}

// stream implements Stream on a QUIC stream.
type stream struct {
	q       *quic.Stream
	peer    Peer
	traffic *Traffic
	// readEnded is called once nothing more is read; nil if nobody has to know.
	readEnded func()
}

var _ Stream = (*stream)(nil)

func (s *stream) Peer() Peer                        { return s.peer }
func (s *stream) SetDeadline(t time.Time) error     { return s.q.SetDeadline(t) }
func (s *stream) SetSendDeadline(t time.Time) error { return s.q.SetWriteDeadline(t) }
func (s *stream) CloseSend() error                  { return s.q.Close() }
func (s *stream) Context() context.Context          { return s.q.Context() }

func (s *stream) Send(m Message) error {
	n, err := WriteMessage(s.q, m)
	s.traffic.Sent.Add(int64(n))
	return err
}

func (s *stream) Recv() (Message, error) {
	m, n, err := ReadMessage(s.q)
	s.traffic.Received.Add(int64(n))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.endRead()
	}
	return m, err
}

// endRead reports that nothing more is read.
func (s *stream) endRead() {
	if s.readEnded != nil {
		s.readEnded()
	}
}

func (s *stream) Abort() {
	s.q.CancelRead(cancelCode)
	s.q.CancelWrite(cancelCode)
	s.endRead()
}

// Handler serves one stream. When it returns, the sending side is closed and whatever
// the peer still sends is discarded.
type Handler func(s Stream)

// Server accepts connections of other processes and passes their streams to a Handler.
type Server struct {
	listener  *quic.Listener
	transport *quic.Transport
	packet    net.PacketConn
	// host is the host of the address that the server was asked to listen on.
	host    string
	handler Handler
	traffic *Traffic
	// handlerEndTime is the constant of that name, except in tests.
	handlerEndTime time.Duration
	conns          sync.WaitGroup
}

// Listen returns a server on addr, an IP address and port. It counts the bytes of all
// messages in traffic.
func Listen(addr string, id *Identity, traffic *Traffic, h Handler) (*Server, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "parse listen address %q", addr)
	}
	bindAddr, err := id.BindAddr(addr)
	if err != nil {
		return nil, err
	}
	resetKey, err := id.resetKey(addr)
	if err != nil {
		return nil, err
	}
	packet, err := net.ListenPacket("udp", bindAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peer connections")
	}
	transport := &quic.Transport{Conn: packet, StatelessResetKey: resetKey}
	listener, err := transport.Listen(id.ServerConfig(), quicConfig(PoolOptions{StreamWindow: StreamWindowBytes}))
	if err != nil {
		_ = packet.Close()
		return nil, errors.Wrap(err, "listen for peer connections")
	}
	return &Server{listener: listener, transport: transport, packet: packet, host: host, handler: h, traffic: traffic, handlerEndTime: handlerEndTime}, nil
}

// Addr returns the address at which other processes reach the server.
func (s *Server) Addr() string {
	return net.JoinHostPort(s.host, strconv.Itoa(s.listener.Addr().(*net.UDPAddr).Port))
}

// Serve accepts streams until ctx ends. The handlers then have handlerEndTime to return before their
// connections are closed, which ends their streams. Serve returns after the last handler.
func (s *Server) Serve(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer s.close()
	defer stop()
	for {
		conn, err := s.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		s.conns.Go(func() { s.serveConn(ctx, conn) })
	}
}

// close closes the socket after the connections, so that the peers are told of their end.
func (s *Server) close() {
	_ = s.listener.Close()
	s.conns.Wait()
	_ = s.transport.Close()
	_ = s.packet.Close()
}

// serveConn serves the streams of a connection until it or ctx ends, and closes it.
func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	var streams sync.WaitGroup
	s.acceptStreams(ctx, conn, &streams)
	ended := make(chan struct{})
	go func() {
		streams.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(s.handlerEndTime):
	}
	_ = conn.CloseWithError(closeCode, "")
	<-ended
}

// acceptStreams starts the handlers of a connection's streams until it or ctx ends.
func (s *Server) acceptStreams(ctx context.Context, conn *quic.Conn, streams *sync.WaitGroup) {
	peer := peerOf(conn.ConnectionState().TLS)
	for {
		q, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		streams.Go(func() {
			st := &stream{q: q, peer: peer, traffic: s.traffic}
			defer st.release()
			s.handler(st)
		})
	}
}

// release closes the sending side and makes the peer stop sending.
func (s *stream) release() {
	s.q.CancelRead(cancelCode)
	_ = s.q.Close()
}
