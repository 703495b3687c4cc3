package control

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// commandTimeout bounds the execution of one command.
	commandTimeout = 2 * time.Second
	// electionRetryAfter is the delay after which a refused sender may retry: by then an
	// election has usually ended, or the leader's backlog has shrunk.
	electionRetryAfter = time.Second
)

// commandSpec says which roles may send a command and how a replica executes it. A command
// with none of propose, membership, local and unreplicated is a linearizable read at the leader.
type commandSpec struct {
	roles []wire.Role
	// propose is set for commands that the state machine applies after they are committed.
	propose bool
	// membership is set for commands that change the members of the replica group.
	membership bool
	// local is set for commands that any replica answers about itself.
	local bool
	// unreplicated is set for commands that the leader answers from its memory, neither replicated nor after a barrier.
	unreplicated bool
	// frequent is set for commands that are sent for each request or several times a minute. They
	// are logged only if they are refused.
	frequent bool
}

// commands holds all commands by wire.Command.Name.
var commands = map[string]commandSpec{
	command.NameChange:  {roles: []wire.Role{wire.RoleOperator, wire.RoleControl}, propose: true},
	command.NamePublish: {roles: []wire.Role{wire.RoleOperator, wire.RoleControl}, propose: true},
	command.NameOrder:   {roles: []wire.Role{wire.RoleOperator}, propose: true},
	command.NameFence:   {roles: []wire.Role{wire.RoleSidecar}, propose: true},
	command.NameClaim:   {roles: []wire.Role{wire.RoleEntry}, propose: true, frequent: true},
	command.NameSettle:  {roles: []wire.Role{wire.RoleEntry, wire.RoleSidecar}, propose: true, frequent: true},
	command.NameSuspect: {roles: []wire.Role{wire.RoleEntry, wire.RoleSidecar}, propose: true},
	command.NamePermit:  {roles: []wire.Role{wire.RoleEntry}, propose: true},
	command.NameEnded:   {roles: []wire.Role{wire.RoleEntry}, propose: true},
	command.NameMember:  {roles: []wire.Role{wire.RoleOperator, wire.RoleControl}, membership: true},
	command.NameView:    {roles: []wire.Role{wire.RoleOperator}},
	command.NameHistory: {roles: []wire.Role{wire.RoleOperator}},
	command.NameInForce: {roles: []wire.Role{wire.RoleOperator}},
	command.NameDuty:    {roles: []wire.Role{wire.RoleControl}, propose: true, frequent: true},
	command.NameUsage:   {roles: []wire.Role{wire.RoleEntry}, propose: true, frequent: true},
	command.NameCloseWindow: {
		roles: []wire.Role{wire.RoleControl}, propose: true, frequent: true,
	},
	command.NameReportedWindow: {
		roles: []wire.Role{wire.RoleControl}, propose: true, frequent: true,
	},
	command.NameDepart: {roles: []wire.Role{wire.RoleControl}, propose: true},
	command.NameLoad:   {roles: []wire.Role{wire.RoleEntry}, unreplicated: true, frequent: true},
	command.NameReplicaInfo: {
		roles: []wire.Role{wire.RoleEntry, wire.RoleSidecar, wire.RoleOperator, wire.RoleControl}, local: true,
	},
}

func (spec commandSpec) allows(r wire.Role) bool {
	for _, role := range spec.roles {
		if role == r {
			return true
		}
	}
	return false
}

// serveCommands answers the commands of one stream, beginning with first, until the sender
// closes the stream.
func (s *Server) serveCommands(ctx context.Context, stream wire.Stream, first *wire.Command) {
	c := first
	for {
		if err := stream.Send(s.answer(ctx, stream.Peer(), c)); err != nil {
			return
		}
		m, err := stream.Recv()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.log.Debug("command stream broken", "peer", stream.Peer().Name, "error", err)
			}
			return
		}
		next, ok := m.(*wire.Command)
		if !ok {
			stream.Abort()
			return
		}
		c = next
	}
}

