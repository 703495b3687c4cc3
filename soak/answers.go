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
//   - its entry was stopped at most maxSentInStop before its last byte was sent, and an endpoint was still at
//     work on it when the last sixth of the grace time began;
//   - it was not sent to its last byte, and no endpoint ran it;
//   - it reached no endpoint and crossed the close of its connection, unread.
func (c *Checker) Unanswered(now time.Time, id, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.unanswered = true
	switch {
	case !r.sent.After(c.answersSuspended) || !now.After(c.answersSuspended) || r.Crashes:
	case slices.ContainsFunc(r.endpoints, func(endpoint string) bool { return c.ended[endpoint] }):
	case r.runs == 0 && (r.whole.IsZero() || now.Sub(r.whole) < closeRace || c.lastEnd.Add(c.bounds.Reconnect).After(r.sent)):
	case r.Deadline > 0 && now.Sub(r.sent) >= r.Deadline-deadlineMargin:
	case slices.ContainsFunc(c.stops[r.Entry], func(s plannedStop) bool { return s.mayCut(now, r) }):
	default:
		c.addFinding(now, PromiseAnswered, "request %s to %q ran at %d endpoints that run on, and entry %s %s %v after it was sent, %s",
			id, r.Path, r.runs, r.Entry, how, now.Sub(r.sent).Round(time.Millisecond), c.stopTimes(now, r))
	}
}

// EndpointEnded records that an incarnation of an endpoint has ended and broken off its answers.
func (c *Checker) EndpointEnded(now time.Time, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[endpoint], c.lastEnd = true, now
}
