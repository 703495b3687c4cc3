package control

import (
	"context"
	"slices"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Revision returns the revision of the configuration. The read is linearizable, so it fails without a quorum.
func (p *Plugin) Revision(ctx context.Context) (uint64, error) {
	if err := p.server.node.Barrier(ctx); err != nil {
		return 0, noQuorum()
	}
	return p.server.store.document().Revision, nil
}

// SetZone takes an availability zone into or out of service and returns once the change is
// accepted. It does not wait for processes that control cannot reach: these stop working at
// the latest when their permission expires.
//
// The sender of the order has learned of the revision since, by Revision, before it gave the order. An order that
// the sender has repeated elsewhere may arrive at any later time, held up in a socket, a stopped process or on the
// way. It has no effect after a newer order to the zone: each of these has changed the zone after since. SetZone then
// refuses it with verdict.ReasonRevisionConflict.
func (p *Plugin) SetZone(ctx context.Context, zone config.Zone, since uint64) error {
	for {
		revision, done, err := p.server.readZone(ctx, zone, since)
		if done || err != nil {
			return err
		}
		// The order expects the revision at which the zone was unchanged. Another change in between has it read anew.
		err = p.server.submit(ctx, command.NameChange, &command.Change{
			Expect: revision, Changes: []config.Change{{Zone: &zone}}, NoWait: true,
		})
		if !verdict.IsReason(err, verdict.ReasonRevisionConflict) {
			return err
		}
		if ctx.Err() != nil {
			return verdict.Uncertain(verdict.ReasonNoQuorum, forwardRetryInterval, "other changes came first: %v", err)
		}
	}
}

// readZone returns the current revision if the zone has not changed after since. If it has, done reports whether the
// zone is in the wanted state: the order itself may have changed it, and its answer was lost.
func (s *Server) readZone(ctx context.Context, zone config.Zone, since uint64) (revision uint64, done bool, err error) {
	if err := s.node.Barrier(ctx); err != nil {
		return 0, false, noQuorum()
	}
	s.store.read(func(m *state.Machine) {
		doc := m.Document()
		changes, known := m.ChangesSince(since)
		switch {
		case since > doc.Revision || !known:
			err = verdict.Refuse(verdict.ReasonRevisionConflict, 0, "revision %d of the order is not known at %d", since, doc.Revision)
		case !slices.ContainsFunc(changes, func(c config.ChangeSet) bool { return c.ChangesZone(zone.Name) }):
			revision = doc.Revision
		case doc.Zones[zone.Name] == zone:
			done = true
		default:
			err = verdict.Refuse(verdict.ReasonRevisionConflict, 0,
				"zone %q has changed after revision %d, which the order names; now %d", zone.Name, since, doc.Revision)
		}
	})
	return revision, done, err
}
