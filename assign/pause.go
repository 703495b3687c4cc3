package assign

import (
	"slices"
	"time"
)

const (
	// maxPause is the longest pause that is kept. An endpoint that asks for more gets a request after it,
	// and can ask again.
	maxPause = 10 * time.Minute
	// trialWait is the forecast while the first request after a pause is under way.
	trialWait = 50 * time.Millisecond
)

// pause is the time for which an endpoint wants no request from this entry. It belongs to the
// incarnation, and other entries have pauses of their own.
type pause struct {
	until time.Time
	// trial is set from the beginning of a pause until an endpoint has answered a request after
	// it. One request goes first, so that the end of a pause is no burst.
	trial bool
}

// ObservePause records that an endpoint asked for a pause in an answer. A pause replaces a shorter one;
// an answer that asks for less changes nothing. The result is the time until which the pause
// lasts, and whether it is new.
func (f *Fleet) ObservePause(now, sent time.Time, endpoint string, incarnation uint64, span time.Duration) (until time.Time, changed bool) {
	m := f.members[endpoint]
	if m == nil || m.Incarnation != incarnation || sent.Before(m.LearnedAt) {
		return time.Time{}, false
	}
	until = now.Add(min(span, maxPause))
	if !until.After(m.pause.until) {
		return m.pause.until, false
	}
	m.pause = pause{until: until, trial: true}
	return until, true
}

// paused reports whether the endpoint wants no request from this entry now.
func (m *member) paused(now time.Time) bool { return now.Before(m.pause.until) }

// pauseWait returns how long this entry has to wait for the end of a pause, or for the first answer after
// it.
func (f *Fleet) pauseWait(now time.Time, m *member) time.Duration {
	switch {
	case m.paused(now):
		return m.pause.until.Sub(now)
	case m.pause.trial && f.sendsTo(m.Name):
		return trialWait
	}
	return 0
}

// sendsTo reports whether a request of this entry is at an endpoint.
func (f *Fleet) sendsTo(endpoint string) bool {
	for key, b := range f.bookings {
		if key.owner == "" && (b.Primary.Endpoint == endpoint || slices.ContainsFunc(b.Helpers, func(p Part) bool { return p.Endpoint == endpoint })) {
			return true
		}
	}
	return false
}

// sendWait returns how long a request has to wait before the endpoint may get it: for the rates of
// the endpoint and, if this entry sends it, for its pauses.
func (f *Fleet) sendWait(now time.Time, m *member, r *Request) time.Duration {
	wait := f.rateWait(now, m, r)
	if !r.ForPeer {
		wait = max(wait, f.pauseWait(now, m))
	}
	return wait
}
