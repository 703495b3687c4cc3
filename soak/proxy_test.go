package soak

import (
	"io"
	"net"
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
