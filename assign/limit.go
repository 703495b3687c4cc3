package assign

import "time"

// maxUnplacedLimits bounds the limits of incarnations that the fleet does not know yet.
const maxUnplacedLimits = 1024

// Limit is what an incarnation of an endpoint says in its answers of the requests that it takes.
type Limit struct {
	Endpoint    string
	Incarnation uint64
	// PerSecond is how many requests per second the endpoint takes from all entries
	// together. Zero means that it names no limit any more.
	PerSecond float64
	// Version rises with each change of the rate. Of two entries that find different limits at
	// the same version, the lower limit counts.
	Version uint64
	// Leaving is set once the incarnation has said that it leaves. It stays set.
	Leaving bool
}

// namedLimit is what is known of an endpoint's limit.
type namedLimit struct {
	perSecond float64
	version   uint64
	// knownSince is when this entry learned of the current limit.
	knownSince time.Time
	// leaving is Limit.Leaving.
	leaving bool
}

// leaves reports whether the endpoint leaves, by its registration or by its own answers. An older
// registration, or an answer without the word, does not end it.
func (m *member) leaves() bool { return m.Leaving || m.limit.leaving }

// leavesByList reports whether a list said that the incarnation leaves. An endpoint that names no incarnation
// may become available again.
func (m *member) leavesByList() bool { return m.Leaving && m.Incarnation != 0 }

// ObserveLeaving records that an answer of an endpoint, to a request that was sent at a time, says that it
// leaves. The result is what to tell the other entries, if this is new.
func (f *Fleet) ObserveLeaving(sent time.Time, endpoint string, incarnation uint64) (Limit, bool) {
	m := f.members[endpoint]
	// An answer that was asked for before the incarnation was known may be that of an earlier one.
	if m == nil || m.Incarnation != incarnation || m.limit.leaving || sent.Before(m.LearnedAt) {
		return Limit{}, false
	}
	m.limit.leaving = true
	return m.currentLimit(), true
}

// ObserveLimit records the limit that an answer of an endpoint names; perSecond is
// negative if it names none. The argument sent is when the request was sent. Answers
// overtake one another, so one to a request from before the current limit was known
// changes nothing. The result is the new limit if it has changed.
func (f *Fleet) ObserveLimit(now, sent time.Time, endpoint string, incarnation uint64, perSecond float64) (Limit, bool) {
	m := f.members[endpoint]
	if m == nil || m.Incarnation != incarnation || !sent.After(m.limit.knownSince) {
		return Limit{}, false
	}
	if perSecond >= 0 {
		perSecond = heldRate(perSecond)
	} else {
		perSecond = 0
	}
	if perSecond == m.limit.perSecond {
		return Limit{}, false
	}
	m.setLimit(now, perSecond, m.limit.version+1)
	return m.currentLimit(), true
}

// MergeLimit records a limit that another entry has learned of, and reports whether it
// replaces the one that was known.
func (f *Fleet) MergeLimit(now time.Time, l Limit) bool {
	m := f.members[l.Endpoint]
	if m == nil || m.Incarnation < l.Incarnation {
		f.keepUnplaced(l)
		return false
	}
	if m.Incarnation != l.Incarnation {
		return false
	}
	changed := l.Leaving && !m.limit.leaving
	m.limit.leaving = m.limit.leaving || l.Leaving
	if l.replaces(m.limit) {
		m.setLimit(now, l.PerSecond, l.Version)
		changed = true
	}
	return changed
}

// keepUnplaced keeps the limit of an incarnation that the fleet does not know yet.
func (f *Fleet) keepUnplaced(l Limit) {
	known, ok := f.unplacedLimits[l.Endpoint]
	if ok && known.Incarnation > l.Incarnation {
		return
	}
	if !ok && len(f.unplacedLimits) >= maxUnplacedLimits {
		clear(f.unplacedLimits)
	}
	if known.Incarnation == l.Incarnation {
		l.Leaving = l.Leaving || known.Leaving
		if !l.replaces(namedLimit{perSecond: known.PerSecond, version: known.Version}) {
			l.PerSecond, l.Version = known.PerSecond, known.Version
		}
	}
	f.unplacedLimits[l.Endpoint] = l
}

// placeLimit gives a new incarnation of an endpoint the limit that other entries have sent.
func (f *Fleet) placeLimit(m *member) {
	l, ok := f.unplacedLimits[m.Name]
	if ok && l.Incarnation <= m.Incarnation {
		delete(f.unplacedLimits, m.Name)
	}
	if ok && l.Incarnation == m.Incarnation {
		m.limit = namedLimit{perSecond: l.PerSecond, version: l.Version, leaving: l.Leaving}
	}
}

// Limits returns the limits of all endpoints that name one, have ended one, or say that they leave.
func (f *Fleet) Limits() []Limit {
	var out []Limit
	for _, m := range f.members {
		if m.limit.version > 0 || m.limit.leaving {
			out = append(out, m.currentLimit())
		}
	}
	return out
}

// replaces reports whether l is newer than the limit that is known.
func (l Limit) replaces(known namedLimit) bool {
	if l.Version != known.version {
		return l.Version > known.version
	}
	return l.PerSecond > 0 && (known.perSecond == 0 || l.PerSecond < known.perSecond)
}

// setLimit replaces the limit. A higher limit does not wait for what a lower one allowed.
func (m *member) setLimit(now time.Time, perSecond float64, version uint64) {
	m.limit = namedLimit{perSecond: perSecond, version: version, knownSince: now, leaving: m.limit.leaving}
	if rate := m.rate(); rate > 0 {
		m.pace.next = earlier(m.pace.next, now.Add(interval(rate)))
	}
}

// NamesLimits reports whether endpoints of a service name limits.
func (f *Fleet) NamesLimits(service string) bool {
	for _, m := range f.members {
		if m.Service == service && m.limit.perSecond > 0 {
			return true
		}
	}
	return false
}

// currentLimit returns the limit of the endpoint's current incarnation.
func (m *member) currentLimit() Limit {
	return Limit{Endpoint: m.Name, Incarnation: m.Incarnation, PerSecond: m.limit.perSecond, Version: m.limit.version, Leaving: m.limit.leaving}
}
