// Package loopback finds free loopback addresses for deployments on a single machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// The ports are below the ephemeral ports of the operating system. Otherwise an outgoing
// connection could take a port between its release by Addrs and its use by the caller.
const (
	firstPort   = 10_000
	portCount   = 20_000
	maxAttempts = 100
)

// given holds the ports that this process has chosen. A port is free between its choice and its use, so it is
// chosen again only once all others were.
var given struct {
	mu    sync.Mutex
	ports map[int]bool
}

// Addrs returns n different addresses, each with an IP address and a port that is free for
// both TCP and UDP. Another process can still take a port before the caller uses it.
func Addrs(n int) ([]string, error) {
	addrs := make([]string, 0, n)
	for range n {
		addr, release, err := reserve()
		if err != nil {
			return nil, errors.Wrap(err, "find a free address")
		}
		defer release()
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// reserve listens on a random free address until release is called.
func reserve() (addr string, release func(), err error) {
	for range maxAttempts {
		addr = fmt.Sprintf("%s:%d", processIP(), choosePort())
		if release, err = listen(addr); err == nil {
			return addr, release, nil
		}
	}
	return "", nil, err
}

// choosePort returns a port that was not chosen before, as long as there are any.
func choosePort() (port int) {
	given.mu.Lock()
	defer given.mu.Unlock()
	if given.ports == nil || len(given.ports) == portCount {
		given.ports = map[int]bool{}
	}
	for port = firstPort + rand.IntN(portCount); given.ports[port]; {
		port = firstPort + (port-firstPort+1)%portCount
	}
	given.ports[port] = true
	return port
}

// processIP returns a loopback IP address that depends on the process ID, so that other
// processes rarely use it. Tests of many packages run at once, and a port is free between
// its choice and its use.
func processIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&15, pid&255)
}

// listen listens on addr for TCP and UDP, and returns a function that closes both.
func listen(addr string) (func(), error) {
	stream, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	packet, err := net.ListenPacket("udp", addr)
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	return func() { _ = stream.Close(); _ = packet.Close() }, nil
}
