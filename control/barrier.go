package control

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// barrierInterval is the least time between two barriers. One barrier covers
	// the heartbeats of all sessions that came in before it.
	barrierInterval = 50 * time.Millisecond
	// barrierTimeout bounds one barrier; without a quorum none ends.
	barrierTimeout = time.Second
)

// barriers renews the permissions of all sessions: it runs one barrier after
// another for as long as heartbeats come in.
type barriers struct {
	wake chan struct{}
}

func newBarriers() *barriers { return &barriers{wake: make(chan struct{}, 1)} }

func (b *barriers) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// runBarriers works until ctx ends.
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

// renew covers the heartbeats that wait now. They are collected before the
// barrier begins: it proves nothing about a heartbeat that comes in later.
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
	// Only a leader lends, and the barrier has shown that nobody else led in this
	// term's place when the demands came in.
	if after := s.node.Status(); after.Leader == after.ID && after.Term == before.Term && before.Leader == before.ID {
		s.grantShares(after.Term, heartbeats)
	}
}

// dropReplaced leaves out the sidecars whose incarnation was replaced by one that has
// read its fencing number: they get no permission after that.
func (s *Server) dropReplaced(heartbeats []pendingHeartbeat) []pendingHeartbeat {
	kept := heartbeats[:0]
	var replaced []*peerSession
	s.store.read(func(m *state.Machine) {
		for _, w := range heartbeats {
			if w.session != nil && w.session.replacedIn(m) {
				replaced = append(replaced, w.session)
				continue
			}
			kept = append(kept, w)
		}
	})
	for _, ses := range replaced {
		ses.stream.Abort()
	}
	return kept
}

func (s *peerSession) replacedIn(m *state.Machine) bool {
	return s.role == wire.RoleSidecar && s.hello.Endpoint.Incarnation < m.Incarnation(s.hello.Endpoint.Name)
}
