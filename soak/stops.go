package soak

import (
	"fmt"
	"time"
)

// maxSentInStop is how long after a SIGTERM a request may be sent to its last byte so that its entry may cut it
// at the end of the grace time.
const maxSentInStop = 3 * time.Second

// plannedStop is a SIGTERM and the grace time that follows it.
type plannedStop struct {
	at    time.Time
	grace time.Duration
}

// mayCut reports whether the stopping process may have cut a request at the time now, in the last sixth of
// its grace time or because it has ended.
func (s plannedStop) mayCut(now time.Time, r *trackedRequest) bool {
	lastSixth := s.at.Add(s.grace * 5 / 6)
	atWork := r.working > 0 || r.runs > 0 && !r.workEnded.Before(lastSixth)
	return !now.Before(lastSixth) && now.Before(s.at.Add(s.grace+time.Second)) &&
		atWork && !r.whole.After(s.at.Add(maxSentInStop))
}

// Stopping records a planned stop of an entry.
func (c *Checker) Stopping(now time.Time, entry string, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[entry] = append(c.stops[entry], plannedStop{now, grace})
}

// Whole records when the last byte of a late request was sent.
func (c *Checker) Whole(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].whole = now
}

// WorkEnded records that an endpoint is no longer at work on a request that it ran.
func (c *Checker) WorkEnded(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		r.working--
		r.workEnded = now
	}
}

// stopTimes describes a request whose entry was stopped before now, for a finding. The caller holds mu.
func (c *Checker) stopTimes(now time.Time, r *trackedRequest) string {
	stops := c.stops[r.Entry]
	if len(stops) == 0 {
		return "not in a stop"
	}
	last := stops[len(stops)-1].at
	since := func(t time.Time) time.Duration { return t.Sub(last).Round(time.Millisecond) }
	work := "no endpoint ended its work"
	if !r.workEnded.IsZero() {
		work = fmt.Sprint("an endpoint ended its work at ", since(r.workEnded))
	}
	return fmt.Sprintf("%v after the last SIGTERM; its last byte was sent at %v, %d endpoints are at work, %s", since(now), since(r.whole), r.working, work)
}
