package route

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// Constants of the cache hints.
const (
	// hintLife is how long a hint is used after it was last confirmed.
	hintLife = 10 * time.Minute
	// holdersKept is the number of endpoints remembered for one prefix.
	holdersKept = 4
	// ways is the number of slots that one prefix may use.
	ways = 4
	// trustAfterGap is what a gap in an endpoint's events leaves of the trust in its
	// earlier hints: an eviction may have been lost.
	trustAfterGap = 0.5
	// leastTrust is the trust below which a hint is no longer used.
	leastTrust = 0.2
	// restartEpochs is the step of the epoch at a restart; no hint survives it.
	restartEpochs = 64
	// repeated is the number of requests from which a prefix counts as shared.
	repeated = 2
)

// CacheHints remembers which endpoints probably hold which prompt prefixes. The
// events behind it come late and with gaps, so a hint only shifts a prediction; it
// is never relied on. Its memory is fixed: a set-associative table in which the
// prefix that was used longest ago makes room.
type CacheHints struct {
	slots []slot
	feeds map[string]feed
}

// slot is what is known of one prefix.
type slot struct {
	prefix uint64
	used   time.Time
	// requests counts the requests that had the prefix.
	requests uint32
	held     int
	holder   [holdersKept]holder
}

// holder is an endpoint that probably holds the prefix.
type holder struct {
	zone, name string
	tokens     int64
	at         time.Time
	// epoch is the endpoint's epoch at the time; each gap starts another one.
	epoch uint32
}

// feed is the state of one endpoint's events.
type feed struct {
	next  uint64
	epoch uint32
}

// NewCacheHints returns hints for about size prefixes.
func NewCacheHints(size int) *CacheHints {
	sets := max(size/ways, 1)
	return &CacheHints{slots: make([]slot, sets*ways), feeds: map[string]feed{}}
}

// Apply takes in a page of an endpoint's cache events. A gap in their numbers
// lowers the trust in what was known before.
func (h *CacheHints) Apply(now time.Time, zone, name string, page engine.CacheEvents) {
	for _, ev := range page.Events {
		f := h.feeds[name]
		if ev.Seq < f.next {
			continue
		}
		if f.next > 0 && ev.Seq > f.next {
			f.epoch++
		}
		f.next = ev.Seq + 1
		h.feeds[name] = f
		if ev.Kind == "stored" {
			h.Stored(now, zone, name, ev.Prefix, ev.Tokens)
			continue
		}
		h.evicted(name, ev.Prefix)
	}
}

// Stored notes that the endpoint holds the prefix. An entry may also call it for
// its own requests once their first token has come, ahead of the events.
func (h *CacheHints) Stored(now time.Time, zone, name string, prefix uint64, tokens int64) {
	if prefix == 0 || tokens <= 0 {
		return
	}
	s := h.slotOf(now, prefix)
	s.put(holder{zone: zone, name: name, tokens: tokens, at: now, epoch: h.feeds[name].epoch})
}

// Forget drops what is known of the endpoint: it restarted or left.
func (h *CacheHints) Forget(name string) {
	f := h.feeds[name]
	h.feeds[name] = feed{epoch: f.epoch + restartEpochs}
}

// find returns the slot of a prefix, or nil.
func (h *CacheHints) find(prefix uint64) *slot {
	set := h.set(prefix)
	for i := range set {
		if set[i].prefix == prefix {
			return &set[i]
		}
	}
	return nil
}

// slotOf returns the slot of a prefix and takes one for it when there is none.
func (h *CacheHints) slotOf(now time.Time, prefix uint64) *slot {
	s := h.find(prefix)
	if s == nil {
		s = oldestOf(h.set(prefix))
		*s = slot{prefix: prefix}
	}
	s.used = now
	return s
}

// set returns the slots that the prefix may use.
func (h *CacheHints) set(prefix uint64) []slot {
	sets := uint64(len(h.slots) / ways)
	first := mix(prefix) % sets * ways
	return h.slots[first : first+ways]
}

func oldestOf(set []slot) *slot {
	oldest := &set[0]
	for i := range set {
		if set[i].used.Before(oldest.used) {
			oldest = &set[i]
		}
	}
	return oldest
}

// put replaces the holder of the same name, a free place or the oldest holder.
func (s *slot) put(stored holder) {
	oldest := 0
	for i := range s.holder[:s.held] {
		if s.holder[i].name == stored.name {
			s.holder[i] = stored
			return
		}
		if s.holder[i].at.Before(s.holder[oldest].at) {
			oldest = i
		}
	}
	if s.held < holdersKept {
		oldest = s.held
		s.held++
	}
	s.holder[oldest] = stored
}

func (h *CacheHints) evicted(name string, prefix uint64) {
	s := h.find(prefix)
	if s == nil {
		return
	}
	for i := range s.holder[:s.held] {
		if s.holder[i].name == name {
			s.held--
			s.holder[i] = s.holder[s.held]
			return
		}
	}
}

// worth returns the tokens that a holder is expected to save at now: fewer after
// each gap in the endpoint's events, none once the hint is old.
func (h *CacheHints) worth(now time.Time, held *holder) float64 {
	if now.Sub(held.at) > hintLife {
		return 0
	}
	trust := 1.0
	for range h.feeds[held.name].epoch - held.epoch {
		trust *= trustAfterGap
		if trust < leastTrust {
			return 0
		}
	}
	return trust * float64(held.tokens)
}