// answer checks the sender's role and executes the command. A replica that is not the leader
// answers with the leader's address, except to local commands.
func (s *Server) answer(ctx context.Context, peer wire.Peer, c *wire.Command) *wire.Answer {
	spec, ok := commands[c.Name]
	if !ok {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "unknown command %q", c.Name))
	}
	if !spec.allows(peer.Role) {
		return refused(verdict.Refuse(verdict.ReasonUnauthenticated, 0,
			"a process with role %q may not send %q", peer.Role, c.Name))
	}
	if spec.local {
		return accepted(s.replicaInfo())
	}
	if redirect := s.redirect(); redirect != nil {
		return redirect
	}
	if refusal := s.checkOrder(c); refusal != nil {
		return refused(refusal)
	}
	answer := s.execute(ctx, peer, c, spec)
	s.awaitPermissionExpiry(ctx, c, answer)
	s.logCommand(peer, c, answer)
	return answer
}

// execute executes a command on the leader within commandTimeout.
func (s *Server) execute(ctx context.Context, peer wire.Peer, c *wire.Command, spec commandSpec) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	switch {
	case spec.propose:
		return s.propose(ctx, peer, c)
	case spec.membership:
		return s.changeMembers(ctx, c)
	case spec.unreplicated:
		return s.recordLoad(peer, c)
	}
	return s.readCommand(ctx, c)
}

// redirect returns the answer of a replica that is not the leader: the leader's address, or
// a refusal if there is no leader. It returns nil on the leader.
func (s *Server) redirect() *wire.Answer {
	status := s.node.Status()
	switch status.Leader {
	case status.ID:
		return nil
	case 0:
		return refused(noQuorum())
	}
	return &wire.Answer{Leader: s.addrOf(status.Leader)}
}

// checkOrder refuses an order to an endpoint that has not announced itself, because its name
// is probably misspelt. The state machine cannot check this, since the endpoint list is not
// part of its state.
func (s *Server) checkOrder(c *wire.Command) *verdict.Refusal {
	var o command.Order
	if c.Name != command.NameOrder || wire.Unmarshal(c.Body, &o) != nil || !s.table.unknown(s.clock.Now(), o.Endpoint) {
		return nil
	}
	return verdict.Refuse(verdict.ReasonBadRequest, 0, "no endpoint %q has announced itself", o.Endpoint)
}

// noQuorum returns the refusal of a command while no leader is known.
func noQuorum() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNoQuorum, electionRetryAfter, "control has no leader now")
}

// propose replicates a command and returns the answer of the state machine.
func (s *Server) propose(ctx context.Context, peer wire.Peer, c *wire.Command) *wire.Answer {
	raw, err := wire.Marshal(&state.Entry{
		ID: c.ID, Name: c.Name, Who: peer.Name, At: s.store.commandTime().UnixNano(), Body: c.Body,
	})
	if err != nil {
		return refused(verdict.From(err))
	}
	result, err := s.node.Propose(ctx, raw)
	if err != nil {
		return refused(proposeRefusal(err))
	}
	answer := &wire.Answer{}
	if err := wire.Unmarshal(result, answer); err != nil {
		return refused(verdict.From(err))
	}
	return answer
}

// proposeRefusal returns the refusal for a failed proposal. Its verdict says whether the
// command may still take effect, in which case only a retry with the same identifier shows
// the outcome.
func proposeRefusal(err error) *verdict.Refusal {
	switch {
	case errors.Is(err, replica.ErrUncertain):
		return verdict.Uncertain(verdict.ReasonNoQuorum, electionRetryAfter, "the command may still take effect: %v", err)
	case errors.Is(err, replica.ErrTooLarge):
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err)
	case errors.Is(err, replica.ErrBusy):
		return verdict.Refuse(verdict.ReasonOverloaded, electionRetryAfter, "%v", err)
	}
	return verdict.Refuse(verdict.ReasonNoQuorum, electionRetryAfter, "%v", err)
}

