package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerTimeout ends a test whose caller gets no answer.
const answerTimeout = 10 * time.Second

// rawCaller is a caller that writes its requests to a TCP connection byte by byte.
type rawCaller struct {
	t    *testing.T
	conn *net.TCPConn
	in   *bufio.Reader
}

// dialRaw connects a caller to a gateway.
func dialRaw(t *testing.T, url string) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	return &rawCaller{t: t, conn: conn.(*net.TCPConn), in: bufio.NewReader(conn)}
}

// send writes parts of a request.
func (c *rawCaller) send(parts ...string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, strings.Join(parts, "")); err != nil {
		c.t.Fatalf("send the request: %v", err)
	}
}

// receive reads one answer with its body. The reply is broken if the connection ends before.
func (c *rawCaller) receive() reply {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{broken: true}
	}
	body, err := io.ReadAll(res.Body)
	if res.Close {
		res.Header.Set("Connection", "close") // http.ReadResponse takes the header out
	}
	return reply{status: res.StatusCode, header: res.Header, body: string(body), broken: err != nil}
}

// requestHead returns the head of a request with more header lines.
func requestHead(method, path string, lines ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: attempt-1\r\nAuthorization: Bearer key-1\r\n", method, path)
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// shortenTimeouts publishes a deployment whose routes have this time limit.
func (w *testGateway) shortenTimeouts(timeout time.Duration) {
	old := w.g.deployment.Load()
	next := &Deployment{Version: old.Version + 1, MaxBodyBytes: old.MaxBodyBytes, Services: old.Services, Accounts: old.Accounts}
	for _, r := range old.Routes {
		r.Timeout = timeout
		next.Routes = append(next.Routes, r)
	}
	w.g.deployment.Store(next.Index())
}

// The connection of a whole request was closed without an answer if its time ended while the
// entry waited for its permission.
func TestWholeRequestGetsNoAnswerWhilePermissionIsMissing(t *testing.T) {
	const (
		missing          = 400 * time.Millisecond
		timeoutShortened = time.Duration(0) // a change shortens the route's time limit during the wait
	)
	bodies := map[string]struct {
		method, length string
		delay          time.Duration
		parts          []string
	}{
		"body with the head":        {"POST", "Content-Length: 4", 0, []string{"body"}},
		"body after the head":       {"POST", "Content-Length: 4", 20 * time.Millisecond, []string{"body"}},
		"body in chunks, with head": {"POST", "Transfer-Encoding: chunked", 0, []string{"4\r\nbody\r\n0\r\n\r\n"}},
		"body in chunks, after it":  {"POST", "Transfer-Encoding: chunked", 20 * time.Millisecond, []string{"4\r\nbo", "dy\r\n0\r\n\r\n"}},
		"long body, after the head": {"POST", "Content-Length: 900", 20 * time.Millisecond, []string{strings.Repeat("x", 900)}},
		"no body":                   {"GET", "Accept: */*", 0, nil},
		"body of length 0":          {"POST", "Content-Length: 0", 0, nil},
	}
	routes := map[string]string{"idempotent": "/status/1", "at most once": "/seal/1", "stream": "/read/1", "stream at most once": "/tell/1"}
	for bodyName, b := range bodies {
		for kind, path := range routes {
			for _, deadline := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, timeoutShortened} {
				t.Run(fmt.Sprintf("%s/%s/%v", bodyName, kind, deadline), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					w := newTestGateway(t, streaming(3, 3, nil), streaming(3, 3, nil))
					w.session.expired.Store(true)
					time.AfterFunc(missing, func() {
						if deadline == timeoutShortened {
							w.shortenTimeouts(200 * time.Millisecond)
						}
						w.session.expired.Store(false)
					})
					lines := []string{b.length}
					if deadline != timeoutShortened {
						lines = append(lines, fmt.Sprintf("Wait: %d", deadline.Milliseconds()))
					}
					c := dialRaw(t, w.url)
					started := time.Now()
					c.send(requestHead(b.method, path, lines...))
					for _, part := range b.parts {
						time.Sleep(b.delay)
						c.send(part)
					}
					got := c.receive()
					if w.arrivalCount() > 0 && time.Since(started) > deadline {
						return // its time ended at the endpoint
					}
					is.True(!got.broken) // the caller gets an answer or a refusal
					if got.status == http.StatusOK {
						return
					}
					is.Equal(w.arrivalCount(), 0)
					is.Equal(got.status, http.StatusServiceUnavailable)
					is.True(strings.Contains(got.body, `"verdict":"not_run"`))
					is.True(got.header.Get("Retry-After") != "")
				})
			}
		}
	}
}
