package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// startServer serves callers of an entry over TCP until the end of the test. adjust may wrap the
// listener.
func startServer(t *testing.T, e *Entry, adjust func(net.Listener) net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.prepareServer(adjust(l))
	go func() { _ = e.serveCallers() }()
	t.Cleanup(func() { _ = e.server.Close() })
}

// dial connects a caller to an entry.
func dial(t *testing.T, e *Entry) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

// refused is a request line and a header without a key.
const refused = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"

// countingListener counts the bytes that a process reads from each caller.
type countingListener struct {
	net.Listener
	// read holds an *atomic.Int64 for the address of each caller.
	read *sync.Map
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	read := &atomic.Int64{}
	l.read.Store(conn.RemoteAddr().String(), read)
	return countingConn{conn, read}, nil
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// A stopping entry closed connections from which it had just read a whole request.
func TestWholeRequestIsLostAsAStoppingEntryClosesIdleConnections(t *testing.T) {
	const (
		delay   = 200 * time.Millisecond
		spread  = 3 * time.Millisecond
		callers = 200
	)
	request := refused + "Content-Length: 4\r\n\r\nbody"
	is := is.New(t)
	e := newEntry(t, func(wire.Attempt) []wire.Message { return nil })
	e.DrainDelay = settings.Duration(delay)
	var read sync.Map
	startServer(t, e, func(l net.Listener) net.Listener { return countingListener{l, &read} })
	var lost atomic.Int64
	var connected, tasks sync.WaitGroup
	begin := make(chan time.Time)
	for i := range callers {
		conn, in := dial(t, e)
		connected.Add(1)
		answered := func() bool {
			// The connection may have been closed.
			_, _ = io.WriteString(conn, request)
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				return false
			}
			_, err = io.ReadAll(res.Body)
			return err == nil
		}
		tasks.Go(func() {
			is.True(answered())
			connected.Done()
			closing := <-begin
			time.Sleep(time.Until(closing.Add(spread * time.Duration(2*i-callers) / callers)))
			counter, _ := read.Load(conn.LocalAddr().String())
			before := counter.(*atomic.Int64).Load()
			if !answered() && counter.(*atomic.Int64).Load()-before >= int64(len(request)) {
				lost.Add(1)
			}
		})
	}
	connected.Wait()
	stopped := make(chan error, 1)
	closing := time.Now().Add(delay)
	go func() { stopped <- e.drain() }()
	for range callers {
		begin <- closing
	}
	tasks.Wait()
	is.NoErr(<-stopped)
	is.Equal(lost.Load(), int64(0)) // whole requests that were read and not answered
}
