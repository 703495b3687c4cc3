package sidecar

import (
	"context"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/reserve"
)

const (
	// sweepInterval is the interval at which abandoned memory of the engine is freed.
	sweepInterval = time.Second
	// adoptionTime is how long a cache without a reservation is kept, so that its owner has
	// time to reserve it.
	adoptionTime = 30 * time.Second
)

// watchEngine polls the engine's load report, announces the endpoint and sweeps the
// engine's memory until ctx ends.
func (s *Sidecar) watchEngine(ctx context.Context) error {
	swept := s.clock.Now()
	for {
		s.poll(ctx)
		if now := s.clock.Now(); !s.Service && now.Sub(swept) >= sweepInterval {
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

// poll reads and applies one report. Until the first report the endpoint has no free
// memory, because the size of its memory is unknown.
func (s *Sidecar) poll(ctx context.Context) {
	report := engine.Load{Boot: 1}
	if !s.Service {
		var err error
		if report, err = s.engine.load(ctx); err != nil {
			s.log.Debug("reading engine load failed", "error", err)
			return
		}
	}
	now := s.clock.Now()
	if s.gate.applyReport(now, now.Add(-time.Duration(report.AgeMS)*time.Millisecond), report) {
		s.log.Warn("endpoint restarted", "boot", report.Boot)
		s.metrics.restarted()
		s.restarted()
	}
	s.control.Announce(s.announcement())
}

// sweep frees memory that the engine holds for expired or excess reservations, so that
// the engine does not leak memory.
func (s *Sidecar) sweep(ctx context.Context) {
	now := s.clock.Now()
	if list, err := s.engine.listKV(ctx); err == nil {
		s.gate.reconcile(now, list, now.Add(adoptionTime))
	}
	expired, excess := s.gate.reclaimable(now)
	for _, o := range expired {
		s.free(ctx, o, "lapsed")
	}
	for _, o := range excess {
		s.free(ctx, o, "memory shrank")
	}
}

// free cancels an attempt or frees a cache at the engine, and then releases its
// reservation. A failure is logged, and the next sweep retries.
func (s *Sidecar) free(ctx context.Context, o reserve.Reclaimable, reason string) {
	free := s.engine.cancel
	if o.Kind == reserve.Exported || o.Kind == reserve.Imported {
		free = s.engine.freeKV
	}
	if err := free(ctx, o.ID); err != nil {
		s.log.Warn("freeing engine memory failed", "id", o.ID, "kind", o.Kind.String(), "error", err)
		return
	}
	s.gate.releaseReservation(s.clock.Now(), o.ID)
	s.log.Info("engine memory freed", "id", o.ID, "kind", o.Kind.String(), "owner", o.Owner, "tokens", o.Tokens, "reason", reason)
}
