package assign

import "time"

// minNamedRate is the lowest rate that an endpoint is held to, in requests per second.
// Answers are what ends a limit, so an endpoint that names less still gets a request now
// and then.
const minNamedRate = 0.1

// Limit is the request rate that an incarnation of an endpoint names in its answers.
type Limit struct {
	Endpoint    string
	Incarnation uint64
	// PerSecond is how many requests per second the endpoint takes from all entries
	// together. Zero means that it names no limit any more.
	PerSecond float64
	// Version rises with each change.
	Version uint64
}

// namedLimit is what is known of an endpoint's limit.
type namedLimit struct {
	perSecond float64
	version   uint64
	// knownSince is when this entry learned of the current limit.
	knownSince time.Time
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
		perSecond = max(perSecond, minNamedRate)
	} else {
		perSecond = 0
	}
	if perSecond == m.limit.perSecond {
		return Limit{}, false
	}
	m.limit = namedLimit{perSecond: perSecond, version: m.limit.version + 1, knownSince: now}
	return m.currentLimit(), true
}

// LimitedCount returns the number of endpoints that name a limit.
func (f *Fleet) LimitedCount() int {
	n := 0
	for _, m := range f.members {
		if m.limit.perSecond > 0 {
			n++
		}
	}
	return n
}

// currentLimit returns the limit of the endpoint's current incarnation.
func (m *member) currentLimit() Limit {
	return Limit{Endpoint: m.Name, Incarnation: m.Incarnation, PerSecond: m.limit.perSecond, Version: m.limit.version}
}
