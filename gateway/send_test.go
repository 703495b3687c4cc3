package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// An endpoint was taken out of service while memory was being reserved for the request.
func TestRequestIsPlacedAgainIfItsEndpointIsWithdrawnBeforeTheSend(t *testing.T) {
	tests := map[string]func(w *testGateway){
		"zone out":  func(w *testGateway) { w.g.fleet.SetZonesOut(map[string]bool{"zone-0": true}) },
		"leaving":   func(w *testGateway) { w.updateScribe(func(e *assign.Endpoint) { e.Leaving = true }) },
		"restarted": func(w *testGateway) { w.updateScribe(func(e *assign.Endpoint) { e.Incarnation++; e.Leaving = true }) },
		"removed":   func(w *testGateway) { w.g.fleet.Remove("scribe-1") },
	}
	for name, withdraw := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := answering(http.StatusOK, "id: 1\ndata: x\n\n")
			w := newTestGateway(t, answer, answer)
			c := w.call("/read/1", 10)
			w.addLoad("scribe", 1, 3)
			a := c.newAttempt(context.Background())
			is.NoErr(a.place())
			is.Equal(a.endpoint(), "scribe-1")
			w.g.mu.Lock()
			withdraw(w)
			w.g.mu.Unlock()
			_, err := a.send()
			is.True(err != nil)
			is.True(c.mayTryAgain(verdict.From(err)))
			is.Equal(c.sends+c.runs+w.arrivalCount(), 0)
			a.placed.release(true)
			a = c.newAttempt(context.Background())
			is.NoErr(a.place())
			is.Equal(a.endpoint(), "scribe-2")
		})
	}
}

// updateScribe changes the first endpoint of the model service.
func (w *testGateway) updateScribe(change func(*assign.Endpoint)) {
	e := scribe(0)
	change(&e)
	w.g.fleet.Update(e)
}

// A request that had waited was sent though the permission had lapsed meanwhile.
func TestRequestIsNotSentAfterThePermissionHasLapsed(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "good"))
	for _, test := range []struct {
		path string
		key  bool
		sent int
	}{{"/status/1", true, 0}, {"/open/1", true, 0}, {"/open/1", false, 1}} {
		arrived := w.arrivalCount()
		c := w.callWith(test.path, 0, test.key)
		a := c.newAttempt(context.Background())
		is.NoErr(a.place())
		w.session.expired.Store(true)
		go func() {
			for m := range c.messages {
				m.from.taken <- struct{}{}
			}
		}()
		_, err := a.send()
		w.session.expired.Store(false)
		is.Equal(err == nil, test.sent == 1)
		is.Equal(w.arrivalCount()-arrived, test.sent)
		a.placed.release(true)
		close(c.messages)
	}
}

// A connection to an endpoint VM that had lost power and started again was not found to be broken.
func TestConnectionsToEndpointsAreProbed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	conn, err := NewTransport().DialContext(context.Background(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(interface{ NetConn() net.Conn }).NetConn().(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	options := map[int]int{}
	err = raw.Control(func(fd uintptr) {
		for _, option := range []int{syscall.TCP_KEEPIDLE, syscall.TCP_KEEPINTVL} {
			options[option], err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
			is.NoErr(err)
		}
	})
	is.NoErr(err)
	is.Equal(options, map[int]int{syscall.TCP_KEEPIDLE: 1, syscall.TCP_KEEPINTVL: 1}) // seconds
}
