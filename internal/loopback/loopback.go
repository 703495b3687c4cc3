// Package loopback finds free loopback addresses for deployments on one machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Ports are taken below those that the kernel gives to outgoing connections, which
// would take a port between its release and its use.
const (
	firstPort = 10_000
	ports     = 20_000
	portTries = 100
)

// Addrs returns n different addresses that were free a moment ago, for both TCP
// and UDP.
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

func reserve() (addr string, release func(), err error) {
	for range portTries {
		addr = fmt.Sprintf("%s:%d", ownIP(), firstPort+rand.IntN(ports))
		if release, err = listen(addr); err == nil {
			return addr, release, nil
		}
	}
	return "", nil, err
}

// ownIP returns a loopback address that other processes hardly use: a port is free again
// between its choice and its use, and tests of many packages run at once.
func ownIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&15, pid&255)
}

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
