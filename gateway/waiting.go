package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/schedule"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// queuePollInterval is the time between two checks of the queues. Polling is needed
	// because no event shows that an endpoint has become idle as its prefill progressed.
	queuePollInterval = 10 * time.Millisecond
	// maxWaitFraction bounds the wait for an endpoint, as a fraction of the request's
	// time limit.
	maxWaitFraction = 0.5
	// abandonFraction bounds the wait for an endpoint if the answer is a stream, as a
	// fraction of the time after which callers abandon the stream. A caller that is
	// refused before it abandons the stream can try again.
	abandonFraction = 0.6
)

// placement is an assignment that is booked in the fleet.
type placement struct {
	*assign.Assignment
	g *Gateway
	// id is the ID of the booking.
	id uint64
	// placer is the address of the entry that chose the endpoints, "" for this entry, and
	// revision the revision of the configuration under which it chose.
	placer   string
	revision uint64
	// held is the stream to an entry of another cell that holds the booking; nil if this entry
	// does.
	held wire.Stream
}

// waiter is a request that waits for endpoints.
type waiter struct {
	schedule.Request
	// result receives exactly one placeResult and is buffered for it.
	result chan placeResult
}

// placeResult is the result of a wait: an assignment that is booked, or an error.
type placeResult struct {
	assignment *assign.Assignment
	err        error
}

// newWaiter returns a waiter for a request.
func newWaiter(r schedule.Request) *waiter {
	w := &waiter{Request: r, result: make(chan placeResult, 1)}
	w.Value = w
	return w
}

// newWaiter returns a waiter for the attempt with a new booking ID.
func (a *attempt) newWaiter() *waiter {
	c := a.c
	return newWaiter(schedule.Request{
		Request: &a.request, BookingID: c.g.bookings.newID(), Account: c.account, Arrived: c.started, StartBy: c.startBy(),
		GiveUpAt: c.started.Add(a.maxWait()), Deadline: c.deadline, Begun: a.resumes, Immediate: a.immediate,
	})
}

// maxWait is how long after the start of its call the attempt may wait for endpoints. A stream that
// has begun can only break off if it stops waiting, so it waits to its deadline.
func (a *attempt) maxWait() time.Duration {
	c := a.c
	if a.resumes {
		return c.deadline.Sub(c.started)
	}
	wait := time.Duration(maxWaitFraction * float64(c.deadline.Sub(c.started)))
	if c.route.AbandonAfter > 0 {
		wait = min(wait, time.Duration(abandonFraction*float64(c.route.AbandonAfter)))
	}
	return wait
}

// startBy is when the call has to be dispatched to meet its latency target if a full group of
// endpoints reads its prompt. What is known of the endpoints replaces it while the call waits.
func (c *call) startBy() time.Time {
	if c.placementRequest.Due.IsZero() {
		return c.started
	}
	return c.placementRequest.StartBy(1 + assign.MaxHelpers)
}

// dueIn is the time until the caller wants the answer to begin; zero if that is not known.
func (c *call) dueIn() time.Duration {
	if c.placementRequest.Due.IsZero() {
		return 0
	}
	return c.placementRequest.Due.Sub(c.g.clock.Now())
}

// place chooses and books endpoints for the attempt, waiting in the queue while none are
// available.
func (g *Gateway) place(ctx context.Context, a *attempt) (*placement, error) {
	if g.placer.otherCells() {
		return g.placeAmongCells(ctx, a)
	}
	return g.placeInCell(ctx, a.newWaiter())
}

// placeInCell places a request at endpoints of this entry's cell. Long prompts are placed by the
// placing entry of the cell if it answers.
func (g *Gateway) placeInCell(ctx context.Context, w *waiter) (*placement, error) {
	if w.Class() != route.Short {
		if p, err := g.placeAtPeer(ctx, w); p != nil || err != nil {
			return p, err
		}
	}
	a, err := g.waitForPlacement(ctx, w)
	if err != nil {
		return nil, err
	}
	g.bookings.begin(w.BookingID, &a.Booking)
	return &placement{Assignment: a, g: g, id: w.BookingID, revision: g.client.Permission().Revision}, nil
}

