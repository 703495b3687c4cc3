package assign

import "time"

const (
	// slowFactor is the slowdown from which an engine counts as slow.
	slowFactor = 1.5
	// slowdownValidity is for how long a reported slowdown counts.
	slowdownValidity = 3 * time.Second
)

// Slowdown is the time that an incarnation of an endpoint takes for its work, as a multiple of the
// usual time.
type Slowdown struct {
	Endpoint    string
	Incarnation uint64
	Factor      float64
}

// Slow reports whether the endpoint counts as slow.
func (s Slowdown) Slow() bool { return s.Factor >= slowFactor }

// ObserveSlowdown records the slowdown of an endpoint, and reports whether it is slow now and was not
// before, or the reverse.
func (f *Fleet) ObserveSlowdown(now time.Time, s Slowdown) (changed bool) {
	m := f.members[s.Endpoint]
	if m == nil || m.Incarnation != s.Incarnation {
		return false
	}
	was := m.slow(now)
	if s.Slow() {
		m.slowUntil = now.Add(slowdownValidity)
	} else {
		m.slowUntil = time.Time{}
	}
	return was != s.Slow()
}

// slow reports whether the endpoint was slow when its slowdown was last reported.
func (m *member) slow(now time.Time) bool { return now.Before(m.slowUntil) }

// avoidsSlow reports whether slow endpoints are left out of a choice. Where most are slow, the
// others would get the load of all.
func avoidsSlow(now time.Time, all []*member) bool {
	slow := 0
	for _, m := range all {
		if m.slow(now) {
			slow++
		}
	}
	return 2*slow <= len(all)
}

// SlowdownChecks returns the endpoints of a service whose slowdown the entry at addr is to ask for, and
// of which the others learn it from this one. An endpoint that names a limit, asks for a pause, is
// cold or leaves is not asked.
func (f *Fleet) SlowdownChecks(now time.Time, service string, entries []string, addr string) []Endpoint {
	var out []Endpoint
	for _, m := range f.choicesOf(service) {
		if m.limit.perSecond > 0 || m.Cold || m.leaves() || m.paused(now) || now.Before(m.distrustedUntil) {
			continue
		}
		if len(entries) <= 1 || rendezvous(entries, m.Name) == addr {
			out = append(out, m.Endpoint)
		}
	}
	return out
}
