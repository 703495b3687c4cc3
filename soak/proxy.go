package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LinkMode is what a proxy does with what passes.
type LinkMode int

const (
	// LinkOpen passes everything on.
	LinkOpen LinkMode = iota
	// LinkSlow passes everything on late.
	LinkSlow
	// LinkSilent passes nothing on, in either direction, and closes nothing.
	LinkSilent
	// LinkOneWay passes on what clients send and not what comes back.
	LinkOneWay
	// LinkReset closes open connections at once, and new ones as they come.
	LinkReset
)

const (
	// slowBy is by how much a slow link delays each piece.
	slowBy = 120 * time.Millisecond
	// pieceBytes is the most that passes at once.
	pieceBytes = 32 << 10
)

// Proxy passes TCP connections on to one address, as long as its link lets it.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	link  LinkMode
	conns map[net.Conn]bool
}

// NewProxy listens on addr and passes connections on to target.
func NewProxy(addr, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", target)
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Addr is the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetMode changes what the link does. Connections that were silenced stay so for good,
// as after a cut that nobody sees.
func (p *Proxy) SetMode(l LinkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	if l == LinkReset {
		p.closeConns()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConns()
}

func (p *Proxy) closeConns() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *Proxy) now() LinkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve passes one connection on.
func (p *Proxy) serve(client net.Conn) {
	if p.now() == LinkReset || !p.hold(client) {
		_ = client.Close()
		return
	}
	defer p.drop(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	if !p.hold(server) {
		_ = server.Close()
		return
	}
	defer p.drop(server)
	done := make(chan bool, 2)
	go func() { p.pass(server, client, false); done <- true }()
	go func() { p.pass(client, server, true); done <- true }()
	<-done
	<-done
}

func (p *Proxy) hold(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == LinkReset {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// pass copies one direction. When one side ends, the other learns of it.
func (p *Proxy) pass(to, from net.Conn, back bool) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if !p.let(back) {
			// What was held up is gone for good.
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

// let waits as the link asks and reports whether a piece passes.
func (p *Proxy) let(back bool) bool {
	switch p.now() {
	case LinkSlow:
		time.Sleep(slowBy)
	case LinkSilent:
		return false
	case LinkOneWay:
		return !back
	}
	return true
}
