package sidecar

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/reserve"
)

const (
	// sweepEvery is the interval at which memory without an owner is looked for.
	sweepEvery = time.Second
	// adoptTime is how long a cache that no book knows is kept for its owner.
	adoptTime = 30 * time.Second
)

// watchEngine reads the engine's load until ctx ends and announces the endpoint.
func (s *Sidecar) watchEngine(ctx context.Context) error {
	swept := s.clock.Now()
	for {
		s.poll(ctx)
		if now := s.clock.Now(); !s.Service && now.Sub(swept) >= sweepEvery {
			swept = now
			s.sweep(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.clock.After(s.PollEvery.Std()):
		}
	}
}

// poll takes in a report. Before the first one the endpoint has no room, because
// its memory is unknown.
func (s *Sidecar) poll(ctx context.Context) {
	report := engine.Load{Boot: 1}
	if !s.Service {
		var err error
		if report, err = s.engine.load(ctx); err != nil {
			s.log.Debug("no report", "error", err)
			return
		}
	}
	now := s.clock.Now()
	if s.gate.observe(now, now.Add(-time.Duration(report.AgeMS)*time.Millisecond), report) {
		s.log.Warn("endpoint started anew", "boot", report.Boot)
		s.metrics.restarted()
		s.restarted()
	}
	s.control.Announce(s.announcement())
}

// sweep frees what the engine holds without an owner, so that no engine loses
// memory for good.
func (s *Sidecar) sweep(ctx context.Context) {
	now := s.clock.Now()
	if list, err := s.engine.held(ctx); err == nil {
		s.gate.reconcile(now, list, now.Add(adoptTime))
	}
	lapsed, excess := s.gate.orphans(now)
	for _, o := range lapsed {
		s.free(ctx, o, "lapsed")
	}
	for _, o := range excess {
		s.free(ctx, o, "memory shrank")
	}
}

func (s *Sidecar) free(ctx context.Context, o reserve.Reclaimable, reason string) {
	free := s.engine.cancel
	if o.Kind == reserve.Exported || o.Kind == reserve.Imported {
		free = s.engine.freeKV
	}
	if err := free(ctx, o.ID); err != nil {
		s.log.Warn("memory not freed", "id", o.ID, "kind", o.Kind.String(), "error", err)
		return
	}
	s.gate.released(s.clock.Now(), o.ID)
	s.log.Info("memory freed", "id", o.ID, "kind", o.Kind.String(), "owner", o.Owner, "tokens", o.Tokens, "reason", reason)
}
