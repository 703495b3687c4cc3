package wire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// idleTimeout closes a connection that carries nothing.
	idleTimeout = 30 * time.Second
	// handshakeTimeout bounds the opening of a connection.
	handshakeTimeout = 3 * time.Second
	// StreamWindowBytes is the usual credit of one stream: the most that a
	// receiver holds for a reader that does not read.
	StreamWindowBytes = 256 << 10
	// connWindowBytes is the credit of all streams of one connection.
	connWindowBytes = 4 << 20
	// maxStreams bounds the streams that a peer may have open on a connection.
	maxStreams = 4096

	cancelCode quic.StreamErrorCode      = 1
	closeCode  quic.ApplicationErrorCode = 0
)

// quicConfig returns the transport settings. Windows are fixed rather than
// grown, so that memory for slow readers is bounded by what is written here.
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

// Stream carries messages in order between two processes. Send and Recv may be
// called by one goroutine each at the same time.
type Stream interface {
	// Peer says who is at the other end.
	Peer() Peer
	// Send writes m. It blocks while the peer has given no credit.
	Send(m Message) error
	// Recv returns the next message, or io.EOF once the peer has closed its side.
	Recv() (Message, error)
	// SetDeadline bounds all later calls of Send and Recv.
	SetDeadline(t time.Time) error
	// SetSendDeadline bounds all later calls of Send.
	SetSendDeadline(t time.Time) error
	// CloseSend says that no more messages come from this side.
	CloseSend() error
	// Abort ends both directions at once and frees what they hold.
	Abort()
	// Context ends when the stream's connection or sending side ends.
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

type stream struct {
	q       *quic.Stream
	peer    Peer
	traffic *Traffic
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
	return m, err
}

func (s *stream) Abort() {
	s.q.CancelRead(cancelCode)
	s.q.CancelWrite(cancelCode)
}

// Handler serves one stream; the stream is aborted when it returns unless the
// handler closed it.
type Handler func(s Stream)

// Server accepts streams from other processes.
type Server struct {
	listener *quic.Listener
	packet   net.PacketConn
	handler  Handler
	traffic  *Traffic
	wg       sync.WaitGroup
}

// Listen opens the server's address, an IP number and port.
func Listen(addr string, id *Identity, traffic *Traffic, h Handler) (*Server, error) {
	packet, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for processes")
	}
	listener, err := quic.Listen(packet, id.ServerConfig(), quicConfig(PoolOptions{StreamWindow: StreamWindowBytes}))
	if err != nil {
		_ = packet.Close()
		return nil, errors.Wrap(err, "listen for processes")
	}
	return &Server{listener: listener, packet: packet, handler: h, traffic: traffic}, nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts streams until ctx ends, then closes the server.
func (s *Server) Serve(ctx context.Context) error {
	defer s.close()
	for {
		conn, err := s.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		s.wg.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) close() {
	_ = s.listener.Close()
	_ = s.packet.Close()
	s.wg.Wait()
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(closeCode, "") }()
	peer := peerOf(conn.ConnectionState().TLS)
	var streams sync.WaitGroup
	defer streams.Wait()
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

// release closes the sending side and refuses what the peer may still send.
func (s *stream) release() {
	s.q.CancelRead(cancelCode)
	_ = s.q.Close()
}
