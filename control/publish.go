package control

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// forwardTimeout bounds one try to have the leader carry out a command.
	forwardTimeout = 500 * time.Millisecond
	// forwardRetry is the wait before a command is tried again.
	forwardRetry = 50 * time.Millisecond
)

// Publish puts a publication in force. It returns once that is certain; an error
// leaves open whether it will be.
func (p *Plugin) Publish(ctx context.Context, publication config.Publication) error {
	return p.server.submit(ctx, command.NamePublish, &command.Publish{Publication: publication})
}

// SetZone takes an availability zone in or out of service and returns once that is
// accepted. Processes that control cannot reach follow once their permission lapses.
func (p *Plugin) SetZone(ctx context.Context, zone config.Zone) error {
	return p.server.submit(ctx, command.NameChange, &command.Change{
		Expect: command.AnyRevision, Changes: []config.Change{{Zone: &zone}}, NoWait: true,
	})
}

// Published returns the publication in force, or nil when there is none. It fails
// when this replica cannot be sure which one that is.
func (p *Plugin) Published(ctx context.Context) (*config.Publication, error) {
	if err := p.server.node.Barrier(ctx); err != nil {
		return nil, noQuorum()
	}
	return p.server.store.document().Publication, nil
}

// Register enters what a direct endpoint says about itself. The sequence number
// grows with each announcement of an incarnation; zero is for endpoints without.
func (p *Plugin) Register(e wire.Endpoint, sequence uint64) bool {
	return p.server.table.register(p.server.clock.Now(), e, sequence)
}

// Deregister notes that a direct endpoint leaves. Incarnation zero is for any.
func (p *Plugin) Deregister(name string, incarnation uint64) {
	p.server.table.deregister(p.server.clock.Now(), name, incarnation)
}

// submit has the leader carry out a command, until ctx ends. The command must be one
// that does no harm when it is carried out twice.
func (s *Server) submit(ctx context.Context, name string, body any) error {
	raw, err := wire.Marshal(body)
	if err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err)
	}
	c := &wire.Command{ID: session.NewID(), Name: name, Body: raw}
	var last *verdict.Refusal
	for {
		answer := s.trySubmit(ctx, c)
		if answer.Refused == nil {
			return nil
		}
		last = answer.Refused.Refusal()
		if last.Reason != verdict.ReasonNoQuorum && last.Reason != verdict.ReasonOverloaded {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-s.clock.After(forwardRetry):
		}
	}
}

// trySubmit carries the command out here or passes it to the leader.
func (s *Server) trySubmit(ctx context.Context, c *wire.Command) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	answer := s.answer(ctx, wire.Peer{Name: s.name, Role: wire.RoleControl}, c)
	if answer.Leader == "" {
		return answer
	}
	forwarded, err := session.Exchange(ctx, s.transport.dialer, answer.Leader, c)
	if err != nil {
		return refused(verdict.Uncertain(verdict.ReasonNoQuorum, electionRetry, "leader %s: %v", answer.Leader, err))
	}
	if forwarded.Leader != "" {
		return refused(noQuorum())
	}
	return forwarded
}
