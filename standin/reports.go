package standin

import (
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

const (
	// minSampleInterval is the minimum time between two stored load samples.
	minSampleInterval = 5 * time.Millisecond
	// samplesPerLag limits the number of samples stored for the duration of the lag.
	samplesPerLag = 64
)

// reports stores load samples, oldest first, until they are old enough to be
// published.
type reports struct {
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load engine.Load
}

// add stores a sample and drops those that will not be published any more. A sample
// replaces the previous one when less than the sample interval lies between them.
func (r *reports) add(now time.Time, lag time.Duration, load engine.Load) {
	interval := max(minSampleInterval, lag/samplesPerLag)
	r.prune(now, lag)
	if n := len(r.samples); n > 1 && now.Sub(r.samples[n-1].at) < interval {
		r.samples[n-1].load = load
		return
	}
	r.samples = append(r.samples, loadSample{at: now, load: load})
}

// prune drops all samples before the newest that is at least lag old.
func (r *reports) prune(now time.Time, lag time.Duration) {
	newest := 0
	for i, s := range r.samples {
		if now.Sub(s.at) >= lag {
			newest = i
		}
	}
	r.samples = slices.Delete(r.samples, 0, newest)
}

// publish returns the newest sample that is at least lag old, or else the first.
func (r *reports) publish(now time.Time, lag time.Duration) engine.Load {
	r.prune(now, lag)
	s := r.samples[0]
	s.load.AgeMS = lag.Milliseconds()
	return s.load
}

// sampleLoad stores a sample of the engine's present load. The caller holds e.mu.
func (e *Engine) sampleLoad(now time.Time) {
	load := engine.Load{
		Boot:        e.boot,
		TotalTokens: e.total,
		FreeTokens:  e.free(),
		Model:       e.modelState.model,
		Version:     e.modelState.version,
		Role:        e.modelState.role,
		Adapters:    append([]string{}, e.modelState.adapters...),
	}
	var live []*request
	for _, r := range e.requests {
		switch r.phase {
		case waiting:
			load.Waiting++
		case prefilling, decoding:
			load.Running++
			live = append(live, r)
		}
	}
	speeds := e.rates(now, live)
	load.PrefillRate = speeds.prefill
	load.DecodeRate = speeds.decode
	e.reports.add(now, e.faults.lag, load)
}

// maxEvents limits the number of cache events that an engine stores; the oldest are
// dropped.
const maxEvents = 4096

// events is the log of cache events, oldest first. next is the last sequence number
// given out.
type events struct {
	next    uint64
	entries []timedEvent
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// add numbers and appends an event. The given share of events is lost: they get a
// number and are not stored, so that readers see a gap in the numbers.
func (l *events) add(now time.Time, lossShare float64, ev engine.CacheEvent) {
	l.next++
	ev.Seq = l.next
	if float64(mix(ev.Seq)>>11)/(1<<53) < lossShare {
		return
	}
	l.entries = append(l.entries, timedEvent{at: now, event: ev})
	if len(l.entries) > maxEvents {
		l.entries = slices.Delete(l.entries, 0, len(l.entries)-maxEvents)
	}
}

// after returns the events after seq that are at least lag old.
func (l *events) after(now time.Time, lag time.Duration, seq uint64) engine.CacheEvents {
	page := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: seq}
	for _, ev := range l.entries {
		if ev.event.Seq <= seq || now.Sub(ev.at) < lag {
			continue
		}
		page.Events = append(page.Events, ev.event)
		page.Next = ev.event.Seq
	}
	return page
}
