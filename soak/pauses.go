package soak

import "time"

const (
	// pauseNotice is the time after an answer that asks for a pause within which requests may still be
	// on their way, and maxInPause the number of requests that may come after it.
	pauseNotice = 500 * time.Millisecond
	maxInPause  = 2
)

// Pauses compares the requests that an endpoint gets from each entry with the pauses that it asked that
// entry for. It has no lock.
type Pauses struct {
	entries map[string]*askedPause
}

// askedPause is the pause that the endpoint asked one entry for.
type askedPause struct {
	from, until time.Time
	arrived     int
}

// Asked records an answer to an entry that asks for a pause.
func (p *Pauses) Asked(now time.Time, entry string, span time.Duration) {
	if p.entries == nil {
		p.entries = map[string]*askedPause{}
	}
	until := now.Add(span)
	if a := p.entries[entry]; a != nil && a.until.After(now) {
		if until.After(a.until) {
			a.until = until
		}
		return
	}
	p.entries[entry] = &askedPause{from: now.Add(pauseNotice), until: until}
}

// Arrived records a request of an entry. It returns the number of requests that have come from it in its
// pause, and whether they are too many.
func (p *Pauses) Arrived(now time.Time, entry string) (n int, excess bool) {
	a := p.entries[entry]
	if a == nil || now.Before(a.from) || !now.Before(a.until) {
		return 0, false
	}
	a.arrived++
	return a.arrived, a.arrived > maxInPause
}
