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
	// expectedTokenTime is the time between tokens that samples are compared with.
	// The detector learns each endpoint's own mean, so only its steadiness counts.
	expectedTokenTime = 31 * time.Millisecond
	// minSampleTokens is the shortest output whose speed says something.
	minSampleTokens = 8
	// probeInterval is the interval of probes: an entry's whole budget for them.
	probeInterval = 2 * time.Second
	// probeTokens is the length of a probe's answer, and probeTimeout bounds it.
	probeTokens  = 16
	probeTimeout = 10 * time.Second
	// probeAccount stands in for a client account in a probe's dispatch.
	probeAccount = "rosemary-probe"
	probePrompt  = "Count from one to sixteen."
)

// healthMonitor looks for endpoints that fail slowly. Its lock is "entry.healthMonitor".
type healthMonitor struct {
	mu       sync.Mutex
	detector *health.Detector
	// incarnations holds the incarnation of each endpoint that is watched.
	incarnations map[string]uint64
}

func newHealthMonitor() *healthMonitor {
	return &healthMonitor{detector: health.NewDetector(health.DefaultSettings()), incarnations: map[string]uint64{}}
}

// update takes over which endpoints there are. One that has started anew is judged
// anew.
func (w *healthMonitor) update(u *wire.Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.Reset {
		for _, name := range missingFrom(slices.Collect(maps.Keys(w.incarnations)), u.Endpoints) {
			w.leave(name)
		}
	}
	for _, name := range u.Gone {
		w.leave(name)
	}
	for _, e := range u.Endpoints {
		if !e.Service && w.incarnations[e.Name] != e.Incarnation {
			w.incarnations[e.Name] = e.Incarnation
			w.detector.Add(e.Name, e.Target)
		}
	}
}

func (w *healthMonitor) leave(name string) {
	delete(w.incarnations, name)
	w.detector.Remove(name)
}

// observe takes in a sample and returns whether the endpoint's state changed, and
// whether it is suspect now.
func (w *healthMonitor) observe(now time.Time, name string, s health.Sample) (changed, suspect bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed = w.detector.Observe(now, name, s)
	return changed, w.detector.Suspect(name)
}

// nextProbe returns the endpoint to probe now, if there is one.
func (w *healthMonitor) nextProbe(now time.Time) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := w.detector.SelectProbes(now, 1, nil)
	if len(names) == 0 {
		return "", false
	}
	return names[0], true
}

// observeHealth feeds the end of an attempt to the watch.
func (e *Entry) observeHealth(c *call, endpoint string, err error) {
	if c.route.Kind != config.ModelRoute {
		return
	}
	now := e.clock.Now()
	s := health.Sample{Failed: verdict.IsReason(err, verdict.ReasonEndpointLost) || verdict.IsReason(err, verdict.ReasonEngineError)}
	if err == nil && c.usage.output >= minSampleTokens && !c.firstByteAt.IsZero() {
		perToken := now.Sub(c.firstByteAt) / time.Duration(c.usage.output-1)
		s.Ratio = float64(perToken) / float64(expectedTokenTime)
	}
	if !s.Failed && s.Ratio == 0 {
		return
	}
	changed, suspect := e.health.observe(now, endpoint, s)
	if changed {
		e.dispatcher.setSuspect(endpoint, suspect)
		e.log.Warn("endpoint judged", "endpoint", endpoint, "suspect", suspect, "failed", s.Failed, "ratio", s.Ratio)
	}
}

// runProbes sends a probe now and then until ctx ends.
func (e *Entry) runProbes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.clock.After(probeInterval):
		}
		if name, ok := e.health.nextProbe(e.clock.Now()); ok {
			e.probe(ctx, name)
		}
	}
}

// probe sends a short prompt to one endpoint. The sidecar decides on it as on any
// other attempt, so it costs nothing where there is no room.
func (e *Entry) probe(ctx context.Context, name string) {
	endpoint, ok := e.dispatcher.endpoint(name)
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

func (e *Entry) newProbe(endpoint *wire.Endpoint) *call {
	now := e.clock.Now()
	body, _ := json.Marshal(engine.Completion{Model: endpoint.Target, Prompt: probePrompt, MaxTokens: probeTokens, Stream: true})
	return &call{
		id:        uuid.New(),
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

// discardWriter is a caller that wants nothing.
type discardWriter struct{ header http.Header }

var _ http.ResponseWriter = discardWriter{}

// Header returns the header, which nobody sees.
func (d discardWriter) Header() http.Header { return d.header }

// Write drops p.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (discardWriter) WriteHeader(int) {}

// FlushError has nothing to flush.
func (discardWriter) FlushError() error { return nil }

// SetWriteDeadline has nobody to wait for.
func (discardWriter) SetWriteDeadline(time.Time) error { return nil }
