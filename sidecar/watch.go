package sidecar

import (
	"context"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// watchEngine reads the engine's load until ctx ends and announces the endpoint.
func (s *Sidecar) watchEngine(ctx context.Context) error {
	s.announceWhenReady(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.clock.After(s.PollEvery.Std()):
		}
		s.poll(ctx)
	}
}

// announceWhenReady waits for the first report, since an endpoint whose memory
// is unknown can be given no work.
func (s *Sidecar) announceWhenReady(ctx context.Context) {
	for !s.poll(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(s.PollEvery.Std()):
		}
	}
}

func (s *Sidecar) poll(ctx context.Context) bool {
	if s.Service {
		s.gate.observe(engine.Load{Boot: 1}, s.clock.Now())
		s.control.Announce(s.announcement())
		return true
	}
	report, err := s.engine.load(ctx)
	if err != nil {
		s.log.Debug("no report", "error", err)
		return false
	}
	if s.gate.observe(report, s.clock.Now()) {
		s.log.Warn("endpoint started anew", "boot", report.Boot)
	}
	s.control.Announce(s.announcement())
	return true
}
