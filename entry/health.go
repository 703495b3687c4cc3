package entry

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/health"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// referenceTokenTime is the time between output tokens that measured times are divided
	// by. The detector learns the mean ratio of each endpoint, so any constant will do.
	referenceTokenTime = 31 * time.Millisecond
	// minSampleTokens is the shortest output that is long enough to measure its speed.
	minSampleTokens = 8
	// probeInterval is the minimum time between two probes that an entry sends, whichever
	// endpoints they go to.
	probeInterval = 2 * time.Second
	// probeTokens is the length of a probe's output, and probeTimeout bounds the probe.
	probeTokens  = 16
	probeTimeout = 10 * time.Second
	// probeAccount is the client account and route named in a probe's dispatch.
	probeAccount = "rosemary-probe"
	probePrompt  = "Count from one to sixteen."
)

// healthMonitor detects endpoints that fail or slow down. kernel.LockOrder lists its lock as
// "entry.watch".
type healthMonitor struct {
	mu       sync.Mutex
	detector *health.Detector
	// incarnations holds the incarnation of each monitored endpoint by name.
	incarnations map[string]uint64
}

// newHealthMonitor returns a monitor of no endpoints.
func newHealthMonitor() *healthMonitor {
	return &healthMonitor{detector: health.NewDetector(health.DefaultSettings()), incarnations: map[string]uint64{}}
}

// update adds and removes endpoints. The detector starts over for an endpoint that has
// restarted. Service endpoints are not monitored.
func (m *healthMonitor) update(u *wire.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.Reset {
		for _, name := range missingFrom(slices.Collect(maps.Keys(m.incarnations)), u.Endpoints) {
			m.remove(name)
		}
	}
	for _, name := range u.Removed {
		m.remove(name)
	}
	for _, e := range u.Endpoints {
		if !e.Service && m.incarnations[e.Name] != e.Incarnation {
			m.incarnations[e.Name] = e.Incarnation
			m.detector.Add(e.Name, e.Target)
		}
	}
}

// remove stops monitoring an endpoint. The caller holds the lock.
func (m *healthMonitor) remove(name string) {
	delete(m.incarnations, name)
	m.detector.Remove(name)
}

// observe adds a sample of an endpoint. It returns whether the endpoint became or ceased to be
// suspect, and whether it is suspect now.
func (m *healthMonitor) observe(now time.Time, name string, s health.Sample) (changed, suspect bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed = m.detector.Observe(now, name, s)
	return changed, m.detector.Suspect(name)
}

// nextProbe returns the endpoint to probe now, if there is one.
func (m *healthMonitor) nextProbe(now time.Time) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := m.detector.SelectProbes(now, 1, nil)
	if len(names) == 0 {
		return "", false
	}
	return names[0], true
}

// observe passes the outcome of an attempt to the health monitor. err is the result of
// the attempt.
func (e *Entry) observe(c *call, endpoint string, err error) {
	if c.route.Kind != config.ModelRoute {
		return
	}
	now := e.clock.Now()
	s := health.Sample{Failed: verdict.IsReason(err, verdict.ReasonEndpointLost) || verdict.IsReason(err, verdict.ReasonEngineError)}
	if err == nil && c.usage.output >= minSampleTokens && !c.firstByteAt.IsZero() {
		perToken := now.Sub(c.firstByteAt) / time.Duration(c.usage.output-1)
		s.Ratio = float64(perToken) / float64(referenceTokenTime)
	}
	if !s.Failed && s.Ratio == 0 {
		return
	}
	changed, suspect := e.healthMonitor.observe(now, endpoint, s)
	if changed {
		e.dispatcher.setSuspect(endpoint, suspect)
		e.log.Warn("endpoint health changed", "endpoint", endpoint, "suspect", suspect, "failed", s.Failed, "ratio", s.Ratio)
	}
}

// runProbes sends at most one probe every probeInterval until ctx ends.
func (e *Entry) runProbes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.clock.After(probeInterval):
		}
		if name, ok := e.healthMonitor.nextProbe(e.clock.Now()); ok {
			e.probe(ctx, name)
		}
	}
}

// probe sends a short prompt to an endpoint. The sidecar may refuse it like any other attempt,
// so a probe takes no capacity from an endpoint that has none left.
func (e *Entry) probe(ctx context.Context, name string) {
	endpoint, ok := e.dispatcher.findEndpoint(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c := e.newProbe(&endpoint)
	a := newAnswer(discardWriter{header: http.Header{}}, c, e.ReaderTimeout.Std(), e.clock)
	t := e.dispatcher.reissueTicket(c, &ticket{endpoint: endpoint, choice: route.Choice{Reason: "probe"}})
	err := e.runAttempt(ctx, c, t, a)
	e.log.Debug("endpoint probed", "endpoint", name, "error", err)
}

// newProbe returns the call of a probe.
func (e *Entry) newProbe(endpoint *wire.Endpoint) *call {
	now := e.clock.Now()
	body, _ := json.Marshal(engine.Completion{Model: endpoint.Target, Prompt: probePrompt, MaxTokens: probeTokens, Stream: true})
	return &call{
		id:        uuid.New(),
		probe:     true,
		startedAt: now,
		deadline:  now.Add(probeTimeout),
		account:   config.Account{Name: probeAccount},
		route:     config.Route{Name: probeAccount, Kind: config.ModelRoute, Target: endpoint.Target},
		method:    http.MethodPost,
		path:      engine.PathCompletions,
		header:    map[string]string{"Content-Type": "application/json"},
		body:      body,
		routing:   route.Request{Target: endpoint.Target, PromptTokens: len(probePrompt), OutputTokens: probeTokens},
	}
}

// discardWriter is the response writer of a probe. It drops everything.
type discardWriter struct{ header http.Header }

var _ http.ResponseWriter = discardWriter{}

// Header returns a header that is never sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write drops p.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (discardWriter) WriteHeader(int) {}

// FlushError does nothing.
func (discardWriter) FlushError() error { return nil }

// SetWriteDeadline does nothing.
func (discardWriter) SetWriteDeadline(time.Time) error { return nil }
