package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// The actions of command.Member.
const (
	memberAdd     = "add"
	memberPromote = "promote"
	memberRemove  = "remove"
	// memberJoin is sent by a replica that asks to be added itself.
	memberJoin = "join"
)

// membershipChanger is a replica.Node that can change the members of its group.
type membershipChanger interface {
	AddLearner(ctx context.Context, id replica.ID, addr string) error
	Promote(ctx context.Context, id replica.ID) error
	Remove(ctx context.Context, id replica.ID) error
}

// changeMembers executes a command.Member, which changes the members of the group.
func (s *Server) changeMembers(ctx context.Context, c *wire.Command) *wire.Answer {
	var m command.Member
	if err := wire.Unmarshal(c.Body, &m); err != nil {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err))
	}
	node, ok := s.node.(membershipChanger)
	if !ok {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "this control has no group of replicas"))
	}
	var err error
	id := replica.ID(m.ID)
	switch m.Action {
	case memberAdd:
		err = node.AddLearner(ctx, id, m.Addr)
	case memberPromote:
		err = node.Promote(ctx, id)
	case memberRemove:
		err = s.remove(ctx, node, id)
	case memberJoin:
		err = s.join(ctx, node, id, m.Addr)
	default:
		err = errors.Errorf("unknown action %q: want add, promote or remove", m.Action)
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err))
	}
	if err != nil {
		return refused(memberRefusal(err))
	}
	return &wire.Answer{}
}

// remove removes a member. One that is no member any more counts as removed: the command may have come
// again after its answer was lost, or the steward may have removed the member before.
func (s *Server) remove(ctx context.Context, node membershipChanger, id replica.ID) error {
	err := node.Remove(ctx, id)
	if errors.Is(err, replica.ErrNotMember) {
		s.log.Info("membership unchanged", "action", memberRemove, "replica", uint64(id), "reason", "not a member")
		return nil
	}
	return err
}

// memberRefusal returns the refusal for a failed membership change. ReasonBadRequest means that
// the current members do not allow the change, other reasons that it may succeed later.
func memberRefusal(err error) *verdict.Refusal {
	for _, cause := range []error{
		replica.ErrMemberExists, replica.ErrNotMember, replica.ErrNotCaughtUp, replica.ErrLastVoter, replica.ErrChangePending,
	} {
		if errors.Is(err, cause) {
			return verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err)
		}
	}
	return proposeRefusal(err)
}
