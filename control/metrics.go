package control

import (
	"github.com/VictoriaMetrics/metrics"
)

// registerMetrics adds gauges for the replica, its sessions and the endpoint list to set.
func (s *Server) registerMetrics(set *metrics.Set) {
	set.NewGauge("rosemary_control_leads", func() float64 {
		status := s.node.Status()
		return boolToFloat(status.Leader == status.ID)
	})
	set.NewGauge("rosemary_control_leader_known", func() float64 { return boolToFloat(s.node.Status().Leader != 0) })
	set.NewGauge("rosemary_control_term", func() float64 { return float64(s.node.Status().Term) })
	set.NewGauge("rosemary_control_voters", func() float64 {
		voters := 0
		for _, m := range s.members() {
			if m.Voter {
				voters++
			}
		}
		return float64(voters)
	})
	set.NewGauge("rosemary_control_voters_caught_up", func() float64 {
		caughtUp := 0
		for _, m := range s.members() {
			if m.Voter && m.CaughtUp {
				caughtUp++
			}
		}
		return float64(caughtUp)
	})
	set.NewGauge("rosemary_control_fault_tolerant", func() float64 { return boolToFloat(s.node.Status().FaultTolerant) })
	set.NewGauge("rosemary_control_revision", func() float64 { return float64(s.store.document().Revision) })
	set.NewGauge("rosemary_control_sessions", func() float64 { return float64(s.table.countSessions()) })
	set.NewGauge("rosemary_control_endpoints", func() float64 { return float64(s.table.countEndpoints()) })
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
