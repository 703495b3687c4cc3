package control

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// barrierInterval is the minimum time between two barriers (replica.Node.Barrier). One
	// barrier covers the heartbeats of all sessions that arrived before it began.
	barrierInterval = 50 * time.Millisecond
	// barrierTimeout bounds one barrier, which does not return without a quorum.
	barrierTimeout = time.Second
)

// barriers wakes Server.runBarriers, which renews the permissions of all sessions with
// one barrier after another while heartbeats arrive.
type barriers struct {
	// wake has a buffer of one, so that a notification is kept while a barrier runs.
	wake chan struct{}
}

func newBarriers() *barriers { return &barriers{wake: make(chan struct{}, 1)} }

// notify requests a barrier for the heartbeats that have arrived. It never blocks.
func (b *barriers) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// runBarriers runs a barrier after each notification, until ctx ends.
func (s *Server) runBarriers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.barriers.wake:
		}
		s.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(barrierInterval):
		}
	}
}

// renew runs one barrier and then echoes the heartbeats that were pending before it. It
// collects them first, because a barrier proves nothing about a heartbeat that arrives
// after the barrier began. A failed barrier is retried.
func (s *Server) renew(ctx context.Context) {
	heartbeats := s.table.pendingHeartbeats()
	if len(heartbeats) == 0 {
		return
	}
	before := s.node.Status()
	bounded, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := s.node.Barrier(bounded); err != nil {
		s.log.Debug("barrier failed", "heartbeats", len(heartbeats), "error", err)
		s.barriers.notify()
		return
	}
	heartbeats = s.dropReplaced(heartbeats)
	s.table.markCovered(heartbeats)
	// Only the leader answers the demands for shares that came with the heartbeats. If this
	// replica led in the same term before and after the barrier, the barrier shows that no
	// other replica had replaced it as leader when the demands arrived.
	if after := s.node.Status(); after.Leader == after.ID && after.Term == before.Term && before.Leader == before.ID {
		s.grantShares(after.Term, heartbeats)
	}
}

// dropReplaced returns the heartbeats without those of replaced sidecars, and ends the sessions
// of these sidecars, so that their permissions are no longer renewed. A sidecar is replaced once
// the state machine has a newer incarnation of its endpoint (command.Fence). The result shares
// the memory of heartbeats.
func (s *Server) dropReplaced(heartbeats []pendingHeartbeat) []pendingHeartbeat {
	kept := heartbeats[:0]
	var replaced []*peerSession
	s.store.read(func(m *state.Machine) {
		for _, h := range heartbeats {
			if h.session != nil && h.session.replacedIn(m) {
				replaced = append(replaced, h.session)
				continue
			}
			kept = append(kept, h)
		}
	})
	for _, ses := range replaced {
		ses.stream.Abort()
	}
	return kept
}

// replacedIn reports whether the state machine has a newer incarnation of the session's
// endpoint. Only sidecars are replaced.
func (s *peerSession) replacedIn(m *state.Machine) bool {
	return s.role == wire.RoleSidecar && s.hello.Endpoint.Incarnation < m.Incarnation(s.hello.Endpoint.Name)
}
