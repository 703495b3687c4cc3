package control

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// sweepInterval is the time between two checks for silent endpoints and sessions.
const sweepInterval = 250 * time.Millisecond

// Server answers the sessions and commands of one replica.
type Server struct {
	node           replica.Node
	members        func() []replica.MemberStatus
	transport      *transport
	store          *store
	table          *table
	barriers       *barriers
	shareAllocator *shareAllocator
	demand         *demand
	clock          kernel.Clock
	log            hclog.Logger
	// name is the name of this process.
	name string
	// running waits for the server's goroutines.
	running sync.WaitGroup
	// lease is the duration of the permission that the echo of a heartbeat renews.
	lease time.Duration
	// catchUp is Plugin.CatchUp.
	catchUp time.Duration
	// seeds are the addresses from Plugin.Seeds.
	seeds atomic.Pointer[[]string]
	// usageDropped is the result of the last call of logDroppedUsage, its only user.
	usageDropped state.DroppedUsage
	// departuresFollowed counts the departures that followState, its only user, has passed on.
	departuresFollowed uint64
	// bootstrap is the initial configuration, or nil.
	bootstrap *config.Document
}

// handle serves one stream: a session, commands, or another replica, depending on the type of
// the first message.
func (s *Server) handle(ctx context.Context, stream wire.Stream) {
	defer context.AfterFunc(ctx, stream.Abort)()
	m, err := stream.Recv()
	if err != nil {
		return
	}
	switch first := m.(type) {
	case *wire.Hello:
		s.serveSession(stream, first)
	case *wire.Command:
		s.serveCommands(ctx, stream, first)
	case *wire.ReplicaMessage:
		s.serveReplica(stream, first)
	default:
		stream.Abort()
	}
}

// runSweeps removes silent endpoints and sessions, and logs usage that was dropped, at
// sweepInterval until ctx ends. Before each check, it proposes the initial configuration if the
// state is empty.
func (s *Server) runSweeps(ctx context.Context) {
	for {
		s.proposeBootstrap(ctx)
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(sweepInterval):
		}
		for _, name := range s.table.sweep(s.clock.Now()) {
			s.log.Warn("endpoint removed", "endpoint", name, "reason", "silent")
		}
		s.logDroppedUsage()
	}
}

// proposeBootstrap sets the initial configuration if this replica is the leader and there is
// no configuration. The state machine ignores all but the first proposal, so that several
// leaders may propose it.
func (s *Server) proposeBootstrap(ctx context.Context) {
	status := s.node.Status()
	if s.bootstrap == nil || status.Leader != status.ID || s.store.document().Revision != 0 {
		return
	}
	body, err := wire.Marshal(&command.Change{Changes: s.bootstrap.Bootstrap()})
	if err != nil {
		s.log.Error("bootstrap failed", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	self := wire.Peer{Name: "bootstrap", Role: wire.RoleControl}
	answer := s.propose(ctx, self, &wire.Command{Name: state.NameBootstrap, Body: body})
	if answer.Refused != nil {
		s.log.Error("bootstrap refused", "reason", answer.Refused.Reason, "detail", answer.Refused.Detail)
		return
	}
	s.log.Info("configuration bootstrapped", "revision", s.store.document().Revision)
}

// leaderName returns the ID of the leader as a string, or an empty string if there is none.
func (s *Server) leaderName() string {
	leader := s.node.Status().Leader
	if leader == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(leader), 10)
}

// addrOf returns the address of a replica, or an empty string if it is unknown.
func (s *Server) addrOf(id replica.ID) string { return s.transport.addr(id) }

// replicaStatus returns the members of the group as this replica knows them.
func (s *Server) replicaStatus() []command.ReplicaStatus {
	status := s.node.Status()
	var out []command.ReplicaStatus
	for _, m := range s.members() {
		out = append(out, command.ReplicaStatus{
			ID: uint64(m.ID), Addr: m.Addr, Leader: m.ID == status.Leader, Voter: m.Voter,
			Match: m.Match, CaughtUp: m.CaughtUp && status.FaultTolerant,
		})
	}
	return out
}
