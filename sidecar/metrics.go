package sidecar

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// sidecarMetrics holds the counters of one sidecar.
type sidecarMetrics struct {
	set              *metrics.Set
	grantedTotal     *metrics.Counter
	restartsTotal    *metrics.Counter
	finishedTotal    *metrics.Counter
	slowReadersTotal *metrics.Counter
}

func newMetrics(set *metrics.Set, s *Sidecar) *sidecarMetrics {
	set.NewGauge("sidecar_held_bytes", func() float64 {
		held, _ := s.budget.Held()
		return float64(held)
	})
	set.NewGauge("sidecar_running", func() float64 { return float64(s.gate.load(s.clock.Now()).Running) })
	set.NewGauge("sidecar_free_tokens", func() float64 { return float64(s.gate.load(s.clock.Now()).FreeTokens) })
	s.traffic.Register(set, "sidecar_requests")
	s.controlTraffic.Register(set, "sidecar_control")
	return &sidecarMetrics{
		set:              set,
		grantedTotal:     set.NewCounter("sidecar_granted_total"),
		restartsTotal:    set.NewCounter("sidecar_engine_restarts_total"),
		finishedTotal:    set.NewCounter("sidecar_finished_total"),
		slowReadersTotal: set.NewCounter("sidecar_slow_readers_total"),
	}
}

func (m *sidecarMetrics) granted()    { m.grantedTotal.Inc() }
func (m *sidecarMetrics) restarted()  { m.restartsTotal.Inc() }
func (m *sidecarMetrics) finished()   { m.finishedTotal.Inc() }
func (m *sidecarMetrics) slowReader() { m.slowReadersTotal.Inc() }

// refused counts a refusal by its verdict and reason.
func (m *sidecarMetrics) refused(r *verdict.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sidecar_refused_total{verdict=%q,reason=%q}`, r.Verdict, r.Reason)).Inc()
}
