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
	// queuePollInterval is how often waiting requests are looked at when nothing else
	// happens: endpoints get on with their reading meanwhile.
	queuePollInterval = 10 * time.Millisecond
	// maxWaitFraction is the part of its caller's time that a request waits at most.
	maxWaitFraction = 0.5
	// abandonFraction is the part of the time after which callers leave a silent stream that a
	// request waits at most: one that is refused before can come back.
	abandonFraction = 0.6
)

// queues are the requests that wait for endpoints of one service. Short prompts and long
// ones use different endpoints, and do not wait for one another.
type queues struct {
	short, long queue.Waiting
}

func newQueues() *queues {
	return &queues{short: queue.NewAim(queue.DefaultSettings()), long: queue.NewAim(queue.DefaultSettings())}
}

// forRequest returns the queue forRequest a request.
func (q *queues) forRequest(r *assign.Request) queue.Waiting {
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
	request *assign.Request
	// owner is the entry that asks, "" for this one, and booking its number there.
	owner   string
	bookingID uint64
	account string
	// arrived is when the request came, startBy when it has to start to be in time, and
	// giveUpAt when it stops waiting.
	arrived, startBy, giveUpAt time.Time
	// queueID is its number in the queue.
	queueID uint64
	// result has one place and gets one outcome.
	result chan placeResult
}

// placeResult ends a wait.
type placeResult struct {
	assignment *assign.Assignment
	err        error
}

// newWaiter returns the call's wish for endpoints.
func (c *call) newWaiter() *waiter {
	return &waiter{
		request: &c.placementRequest, bookingID: c.g.bookings.newID(), account: c.account, arrived: c.started, startBy: c.startBy(),
		giveUpAt: c.started.Add(c.maxWait()), result: make(chan placeResult, 1),
	}
}

// maxWait is how long the call may wait for endpoints.
func (c *call) maxWait() time.Duration {
	wait := time.Duration(maxWaitFraction * float64(c.deadline.Sub(c.started)))
	if c.route.AbandonAfter > 0 {
		wait = min(wait, time.Duration(abandonFraction*float64(c.route.AbandonAfter)))
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
	if classOf(w.request) != route.Short {
		if p, err := g.placeAtPeer(ctx, w); p != nil || err != nil {
			return p, err
		}
	}
	a, err := g.waitForPlacement(ctx, w)
	if err != nil {
		return nil, err
	}
	g.bookings.begin(w.bookingID, &a.Booking)
	return &placement{Assignment: a, g: g, id: w.bookingID}, nil
}

// waitForPlacement returns the endpoints for the request once they are booked here.
func (g *Gateway) waitForPlacement(ctx context.Context, w *waiter) (*assign.Assignment, error) {
	g.placeOrEnqueue(w)
	select {
	case o := <-w.result:
		return o.assignment, o.err
	case <-ctx.Done():
		return nil, g.withdraw(ctx, w)
	}
}

// placeOrEnqueue places the request at once, refuses it, or gives it a place in the queue.
func (g *Gateway) placeOrEnqueue(w *waiter) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.serviceQueues(w.request.Service).forRequest(w.request)
	w.request.Waited = now.Sub(w.arrived)
	a, err := g.fleet.Choose(now, w.request)
	switch {
	case err == nil && q.Len() == 0:
		g.fleet.Book(now, w.owner, w.bookingID, &a.Booking)
		w.result <- placeResult{assignment: a}
		return
	case err != nil && !mayClearWhileWaiting(verdict.From(err).Reason):
		w.result <- placeResult{err: err}
		return
	}
	g.lastQueueID++
	w.queueID = g.lastQueueID
	err = q.Push(now, queue.Item{
		ID: w.queueID, Account: w.account, Class: classOf(w.request), Tokens: max(1, w.request.PromptTokens+w.request.OutputTokens),
		StartBy: w.startBy, GiveUp: w.giveUpAt, Value: w,
	})
	if err != nil {
		w.result <- placeResult{err: err}
		return
	}
	g.placeFromQueue(now, q)
}

// classOf returns the length class of a request: one that an endpoint reads alone is
// short, whatever its tokens.
func classOf(r *assign.Request) route.Class {
	if r.Engine == nil || r.Short() {
		return route.Short
	}
	return max(route.Medium, route.ClassOf(r.PromptTokens))
}

// mayClearWhileWaiting tells a lack of room from what waiting does not mend.
func mayClearWhileWaiting(r verdict.Reason) bool {
	return r == verdict.ReasonOverloaded || r == verdict.ReasonEndpointMemory
}

// withdraw takes a request whose time is over or whose caller went out of the queue.
func (g *Gateway) withdraw(ctx context.Context, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serviceQueues(w.request.Service).forRequest(w.request).Remove(w.queueID)
	select {
	case o := <-w.result:
		if o.assignment != nil {
			g.fleet.EndBooking(w.owner, w.bookingID, true)
		}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(verdict.ReasonDeadline, defaultRetryAfter, "no endpoint had room in time")
	}
	return errCallerGone
}

// serviceQueues returns the queues of a service. The caller holds the lock.
func (g *Gateway) serviceQueues(service string) *queues {
	q, ok := g.queues[service]
	if !ok {
		q = newQueues()
		g.queues[service] = q
		g.registerServiceGauges(service, q)
	}
	return q
}

// pollQueues looks at the queues now and then until ctx ends.
func (g *Gateway) pollQueues(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(queuePollInterval):
		}
		g.mu.Lock()
		g.placeQueued(g.clock.Now())
		g.mu.Unlock()
	}
}

// placeQueued places what waits and fits. The caller holds the lock.
func (g *Gateway) placeQueued(now time.Time) {
	for _, q := range g.queues {
		g.placeFromQueue(now, q.short)
		g.placeFromQueue(now, q.long)
	}
}

func (g *Gateway) placeFromQueue(now time.Time, q queue.Waiting) {
	if q.Len() == 0 {
		return
	}
	for _, dropped := range q.Expire(now, nil) {
		dropped.Item.Value.(*waiter).result <- placeResult{err: dropped.Refusal}
	}
	for {
		var a *assign.Assignment
		item, ok := q.Pop(now, func(i *queue.Item) bool {
			var err error
			w := i.Value.(*waiter)
			w.request.Waited = now.Sub(w.arrived)
			a, err = g.fleet.Choose(now, w.request)
			return err == nil
		})
		if !ok {
			return
		}
		w := item.Value.(*waiter)
		g.fleet.Book(now, w.owner, w.bookingID, &a.Booking)
		w.result <- placeResult{assignment: a}
	}
}

// release takes the booking back. Unread is set when the prompt was not read.
func (p *placement) release(unread bool) {
	p.g.bookings.end(p.id, unread)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.fleet.EndBooking("", p.id, unread)
	p.g.placeQueued(p.g.clock.Now())
}

// markAnswered notes that the answer has begun, so that the endpoints have read the prompt.
func (p *placement) markAnswered() {
	p.g.bookings.answered(p.id)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.fleet.MarkAnswered("", p.id)
	p.g.placeQueued(p.g.clock.Now())
}
