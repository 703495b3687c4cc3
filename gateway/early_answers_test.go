package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
)

// newRawGateway returns a gateway with one endpoint of each service at addr, and room for large bodies.
func newRawGateway(t *testing.T, addr string) *testGateway {
	t.Helper()
	w := newTestGateway(t)
	d := *w.g.deployment.Load()
	d.MaxBodyBytes = 16 << 20
	w.g.deployment.Store(d.Index())
	for _, service := range []string{"desk", "scribe"} {
		w.g.fleet.Update(assign.Endpoint{Name: service + "-1", Service: service, Addr: addr, Zone: "zone-0", Slots: 8, Incarnation: 1})
	}
	return w
}

// withBody sets a body of so many bytes.
func withBody(size int) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set("Tokens", "100")
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), int64(size)
	}
}

// An endpoint that had read only the head sent a part of an answer without a length and reset the connection
// while the request was still being written. The reset was reported to the writer, and the answer counted as whole.
func TestResetUnderTheRequestIsTheEndOfAnAnswer(t *testing.T) {
	const runs = 48
	for _, path := range []string{"/status/1", "/seal/1", "/read/1", "/tell/1"} {
		t.Run(path, func(t *testing.T) {
			var whole, resets atomic.Int64
			var group sync.WaitGroup
			running := make(chan struct{}, 4)
			for i := range runs {
				running <- struct{}{}
				group.Go(func() {
					defer func() { <-running }()
					wait := 300*time.Microsecond + time.Duration(i%8)*time.Duration(i%8)*600*time.Microsecond // to 29.7 ms
					w := newRawGateway(t, serveConnections(t, func(conn net.Conn, r *http.Request) {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nid: 1\ndata: x\n\n", r.Header.Get("Id"))
						time.Sleep(wait)
						resets.Add(1)
						_ = conn.(*net.TCPConn).SetLinger(0)
					}))
					got := w.post(path, withBody(300_000+i%6*1_140_000))
					if !got.broken && got.status < 300 {
						whole.Add(1)
					}
				})
			}
			group.Wait()
			t.Logf("%d of %d answers passed on as whole, %d resets", whole.Load(), runs, resets.Load())
			is.New(t).Equal(whole.Load(), int64(0))
		})
	}
}

// A complete answer must not be given up because it came early, or because only its connection ends it.
func TestCompleteAnswerOfARawEndpointIsPassedOn(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	tests := map[string]struct {
		head, body string
		// readAll is set if the endpoint reads the request before it answers.
		readAll bool
		size    int
	}{
		"length, early":                 {"Content-Length: 15\r\n", event, false, 3_000_000},
		"chunks, early":                 {"Transfer-Encoding: chunked\r\n", "f\r\n" + event + "\r\n0\r\n\r\n", false, 3_000_000},
		"end of connection":             {"", event, true, 3_000_000},
		"end of connection, small body": {"", event, true, 10},
		"end of connection, no body":    {"", event, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for i := range 24 {
				w := newRawGateway(t, serveConnections(t, func(conn net.Conn, r *http.Request) {
					if test.readAll {
						_, _ = io.Copy(io.Discard, r.Body)
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", r.Header.Get("Id"), test.head, test.body)
					if !test.readAll {
						time.Sleep(5 * time.Millisecond)
						_, _ = io.Copy(io.Discard, r.Body)
					}
				}))
				got := w.post([]string{"/seal/1", "/tell/1"}[i%2], withBody(test.size))
				is.New(t).Equal(got.status, http.StatusOK)
				is.New(t).True(!got.broken)
				is.New(t).True(strings.HasPrefix(got.body, event))
			}
		})
	}
}

// Invalid status codes were passed on, or closed the caller's connection without an answer.
func TestInvalidStatusOfAnEndpointIsABrokenAnswer(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "600", "999"} {
		for _, path := range []string{"/status/1", "/seal/1", "/read/1", "/tell/1"} {
			t.Run(status+path, func(t *testing.T) {
				is := is.New(t)
				w := newRawGateway(t, serveConnections(t, func(conn net.Conn, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nId: %s\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n", status, r.Header.Get("Id"))
				}))
				got := w.post(path, withBody(10))
				is.True(!got.broken)
				is.True(got.status >= 500 && got.status < 600)
				is.True(!impliesNotRun(got.status)) // it may have run
				is.True(!strings.Contains(got.body, "data: x"))
				is.Equal(w.g.metrics.distrusts.Get(), uint64(1))
			})
		}
	}
}
