package route

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

const (
	// hintTTL is how long a hint is used after it was last confirmed.
	hintTTL = 10 * time.Minute
	// maxHolders is the number of endpoints remembered for one prefix.
	maxHolders = 4
	// ways is the associativity of the table: the number of slots in a set.
	ways = 4
	// gapTrustFactor is the factor by which a gap in an endpoint's events reduces the
	// trust in its earlier hints: an eviction may have been missed.
	gapTrustFactor = 0.5
	// minTrust is the trust below which a hint is not used.
	minTrust = 0.2
	// restartEpochStep is added to the epoch at a restart of an endpoint. It counts as
	// so many gaps that no earlier hint is used any more.
	restartEpochStep = 64
	// sharedPrefixRequests is the number of requests from which on a prefix counts as
	// shared.
	sharedPrefixRequests = 2
)

// CacheHints records which endpoints probably have which prompt prefixes in their KV
// cache. The cache events come late and with gaps, so a hint only adjusts the
// predicted cost of an endpoint. Memory is fixed: the hints are a set-associative table
// that replaces the least recently used prefix of a set. The caller serialises all
// calls.
type CacheHints struct {
	slots []slot
	feeds map[string]feed // by endpoint name
}

// slot holds the hints for one prefix.
type slot struct {
	prefix uint64    // hash of the prefix, see Request.Prefix
	used   time.Time // last use, for replacement
	// requests counts the requests with this prefix.
	requests uint32
	held     int // number of valid elements of holder
	holder   [maxHolders]holder
}

// holder is an endpoint that probably holds a prefix.
type holder struct {
	zone, name string
	tokens     int64     // cached tokens of the prefix
	at         time.Time // when the hint was last confirmed
	// epoch is the epoch of the endpoint's event feed when the hint was confirmed.
	epoch uint32
}

// feed is the position in one endpoint's stream of cache events.
type feed struct {
	next  uint64 // sequence number expected next; 0 before the first event
	epoch uint32 // incremented at each gap, and by restartEpochStep at a restart
}

// NewCacheHints returns hints for about size prefixes.
func NewCacheHints(size int) *CacheHints {
	sets := max(size/ways, 1)
	return &CacheHints{slots: make([]slot, sets*ways), feeds: map[string]feed{}}
}

// Apply applies a page of an endpoint's cache events and skips those already applied.
// A gap in the sequence numbers lowers the trust in the endpoint's earlier hints.
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

// Stored records that the endpoint holds the given number of tokens of the prefix. An
// entry may also call it at the first token of its own requests, before the endpoint's
// event arrives.
func (h *CacheHints) Stored(now time.Time, zone, name string, prefix uint64, tokens int64) {
	if prefix == 0 || tokens <= 0 {
		return
	}
	s := h.findOrReplace(now, prefix)
	s.put(holder{zone: zone, name: name, tokens: tokens, at: now, epoch: h.feeds[name].epoch})
}

// Forget invalidates all hints of an endpoint that has restarted or was removed.
func (h *CacheHints) Forget(name string) {
	f := h.feeds[name]
	h.feeds[name] = feed{epoch: f.epoch + restartEpochStep}
}

// find returns the slot of a prefix, or nil if the table has none.
func (h *CacheHints) find(prefix uint64) *slot {
	set := h.set(prefix)
	for i := range set {
		if set[i].prefix == prefix {
			return &set[i]
		}
	}
	return nil
}

// findOrReplace returns the slot of a prefix and marks it as used. If there is none, it
// replaces the least recently used slot of the set.
func (h *CacheHints) findOrReplace(now time.Time, prefix uint64) *slot {
	s := h.find(prefix)
	if s == nil {
		s = leastRecentlyUsed(h.set(prefix))
		*s = slot{prefix: prefix}
	}
	s.used = now
	return s
}

// set returns the set of slots that may hold the prefix.
func (h *CacheHints) set(prefix uint64) []slot {
	sets := uint64(len(h.slots) / ways)
	first := mix64(prefix) % sets * ways
	return h.slots[first : first+ways]
}

// leastRecentlyUsed returns the slot of the set with the oldest use.
func leastRecentlyUsed(set []slot) *slot {
	oldest := &set[0]
	for i := range set {
		if set[i].used.Before(oldest.used) {
			oldest = &set[i]
		}
	}
	return oldest
}

// put stores a holder in place of the one with the same name, else in a free element,
// else in place of the holder confirmed longest ago.
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
	if s.held < maxHolders {
		oldest = s.held
		s.held++
	}
	s.holder[oldest] = stored
}

// evicted removes the endpoint from the holders of the prefix.
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

// expectedSaving returns the number of prompt tokens that a holder is expected not to
// prefill at the time now: fewer after each gap in the endpoint's events, and 0 once
// the hint is older than hintTTL.
func (h *CacheHints) expectedSaving(now time.Time, held *holder) float64 {
	if now.Sub(held.at) > hintTTL {
		return 0
	}
	trust := 1.0
	for range h.feeds[held.name].epoch - held.epoch {
		trust *= gapTrustFactor
		if trust < minTrust {
			return 0
		}
	}
	return trust * float64(held.tokens)
}
