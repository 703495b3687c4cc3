package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LinkMode is how a proxy treats connections and the data on them.
type LinkMode int

const (
	// LinkOpen forwards all data.
	LinkOpen LinkMode = iota
	// LinkSlow forwards all data with a delay.
	LinkSlow
	// LinkSilent drops the data of both directions and closes no connection.
	LinkSilent
	// LinkOneWay forwards data from clients and drops data to clients.
	LinkOneWay
	// LinkReset resets open connections at once, and closes new ones when they are accepted.
	LinkReset
)

const (
	// slowDelay is the delay that LinkSlow adds to each read.
	slowDelay = 120 * time.Millisecond
	// bufferBytes is the size of the buffer of one direction, and so of the largest read.
	bufferBytes = 32 << 10
)

// Proxy forwards TCP connections to one address, as its link mode permits.
type Proxy struct {
	addr string

	mu sync.Mutex
	// target is the address that connections are forwarded to.
	target string
	// listener is nil while the proxy is down.
	listener net.Listener
	mode     LinkMode
	conns    map[net.Conn]bool
}

// NewProxy listens on addr and forwards connections to target.
func NewProxy(addr, target string) (*Proxy, error) {
	p := &Proxy{target: target, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on proxy address for target %s", target)
	}
	p.addr, p.listener = l.Addr().String(), l
	go p.accept(l)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.addr }

// Down refuses new connections and resets all open ones, as when the process at the address
// has ended.
func (p *Proxy) Down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.closeConns()
}

// Up accepts connections again after Down.
func (p *Proxy) Up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return errors.Wrapf(err, "listen on proxy address for target %s", p.target)
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// SetMode changes the link mode. A direction of a connection whose data was once dropped
// stays silent in all later modes, like a connection that broke without either side
// noticing.
func (p *Proxy) SetMode(l LinkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = l
	if l == LinkReset {
		p.closeConns()
	}
}

// SetTarget changes the address that new connections are forwarded to, and resets the open ones.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	p.closeConns()
}

// currentTarget returns the address that connections are forwarded to.
func (p *Proxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() { p.Down() }

// closeConns resets all connections. The caller holds mu.
func (p *Proxy) closeConns() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// currentMode returns the link mode.
func (p *Proxy) currentMode() LinkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve forwards both directions of one connection.
func (p *Proxy) serve(client net.Conn) {
	if p.currentMode() == LinkReset || !p.track(client) {
		_ = client.Close()
		return
	}
	defer p.closeConn(client)
	server, err := net.Dial("tcp", p.currentTarget())
	if err != nil {
		if p.currentMode() == LinkSilent {
			_, _ = io.Copy(io.Discard, client)
		}
		return
	}
	if !p.track(server) {
		_ = server.Close()
		return
	}
	defer p.closeConn(server)
	done := make(chan bool, 2)
	go func() { p.forward(server, client, false); done <- true }()
	go func() { p.forward(client, server, true); done <- true }()
	<-done
	<-done
}

// track registers a connection so that it can be reset. It returns false in LinkReset mode.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == LinkReset {
		return false
	}
	p.conns[c] = true
	return true
}

// closeConn closes a connection and removes it from the registered ones.
func (p *Proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// forward copies one direction. It forwards the end of the stream with a half-close and any
// other error by closing the connection.
func (p *Proxy) forward(to, from net.Conn, toClient bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if !p.allow(toClient) {
			// The dropped data cannot be delivered later, so the direction stays silent.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
				return
			}
			_ = to.Close()
			return
		}
	}
}

// allow waits for the delay of the link mode and reports whether data may be forwarded.
func (p *Proxy) allow(toClient bool) bool {
	switch p.currentMode() {
	case LinkSlow:
		time.Sleep(slowDelay)
	case LinkSilent:
		return false
	case LinkOneWay:
		return !toClient
	}
	return true
}
