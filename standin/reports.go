package standin

import (
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

const (
	// minSampleInterval is the least time between two kept load samples.
	minSampleInterval = 5 * time.Millisecond
	// samplesPerLag bounds the samples kept within one lag.
	samplesPerLag = 64
)

// reports keeps load samples until they are old enough to be published.
type reports struct {
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load engine.Load
}

// add keeps a sample and drops those that lag has made needless. Samples that
// are close to each other replace each other.
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

// sampleLoad records the engine's load as it is now.
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

// maxEvents bounds the cache events that an engine remembers.
const maxEvents = 4096

// events is the log of cache events.
type events struct {
	next uint64
	entries  []timedEvent
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// add appends an event, unless it falls into a gap: the given share is lost.
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
