package soak

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newEchoProxy returns a proxy in front of an echo server.
func newEchoProxy(t *testing.T) *Proxy {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p, err := NewProxy("127.0.0.1:0", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { p.Close(); _ = l.Close() })
	return p
}

const (
	// silenceTimeout is the wait for data that must not arrive, and answerTimeout the wait
	// for data that must.
	silenceTimeout = 300 * time.Millisecond
	answerTimeout  = 20 * time.Second
)

// roundTrip sends a word and reads it back. It returns an error if that fails or takes
// longer than limit.
func roundTrip(c net.Conn, limit time.Duration) error {
	if _, err := io.WriteString(c, "word"); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(c, make([]byte, 4))
	return err
}

func TestLinkModes(t *testing.T) {
	is := is.New(t)
	p := newEchoProxy(t)
	open := func() net.Conn {
		c, err := net.Dial("tcp", p.Addr())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	isTimeout := func(err error) bool {
		timeout, ok := err.(net.Error)
		return ok && timeout.Timeout()
	}
	kept := open()
	is.NoErr(roundTrip(kept, answerTimeout))
	for _, l := range []LinkMode{LinkSilent, LinkOneWay} {
		p.SetMode(l)
		is.True(isTimeout(roundTrip(open(), silenceTimeout)))
	}
	is.True(isTimeout(roundTrip(kept, silenceTimeout)))
	p.SetMode(LinkOpen)
	is.NoErr(roundTrip(open(), answerTimeout))
	is.True(isTimeout(roundTrip(kept, silenceTimeout))) // stays silent after LinkOpen
	fresh := open()
	is.NoErr(roundTrip(fresh, answerTimeout))
	p.SetMode(LinkReset)
	err := roundTrip(fresh, answerTimeout)
	is.True(err != nil && !isTimeout(err))
	p.SetMode(LinkSlow)
	is.NoErr(roundTrip(open(), answerTimeout))
}

func TestCutDropsDatagramsBetweenTwoVMs(t *testing.T) {
	is := is.New(t)
	server, err := net.ListenPacket("udp", "127.0.0.2:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		buf := make([]byte, 16)
		for {
			n, from, err := server.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = server.WriteTo(buf[:n], from)
		}
	}()
	cuts := NewCuts()
	target := server.LocalAddr().(*net.UDPAddr).AddrPort()
	p, err := NewPacketProxy(netip.MustParseAddrPort("127.0.0.3:0"), target, cuts)
	is.NoErr(err)
	t.Cleanup(p.Close)
	client, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 4)}, p.conn.LocalAddr().(*net.UDPAddr))
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	a, b := []netip.Addr{netip.MustParseAddr("127.0.0.4")}, []netip.Addr{target.Addr()}
	is.NoErr(roundTrip(client, answerTimeout))
	cuts.Cut(a, b)
	is.True(roundTrip(client, silenceTimeout) != nil)
	cuts.Cut(b, a)
	cuts.Heal(a, b)
	is.True(roundTrip(client, silenceTimeout) != nil) // what the server sends is dropped
	cuts.Heal(b, a)
	is.NoErr(roundTrip(client, answerTimeout))
}
