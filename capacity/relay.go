package capacity

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/internal/loopback"
)

const (
	// headerBytes is the size of the IP and UDP headers of a packet.
	headerBytes = 28
	// maxPacketBytes is the size of the largest UDP packet, rounded up.
	maxPacketBytes = 64 << 10
)

// relay is a UDP proxy between one client and one replica. It counts the packets and
// their bytes, headers included.
type relay struct {
	// addr is the address that the client connects to.
	addr string
	// bytes and packets are the totals of both directions.
	bytes, packets atomic.Int64

	listener *net.UDPConn
	upstream *net.UDPConn
	running  sync.WaitGroup
	// client is the address of the client's last packet; nil before the first one.
	client atomic.Pointer[net.UDPAddr]
}

// startRelay starts a relay to the replica at addr, which runs until stop is called.
func startRelay(addr string) (*relay, error) {
	addrs, err := loopback.Addrs(1)
	if err != nil {
		return nil, err
	}
	own, err := net.ResolveUDPAddr("udp", addrs[0])
	if err != nil {
		return nil, errors.Wrap(err, "resolve relay")
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "resolve replica")
	}
	r := &relay{addr: addrs[0]}
	if r.listener, err = net.ListenUDP("udp", own); err != nil {
		return nil, errors.Wrap(err, "listen for relay")
	}
	if r.upstream, err = net.DialUDP("udp", nil, to); err != nil {
		_ = r.listener.Close()
		return nil, errors.Wrap(err, "connect relay")
	}
	r.running.Go(r.forward)
	r.running.Go(r.backward)
	return r, nil
}

func (r *relay) stop() {
	_ = r.listener.Close()
	_ = r.upstream.Close()
	r.running.Wait()
}

// count counts a packet with n bytes of payload.
func (r *relay) count(n int) {
	r.bytes.Add(int64(n + headerBytes))
	r.packets.Add(1)
}

// forward passes packets from the client to the replica until the relay stops.
func (r *relay) forward() {
	packet := make([]byte, maxPacketBytes)
	for {
		n, from, err := r.listener.ReadFromUDP(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.client.Store(from)
		r.count(n)
		_, _ = r.upstream.Write(packet[:n])
	}
}

// backward passes packets from the replica to the client until the relay stops.
func (r *relay) backward() {
	packet := make([]byte, maxPacketBytes)
	for {
		n, err := r.upstream.Read(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		client := r.client.Load()
		if err != nil || client == nil {
			continue
		}
		r.count(n)
		_, _ = r.listener.WriteToUDP(packet[:n], client)
	}
}
