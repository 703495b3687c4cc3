package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/queue"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// returnFraction is the longest Retry-After as a fraction of the time that a caller has left. Callers
	// that are sent away for longer do not return in time for an answer.
	returnFraction = 1.0 / 3
	// minReturnFraction is the shortest Retry-After in an overload as a fraction of the longest one. Callers that
	// return early meet the overload again, and those that return at the same time make the next one.
	minReturnFraction = 0.6
	// overloadWait is how long a request with a short prompt waits in an overload. Waiting serves no more
	// requests then, because slots are what lacks; it only lets this entry use the slots that its turn to claim
	// them makes available. By calculation, three turns leave about 1 slot in 40 unused at 1.4 times what fits.
	overloadWait = 2 * assign.ClaimSlot
	// overloadTargets is how long an overload lasts after the last request that waited in vain, in targets. With 1,
	// it ended again and again at 1.1 times what fits, and half of the refused callers had waited for up to 0.1 s.
	overloadTargets = 2
)

// overload tells whether a service gets more short prompts than fit.
type overload struct {
	// waitingSince is since when requests have waited without a break; zero if none waits.
	waitingSince time.Time
	// until is when the overload counts as over, unless a request waits in vain before.
	until time.Time
}

// observe records how many requests wait at now, whose callers want an answer within target.
func (o *overload) observe(now time.Time, waiting int, target time.Duration) {
	switch {
	case waiting == 0:
		o.waitingSince = time.Time{}
		return
	case o.waitingSince.IsZero():
		o.waitingSince = now
	}
	// A request without a target says nothing about the others, and does not end an overload.
	if target > 0 && now.Sub(o.waitingSince) >= target {
		o.extend(now, target)
	}
}

// extend has the overload last until no request has waited in vain for some targets.
func (o *overload) extend(now time.Time, target time.Duration) {
	o.until = now.Add(overloadTargets * target)
}

// lasts reports whether there is an overload at now.
func (o *overload) lasts(now time.Time) bool { return now.Before(o.until) }

// Overloaded reports whether a service gets more short prompts than fit.
func (s *Scheduler) Overloaded(now time.Time, service string) bool {
	q, ok := s.services[service]
	return ok && q.overload.lasts(now)
}

// contended reports whether other entries are likely to want the same slots as a request. All entries know
// the bookings of one another, and so find the endpoints nearly full at the same time.
func (s *Scheduler) contended(now time.Time, r *Request) bool {
	return r.Class() == route.Short && r.target() > 0 && s.fleet.NearlyFull(now, r.Request)
}

// refuseLate refuses the waiting requests with short prompts that will not be served, in an overload:
// requests have waited for slots without a break for the time in which their callers want an answer. What is served
// late takes a slot that a request in time needs, here or at another entry, so that soon all are
// late, and the queue stands at the longest wait that callers bear. After a shorter disturbance the queue
// empties by itself, and late requests are served.
//
// Load pattern: short prompts at up to 2.5 times what fits while an availability zone is out.
func (s *Scheduler) refuseLate(now time.Time, q *queues) {
	first, ok := q.short.Next(now)
	if !ok || !s.fleet.NearlyFull(now, requestOf(&first).Request) {
		// Requests that wait for something else than a slot, such as the end of a long prefill, may be served soon.
		q.overload.observe(now, 0, 0)
		return
	}
	q.overload.observe(now, q.short.Len(), requestOf(&first).target())
	if !q.overload.lasts(now) {
		return
	}
	q.short.RemoveIf(func(i *queue.Item) bool {
		r := requestOf(i)
		if r.Begun || r.target() == 0 || now.Sub(r.Arrived) < r.overloadWait() {
			return false
		}
		q.overload.extend(now, r.target())
		s.refuse(r, verdict.Refuse(verdict.ReasonOverloaded, r.returnAfter(now), "%s gets more requests than fit", r.Service))
		return true
	})
	q.noteEmpty()
}

// noteEmpty records that no short prompt waits any more. The next call may come only when another one waits.
func (q *queues) noteEmpty() {
	if q.short.Len() == 0 {
		q.overload.waitingSince = time.Time{}
	}
}

// overloadWait is how long the request waits in an overload before it is refused. One that is to look for room in
// other cells does so first, if that can still be in time.
func (r *Request) overloadWait() time.Duration {
	if r.YieldAt.IsZero() {
		return overloadWait
	}
	return max(overloadWait, r.target())
}

// target is the time in which the caller wants the answer to begin; zero if that is not known.
func (r *Request) target() time.Duration {
	if r.Due.IsZero() || r.Engine == nil {
		return 0
	}
	return r.Due.Sub(r.Arrived)
}

// returnAfter returns the Retry-After of a request that is refused in an overload. It is drawn, so that the
// callers that are refused together do not return together.
func (r *Request) returnAfter(now time.Time) time.Duration {
	if r.Deadline.IsZero() {
		return busyRetryAfter
	}
	longest := max(0, time.Duration(returnFraction*float64(r.Deadline.Sub(now))))
	return time.Duration((minReturnFraction + (1-minReturnFraction)*rand.Float64()) * float64(longest))
}
