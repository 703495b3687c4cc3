package sidecar

import (
	"context"
	"sync"

	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// controlSession implements ControlClient by a session with control. It holds the
// description of the endpoint for the next heartbeat.
type controlSession struct {
	*session.Client

	// mu guards announced.
	mu        sync.Mutex
	announced wire.Endpoint
}

var _ ControlClient = (*controlSession)(nil)

// Announce replaces the description of the endpoint. The next heartbeat sends it; if the
// endpoint leaves or has a new incarnation, a heartbeat is sent at once.
func (c *controlSession) Announce(e wire.Endpoint) {
	c.mu.Lock()
	urgent := c.announced.Incarnation != e.Incarnation || c.announced.Load.Leaving != e.Load.Leaving
	c.announced = e
	c.mu.Unlock()
	if urgent {
		c.Client.Announce()
	}
}

// endpoint returns a copy of the description for a heartbeat.
func (c *controlSession) endpoint() *wire.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.announced
	return &e
}

// connect creates the client of the session with control. Run starts the session.
func (s *Sidecar) connect(h *kernel.Host) error {
	dialer := session.NewDialer(s.id, wire.PoolOptions{}, s.controlTraffic)
	c := &controlSession{announced: s.announcement()}
	var err error
	c.Client, err = session.New(session.Options{
		Node:     h.Node,
		Role:     wire.RoleSidecar,
		Replicas: settings.Addrs(s.Settings.Control),
		Opener:   dialer,
		Clock:    h.Clock,
		Log:      h.Log,
		Endpoint: c.endpoint,
		OnUpdate: func(u *wire.Update) { s.orders.enqueue(u.Orders) },
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
