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

// Slow reports whether an endpoint of the assignment was slow when its slowdown was last reported.
func (f *Fleet) Slow(now time.Time, a *Assignment) bool {
	for _, e := range append([]Endpoint{a.Primary}, a.Helpers...) {
		if m := f.members[e.Name]; m != nil && m.slow(now) {
			return true
		}
	}
	return false
}

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

// MayAskSlowdown returns an endpoint if this entry may ask it for its speed. One that names a limit, asks
// for a pause, is cold or leaves is not asked; nor is one that entries of another cell choose, or that
// another entry has found slow, which goes on to ask: foundHere is set if this one has.
func (f *Fleet) MayAskSlowdown(now time.Time, name string, foundHere bool) (Endpoint, bool) {
	m := f.members[name]
	if m == nil || m.elsewhere || m.slow(now) && !foundHere || m.limit.perSecond > 0 || m.Cold || m.leaves() || m.paused(now) || now.Before(m.distrustedUntil) {
		return Endpoint{}, false
	}
	return m.Endpoint, true
}
