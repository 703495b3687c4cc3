package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/queue"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// queuePollInterval is how often the waiting requests are looked at when nothing has
// happened: predictions change with time alone.
const queuePollInterval = 20 * time.Millisecond

// Bounds of the pauses between rounds in which every endpoint has refused a call.
const (
	initialBackoff      = 50 * time.Millisecond
	maxBackoff          = time.Second
	maxBackoffDoublings = 8
)

// dispatcher admits calls, keeps them waiting in a fair order, and gives each an
// endpoint. Its lock is "entry.table".
type dispatcher struct {
	log   hclog.Logger
	clock kernel.Clock

	mu      sync.Mutex
	table   *route.Table
	chooser route.Chooser
	// queues holds a queue for each target: calls to one wait for no other.
	queues    map[string]*targetQueue
	deadlines *admit.DeadlineController
	estimates *admit.Estimator
	retries   *route.RetryBudget
	nextID    uint64
	// poppedChoice is what fits chose for the call that Pop returns.
	poppedChoice route.Choice
}

// ticket is the right to one attempt at an endpoint.
type ticket struct {
	endpoint wire.Endpoint
	flight   route.Attempt
	choice   route.Choice
	waited   time.Duration
}

// waiter is a call in the queue.
type waiter struct {
	id         uint64
	c          *call
	enqueuedAt time.Time
	// result has one place and gets one outcome.
	result chan outcome
}

// outcome ends a wait: a ticket or a refusal.
type outcome struct {
	ticket *ticket
	err    error
}

func newDispatcher(h *kernel.Host, policy string) (*dispatcher, error) {
	plugin, err := h.Load(policy, json.RawMessage("{}"))
	if err != nil {
		return nil, err
	}
	chooser, ok := plugin.(route.Chooser)
	if !ok {
		return nil, errors.Errorf("plug-in %s chooses no endpoints", policy)
	}
	return &dispatcher{
		log:       h.Log,
		clock:     h.Clock,
		table:     route.NewTable(),
		chooser:   chooser,
		queues:    map[string]*targetQueue{},
		deadlines: admit.NewDeadlineController(),
		estimates: admit.NewEstimator(),
		retries:   route.NewRetryBudget(),
	}, nil
}

// run looks at the waiting calls now and then until ctx ends.
func (d *dispatcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.clock.After(queuePollInterval):
		}
		d.mu.Lock()
		d.serveQueues(d.clock.Now())
		d.mu.Unlock()
	}
}

// acquire waits until an endpoint has room for the call, and refuses at once what
// cannot be served in time.
func (d *dispatcher) acquire(ctx context.Context, c *call) (*ticket, error) {
	w, t, err := d.admitOrEnqueue(c)
	if w == nil {
		return t, err
	}
	select {
	case out := <-w.result:
		return out.ticket, out.err
	case <-ctx.Done():
		return nil, d.cancelWait(ctx, w)
	}
}

// admitOrEnqueue admits the call and gives it an endpoint, or a place in the queue.
func (d *dispatcher) admitOrEnqueue(c *call) (*waiter, *ticket, error) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.attempts == 0 {
		d.retries.RecordFirstAttempt(now)
	}
	view := d.table.View(c.routing.Target)
	c.capPromptBound(view)
	choice, err := d.chooser.Choose(now, &c.routing, view)
	var refusal *verdict.Refusal
	if err != nil {
		refusal = verdict.From(err)
		if refusal.RetryAfter == 0 || !mayClearByWaiting(refusal.Reason) {
			return nil, nil, refusal
		}
	}
	c.forecast = d.forecast(now, c, view, choice, refusal)
	if err := d.deadlines.Admit(now, c.routing.Class, c.forecast, c.deadline); err != nil {
		return nil, nil, err
	}
	if refusal == nil && d.queueOf(c.routing.Target).waiting.Tokens(c.routing.Class) == 0 {
		return nil, d.issueTicket(now, c, choice), nil
	}
	return d.enqueue(now, c, refusal)
}

// capPromptBound lowers the bound on the prompt's length to what the largest endpoint
// holds, when the prompt itself is likely to fit there: the bound is twice the
// length for a route that has been little used, and must not refuse for good what
// an endpoint with nothing else in it serves.
func (c *call) capPromptBound(view []route.Endpoint) {
	largest := int64(0)
	for i := range view {
		largest = max(largest, view[i].Load.CapacityTokens)
	}
	room := int(largest) - c.routing.OutputTokens
	if c.routing.PromptTokens > room && c.expectedPromptTokens <= room {
		c.routing.PromptTokens = room
	}
}

// mayClearByWaiting tells a lack of room from what waiting does not mend.
func mayClearByWaiting(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonEndpointMemory, verdict.ReasonEndpointCold, verdict.ReasonOverloaded,
		verdict.ReasonNoEndpoint, verdict.ReasonEndpointLeaving:
		return true
	}
	return false
}

