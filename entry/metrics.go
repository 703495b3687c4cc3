package entry

import (
	"encoding/hex"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// requestID returns the identifier of the call in hexadecimal.
func requestID(c *call) string { return hex.EncodeToString(c.id[:]) }

// entryMetrics are the metrics of one entry.
type entryMetrics struct {
	set              *metrics.Set
	timeToFirstToken [route.NumClasses]*metrics.Histogram
	requestTime      [route.NumClasses]*metrics.Histogram
}

// newMetrics registers the metrics of e in set.
func newMetrics(set *metrics.Set, e *Entry) *entryMetrics {
	m := &entryMetrics{set: set}
	for class := range route.NumClasses {
		m.timeToFirstToken[class] = set.NewHistogram(fmt.Sprintf(`entry_time_to_first_token_seconds{class=%q}`, class))
		m.requestTime[class] = set.NewHistogram(fmt.Sprintf(`entry_request_seconds{class=%q}`, class))
	}
	for class := range route.NumClasses {
		set.NewGauge(fmt.Sprintf(`entry_queued_tokens{class=%q}`, class), func() float64 { return float64(e.dispatcher.queuedTokens(class)) })
	}
	set.NewGauge("entry_held_bytes", func() float64 {
		held, _ := e.budget.Held()
		return float64(held)
	})
	set.NewGauge("entry_held_peak_bytes", func() float64 {
		_, peak := e.budget.Held()
		return float64(peak)
	})
	e.traffic.Register(set, "entry_requests")
	e.controlTraffic.Register(set, "entry_control")
	set.NewGauge("entry_revision", func() float64 { return float64(e.control.Config().Revision) })
	return m
}

// answered counts a request with a complete answer and records its times.
func (m *entryMetrics) answered(c *call) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`entry_requests_total{verdict=%q}`, verdict.Ran)).Inc()
	m.requestTime[c.routing.Class].UpdateDuration(c.startedAt)
	if !c.firstByteAt.IsZero() {
		m.timeToFirstToken[c.routing.Class].Update(c.firstByteAt.Sub(c.startedAt).Seconds())
	}
}

// refused counts a request that ended with a refusal, or with an answer that was cut off.
func (m *entryMetrics) refused(_ *call, r *verdict.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`entry_requests_total{verdict=%q,reason=%q}`, r.Verdict, r.Reason)).Inc()
}

// retried counts a refused attempt that is followed by another.
func (m *entryMetrics) retried(r *verdict.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`entry_retries_total{reason=%q}`, r.Reason)).Inc()
}
