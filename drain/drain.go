// Package drain closes the connections of an HTTP server that stops, and loses no request. On
// Shutdown, net/http closes a connection that it counts as idle although it has just read a request
// from it, and drops every request whose head it has read meanwhile. Here a connection is closed
// only if no byte of another request has been read.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/framing"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

const (
	// firstRequestTime is how long a new connection is kept open for its first request.
	firstRequestTime = time.Second
	// pollInterval is the time between two looks for connections that have become idle.
	pollInterval = 10 * time.Millisecond
)

// Connections are the open connections of a server.
type Connections struct {
	clock kernel.Clock

	// mu is "drain.Connections" of kernel.LockOrder. It guards open.
	mu   sync.Mutex
	open map[*conn]struct{}
}

// New returns an empty set of connections.
func New(clock kernel.Clock) *Connections {
	return &Connections{clock: clock, open: map[*conn]struct{}{}}
}

// Listen wraps a listener of the server so that its connections are in the set.
func (c *Connections) Listen(l net.Listener) net.Listener { return listener{l, c} }

// Observe lets the server tell which of its connections are idle. It must be called before the
// server is used.
func (c *Connections) Observe(s *http.Server) {
	previousHook := s.ConnState
	s.ConnState = func(outer net.Conn, state http.ConnState) {
		if tracked := unwrap(outer); tracked != nil {
			tracked.setIdle(state == http.StateIdle)
			if state == http.StateHijacked {
				c.remove(tracked) // its request has been answered, see Linger
			}
		}
		if previousHook != nil {
			previousHook(outer, state)
		}
	}
}

// remove takes a connection out of the set.
func (c *Connections) remove(tracked *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, tracked)
}

// unwrap returns the connection of the set that a connection wraps, or nil.
func unwrap(c net.Conn) *conn {
	for {
		if tracked, ok := c.(*conn); ok {
			return tracked
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// Close closes the connections, each as soon as it is idle, and returns once none is open or ctx
// has ended. The listeners of the server must have been closed.
func (c *Connections) Close(ctx context.Context) error {
	for {
		open := c.closeIdle(c.clock.Now())
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %d open connections", open)
		case <-c.clock.After(pollInterval):
		}
	}
}

// closeIdle lets the server close its idle connections and returns the number of open ones.
func (c *Connections) closeIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for tracked := range c.open {
		tracked.closeIdle(now)
	}
	return len(c.open)
}

// listener adds each accepted connection to the set.
type listener struct {
	net.Listener
	set *Connections
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{Conn: accepted, set: l.set, acceptedAt: l.set.clock.Now()}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.set.open[tracked] = struct{}{}
	return tracked, nil
}

// conn is a connection of the set.
type conn struct {
	net.Conn
	set        *Connections
	acceptedAt time.Time

	// mu guards the fields below. It is taken after Connections.mu, and no other lock is taken
	// under it.
	mu sync.Mutex
	// used is set once a byte has been read.
	used bool
	// idle is set while the server waits for another request of which no byte has been read.
	idle bool
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending side of the connection.
func (c *conn) CloseWrite() error { return framing.CloseWrite(c.Conn) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.used, c.idle = true, false
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// setIdle sets whether the server waits for another request.
func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// closeIdle ends the read of a server that waits for a request, whereupon it closes the connection.
// A read that has already got bytes returns them, and the server sets a new deadline before it
// reads on.
func (c *conn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || !c.used && now.Sub(c.acceptedAt) > firstRequestTime {
		// It fails only if the connection has been closed.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}
