package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// runningGateway is a gateway that runs as in a process, with the endpoints of a
// testGateway.
type runningGateway struct {
	*testGateway
	addr, ready string
	stop        func()
	stopped     chan error
}

// startGateway runs a gateway with this grace time and drain delay until stop or the
// end of the test.
func startGateway(t *testing.T, grace, delay time.Duration, endpoints ...http.HandlerFunc) *runningGateway {
	t.Helper()
	return startAdjusted(t, grace, delay, func(*Gateway) {}, endpoints...)
}

// startAdjusted is startGateway with changes to the gateway before it runs.
func startAdjusted(t *testing.T, grace, delay time.Duration, adjust func(*Gateway), endpoints ...http.HandlerFunc) *runningGateway {
	t.Helper()
	is := is.New(t)
	w := newTestGateway(t, endpoints...)
	g := New(Settings{
		Listen: "127.0.0.1:0", Ready: "127.0.0.1:0", ReadyPath: "/ready", Peers: "127.0.0.1:0", Control: []settings.Addr{"127.0.0.1:1"},
		Lease: time.Second, Grace: grace, DrainDelay: delay, Retries: w.g.Retries, TicketTTL: time.Second,
	}, testDialect{}, w.engines)
	h := kernel.NewHost(&settings.File{Node: w.g.node, TLS: &settings.TLS{Trust: "network"}}, hclog.NewNullLogger())
	is.NoErr(g.Provision(h))
	g.client, g.fleet = w.session, w.g.fleet
	g.deployment.Store(w.g.deployment.Load())
	adjust(g)
	ctx, cancel := context.WithCancel(context.Background())
	s := &runningGateway{testGateway: w, addr: g.listener.Addr().String(), ready: g.ready.Addr().String(), stop: cancel, stopped: make(chan error, 1)}
	go func() { s.stopped <- g.Run(ctx) }()
	t.Cleanup(cancel)
	w.url = "http://" + s.addr
	return s
}

// isReady makes a readiness check as the load balancer does.
func (s *runningGateway) isReady() bool {
	res, err := http.Get("http://" + s.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// postOnConn sends a request on an open connection and returns its answer, or nil if it
// failed.
func postOnConn(conn net.Conn, in *bufio.Reader) *http.Response {
	_, err := io.WriteString(conn, "POST /seal/1 HTTP/1.1\r\nHost: h\r\nId: attempt-1\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody")
	if err != nil {
		return nil
	}
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res
}

// TestShutdownFinishesRequestsInFlight stops a gateway while one request is in flight
// and a caller keeps using its open connection.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan bool, 8), make(chan bool)
	s := startGateway(t, 30*time.Second, 3*time.Second, func(w http.ResponseWriter, r *http.Request) {
		arrived <- true
		if r.URL.Path == "/seal/slow" {
			<-release
		}
		answering(http.StatusOK, "done")(w, r)
	})
	is.True(s.isReady())
	slow := make(chan reply, 1)
	go func() { slow <- s.post("/seal/slow", nil) }()
	<-arrived
	kept, err := net.Dial("tcp", s.addr)
	is.NoErr(err)
	defer func() { _ = kept.Close() }()
	in := bufio.NewReader(kept)
	res := postOnConn(kept, in)
	is.True(res != nil && res.StatusCode == http.StatusOK && !res.Close)

	s.stop()
	for s.isReady() {
		time.Sleep(time.Millisecond) // wait until the gateway has started to drain
	}
	// New connections are served during the drain delay.
	is.Equal(s.post("/seal/2", func(r *http.Request) { r.Close = true }).status, http.StatusOK)
	// The open connection gets its answer with the header Connection: close.
	res = postOnConn(kept, in)
	is.True(res != nil && res.StatusCode == http.StatusOK && res.Close)

	close(release)
	got := <-slow
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "done")
	is.NoErr(<-s.stopped)
}

// TestShutdownAbortsRequestsAfterGraceTime stops a gateway while a request runs for
// longer than the grace time.
func TestShutdownAbortsRequestsAfterGraceTime(t *testing.T) {
	is := is.New(t)
	arrived := make(chan bool, 1)
	s := startGateway(t, time.Second, 50*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		arrived <- true
		<-r.Context().Done()
	})
	slow := make(chan reply, 1)
	go func() { slow <- s.post("/tell/1", nil) }()
	<-arrived
	s.stop()
	is.NoErr(<-s.stopped)
	is.True((<-slow).broken) // no status, as any could state that the request has not run
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

