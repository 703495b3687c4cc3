package drain

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/framing"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

const request = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

// server is a server whose connections are tracked and whose requests wait for a release.
type server struct {
	t        *testing.T
	set      *Connections
	listener net.Listener
	arrived  chan bool
	release  chan bool
}

// stoppedClock is a clock on which no time passes, except for those that wait.
type stoppedClock struct{ kernel.SystemClock }

func (stoppedClock) Now() time.Time { return time.Unix(1000, 0) }

func start(t *testing.T, clock kernel.Clock) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, set: New(clock), arrived: make(chan bool, 8), release: make(chan bool, 8)}
	s.listener = framing.Listen(s.set.Listen(l))
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.arrived <- true
		<-s.release
		_, _ = w.Write(body)
	})}
	framing.Protect(h, func(string) {})
	s.set.Observe(h)
	go func() { _ = h.Serve(s.listener) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) dial() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

// answered reports whether a complete answer comes.
func answered(in *bufio.Reader) bool {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(res.Body)
	return err == nil && string(body) == "body"
}

// closes stops the server and returns a channel for the result.
func (s *server) closes(ctx context.Context) chan error {
	s.t.Helper()
	if err := s.listener.Close(); err != nil {
		s.t.Fatal(err)
	}
	closed := make(chan error, 1)
	go func() { closed <- s.set.Close(ctx) }()
	return closed
}

func TestIdleConnectionsAreClosedAndRequestsAnswered(t *testing.T) {
	is := is.New(t)
	s := start(t, stoppedClock{})
	idle, idleIn := s.dial()
	_, _ = io.WriteString(idle, request)
	s.release <- true
	is.True(answered(idleIn))
	active, activeIn := s.dial()
	_, _ = io.WriteString(active, request)
	<-s.arrived
	<-s.arrived
	closed := s.closes(context.Background())
	_, err := idleIn.ReadByte()
	is.Equal(err, io.EOF) // the idle connection is closed
	s.release <- true
	is.True(answered(activeIn))
	_, err = activeIn.ReadByte()
	is.Equal(err, io.EOF) // the other one follows once it is idle
	is.NoErr(<-closed)
}

func TestRequestThatHasBegunIsAnswered(t *testing.T) {
	tests := map[string]struct {
		kept bool
		// split is the number of bytes that arrive before the server stops.
		split int
	}{
		"kept connection, a part of the head": {true, 10}, "kept connection, the head": {true, len(request) - 4},
		"new connection, nothing": {false, 0}, "new connection, a part of the head": {false, 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, stoppedClock{})
			caller, in := s.dial()
			s.await(func(c *conn) bool { return true })
			if test.kept {
				_, _ = io.WriteString(caller, request)
				s.release <- true
				is.True(answered(in))
				s.await(func(c *conn) bool { return c.idle })
			}
			if test.split > 0 {
				_, _ = io.WriteString(caller, request[:test.split])
				s.await(func(c *conn) bool { return c.used && !c.idle })
			}
			closed := s.closes(context.Background())
			time.Sleep(5 * pollInterval)
			_, _ = io.WriteString(caller, request[test.split:])
			s.release <- true
			is.True(answered(in))
			is.NoErr(<-closed)
		})
	}
}

// await waits until the only connection of the server meets a condition.
func (s *server) await(condition func(*conn) bool) {
	met := func() bool {
		s.set.mu.Lock()
		defer s.set.mu.Unlock()
		for c := range s.set.open {
			c.mu.Lock()
			defer c.mu.Unlock()
			return condition(c)
		}
		return false
	}
	for !met() {
		time.Sleep(time.Millisecond)
	}
}

func TestConnectionsThatStayOpenEndWithTheContext(t *testing.T) {
	is := is.New(t)
	s := start(t, stoppedClock{})
	caller, _ := s.dial()
	_, _ = io.WriteString(caller, request)
	<-s.arrived
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(<-s.closes(ctx), context.DeadlineExceeded))
	s.release <- true
}

func TestConnectionWithoutARequestIsClosed(t *testing.T) {
	is := is.New(t)
	s := start(t, kernel.SystemClock{})
	_, in := s.dial()
	s.await(func(c *conn) bool { return true })
	is.NoErr(<-s.closes(context.Background()))
	_, err := in.ReadByte()
	is.Equal(err, io.EOF)
}

// A caller that had been refused, and went on sending, kept a stopping process waiting.
func TestCallerThatGoesOnSendingDelaysNoStop(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	set, lingering := New(kernel.SystemClock{}), make(chan bool, 1)
	l = framing.Listen(set.Listen(l))
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "body")
		_ = Linger(w, time.Now())
		lingering <- false
	})}
	framing.Protect(h, func(string) {})
	set.Observe(h)
	go func() { _ = h.Serve(l) }()
	defer func() { _ = h.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	_, _ = io.WriteString(caller, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	is.True(answered(bufio.NewReader(caller)))
	is.NoErr(l.Close())
	is.NoErr(set.Close(context.Background()))
	is.Equal(len(lingering), 0) // the connection is still read
	is.NoErr(caller.Close())
	<-lingering
}
