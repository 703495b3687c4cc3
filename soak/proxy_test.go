package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo runs a server that sends back what it gets, behind a proxy.
func echo(t *testing.T) *Proxy {
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
	// briefly is the wait for what must not come, and patience that for what must.
	briefly  = 300 * time.Millisecond
	patience = 20 * time.Second
)

// says sends a word and reports whether it comes back within limit, or why not.
func says(c net.Conn, limit time.Duration) error {
	if _, err := io.WriteString(c, "word"); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(c, make([]byte, 4))
	return err
}

func TestLinksDoWhatTheirNamesSay(t *testing.T) {
	is := is.New(t)
	p := echo(t)
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
	is.NoErr(says(kept, patience))
	for _, l := range []LinkMode{LinkSilent, LinkOneWay} {
		p.SetMode(l)
		is.True(isTimeout(says(open(), briefly)))
	}
	is.True(isTimeout(says(kept, briefly)))
	p.SetMode(LinkOpen)
	is.NoErr(says(open(), patience))
	is.True(isTimeout(says(kept, briefly))) // silenced for good
	fresh := open()
	is.NoErr(says(fresh, patience))
	p.SetMode(LinkReset)
	err := says(fresh, patience)
	is.True(err != nil && !isTimeout(err))
	p.SetMode(LinkSlow)
	is.NoErr(says(open(), patience))
}