// lostRequests counts requests that got no answer.
type lostRequests struct {
	// answered counts the others, and read those that had been read whole.
	answered, read atomic.Int64
}

// sendAround sends a request on each connection within spread of a moment. counted holds the bytes
// that were read from each caller.
func sendAround(moment time.Time, connected []*rawCaller, counted *sync.Map) *lostRequests {
	const spread = 3 * time.Millisecond
	request := requestHead("POST", "/seal/1", "Content-Length: 4") + "body"
	lost := &lostRequests{}
	bytesRead := func(c *rawCaller) int64 {
		if counter, ok := counted.Load(c.conn.LocalAddr().String()); ok {
			return counter.(*atomic.Int64).Load()
		}
		return 0
	}
	var tasks sync.WaitGroup
	for i, c := range connected {
		tasks.Go(func() {
			before := bytesRead(c)
			time.Sleep(time.Until(moment.Add(spread * time.Duration(2*i-len(connected)) / time.Duration(len(connected)))))
			// The connection may have been closed.
			_, _ = io.WriteString(c.conn, request)
			if got := c.receive(); !got.broken {
				lost.answered.Add(1)
			} else if bytesRead(c)-before >= int64(len(request)) {
				lost.read.Add(1)
			}
		})
	}
	tasks.Wait()
	return lost
}

// startCounting is startAdjusted with a count of the bytes that are read from each caller.
func startCounting(t *testing.T, delay time.Duration, adjust func(*Gateway), endpoint http.HandlerFunc) (*runningGateway, *sync.Map) {
	t.Helper()
	counted := &sync.Map{}
	s := startAdjusted(t, 30*time.Second, delay, func(g *Gateway) {
		adjust(g)
		is := is.New(t)
		is.NoErr(g.listener.Close())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		g.listener = g.trackCallers(countingListener{l, counted})
	}, endpoint)
	return s, counted
}

// connect opens connections and, if used is set, sends a first request on each.
func (s *runningGateway) connect(t *testing.T, n int, used bool) []*rawCaller {
	t.Helper()
	var connected []*rawCaller
	for range n {
		c := dialRaw(t, s.url)
		if used {
			c.send(requestHead("POST", "/seal/1", "Content-Length: 4"), "body")
			if got := c.receive(); got.status != http.StatusOK {
				t.Fatalf("first request: status %d", got.status)
			}
		}
		connected = append(connected, c)
	}
	return connected
}

// A stopping entry closed connections from which it had just read a whole request.
func TestWholeRequestIsLostAsAStoppingEntryClosesIdleConnections(t *testing.T) {
	const (
		delay   = 200 * time.Millisecond
		callers = 200
	)
	for name, used := range map[string]bool{"kept connections": true, "new connections": false} {
		for round := range 5 {
			t.Run(fmt.Sprintf("%s, round %d", name, round), func(t *testing.T) {
				is := is.New(t)
				s, counted := startCounting(t, delay, func(*Gateway) {}, answering(http.StatusOK, "good"))
				connected := s.connect(t, callers, used)
				first := s.arrivalCount()
				s.stop()
				lost := sendAround(time.Now().Add(delay), connected, counted)
				is.NoErr(<-s.stopped)
				is.Equal(lost.read.Load(), int64(0))
				is.Equal(s.arrivalCount()-first, int(lost.answered.Load())) // none that was passed on
			})
		}
	}
}

func TestRequestThatCrossesTheEndOfAnIdleConnectionIsNotRead(t *testing.T) {
	const (
		idle    = 300 * time.Millisecond
		callers = 50
	)
	for round := range 5 {
		t.Run(strconv.Itoa(round), func(t *testing.T) {
			is := is.New(t)
			s, counted := startCounting(t, 0, func(g *Gateway) { g.server.IdleTimeout = idle }, answering(http.StatusOK, "good"))
			connected := s.connect(t, callers, true)
			lost := sendAround(time.Now().Add(idle), connected, counted)
			is.Equal(lost.read.Load(), int64(0))
			is.Equal(s.arrivalCount()-callers, int(lost.answered.Load())) // none that was passed on
		})
	}
}
