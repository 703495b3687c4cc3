package entry

import (
	"context"

	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

var _ ControlClient = (*session.Client)(nil)

// prepareSession creates the client of the session with control. Run starts the session.
func (e *Entry) prepareSession(h *kernel.Host, id *wire.Identity) error {
	dialer := session.NewDialer(id, wire.PoolOptions{}, e.controlTraffic)
	client, err := session.New(session.Options{
		Node:     h.Node,
		Role:     wire.RoleEntry,
		Replicas: settings.Addrs(e.Settings.Control),
		Opener:   dialer,
		Limits:   e.quotas,
		Clock:    h.Clock,
		Log:      h.Log,
		OnUpdate: e.update,
	})
	if err != nil {
		return err
	}
	e.control = client
	e.suspects = session.NewSuspects(client, h.Clock)
	e.session = func(ctx context.Context) error {
		defer dialer.Close()
		return client.Run(ctx)
	}
	return nil
}

// update applies an update that the session received from control.
func (e *Entry) update(u *wire.Update) {
	doc := e.control.Config()
	if u.Reset || len(u.Endpoints) > 0 || len(u.Removed) > 0 {
		e.dispatcher.updateEndpoints(doc, u.Endpoints, u.Removed, u.Reset)
		e.healthMonitor.update(u)
	}
	e.suspects.Update(u)
	if u.Snapshot != nil || len(u.Changes) > 0 {
		e.dispatcher.applyConfig(doc)
		e.log.Info("configuration applied", "revision", doc.Revision)
	}
}
