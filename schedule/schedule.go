// Package schedule decides which requests wait for endpoints, which go next, which are refused while they
// wait, and when callers that are refused return. It puts the queues of package queue before the
// choice of endpoints of package assign. It does no I/O, reads no clock and starts no goroutine; the
// caller serialises the calls, together with those to the fleet.
//
// The load that it is made for is more than the endpoints can do: short prompts at twice their rate while
// an availability zone is out, bursts of long prompts beside streams, and endpoints whose limits leave
// room for a few requests only.
package schedule

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/queue"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// longProbes is how many waiting long prompts are tried at once. The first ones may wait for
	// larger groups than are free.
	longProbes = 32
	// limitWaitFactor is the longest wait for the limits of endpoints, as a multiple of the
	// forecast.
	limitWaitFactor = 2
	// busyRetryAfter is the Retry-After of a request that is to be refused rather than wait.
	busyRetryAfter = 300 * time.Millisecond
)

// Request is a request that needs endpoints.
type Request struct {
	*assign.Request
	// Owner is the entry that received the request, "" for this one, and BookingID the ID of the booking
	// there.
	Owner     string
	BookingID uint64
	Account   string
	// Arrived is when the request arrived, StartBy when it has to be dispatched to meet its latency target
	// by what was known then, and GiveUpAt when it stops waiting.
	Arrived, StartBy, GiveUpAt time.Time
	// Deadline is when the caller stops waiting for the answer; zero if that is not known.
	Deadline time.Time
	// Begun is set for the rest of a stream that has begun, which can only break off if it is refused.
	Begun bool
	// Immediate is set for a request that is to be refused if it would wait or find only crowded
	// endpoints.
	Immediate bool
	// YieldAt is when the request leaves the queue to look for room in other cells; zero means
	// that it does not.
	YieldAt time.Time
	// Value belongs to the caller of this package.
	Value any

	// queueID identifies the request in its queue.
	queueID uint64
}

// Class returns the length class of the request.
func (r *Request) Class() route.Class { return ClassOf(r.Request) }

// ClassOf returns the length class of a request. A prompt that one endpoint prefills alone is short,
// whatever its number of tokens.
func ClassOf(r *assign.Request) route.Class {
	if r.Engine == nil || r.Short() {
		return route.Short
	}
	return max(route.Medium, route.ClassOf(r.PromptTokens))
}

// Outcome is the end of the wait of a request: an assignment that is booked in the fleet, or a refusal.
type Outcome struct {
	Request    *Request
	Assignment *assign.Assignment
	Err        error
}

// Scheduler holds the waiting requests of all services.
type Scheduler struct {
	fleet       *assign.Fleet
	services    map[string]*queues
	lastQueueID uint64
	// outcomes are those of the call under way.
	outcomes []Outcome
}

// queues hold the requests that wait for endpoints of one service. Short and long prompts use different
// endpoints and do not wait for one another.
type queues struct {
	short, long *queue.EDF
	overload    overload
}

// New returns a scheduler that books in the fleet.
func New(fleet *assign.Fleet) *Scheduler {
	return &Scheduler{fleet: fleet, services: map[string]*queues{}}
}

func newQueues() *queues {
	long := queue.DefaultSettings()
	long.Probes = longProbes
	return &queues{short: queue.NewEDF(queue.DefaultSettings()), long: queue.NewEDF(long)}
}

// of returns the queues of a service.
func (s *Scheduler) of(service string) *queues {
	q, ok := s.services[service]
	if !ok {
		q = newQueues()
		s.services[service] = q
	}
	return q
}

// forRequest returns the queue for a request by its length class.
func (q *queues) forRequest(r *Request) *queue.EDF {
	if r.Class() == route.Short {
		return q.short
	}
	return q.long
}

// Len returns how many requests wait for a service, with short and with long prompts.
func (s *Scheduler) Len(service string) (short, long int) {
	q, ok := s.services[service]
	if !ok {
		return 0, 0
	}
	return q.short.Len(), q.long.Len()
}