// readCommand answers a linearizable read after a barrier.
func (s *Server) readCommand(ctx context.Context, c *wire.Command) *wire.Answer {
	if err := s.node.Barrier(ctx); err != nil {
		return refused(noQuorum())
	}
	switch c.Name {
	case command.NameView:
		return accepted(s.view())
	case command.NameHistory:
		return s.history(c)
	}
	return s.inForce(c)
}

// view returns the answer to command.NameView.
func (s *Server) view() command.View {
	return command.View{
		Document:  s.store.document(),
		Endpoints: s.table.endpoints(),
		Processes: s.table.processes(s.clock.Now()),
		Replicas:  s.replicaStatus(),
	}
}

// history returns the answer to command.NameHistory.
func (s *Server) history(c *wire.Command) *wire.Answer {
	var h command.History
	if err := wire.Unmarshal(c.Body, &h); err != nil {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err))
	}
	var audit command.Audit
	s.store.read(func(m *state.Machine) { audit.Entries = m.Audit(h.From, h.Limit) })
	return accepted(audit)
}

// inForce returns the answer to command.NameInForce: the processes that may still act on a
// configuration older than the given revision.
func (s *Server) inForce(c *wire.Command) *wire.Answer {
	var f command.InForce
	if err := wire.Unmarshal(c.Body, &f); err != nil {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err))
	}
	if revision := s.store.document().Revision; f.Revision > revision {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0,
			"revision %d is not accepted yet; the newest is %d", f.Revision, revision))
	}
	now := s.clock.Now()
	// The echo of a heartbeat that arrived after the revision was accepted is sent only with
	// the revision. Permissions that earlier heartbeats renewed expire at the latest one lease
	// after the revision was accepted.
	if s.store.sinceApplied(now, f.Revision) >= s.lease {
		return accepted(command.Lagging{})
	}
	return accepted(command.Lagging{Processes: s.table.lagging(now, f.Revision, s.lease, s.otherReplicas())})
}

// accepted returns the answer to a command that succeeded, with body as its result.
func accepted(body any) *wire.Answer {
	raw, err := wire.Marshal(body)
	if err != nil {
		return refused(verdict.From(err))
	}
	return &wire.Answer{Body: raw}
}

// refused returns the answer to a command that was refused.
func refused(r *verdict.Refusal) *wire.Answer {
	return &wire.Answer{Refused: wire.NewRefused(wire.Attempt{}, r)}
}

// logCommand logs each command that changes the state or the membership. Frequent commands
// are logged only if they are refused.
func (s *Server) logCommand(peer wire.Peer, c *wire.Command, a *wire.Answer) {
	spec := commands[c.Name]
	if !spec.propose && !spec.membership && !spec.unreplicated || a.Refused == nil && spec.frequent {
		return
	}
	if a.Refused == nil {
		s.log.Info("command accepted", "name", c.Name, "id", c.ID, "who", peer.Name)
		return
	}
	s.log.Warn("command refused", "name", c.Name, "id", c.ID, "who", peer.Name,
		"verdict", a.Refused.Verdict, "reason", a.Refused.Reason, "detail", a.Refused.Detail)
}

// lastIndexer is a replica.Node that gives access to the last index of its log.
type lastIndexer interface {
	// LastIndex returns the index of the last entry of the log, committed or not.
	LastIndex() uint64
}

// replicaInfo returns the revision, the leader and the voters that this replica knows. Settled
// is set if the replica has applied every log entry that its log held when the request arrived.
// The last index of the log is therefore read before the applied index and the revision. Log
// entries that are appended after this read do not count: they came after the request.
func (s *Server) replicaInfo() command.ReplicaInfo {
	status := s.node.Status()
	out := command.ReplicaInfo{ID: uint64(status.ID), Leader: uint64(status.Leader)}
	if l, ok := s.node.(lastIndexer); ok {
		last := l.LastIndex()
		out.Settled = s.node.Status().Applied >= last
	}
	out.Revision = s.store.document().Revision
	for _, m := range s.members() {
		if m.Voter {
			out.Voters = append(out.Voters, uint64(m.ID))
			out.Addrs = append(out.Addrs, m.Addr)
		}
	}
	return out
}
