package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// gatewayMetrics counts how requests end.
type gatewayMetrics struct {
	set *metrics.Set
}

func newMetrics(set *metrics.Set) *gatewayMetrics { return &gatewayMetrics{set: set} }

// ended counts a request by how it ended and measures how long it took.
func (m *gatewayMetrics) ended(outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rosemary_gateway_requests_total{outcome=%q}", outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("rosemary_gateway_request_seconds{outcome=%q}", outcome)).Update(took.Seconds())
}

// sent counts what was sent to endpoints.
func (m *gatewayMetrics) sent(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rosemary_gateway_dispatches_total{reason=%q}", reason)).Inc()
}
