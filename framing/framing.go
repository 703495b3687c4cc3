// Package framing protects against HTTP request smuggling. It refuses requests that have
// both a Content-Length and a Transfer-Encoding header. net/http uses the chunked encoding
// and removes the Content-Length before a handler sees it. A process behind the proxy that
// relied on the length would read the rest of the body as another request. The package
// therefore parses the framing of each HTTP/1.1 connection itself.
//
// Its Transport uses the same parser on the client side, to tell a complete response from one that a
// reset has truncated while its request was being written.
package framing

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Protect makes the server refuse requests with ambiguous framing: it answers with status
// 400, closes the connection, and calls refused with the address of the caller. It has an
// effect only on connections accepted by a listener from Listen.
func Protect(s *http.Server, refused func(remote string)) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || !c.nextIsAmbiguous() {
			next.ServeHTTP(w, r)
			return
		}
		refused(r.RemoteAddr)
		w.Header().Set("Connection", "close")
		http.Error(w, "the body has both a Content-Length and a Transfer-Encoding", http.StatusBadRequest)
	})
	previousHook := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		tracked, ok := c.(*conn)
		if ok {
			ctx, c = context.WithValue(ctx, connKey{}, tracked), tracked.Conn
		}
		if previousHook != nil {
			ctx = previousHook(ctx, c)
		}
		return ctx
	}
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// Listen wraps a listener so that Protect can track its connections.
func Listen(l net.Listener) net.Listener { return listener{l} }

// listener wraps each accepted connection in a conn.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn scans the bytes that the server reads from a connection.
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
	c.scan.consume(p[:n])
	return n, err
}

// NetConn returns the connection without the scan.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending side of the connection. The server uses it to end a connection whose
// caller is still sending, before it closes it.
func (c *conn) CloseWrite() error { return CloseWrite(c.Conn) }

// CloseWrite ends the sending side of a connection.
func CloseWrite(c net.Conn) error {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return errors.Errorf("a connection of type %T has no sending side to end", c)
	}
	return half.CloseWrite()
}

// nextIsAmbiguous reports whether the next request has ambiguous framing. It is called once
// for each request: the server handles the requests of a connection one after the other,
// each after its header was read. If the scanner has given up, all requests count as
// ambiguous.
func (c *conn) nextIsAmbiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.scan.results) == 0 {
		return c.scan.state == unparsable
	}
	ambiguous := c.scan.results[0]
	c.scan.results = c.scan.results[1:]
	return ambiguous
}