// waitForPlacement returns the endpoints for the request once they are booked at this
// entry.
func (g *Gateway) waitForPlacement(ctx context.Context, w *waiter) (*assign.Assignment, error) {
	g.placeOrEnqueue(w)
	select {
	case o := <-w.result:
		return o.assignment, o.err
	case <-ctx.Done():
		return nil, g.withdraw(ctx, w)
	}
}

// placeWithout books endpoints for a request in place of those of these attempts. It returns nil, and
// leaves their bookings, if there is no room without them either.
func (g *Gateway) placeWithout(attempts []*attempt, r *assign.Request) *placement {
	now, id := g.clock.Now(), g.bookings.newID()
	g.mu.Lock()
	for _, a := range attempts {
		g.fleet.EndBooking("", a.placed.id, true)
	}
	chosen, err := g.fleet.Choose(now, r)
	if err != nil {
		for _, a := range attempts {
			g.fleet.Restore(now, "", a.placed.id, &a.placed.Booking)
		}
		g.mu.Unlock()
		return nil
	}
	g.fleet.Place(now, "", id, &chosen.Booking)
	g.mu.Unlock()
	g.bookings.begin(id, &chosen.Booking)
	return &placement{Assignment: chosen, g: g, id: id, revision: g.client.Permission().Revision}
}

// placeOrEnqueue places the request at once, refuses it, or lets it wait.
func (g *Gateway) placeOrEnqueue(w *waiter) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registerServiceGauges(w.Service)
	g.deliver(g.waiting.Offer(now, &w.Request))
	if g.waiting.Waiting() == 0 {
		return
	}
	select {
	case g.queued <- struct{}{}:
	default:
	}
}

// deliver gives outcomes to the requests that wait for them. The caller holds g.mu.
func (g *Gateway) deliver(outcomes []schedule.Outcome) {
	for _, o := range outcomes {
		w := o.Request.Value.(*waiter)
		w.result <- placeResult{assignment: o.Assignment, err: o.Err}
	}
}

// withdraw removes a request whose deadline has passed or whose caller has disconnected
// from the queue, and returns the error for the caller.
func (g *Gateway) withdraw(ctx context.Context, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting.Withdraw(&w.Request)
	select {
	case o := <-w.result:
		if o.assignment != nil {
			g.fleet.EndBooking(w.Owner, w.BookingID, true)
		}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(verdict.ReasonDeadline, defaultRetryAfter, "no endpoint had room in time")
	}
	return errCallerGone
}

// pollQueues places queued requests every queuePollInterval, while there are some, until ctx ends.
func (g *Gateway) pollQueues(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.queued:
		}
		for g.pollOnce() {
			select {
			case <-ctx.Done():
				return
			case <-g.clock.After(queuePollInterval):
			}
		}
	}
}

// pollOnce places queued requests, and reports whether any are left.
func (g *Gateway) pollOnce() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placeQueued(g.clock.Now())
	return g.waiting.Waiting() > 0
}

// placeQueued places the queued requests for which endpoints are available. The caller
// holds g.mu.
func (g *Gateway) placeQueued(now time.Time) { g.deliver(g.waiting.Poll(now)) }

// release ends the booking. The argument unprefilled is set when the prompt was not
// prefilled.
func (p *placement) release(unprefilled bool) {
	if p.held != nil {
		p.endHeld(unprefilled)
		return
	}
	p.g.bookings.end(p.id, unprefilled)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.fleet.EndBooking("", p.id, unprefilled)
	p.g.placeQueued(p.g.clock.Now())
}

// markAnswered records that the answer has begun, which shows that the endpoints have
// prefilled the prompt.
func (p *placement) markAnswered() {
	if p.held != nil {
		p.sendHeld(&wire.Bookings{Answered: []uint64{p.id}})
		return
	}
	p.g.bookings.answered(p.id)
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.fleet.MarkAnswered("", p.id)
	p.g.placeQueued(p.g.clock.Now())
}
