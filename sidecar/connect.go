package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// coordinator is the Coordinator over a session with control.
type coordinator struct {
	client *session.Client

	mu        sync.Mutex
	announced wire.Endpoint
}

var _ Coordinator = (*coordinator)(nil)

// Config returns the newest configuration known.
func (c *coordinator) Config() *config.Document { return c.client.View().Load() }

// Permission returns the proof that Config is current.
func (c *coordinator) Permission(time.Time) wire.Permission { return c.client.Permission() }

// Renewed reports whether control itself renewed the permission.
func (c *coordinator) Renewed() bool { return c.client.Renewed() }

// Offer returns the permission as a statement to an entry.
func (c *coordinator) Offer(peer string) wire.Permission { return c.client.Offer(peer) }

// Learn takes in the statement of an entry.
func (c *coordinator) Learn(peer string, p wire.Permission) { c.client.Learn(peer, p) }

// Announce replaces what control knows about the endpoint. Control hears of it
// with the next heartbeat, at once when the endpoint leaves or starts anew.
func (c *coordinator) Announce(e wire.Endpoint) {
	c.mu.Lock()
	urgent := c.announced.Incarnation != e.Incarnation || c.announced.Load.Leaving != e.Load.Leaving
	c.announced = e
	c.mu.Unlock()
	if urgent {
		c.client.Announce()
	}
}

func (c *coordinator) endpoint() *wire.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.announced
	return &e
}

// Do sends a command to control's leader.
func (c *coordinator) Do(ctx context.Context, name, id string, body, out any) error {
	return c.client.Do(ctx, name, id, body, out)
}

// connect prepares the session with control.
func (s *Sidecar) connect(h *kernel.Host) error {
	dialer := session.NewDialer(s.id, wire.PoolOptions{}, s.traffic)
	c := &coordinator{announced: s.announcement()}
	var err error
	c.client, err = session.New(session.Options{
		Node:     h.Node,
		Role:     wire.RoleSidecar,
		Replicas: addresses(s.Settings.Control),
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
		return c.client.Run(ctx)
	}
	return nil
}

func addresses(in []settings.Addr) []string {
	out := make([]string, len(in))
	for i, a := range in {
		out[i] = string(a)
	}
	return out
}
