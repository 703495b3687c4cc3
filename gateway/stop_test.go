package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/schedule"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// runningGateway is a gateway that runs as in a process, with the endpoints of a
// testGateway.
type runningGateway struct {
	*testGateway
	running     *Gateway
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
	g.client, g.fleet, g.waiting = w.session, w.g.fleet, schedule.New(w.g.fleet)
	g.deployment.Store(w.g.deployment.Load())
	adjust(g)
	ctx, cancel := context.WithCancel(context.Background())
	s := &runningGateway{testGateway: w, running: g, addr: g.listener.Addr().String(), ready: g.ready.Addr().String(), stop: cancel, stopped: make(chan error, 1)}
	go func() { s.stopped <- g.Run(ctx) }()
	t.Cleanup(cancel)
	w.url = "http://" + s.addr
	return s
}

// allow publishes a deployment whose routes have this time limit.
func (s *runningGateway) allow(timeout time.Duration) {
	s.setTimeouts(timeout)
	s.running.deployment.Store(s.g.deployment.Load())
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

// TestRequestAtWorkAtTheEndOfTheGraceTimeIsToldSo stops a gateway while a request runs for
// longer than the grace time.
func TestRequestAtWorkAtTheEndOfTheGraceTimeIsToldSo(t *testing.T) {
	is := is.New(t)
	arrived, cancelled := make(chan bool, 1), make(chan bool, 1)
	s := startGateway(t, time.Second, 50*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		arrived <- true
		<-r.Context().Done()
		cancelled <- true
	})
	slow := make(chan reply, 1)
	go func() { slow <- s.post("/tell/1", nil) }()
	<-arrived
	s.stop()
	is.NoErr(<-s.stopped)
	got := <-slow
	is.True(!got.broken)
	is.Equal(got.status, http.StatusBadGateway) // a 503 would state that the request has not run
	is.True(strings.Contains(got.body, `"verdict":"may_have_run"`))
	is.Equal(got.header.Get("Retry-After"), "")
	<-cancelled // the endpoint does not work on
}

// Requests that came, were placed or were to be sent once more late in the grace time were passed on and cut at its end
// without an answer, also those that may run only once.
func TestLateRequestsOfAStoppingEntryAreCutWithoutAnAnswer(t *testing.T) {
	const (
		grace    = 2 * time.Second
		late     = 1100 * time.Millisecond // after the stop; requests are answered until 1.3 s
		workTime = 600 * time.Millisecond
	)
	slowly := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(workTime):
			answering(http.StatusOK, "done")(w, r)
		case <-r.Context().Done():
		}
	}
	for _, path := range []string{"/seal/1", "/status/1", "/open/1", "/read/1", "/tell/1"} {
		t.Run("body comes late "+path, func(t *testing.T) {
			is := is.New(t)
			s := startGateway(t, grace, 50*time.Millisecond, slowly)
			c := dialRaw(t, s.url)
			c.send(requestHead("POST", path, "Content-Length: 4"))
			time.Sleep(20 * time.Millisecond)
			s.stop()
			time.Sleep(late)
			c.send("body")
			got := c.receive()
			is.True(!got.broken)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
			is.Equal(s.arrivalCount(), 0)
			is.NoErr(<-s.stopped)
		})
	}
	t.Run("body never comes", func(t *testing.T) {
		is := is.New(t)
		s := startGateway(t, grace, 50*time.Millisecond, slowly)
		c := dialRaw(t, s.url)
		c.send(requestHead("POST", "/seal/1", "Content-Length: 4"))
		time.Sleep(20 * time.Millisecond)
		s.stop()
		got := c.receive()
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.NoErr(<-s.stopped)
	})
	t.Run("endpoints become free late", func(t *testing.T) {
		const slots = 8
		tokens := func(r *http.Request) { r.Header.Set("Tokens", "10") }
		is := is.New(t)
		s := startGateway(t, grace, 50*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		var others sync.WaitGroup
		for range slots {
			others.Go(func() { s.post("/read/1", tokens) })
		}
		eventually(t, "all slots taken", func() bool { return s.arrivalCount() == slots })
		waiting := make(chan reply, 1)
		go func() { waiting <- s.post("/read/1", tokens) }()
		time.Sleep(20 * time.Millisecond)
		s.stop()
		got := <-waiting
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(s.arrivalCount(), slots)
		others.Wait()
		is.NoErr(<-s.stopped)
	})
	t.Run("endpoint fails late", func(t *testing.T) {
		is := is.New(t)
		s := startGateway(t, grace, 50*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(late)
			resetting(w, r)
		}, slowly)
		failing := make(chan reply, 1)
		go func() { failing <- s.post("/status/1", nil) }()
		time.Sleep(20 * time.Millisecond)
		s.stop()
		got := <-failing
		is.True(!got.broken)
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(s.arrivalCount(), 1) // not sent again
		is.NoErr(<-s.stopped)
	})
	t.Run("time limit ends before connections are closed", func(t *testing.T) {
		is := is.New(t)
		s := startGateway(t, grace, 50*time.Millisecond, answering(http.StatusOK, "done"))
		s.allow(1250 * time.Millisecond)
		c := dialRaw(t, s.url)
		c.send(requestHead("POST", "/seal/1", "Content-Length: 4"))
		time.Sleep(20 * time.Millisecond)
		s.stop()
		time.Sleep(late)
		c.send("body")
		is.Equal(c.receive().status, http.StatusOK)
		is.NoErr(<-s.stopped)
	})
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
