package control

import (
	"context"
	"time"
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
	beats := s.table.pending()
	if len(beats) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := s.node.Barrier(bounded); err != nil {
		s.log.Debug("barrier failed", "heartbeats", len(beats), "error", err)
		s.barriers.notify()
		return
	}
	s.table.covered(beats)
}
