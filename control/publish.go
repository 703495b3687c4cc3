package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// forwardTimeout bounds one attempt to have the leader execute a command.
	forwardTimeout = 500 * time.Millisecond
	// forwardRetryInterval is the delay before the next attempt.
	forwardRetryInterval = 50 * time.Millisecond
	// maxCommandBytes bounds a command. Sessions get its change in one message, beside the endpoints and entries.
	maxCommandBytes = wire.MaxFrameBytes * 3 / 4
)

// Publish applies a publication and returns nil once it is certainly applied. After an error
// the publication may still be applied.
func (p *Plugin) Publish(ctx context.Context, publication config.Publication) error {
	return p.server.submit(ctx, command.NamePublish, &command.Publish{Publication: publication})
}

// Published returns the applied publication, or nil if there is none. The read is
// linearizable, so it fails without a quorum.
func (p *Plugin) Published(ctx context.Context) (*config.Publication, error) {
	if err := p.server.node.Barrier(ctx); err != nil {
		return nil, noQuorum()
	}
	return p.server.store.document().Publication, nil
}

// Register records the announcement of a direct endpoint, which has no sidecar. The sequence
// number increases with each announcement of an incarnation, and is zero for endpoints that
// do not number their announcements. Register returns false for an outdated announcement, which
// it ignores. If the endpoint leaves, that is certainly kept by the group once Register returns
// without an error.
func (p *Plugin) Register(ctx context.Context, e wire.Endpoint, sequence uint64) (current bool, err error) {
	if !p.server.table.register(p.server.clock.Now(), e, sequence) {
		return false, nil
	}
	if !e.Load.Leaving {
		return true, nil
	}
	return true, p.server.keepDepartures(ctx, []incarnation{incarnationOf(&e)})
}

// Deregister marks a direct endpoint as leaving. Incarnation zero stands for any incarnation;
// an incarnation older than the listed one is ignored. Deregister returns an error if this replica does not
// know the endpoint, while another one may, or if the group may lose the departure.
func (p *Plugin) Deregister(ctx context.Context, name string, incarnation uint64) error {
	left, known := p.server.table.deregister(p.server.clock.Now(), name, incarnation)
	if !known {
		return errors.Errorf("endpoint %s is not known here", name)
	}
	return p.server.keepDepartures(ctx, left)
}

// submit has the leader execute a command and retries until ctx ends. The command must be
// idempotent, since an attempt whose answer is lost may have taken effect.
func (s *Server) submit(ctx context.Context, name string, body any) error {
	return s.submitCommand(ctx, session.NewID(), name, body, nil)
}

// submitCommand is like submit, with the identifier id of the command, and decodes the answer into
// out unless that is nil. The identifier may be empty if the command is idempotent in itself.
func (s *Server) submitCommand(ctx context.Context, id, name string, body, out any) error {
	raw, err := wire.Marshal(body)
	if err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err)
	}
	if len(raw) > maxCommandBytes {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "command %s of %d bytes is over the limit of %d", name, len(raw), maxCommandBytes)
	}
	c := &wire.Command{ID: id, Name: name, Body: raw}
	var last *verdict.Refusal
	for {
		answer := s.trySubmit(ctx, c)
		if answer.Refused == nil {
			return decodeBody(answer, out)
		}
		last = answer.Refused.Refusal()
		if last.Reason != verdict.ReasonNoQuorum && last.Reason != verdict.ReasonOverloaded {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-s.clock.After(forwardRetryInterval):
		}
	}
}

// decodeBody decodes the body of an answer into out unless that is nil.
func decodeBody(answer *wire.Answer, out any) error {
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(answer.Body, out); err != nil {
		return verdict.Uncertain(verdict.ReasonInternal, 0, "%v", err)
	}
	return nil
}

// trySubmit executes the command on this replica if it is the leader, and otherwise sends it
// to the leader once.
func (s *Server) trySubmit(ctx context.Context, c *wire.Command) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	answer := s.answer(ctx, wire.Peer{Name: s.name, Role: wire.RoleControl}, c)
	if answer.Leader == "" {
		return answer
	}
	forwarded, err := session.Exchange(ctx, s.transport.dialer, answer.Leader, c)
	if err != nil {
		return refused(verdict.Uncertain(verdict.ReasonNoQuorum, electionRetryAfter, "leader %s: %v", answer.Leader, err))
	}
	if forwarded.Leader != "" {
		return refused(noQuorum())
	}
	return forwarded
}