// WaitingWith returns how many requests wait in the queue of a request.
func (s *Scheduler) WaitingWith(r *Request) int { return s.of(r.Service).forRequest(r).Len() }

// Waiting returns how many requests wait in all.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, q := range s.services {
		n += q.short.Len() + q.long.Len()
	}
	return n
}

// Offer places a request at once, refuses it, or lets it wait. It returns what has become of it and of
// others; a request without an outcome waits.
func (s *Scheduler) Offer(now time.Time, r *Request) []Outcome {
	s.offer(now, r)
	return s.takeOutcomes()
}

// Poll refuses waiting requests whose time is over and places those that find endpoints.
func (s *Scheduler) Poll(now time.Time) []Outcome {
	for service, q := range s.services {
		s.placeWaiting(now, service, q)
	}
	return s.takeOutcomes()
}

// Withdraw removes a request that waits. It does nothing for another one.
func (s *Scheduler) Withdraw(r *Request) {
	q := s.of(r.Service)
	q.forRequest(r).Remove(r.queueID)
	q.noteEmpty()
}

// takeOutcomes returns the outcomes of the call under way.
func (s *Scheduler) takeOutcomes() []Outcome {
	out := s.outcomes
	s.outcomes = nil
	return out
}

func (s *Scheduler) refuse(r *Request, err error) {
	s.outcomes = append(s.outcomes, Outcome{Request: r, Err: err})
}

func (s *Scheduler) place(now time.Time, r *Request, a *assign.Assignment) {
	s.fleet.Place(now, r.Owner, r.BookingID, &a.Booking)
	s.outcomes = append(s.outcomes, Outcome{Request: r, Assignment: a})
}

// offer is Offer; the outcomes are in s.outcomes.
func (s *Scheduler) offer(now time.Time, r *Request) {
	queues := s.of(r.Service)
	q := queues.forRequest(r)
	r.Waited, r.Alone, r.Contended = now.Sub(r.Arrived), q.Len() == 0, s.contended(now, r)
	a, err := s.fleet.Choose(now, r.Request)
	if err == nil && r.Immediate && (a.Crowded || q.Len() > 0) {
		err = verdict.Refuse(verdict.ReasonOverloaded, busyRetryAfter, "the endpoints of %s have no room now", r.Service)
	}
	switch {
	case err != nil && r.Immediate:
		s.refuse(r, err)
		return
	case err == nil && q.Len() == 0:
		s.place(now, r, a)
		return
	case err != nil && !MayClear(verdict.From(err).Reason):
		s.refuse(r, err)
		return
	}
	wait := s.fleet.LimitWait(now, r.Request, q.Len())
	if now.Add(wait).After(r.GiveUpAt) && wait > 0 {
		s.refuse(r, refuseLimited(r, wait))
		return
	}
	s.lastQueueID++
	r.queueID = s.lastQueueID
	err = q.Push(now, queue.Item{
		ID: r.queueID, Account: r.Account, Class: r.Class(), Tokens: max(1, r.PromptTokens+r.OutputTokens),
		StartBy: r.StartBy, ExpiresAt: r.waitUntil(now, wait), Value: r,
	})
	if err != nil {
		s.refuse(r, err)
		return
	}
	s.placeWaiting(now, r.Service, queues)
}

// MayClear reports whether a refusal is due to a lack of capacity, which may end while the request waits.
func MayClear(r verdict.Reason) bool {
	return r == verdict.ReasonOverloaded || r == verdict.ReasonEndpointMemory
}

