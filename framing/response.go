package framing

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
	// writeSettleTimeout is how long the end of a connection waits for a write that is in progress: the
	// write of the last bytes may not have returned yet when the response to them has been read.
	writeSettleTimeout = time.Second
)

// ErrIncomplete is the error of a response that ended with its connection although the request had not
// been written whole, or after a read or write on the connection had failed.
var ErrIncomplete = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the request was written whole, or after a failure on it")

// Transport is an HTTP/1.1 transport without TLS that returns only valid and complete responses. A server
// may respond before it has read the request. If it then resets the connection, the operating system
// reports the reset only once, to the writer of the request, and the reader sees an orderly end. A
// response without a length would count as complete then.
type Transport struct{ *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport that uses t, whose DialContext it replaces by one that observes the
// connections.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &clientConn{Conn: c}, nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper. A response whose status is no status code of HTTP is an error.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		_ = res.Body.Close()
		return nil, errors.Errorf("a response with the invalid status code %03d", res.StatusCode)
	}
	return res, nil
}

// clientConn is the connection of a client. The end of the connection is io.EOF only if all requests on it
// have been written whole and nothing has failed on it; else it is ErrIncomplete.
type clientConn struct {
	net.Conn

	// mu guards the fields below; no other lock is taken under it.
	mu sync.Mutex
	// scan follows the requests that have been written.
	scan scanner
	// requests is set once the header of a request has been written.
	requests bool
	// failed is set once a read or write has failed.
	failed bool
	// writing is closed at the end of the write in progress; nil if there is none.
	writing chan struct{}
}

// NetConn returns the connection without the observation.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn. The transport writes from one goroutine.
func (c *clientConn) Write(p []byte) (int, error) {
	done := make(chan struct{})
	c.mu.Lock()
	c.writing = done
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = c.failed || err != nil
	c.scan.consume(p[:n])
	c.requests = c.requests || len(c.scan.results) > 0
	c.scan.results = c.scan.results[:0]
	c.writing = nil
	close(done)
	return n, err
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF):
		c.mu.Lock()
		c.failed = true
		c.mu.Unlock()
	case !c.endsWhole():
		err = ErrIncomplete
	}
	return n, err
}

// endsWhole reports whether the end of the connection is the end of a complete response. It waits for the
// write in progress, which may have taken the report of a reset, or be that of the last bytes.
func (c *clientConn) endsWhole() bool {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		limit := time.NewTimer(writeSettleTimeout)
		defer limit.Stop()
		select {
		case <-writing:
		case <-limit.C:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests && !c.failed && c.writing == nil && c.scan.betweenRequests()
}

// betweenRequests reports whether the scanner is past the last byte of a request and before the next one.
func (s *scanner) betweenRequests() bool {
	return s.state == inHeader && !s.requestLineRead && len(s.line) == 0
}
