package sidecar

import (
	"context"
	"sync"

	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// coordinator is the ControlClient over a session with control. It keeps what the
// next heartbeat announces.
type coordinator struct {
	*session.Client

	mu        sync.Mutex
	announced wire.Endpoint
}

var _ ControlClient = (*coordinator)(nil)

// Announce replaces what control knows about the endpoint. Control hears of it
// with the next heartbeat, at once when the endpoint leaves or starts anew.
func (c *coordinator) Announce(e wire.Endpoint) {
	c.mu.Lock()
	urgent := c.announced.Incarnation != e.Incarnation || c.announced.Load.Leaving != e.Load.Leaving
	c.announced = e
	c.mu.Unlock()
	if urgent {
		c.Client.Announce()
	}
}

func (c *coordinator) endpoint() *wire.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.announced
	return &e
}

// connect prepares the session with control.
func (s *Sidecar) connect(h *kernel.Host) error {
	dialer := session.NewDialer(s.id, wire.PoolOptions{}, s.controlTraffic)
	c := &coordinator{announced: s.announcement()}
	var err error
	c.Client, err = session.New(session.Options{
		Node:     h.Node,
		Role:     wire.RoleSidecar,
		Replicas: settings.Addrs(s.Settings.Control),
		Opener:   dialer,
		Clock:    h.Clock,
		Log:      h.Log,
		Endpoint: c.endpoint,
		OnUpdate: func(u *wire.Update) { s.orders.take(u.Orders) },
	})
	if err != nil {
		return err
	}
	s.control = c
	s.session = func(ctx context.Context) error {
		defer dialer.Close()
		return c.Client.Run(ctx)
	}
	return nil
}