// expiry returns when a waiting request gives up, if it is forecast to wait for the limits of
// endpoints for limitWait; zero means that it waits for something else. A request that others
// overtake for much longer than forecast will not be served in time either. It waits for at
// least half of its time, because a forecast may be short.
func (r *Request) expiry(now time.Time, limitWait time.Duration) time.Time {
	at := now.Add(max(limitWaitFactor*limitWait, r.GiveUpAt.Sub(now)/2))
	if at.Before(r.StartBy) {
		at = r.StartBy
	}
	if limitWait == 0 || at.After(r.GiveUpAt) {
		return r.GiveUpAt
	}
	return at
}

// waitUntil returns when a waiting request leaves the queue, to give up or to look elsewhere.
func (r *Request) waitUntil(now time.Time, limitWait time.Duration) time.Time {
	at := r.expiry(now, limitWait)
	if !r.YieldAt.IsZero() && r.YieldAt.Before(at) {
		return r.YieldAt
	}
	return at
}

// refuseLimited returns the refusal for a request that the limits of all endpoints allow only
// after a wait.
func refuseLimited(r *Request, wait time.Duration) error {
	return verdict.Refuse(verdict.ReasonOverloaded, wait, "the limits and pauses of all endpoints of %s allow the request in %v", r.Service, wait)
}

// placeWaiting refuses the requests of one service that wait in vain and places those that fit.
func (s *Scheduler) placeWaiting(now time.Time, service string, q *queues) {
	s.expire(now, q.short)
	s.expire(now, q.long)
	s.rescheduleLong(now, q.long)
	for placed := true; placed; {
		first, second := q.short, q.long
		// Where endpoints name limits, both classes use the same few requests.
		if q.longGoesFirst(now) && s.fleet.NamesLimits(service) {
			first, second = second, first
		}
		placed = s.placeNext(now, first) || s.placeNext(now, second)
	}
	s.refuseLate(now, q)
}

// rescheduleLong computes anew when the long prompts of a queue have to start, by the number of endpoints
// that read long prompts now. A forecast with more endpoints would serve prompts that are certain to be late
// before those that can be in time.
func (s *Scheduler) rescheduleLong(now time.Time, q *queue.EDF) {
	next, ok := q.Next(now)
	if !ok {
		return
	}
	readers := s.fleet.Readers(now, requestOf(&next).Request)
	q.Reschedule(func(i *queue.Item) time.Time {
		r := requestOf(i)
		if r.Due.IsZero() {
			return r.StartBy
		}
		return r.Request.StartBy(readers)
	})
}

// requestOf returns the request of a queue's item.
func requestOf(i *queue.Item) *Request { return i.Value.(*Request) }

// longGoesFirst reports whether the next long prompt is to be served before the next short one.
func (q *queues) longGoesFirst(now time.Time) bool {
	long, ok := q.long.Next(now)
	short, both := q.short.Next(now)
	return ok && both && long.Before(now, &short)
}

// expire refuses the expired requests of one queue.
func (s *Scheduler) expire(now time.Time, q *queue.EDF) {
	for _, dropped := range q.Expire(now, nil) {
		r := requestOf(&dropped.Item)
		var err error = dropped.Refusal
		if wait := s.fleet.LimitWait(now, r.Request, q.Len()); wait > 0 {
			err = refuseLimited(r, wait)
		}
		s.refuse(r, err)
	}
}

// placeNext places the next request of one queue that fits, and reports whether there was one.
func (s *Scheduler) placeNext(now time.Time, q *queue.EDF) bool {
	if q.Len() == 0 {
		return false
	}
	var a *assign.Assignment
	var holdback assign.Holdback
	item, ok := q.Pop(now, func(i *queue.Item) bool {
		var err error
		r := requestOf(i)
		if !holdback.Allows(r.Request) {
			return false
		}
		r.Waited, r.Alone, r.Contended = now.Sub(r.Arrived), q.Len() == 1, s.contended(now, r)
		a, err = s.fleet.Choose(now, r.Request)
		if err != nil {
			holdback.Missed(now, r.Request, i.StartBy)
		}
		return err == nil
	})
	if !ok {
		return false
	}
	s.place(now, requestOf(&item), a)
	return true
}
