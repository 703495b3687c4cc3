package soak

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// Cuts are the pairs of VMs, by IP address, between which a PacketProxy drops all datagrams.
type Cuts struct {
	mu sync.Mutex
	// count is the number of cuts from the first to the second VM that are in force, which may
	// overlap.
	count map[[2]netip.Addr]int
}

// NewCuts returns a set without cuts.
func NewCuts() *Cuts { return &Cuts{count: map[[2]netip.Addr]int{}} }

// Cut drops what any VM of from sends to any VM of to.
func (c *Cuts) Cut(from, to []netip.Addr) { c.add(from, to, 1) }

// Heal ends a cut.
func (c *Cuts) Heal(from, to []netip.Addr) { c.add(from, to, -1) }

func (c *Cuts) add(from, to []netip.Addr, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				c.count[[2]netip.Addr{a, b}] += n
			}
		}
	}
}

// forwards reports whether datagrams from one VM reach another one.
func (c *Cuts) forwards(from, to netip.Addr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[[2]netip.Addr{from, to}] == 0
}

// PacketProxy forwards datagrams between the processes of a deployment, which it tells apart by
// their source addresses. Each process listens on the IP address of its VM and is known to the
// others by the address of its proxy.
type PacketProxy struct {
	cuts   *Cuts
	target netip.AddrPort
	conn   *net.UDPConn

	mu     sync.Mutex
	closed bool
	// flows are the sockets towards the target, by the source of the datagrams, and silent the sources whose
	// datagrams are dropped for good.
	flows  map[netip.AddrPort]*net.UDPConn
	silent map[netip.AddrPort]bool
}

// NewPacketProxy listens on addr and forwards datagrams to target, unless they are cut.
func NewPacketProxy(addr, target netip.AddrPort, cuts *Cuts) (*PacketProxy, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on packet proxy address for target %s", target)
	}
	p := &PacketProxy{cuts: cuts, target: target, conn: conn, flows: map[netip.AddrPort]*net.UDPConn{}, silent: map[netip.AddrPort]bool{}}
	go p.run()
	return p, nil
}

// Silence drops from now on what the open sockets of the VM from exchange with the target. Sockets that it opens later work.
func (p *PacketProxy) Silence(from netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for source := range p.flows {
		if source.Addr().Unmap() == from {
			p.silent[source] = true
		}
	}
}

// isSilent reports whether the datagrams of a source are dropped for good.
func (p *PacketProxy) isSilent(source netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[source]
}

// Close closes all sockets.
func (p *PacketProxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.conn.Close()
	for _, flow := range p.flows {
		_ = flow.Close()
	}
}

// run forwards the datagrams to the target until the proxy is closed.
func (p *PacketProxy) run() {
	buf := make([]byte, bufferBytes)
	for {
		n, source, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p.isSilent(source) || !p.cuts.forwards(source.Addr().Unmap(), p.target.Addr()) {
			continue
		}
		if flow := p.flow(source); flow != nil {
			// A datagram that cannot be sent is lost, as on a real link.
			_, _ = flow.Write(buf[:n])
		}
	}
}

// flow returns the socket towards the target for a source, or nil if there is none.
func (p *PacketProxy) flow(source netip.AddrPort) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if flow, ok := p.flows[source]; ok || p.closed {
		return flow
	}
	flow, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.target))
	if err != nil {
		return nil
	}
	p.flows[source] = flow
	go p.answer(source, flow)
	return flow
}

// answer forwards the datagrams of the target back to a source.
func (p *PacketProxy) answer(source netip.AddrPort, flow *net.UDPConn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := flow.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// While the target does not run, its port refuses datagrams.
		if err != nil || p.isSilent(source) || !p.cuts.forwards(p.target.Addr(), source.Addr().Unmap()) {
			continue
		}
		_, _ = p.conn.WriteToUDPAddrPort(buf[:n], source)
	}
}
