package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
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

const (
	head    = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testKey + "\r\n"
	refused = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
)

// A refusal did not come, or was discarded by a reset, while the body of its request was on its
// way.
func TestRefusalIsLostWhileTheBodyIsOnItsWay(t *testing.T) {
	quarter := strings.Repeat(" ", 256<<10)
	tests := map[string]struct {
		head   string
		rest   []string // parts of the body that follow, each after a pause
		status int
	}{
		"the body stalls":                    {refused + "Content-Length: 4\r\n\r\nb", nil, http.StatusUnauthorized},
		"the body stalls, in chunks":         {refused + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo", nil, http.StatusUnauthorized},
		"the body stalls, unknown path":      {"POST /v2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nb", nil, http.StatusBadRequest},
		"the body stalls until the deadline": {head + HeaderTimeout + ": 200ms\r\nContent-Length: 4\r\n\r\nb", nil, http.StatusGatewayTimeout},
		"the body comes after the deadline":  {head + HeaderTimeout + ": 200ms\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", []string{"dy\r\n", "0\r\n", "\r\n"}, http.StatusGatewayTimeout},
		"the body is too large":              {head + "Content-Length: 1048576\r\n\r\n", []string{quarter, quarter, quarter, quarter}, http.StatusRequestEntityTooLarge},
		"the body is too large, in chunks":   {head + "Transfer-Encoding: chunked\r\n\r\n100000\r\n", []string{quarter, quarter, quarter, quarter + "\r\n0\r\n\r\n"}, http.StatusRequestEntityTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := newEntry(t, func(wire.Attempt) []wire.Message { t.Error("refused request was dispatched"); return nil })
			startServer(t, e, func(l net.Listener) net.Listener { return l })
			conn, in := dial(t, e)
			_, err := io.WriteString(conn, test.head)
			is.NoErr(err)
			for _, part := range test.rest {
				time.Sleep(300 * time.Millisecond)
				_, err := io.WriteString(conn, part)
				is.NoErr(err)
			}
			res, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			_, err = io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(res.StatusCode, test.status)
			is.Equal(res.Header.Get("X-Verdict"), "not_run")
			is.True(res.Close)
		})
	}
}

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
