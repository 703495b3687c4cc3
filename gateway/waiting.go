package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/queue"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// drainInterval is how often waiting requests are looked at when nothing else
	// happens: endpoints get on with their reading meanwhile.
	drainInterval = 10 * time.Millisecond
	// waitPart is the part of its caller's time that a request waits at most.
	waitPart = 0.5
	// leavePart is the part of the time after which callers leave a silent stream that a
	// request waits at most: one that is refused before can come back.
	leavePart = 0.6
)

// queues are the requests that wait for endpoints of one service. Short prompts and long
// ones use different endpoints, and do not wait for one another.
type queues struct {
	short, long queue.Queue
}

func newQueues() *queues {
	return &queues{short: queue.NewEDF(queue.DefaultSettings()), long: queue.NewEDF(queue.DefaultSettings())}
}

// of returns the queue of a request.
func (q *queues) of(r *assign.Request) queue.Queue {
	if classOf(r) == route.Short {
		return q.short
	}
	return q.long
}

// placement is an assignment that is booked.
type placement struct {
	*assign.Assignment
	g  *Gateway
	id uint64
}

// waiter is a request that wants endpoints.
type waiter struct {
	want *assign.Request
	// owner is the entry that asks, "" for this one, and booking its number there.
	owner   string
	booking uint64
	account string
	// since is when the request came, startBy when it has to start to be in time, and
	// giveUp when it stops waiting.
	since, startBy, giveUp time.Time
	// queued is its number in the queue.
	queued uint64
	// result has one place and gets one outcome.
	result chan outcome
}

// outcome ends a wait.
type outcome struct {
	assignment *assign.Assignment
	err        error
}

// newWaiter returns the call's wish for endpoints.
func (c *call) newWaiter() *waiter {
	return &waiter{
		want: &c.want, booking: c.g.bookings.number(), account: c.account, since: c.started, startBy: c.startBy(),
		giveUp: c.started.Add(c.longestWait()), result: make(chan outcome, 1),
	}
}

// longestWait is how long the call may wait for endpoints.
func (c *call) longestWait() time.Duration {
	wait := time.Duration(waitPart * float64(c.end.Sub(c.started)))
	if c.route.AbandonAfter > 0 {
		wait = min(wait, time.Duration(leavePart*float64(c.route.AbandonAfter)))
	}
	return wait
}

// startBy is when the call has to be sent to be answered in the time that its caller
// wants, if endpoints are idle.
func (c *call) startBy() time.Time {
	at := c.started.Add(c.route.LatencyTarget)
	if c.service.Engine != nil {
		at = at.Add(-c.service.Engine.TimeToFirstToken(c.PromptTokens, 1+assign.MaxHelpers))
	}
	return at
}

// place chooses endpoints for the call and books them, after waiting for its turn.
func (g *Gateway) place(ctx context.Context, c *call) (*placement, error) {
	w := c.newWaiter()
	if classOf(w.want) != route.Short {
		if p, err := g.placeAtPeer(ctx, w); p != nil || err != nil {
			return p, err
		}
	}
	a, err := g.wait(ctx, w)
	if err != nil {
		return nil, err
	}
	g.bookings.begin(w.booking, &a.Booking)
	return &placement{Assignment: a, g: g, id: w.booking}, nil
}

// wait returns the endpoints for the request once they are booked here.
func (g *Gateway) wait(ctx context.Context, w *waiter) (*assign.Assignment, error) {
	g.enter(w)
	select {
	case o := <-w.result:
		return o.assignment, o.err
	case <-ctx.Done():
		return nil, g.leave(ctx, w)
	}
}

// enter places the request at once, refuses it, or gives it a place in the queue.
func (g *Gateway) enter(w *waiter) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(w.want.Service).of(w.want)
	w.want.Waited = now.Sub(w.since)
	a, err := g.fleet.Choose(now, w.want)
	switch {
	case err == nil && q.Len() == 0:
		g.fleet.Book(now, w.owner, w.booking, &a.Booking)
		w.result <- outcome{assignment: a}
		return
	case err != nil && !worthWaiting(verdict.From(err).Reason):
		w.result <- outcome{err: err}
		return
	}
	g.nextID++
	w.queued = g.nextID
	err = q.Push(now, queue.Item{
		ID: w.queued, Account: w.account, Class: classOf(w.want), Tokens: max(1, w.want.PromptTokens+w.want.OutputTokens),
		StartBy: w.startBy, ExpiresAt: w.giveUp, Value: w,
	})
	if err != nil {
		w.result <- outcome{err: err}
		return
	}
	g.drainQueue(now, q)
}

// classOf returns the length class of a request: one that an endpoint reads alone is
// short, whatever its tokens.
func classOf(r *assign.Request) route.Class {
	if r.Engine == nil || r.Short() {
		return route.Short
	}
	return max(route.Medium, route.ClassOf(r.PromptTokens))
}

// worthWaiting tells a lack of room from what waiting does not mend.
func worthWaiting(r verdict.Reason) bool {
	return r == verdict.ReasonOverloaded || r == verdict.ReasonEndpointMemory
}

// leave takes a request whose time is over or whose caller went out of the queue.
func (g *Gateway) leave(ctx context.Context, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue(w.want.Service).of(w.want).Remove(w.queued)
	select {
	case o := <-w.result:
		if o.assignment != nil {
			g.fleet.EndBooking(w.owner, w.booking, true)
		}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(verdict.ReasonDeadline, retryAfterLoss, "no endpoint had room in time")
	}
	return errCallerGone
}

// queue returns the queues of a service. The caller holds the lock.
func (g *Gateway) queue(service string) *queues {
	q, ok := g.queues[service]
	if !ok {
		q = newQueues()
		g.queues[service] = q
		g.observeService(service, q)
	}
	return q
}

// runQueues looks at the queues now and then until ctx ends.
func (g *Gateway) runQueues(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(drainInterval):
		}
		g.mu.Lock()
		g.drainQueues(g.clock.Now())
		g.mu.Unlock()
	}
}

// drainQueues places what waits and fits. The caller holds the lock.
func (g *Gateway) drainQueues(now time.Time) {
	for _, q := range g.queues {
		g.drainQueue(now, q.short)
		g.drainQueue(now, q.long)
	}
}

func (g *Gateway) drainQueue(now time.Time, q queue.Queue) {
	if q.Len() == 0 {
		return
	}
	for _, dropped := range q.Expire(now, nil) {
		dropped.Item.Value.(*waiter).result <- outcome{err: dropped.Refusal}
	}
	for {
		var a *assign.Assignment
		item, ok := q.Pop(now, func(i *queue.Item) bool {
			var err error
			w := i.Value.(*waiter)
			w.want.Waited = now.Sub(w.since)
			a, err = g.fleet.Choose(now, w.want)
			return err == nil
		})
		if !ok {
			return
		}
		w := item.Value.(*waiter)
		g.fleet.Book(now, w.owner, w.booking, &a.Booking)
		w.result <- outcome{assignment: a}
	}
}

// end takes the booking back. Unread is set when the prompt was not read.
func (p *placement) end(unread bool) {
	p.g.bookings.end(p.id, unread)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.fleet.EndBooking("", p.id, unread)
	p.g.drainQueues(p.g.clock.Now())
}

// answered notes that the answer has begun, so that the endpoints have read the prompt.
func (p *placement) answered() {
	p.g.bookings.answered(p.id)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.fleet.MarkAnswered("", p.id)
	p.g.drainQueues(p.g.clock.Now())
}
