package main

import (
	"net"
	"net/netip"
	"sync"
)

// packetProxy stands in front of a UDP port, as a link. Each sender is a flow of its own.
type packetProxy struct {
	listener *net.UDPConn
	target   *net.UDPAddr

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow is what one sender exchanges with the port.
type flow struct {
	upstream *net.UDPConn
	// silent is set once the flow drops all packets.
	silent bool
}

// newPacketProxy listens on addr and forwards packets to target, from an address of its own for each sender.
func newPacketProxy(addr, target string) (*packetProxy, error) {
	from, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	l, err := net.ListenUDP("udp", from)
	if err != nil {
		return nil, err
	}
	p := &packetProxy{listener: l, target: to, flows: map[netip.AddrPort]*flow{}}
	go p.run()
	return p, nil
}

// maxPacket is the size of the largest UDP packet.
const maxPacket = 64 << 10

func (p *packetProxy) run() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := p.listener.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if f := p.flow(from); f != nil && !p.isSilent(f) {
			_, _ = f.upstream.Write(buf[:n])
		}
	}
}

// flow returns the flow of a sender, which it opens if it is new.
func (p *packetProxy) flow(from netip.AddrPort) *flow {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.flows[from]; f != nil {
		return f
	}
	upstream, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil
	}
	f := &flow{upstream: upstream}
	p.flows[from] = f
	go func() {
		buf := make([]byte, maxPacket)
		for {
			n, err := upstream.Read(buf)
			if err != nil {
				if _, ok := err.(*net.OpError); ok && p.closed() {
					return
				}
				continue
			}
			if !p.isSilent(f) {
				_, _ = p.listener.WriteToUDPAddrPort(buf[:n], from)
			}
		}
	}()
	return f
}

func (p *packetProxy) isSilent(f *flow) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return f.silent
}

// closed reports whether the proxy forwards nothing any more.
func (p *packetProxy) closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.flows == nil
}

// silence makes the open flows of senders at an IP address silent for good, and returns how many. Flows that are
// opened later work.
func (p *packetProxy) silence(ip string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for from, f := range p.flows {
		if from.Addr().Unmap().String() == ip && !f.silent {
			f.silent = true
			n++
		}
	}
	return n
}

func (p *packetProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for _, f := range p.flows {
		_ = f.upstream.Close()
	}
	p.flows = nil
}

// forwardTCP forwards connections from addr to target until the listener is closed.
func forwardTCP(addr, target string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			// The programs only look whether the port is open.
			if up, err := net.Dial("tcp", target); err == nil {
				_ = up.Close()
			}
			_ = c.Close()
		}
	}()
	return l, nil
}
