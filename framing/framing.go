// Package framing refuses requests whose body is framed in two ways: by a length and in
// chunks. net/http takes the chunks and drops the length before a handler sees it, so
// that a process behind it which believes the length would read the rest of the body as
// another request. The package follows the framing of each HTTP/1.1 connection itself.
package framing

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Protect has the server refuse such requests with 400, close their connections, and
// call refused with the caller's address. It works on the connections of Listen.
func Protect(s *http.Server, refused func(remote string)) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || !c.nextIsTwofold() {
			next.ServeHTTP(w, r)
			return
		}
		refused(r.RemoteAddr)
		w.Header().Set("Connection", "close")
		http.Error(w, "the body has both a Content-Length and a Transfer-Encoding", http.StatusBadRequest)
	})
	before := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		followed, ok := c.(*conn)
		if ok {
			ctx, c = context.WithValue(ctx, connKey{}, followed), followed.Conn
		}
		if before != nil {
			ctx = before(ctx, c)
		}
		return ctx
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Listen wraps a listener so that Protect can follow its connections.
func Listen(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn follows what its server reads.
type conn struct {
	net.Conn

	// mu guards scan; no other lock is taken under it.
	mu   sync.Mutex
	scan scanner
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scan.take(p[:n])
	return n, err
}

// nextIsTwofold says whether the next request is framed in two ways. The server handles
// the requests of a connection one after the other, and each only once its header has
// been read.
func (c *conn) nextIsTwofold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.scan.requests) == 0 {
		return c.scan.state == lost
	}
	twofold := c.scan.requests[0]
	c.scan.requests = c.scan.requests[1:]
	return twofold
}
