package soak

import (
	"slices"
	"time"
)

const (
	// closeRace is the time within which a request may cross the close of its connection.
	closeRace = 200 * time.Millisecond
	// deadlineMargin is how much sooner the deadline passes at an entry than at its caller.
	deadlineMargin = 100 * time.Millisecond
)

// plannedStop is a SIGTERM and the grace time that follows it.
type plannedStop struct {
	at    time.Time
	grace time.Duration
}

// cutsAt reports whether a process may cut its requests, in the last sixth of its grace time or because
// it has ended.
func (s plannedStop) cutsAt(now time.Time) bool {
	return !now.Before(s.at.Add(s.grace*5/6)) && now.Before(s.at.Add(s.grace+time.Second))
}

// Unanswered records that a completely sent request ended with neither an answer nor a refusal: its
// connection was closed, or its entry answered that the endpoints failed. Endpoints that fall silent
// and go on, planned stops, and changes of settings and configurations are no reason for that, so that
// it is a finding. A request is excused if
//   - an unplanned fault applied between its sending and its end, or Bounds.Reconnect before, as links
//     and entries that fail, and endpoints that truncate, reset or fail, break answers off;
//   - an endpoint that ran it has ended, or, if none ran it, one ended at most Bounds.Reconnect before
//     it was sent, so that it may have been on its way there;
//   - it crashes endpoints, which end helpers in place of the endpoint that ran it;
//   - its deadline has passed;
//   - its entry was stopped, and the last sixth of the grace time has begun;
//   - it reached no endpoint and crossed the close of its connection, unread.
func (c *Checker) Unanswered(now time.Time, id, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	switch {
	case !r.sent.After(c.answersSuspended) || !now.After(c.answersSuspended) || r.Crashes:
	case slices.ContainsFunc(r.endpoints, func(endpoint string) bool { return c.ended[endpoint] }):
	case r.runs == 0 && (now.Sub(r.sent) < closeRace || c.lastEnd.Add(c.bounds.Reconnect).After(r.sent)):
	case r.Deadline > 0 && now.Sub(r.sent) >= r.Deadline-deadlineMargin:
	case slices.ContainsFunc(c.stops[r.Entry], func(s plannedStop) bool { return s.cutsAt(now) }):
	default:
		c.addFinding(now, PromiseAnswered, "request %s to %q ran at %d endpoints that run on, and entry %s %s %v after it was sent",
			id, r.Path, r.runs, r.Entry, how, now.Sub(r.sent).Round(time.Millisecond))
	}
}

// Stopping records a planned stop of an entry.
func (c *Checker) Stopping(now time.Time, entry string, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[entry] = append(c.stops[entry], plannedStop{now, grace})
}

// EndpointEnded records that an incarnation of an endpoint has ended and broken off its answers.
func (c *Checker) EndpointEnded(now time.Time, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[endpoint], c.lastEnd = true, now
}
