package entry

import (
	"context"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// coordinator is the Coordinator over a session with control.
type coordinator struct {
	client *session.Client
}

var _ Coordinator = (*coordinator)(nil)

// Config returns the newest configuration known.
func (c *coordinator) Config() *config.Document { return c.client.View().Load() }

// Do sends a command to control's leader.
func (c *coordinator) Do(ctx context.Context, name, id string, body, out any) error {
	return c.client.Do(ctx, name, id, body, out)
}

// Offer returns the permission as a statement to a sidecar.
func (c *coordinator) Offer(peer string) wire.Permission { return c.client.Offer(peer) }

// Learn takes in the statement of a sidecar.
func (c *coordinator) Learn(peer string, p wire.Permission) { c.client.Learn(peer, p) }

// Demand asks for shares with a heartbeat at once.
func (c *coordinator) Demand() { c.client.Announce() }

// Claim asks for the right to run a call once.
func (c *coordinator) Claim(ctx context.Context, id string, claim command.Claim) (command.Claimed, error) {
	return c.client.Claim(ctx, id, claim)
}

// connect prepares the session with control.
func (e *Entry) connect(h *kernel.Host, id *wire.Identity) error {
	dialer := session.NewDialer(id, wire.PoolOptions{}, e.traffic)
	client, err := session.New(session.Options{
		Node:     h.Node,
		Role:     wire.RoleEntry,
		Replicas: addresses(e.Settings.Control),
		Opener:   dialer,
		Limits:   e.limits,
		Clock:    h.Clock,
		Log:      h.Log,
		OnUpdate: e.update,
	})
	if err != nil {
		return err
	}
	e.control = &coordinator{client: client}
	e.session = func(ctx context.Context) error {
		defer dialer.Close()
		return client.Run(ctx)
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

// update takes over what a session brought.
func (e *Entry) update(u *wire.Update) {
	doc := e.control.Config()
	if u.Reset || len(u.Endpoints) > 0 || len(u.Gone) > 0 {
		e.fleet.announce(doc, u.Endpoints, u.Gone, u.Reset)
	}
	e.suspects.update(u)
	if u.Snapshot != nil || len(u.Changes) > 0 {
		e.fleet.configure(doc)
		e.log.Info("configuration in force", "revision", doc.Revision)
	}
}
