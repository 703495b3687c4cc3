package gateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// gatewayMetrics counts finished requests by their outcome, and the requests and memory
// reservations in progress.
type gatewayMetrics struct {
	set *metrics.Set
	// inFlight counts the requests without a final answer, and ticketsHeld the current
	// memory reservations.
	inFlight, ticketsHeld atomic.Int64
	// distrusts counts the temporary exclusions of endpoints after failures.
	distrusts *metrics.Counter
	// endpointLosses counts the endpoints that were found to have ended under requests, and
	// lossReports the reports of them to control that control has accepted.
	endpointLosses, lossReports *metrics.Counter
	// limitChanges counts the changes of endpoints' limits that this entry has learned of.
	limitChanges *metrics.Counter
	// leavingNotices counts the endpoints whose answers told this entry that they leave.
	leavingNotices *metrics.Counter
	// pauses counts the pauses that endpoints asked this entry for.
	pauses *metrics.Counter
	// slowdowns counts how often an engine became slow or sound again.
	slowdowns *metrics.Counter
	// placedForPeers counts the requests of other entries for which this entry chose endpoints,
	// and placedByPeers its own requests for which another one did.
	placedForPeers, placedByPeers *metrics.Counter
	// placedByOtherCells counts the requests that an entry of another cell placed.
	placedByOtherCells *metrics.Counter
	// placementsRejected counts the choices of other entries, and sends that were due, that this
	// entry's own knowledge ruled out.
	placementsRejected *metrics.Counter
}

func newMetrics(set *metrics.Set) *gatewayMetrics {
	m := &gatewayMetrics{
		set: set, distrusts: set.NewCounter("rosemary_gateway_distrusts_total"),
		endpointLosses: set.NewCounter("rosemary_gateway_endpoint_losses_total"), lossReports: set.NewCounter("rosemary_gateway_loss_reports_total"),
		pauses:         set.NewCounter("rosemary_gateway_pauses_total"),
		slowdowns:      set.NewCounter("rosemary_gateway_slowdowns_total"),
		leavingNotices: set.NewCounter("rosemary_gateway_leaving_notices_total"),
		limitChanges:   set.NewCounter("rosemary_gateway_limit_changes_total"),
		placedForPeers: set.NewCounter("rosemary_gateway_placed_for_peers_total"), placedByPeers: set.NewCounter("rosemary_gateway_placed_by_peers_total"),
		placedByOtherCells: set.NewCounter("rosemary_gateway_placed_by_other_cells_total"),
		placementsRejected: set.NewCounter("rosemary_gateway_placements_rejected_total"),
	}
	set.NewGauge("rosemary_gateway_requests_in_flight", func() float64 { return float64(m.inFlight.Load()) })
	set.NewGauge("rosemary_gateway_tickets_held", func() float64 { return float64(m.ticketsHeld.Load()) })
	return m
}

// The reasons for which a request is sent to an endpoint.
const (
	sendFirst  = "first"
	sendRetry  = "again"
	sendResume = "resume"
)

// countSend counts a request sent to an endpoint.
func (m *gatewayMetrics) countSend(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("rosemary_gateway_dispatches_total{reason=%q}", reason)).Inc()
}

// observeRequest counts a finished request by its outcome and records its duration. The
// class is empty for a request that was refused before its service was known.
func (m *gatewayMetrics) observeRequest(outcome string, kind Kind, class string, took time.Duration) {
	labels := fmt.Sprintf("{outcome=%q,kind=%q,class=%q}", outcome, kind, class)
	m.set.GetOrCreateCounter("rosemary_gateway_requests_total" + labels).Inc()
	m.set.GetOrCreateHistogram("rosemary_gateway_request_seconds" + labels).Update(took.Seconds())
}

// observeFirstEvent records the time from the arrival of a request to the first event
// of its stream.
func (m *gatewayMetrics) observeFirstEvent(class string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("rosemary_gateway_first_event_seconds{class=%q}", class)).Update(took.Seconds())
}

// observeLongestPause records the longest time between two events of a stream.
func (m *gatewayMetrics) observeLongestPause(class string, pause time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("rosemary_gateway_longest_pause_seconds{class=%q}", class)).Update(pause.Seconds())
}

// registerGauges adds the gauges that read the state of the gateway.
func (g *Gateway) registerGauges() {
	set := g.metrics.set
	set.NewGauge("rosemary_gateway_configuration_version", func() float64 {
		if d := g.deployment.Load(); d != nil {
			return float64(d.Version)
		}
		return 0
	})
	set.NewGauge("rosemary_gateway_permission_left_seconds", func() float64 { return g.client.Permission().Left.Seconds() })
	set.NewGauge("rosemary_gateway_entries", func() float64 { return float64(g.entries.Load()) })
	set.NewGauge(`rosemary_gateway_endpoints{state="known"}`, func() float64 {
		known, _ := g.countEndpoints()
		return float64(known)
	})
	set.NewGauge(`rosemary_gateway_endpoints{state="trusted"}`, func() float64 {
		_, trusted := g.countEndpoints()
		return float64(trusted)
	})
	set.NewGauge("rosemary_gateway_endpoints_limited", func() float64 { return float64(g.countLimited()) })
}

func (g *Gateway) countLimited() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.LimitedCount()
}

func (g *Gateway) countEndpoints() (known, trusted int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Count(g.clock.Now())
}

// registerServiceGauges adds the gauges of a service, if it has none. The caller holds g.mu; the gauges
// take that lock themselves when they are read.
func (g *Gateway) registerServiceGauges(name string) {
	if g.gauged[name] {
		return
	}
	g.gauged[name] = true
	waiting := func(count func(short, long int) int) func() float64 {
		return func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(count(g.waiting.Len(name)))
		}
	}
	g.metrics.set.GetOrCreateGauge(fmt.Sprintf("rosemary_gateway_waiting{service=%q,class=%q}", name, "short"), waiting(func(short, _ int) int { return short }))
	g.metrics.set.GetOrCreateGauge(fmt.Sprintf("rosemary_gateway_waiting{service=%q,class=%q}", name, "long"), waiting(func(_, long int) int { return long }))
	g.metrics.set.GetOrCreateGauge(fmt.Sprintf("rosemary_gateway_overloaded{service=%q}", name), func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.waiting.Overloaded(g.clock.Now(), name) {
			return 1
		}
		return 0
	})
	g.metrics.set.GetOrCreateGauge(fmt.Sprintf("rosemary_gateway_retries_left{service=%q}", name), func() float64 {
		return g.retries.remaining(g.clock.Now(), name, g.retrySharing())
	})
}
