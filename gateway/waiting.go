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
)

// placement is an assignment that is booked.
type placement struct {
	*assign.Assignment
	g  *Gateway
	id uint64
}

// waiter is a call in a queue.
type waiter struct {
	id uint64
	c  *call
	// result has one place and gets one outcome.
	result chan outcome
}

// outcome ends a wait.
type outcome struct {
	placed *placement
	err    error
}

// place chooses endpoints for the call and books them, after waiting for its turn.
func (g *Gateway) place(ctx context.Context, c *call) (*placement, error) {
	w, p, err := g.enter(c)
	if w == nil {
		return p, err
	}
	select {
	case o := <-w.result:
		return o.placed, o.err
	case <-ctx.Done():
		return nil, g.leave(ctx, w)
	}
}

// enter places the call at once, refuses it, or gives it a place in the queue.
func (g *Gateway) enter(c *call) (*waiter, *placement, error) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(c.service.Name)
	class := classOf(&c.want)
	a, err := g.fleet.Choose(now, &c.want)
	if err == nil && q.Tokens(class) == 0 {
		return nil, g.book(now, a), nil
	}
	if err != nil && !worthWaiting(verdict.From(err).Reason) {
		return nil, nil, err
	}
	g.nextID++
	w := &waiter{id: g.nextID, c: c, result: make(chan outcome, 1)}
	err = q.Push(now, queue.Item{
		ID: w.id, Account: c.account, Class: class, Tokens: max(1, c.PromptTokens+c.OutputTokens),
		GiveUp: c.started.Add(time.Duration(waitPart * float64(c.end.Sub(c.started)))), Value: w,
	})
	if err != nil {
		return nil, nil, err
	}
	g.drainQueue(now, q)
	return w, nil, nil
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

// leave takes a call whose time is over or whose caller went out of the queue.
func (g *Gateway) leave(ctx context.Context, w *waiter) error {
	g.mu.Lock()
	g.queue(w.c.service.Name).Remove(w.id)
	g.mu.Unlock()
	select {
	case o := <-w.result:
		if o.placed != nil {
			o.placed.end(true)
		}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(verdict.ReasonDeadline, retryAfterLoss, "no endpoint had room in time")
	}
	return errCallerGone
}

// queue returns the queue of a service. The caller holds the lock.
func (g *Gateway) queue(service string) queue.Waiting {
	q, ok := g.queues[service]
	if !ok {
		q = queue.New(queue.DefaultSettings())
		g.queues[service] = q
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
		g.drainQueue(now, q)
	}
}

func (g *Gateway) drainQueue(now time.Time, q queue.Waiting) {
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
			c := i.Value.(*waiter).c
			c.want.Waited = now.Sub(c.started)
			a, err = g.fleet.Choose(now, &c.want)
			return err == nil
		})
		if !ok {
			return
		}
		item.Value.(*waiter).result <- outcome{placed: g.book(now, a)}
	}
}

// book enters an assignment and has the other entries told. The caller holds the lock.
func (g *Gateway) book(now time.Time, a *assign.Assignment) *placement {
	id := g.bookings.begin(&a.Booking)
	g.fleet.Book(now, "", id, &a.Booking)
	return &placement{Assignment: a, g: g, id: id}
}

// end takes the booking back. Unread is set when the prompt was not read.
func (p *placement) end(unread bool) {
	p.g.bookings.end(p.id, unread)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.fleet.End("", p.id, unread)
	p.g.drainQueues(p.g.clock.Now())
}

// answered notes that the answer has begun, so that the endpoints have read the prompt.
func (p *placement) answered() {
	p.g.bookings.answered(p.id)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.fleet.Begun("", p.id)
	p.g.drainQueues(p.g.clock.Now())
}