func (d *dispatcher) enqueue(now time.Time, c *call, refusal *verdict.Refusal) (*waiter, *ticket, error) {
	if len(c.routing.Tried) > 0 && refusal != nil {
		c.startBackoff(now)
	}
	d.nextID++
	w := &waiter{id: d.nextID, c: c, enqueuedAt: now, result: make(chan outcome, 1)}
	err := d.queueOf(c.routing.Target).waiting.Push(now, queue.Item{
		ID:        w.id,
		Account:   c.account.Name,
		Class:     c.routing.Class,
		Tokens:    c.routing.PromptTokens + c.routing.OutputTokens,
		ExpiresAt: d.deadlines.LatestStart(c.routing.Class, c.forecast, c.deadline),
		Value:     w,
	})
	if err != nil {
		return nil, nil, err
	}
	d.serveQueue(now, c.routing.Target)
	return w, nil, nil
}

// queueOf returns the queue of a queueOf. The caller holds the lock.
func (d *dispatcher) queueOf(name string) *targetQueue {
	t, ok := d.queues[name]
	if !ok {
		t = &targetQueue{waiting: queue.NewDRR(queue.DefaultSettings())}
		d.queues[name] = t
	}
	return t
}

// serveQueues looks at the queues of all targets. The caller holds the lock.
func (d *dispatcher) serveQueues(now time.Time) {
	for name := range d.queues {
		d.serveQueue(now, name)
	}
}

// serveQueue gives endpoints to the waiting calls that fit and ends the hopeless
// ones. The caller holds the lock.
func (d *dispatcher) serveQueue(now time.Time, name string) {
	q := d.queueOf(name).waiting
	for _, dropped := range q.Expire(now, nil) {
		dropped.Item.Value.(*waiter).result <- outcome{err: dropped.Refusal}
	}
	for {
		item, ok := q.Pop(now, func(i *queue.Item) bool { return d.canStart(now, i) })
		if !ok {
			return
		}
		w := item.Value.(*waiter)
		t := d.issueTicket(now, w.c, d.poppedChoice)
		t.waited = now.Sub(w.enqueuedAt)
		w.result <- outcome{ticket: t}
	}
}

// startBackoff makes all endpoints good for another try after a while, when all of them
// have refused the call. Each startBackoff is twice as long as the one before.
func (c *call) startBackoff(now time.Time) {
	c.routing.Tried = nil
	c.notBefore = now.Add(min(initialBackoff<<min(c.backoffs, maxBackoffDoublings), maxBackoff))
	c.backoffs++
}

func (d *dispatcher) canStart(now time.Time, item *queue.Item) bool {
	c := item.Value.(*waiter).c
	if now.Before(c.notBefore) {
		return false
	}
	view := d.table.View(c.routing.Target)
	choice, err := d.chooser.Choose(now, &c.routing, view)
	d.poppedChoice = choice
	if err != nil {
		return false
	}
	// The endpoint may be slower than the one for which the call was admitted.
	f := admit.ForecastAt(&view[choice.Index], choice, c.routing.PromptTokens, c.routing.OutputTokens)
	return d.deadlines.Admit(now, c.routing.Class, f, c.deadline) == nil
}

func (d *dispatcher) issueTicket(now time.Time, c *call, choice route.Choice) *ticket {
	t := &ticket{endpoint: d.table.View(c.routing.Target)[choice.Index].Endpoint, choice: choice}
	t.flight = d.table.Started(now, t.endpoint.Name, c.routing.PromptTokens, c.routing.OutputTokens)
	d.queueOf(c.routing.Target).sendRate.Record(now, c.routing.PromptTokens+c.routing.OutputTokens)
	return t
}

// reissueTicket returns a ticket for another try at the same endpoint.
func (d *dispatcher) reissueTicket(c *call, t *ticket) *ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *t
	next.flight = d.table.Started(d.clock.Now(), t.endpoint.Name, c.routing.PromptTokens, c.routing.OutputTokens)
	return &next
}

// cancelWait takes a call whose time is over or whose caller went out of the queue.
func (d *dispatcher) cancelWait(ctx context.Context, w *waiter) error {
	d.mu.Lock()
	d.queueOf(w.c.routing.Target).waiting.Remove(w.id)
	d.mu.Unlock()
	select {
	case out := <-w.result:
		if out.ticket != nil {
			d.releaseTicket(out.ticket, nil)
		}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(verdict.ReasonDeadline, time.Second, "no endpoint had room within the deadline")
	}
	return verdict.Refuse(verdict.ReasonSlowReader, 0, "the caller has gone")
}

// spendRetry spends a retry of work that an endpoint may have done already.
func (d *dispatcher) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries.Take(d.clock.Now())
}

// releaseTicket takes back a ticket, with the endpoint's load when it sent one.
func (d *dispatcher) releaseTicket(t *ticket, load *wire.Load) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if load != nil {
		d.table.Granted(t.flight, *load, now)
	}
	d.table.Finished(t.flight)
	d.serveQueue(now, t.endpoint.Target)
}
