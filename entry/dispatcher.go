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

// queuePollInterval is the interval at which waiting calls are checked even if nothing has
// happened, because predictions change with time.
const queuePollInterval = 20 * time.Millisecond

// Bounds of the exponential backoff of a call that all endpoints have refused.
const (
	initialBackoff      = 50 * time.Millisecond
	maxBackoff          = time.Second
	maxBackoffDoublings = 8
)

// callDispatcher admits calls, queues them in a fair order and assigns endpoints to them.
// kernel.LockOrder lists its lock as "entry.table".
type callDispatcher struct {
	log   hclog.Logger
	clock kernel.Clock

	// mu guards all fields below and the state of chooser.
	mu      sync.Mutex
	table   *route.Table
	chooser route.Chooser
	// queues holds a queue for each target by name, so that calls to one target do not wait
	// for calls to another.
	queues    map[string]*targetQueue
	deadlines *admit.DeadlineController
	estimates *admit.Estimator
	retries   *route.RetryBudget
	nextID    uint64
	// poppedChoice is the choice of the latest call of canStart. When Pop returns an item,
	// canStart was last called for that item.
	poppedChoice route.Choice
}

// ticket is the right to one attempt at an endpoint. releaseTicket gives it back.
type ticket struct {
	endpoint wire.Endpoint
	// routeAttempt identifies the attempt in the routing table.
	routeAttempt route.Attempt
	choice       route.Choice
	// waited is the time that the call spent in the queue.
	waited time.Duration
}

// waiter is a call in a queue.
type waiter struct {
	id         uint64
	c          *call
	enqueuedAt time.Time
	// result has a buffer for the one outcome that the waiter gets, so that sending it never
	// blocks.
	result chan outcome
}

// outcome is what a wait ends with: a ticket, or a refusal in err.
type outcome struct {
	ticket *ticket
	err    error
}

// newDispatcher returns a callDispatcher that chooses endpoints with the plug-in named policy.
func newDispatcher(h *kernel.Host, policy string) (*callDispatcher, error) {
	plugin, err := h.Load(policy, json.RawMessage("{}"))
	if err != nil {
		return nil, err
	}
	chooser, ok := plugin.(route.Chooser)
	if !ok {
		return nil, errors.Errorf("plug-in %s does not implement route.Chooser", policy)
	}
	return &callDispatcher{
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

// run serves the queues every queuePollInterval until ctx ends.
func (d *callDispatcher) run(ctx context.Context) error {
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

// acquire returns a ticket for the call, after waiting for an endpoint with capacity if
// necessary. It refuses at once a call that cannot finish by its deadline.
func (d *callDispatcher) acquire(ctx context.Context, c *call) (*ticket, error) {
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

// admitOrEnqueue admits the call and returns a ticket if an endpoint has capacity for it now,
// else a waiter in the queue of its target. Both are nil if it returns an error.
func (d *callDispatcher) admitOrEnqueue(c *call) (*waiter, *ticket, error) {
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
	if refusal == nil && d.targetQueue(c.routing.Target).waiting.Tokens(c.routing.Class) == 0 {
		return nil, d.issueTicket(now, c, choice), nil
	}
	return d.enqueue(now, c, refusal)
}

// capPromptBound lowers the bound on the prompt's length to what the largest endpoint can
// hold, if the expected length fits there. On a route with little traffic the bound is twice
// the expected length; without the cap, a prompt that an empty endpoint could serve would be
// refused for good.
func (c *call) capPromptBound(view []route.Endpoint) {
	largest := int64(0)
	for i := range view {
		largest = max(largest, view[i].Load.CapacityTokens)
	}
	maxPromptTokens := int(largest) - c.routing.OutputTokens
	if c.routing.PromptTokens > maxPromptTokens && c.expectedPromptTokens <= maxPromptTokens {
		c.routing.PromptTokens = maxPromptTokens
	}
}

// mayClearByWaiting reports whether a refusal for the reason may no longer apply after a
// wait, such as a lack of memory.
func mayClearByWaiting(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonEndpointMemory, verdict.ReasonEndpointCold, verdict.ReasonOverloaded,
		verdict.ReasonNoEndpoint, verdict.ReasonEndpointLeaving:
		return true
	}
	return false
}

// enqueue puts the call into the queue of its target. refusal is why no endpoint can take
// the call now, or nil. The caller holds the lock.
func (d *callDispatcher) enqueue(now time.Time, c *call, refusal *verdict.Refusal) (*waiter, *ticket, error) {
	if len(c.routing.Tried) > 0 && refusal != nil {
		c.startBackoff(now)
	}
	d.nextID++
	w := &waiter{id: d.nextID, c: c, enqueuedAt: now, result: make(chan outcome, 1)}
	err := d.targetQueue(c.routing.Target).waiting.Push(now, queue.Item{
		ID:        w.id,
		Account:   c.account.Name,
		Class:     c.routing.Class,
		Tokens:    c.routing.PromptTokens + c.routing.OutputTokens,
		ExpiresAt: d.deadlines.ExpiresAt(c.routing.Class, c.forecast, c.deadline),
		Value:     w,
	})
	if err != nil {
		return nil, nil, err
	}
	d.serveQueue(now, c.routing.Target)
	return w, nil, nil
}

// targetQueue returns the queue of the named target and creates it if necessary. The caller
// holds the lock.
func (d *callDispatcher) targetQueue(name string) *targetQueue {
	t, ok := d.queues[name]
	if !ok {
		t = &targetQueue{waiting: queue.NewDRR(queue.DefaultSettings())}
		d.queues[name] = t
	}
	return t
}

// serveQueues serves the queues of all targets. The caller holds the lock.
func (d *callDispatcher) serveQueues(now time.Time) {
	for name := range d.queues {
		d.serveQueue(now, name)
	}
}

// serveQueue refuses the waiting calls that can no longer finish in time, and assigns
// endpoints to those that can start now. The caller holds the lock.
func (d *callDispatcher) serveQueue(now time.Time, name string) {
	q := d.targetQueue(name).waiting
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

// startBackoff makes the call wait before its next attempt, at which all endpoints may be
// chosen again. It is called when all endpoints have refused the call. Each backoff is twice
// as long as the one before, up to maxBackoff.
func (c *call) startBackoff(now time.Time) {
	c.routing.Tried = nil
	c.notBefore = now.Add(min(initialBackoff<<min(c.backoffs, maxBackoffDoublings), maxBackoff))
	c.backoffs++
}

// canStart reports whether an endpoint can take the waiting call now, and stores the chosen
// endpoint in poppedChoice. The caller holds the lock.
func (d *callDispatcher) canStart(now time.Time, item *queue.Item) bool {
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

// issueTicket returns a ticket for the chosen endpoint and counts the attempt as in flight
// there. The caller holds the lock.
func (d *callDispatcher) issueTicket(now time.Time, c *call, choice route.Choice) *ticket {
	t := &ticket{endpoint: d.table.View(c.routing.Target)[choice.Index].Endpoint, choice: choice}
	t.routeAttempt = d.table.Started(now, t.endpoint.Name, c.routing.PromptTokens, c.routing.OutputTokens)
	d.targetQueue(c.routing.Target).sendRate.Record(now, c.routing.PromptTokens+c.routing.OutputTokens)
	return t
}

// reissueTicket returns a ticket for another attempt at the endpoint of t.
func (d *callDispatcher) reissueTicket(c *call, t *ticket) *ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *t
	next.routeAttempt = d.table.Started(d.clock.Now(), t.endpoint.Name, c.routing.PromptTokens, c.routing.OutputTokens)
	return &next
}

// cancelWait removes a call from its queue after its deadline has passed or its caller has
// closed the connection. A ticket issued in the meantime is released.
func (d *callDispatcher) cancelWait(ctx context.Context, w *waiter) error {
	d.mu.Lock()
	d.targetQueue(w.c.routing.Target).waiting.Remove(w.id)
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

// spendRetry reports whether the retry budget allows a retry of an attempt that may have
// run, and takes the retry from the budget.
func (d *callDispatcher) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries.Take(d.clock.Now())
}

// releaseTicket gives back a ticket after its attempt. load is the endpoint's load at the
// end of the attempt, or nil if the sidecar sent none.
func (d *callDispatcher) releaseTicket(t *ticket, load *wire.Load) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if load != nil {
		d.table.Granted(t.routeAttempt, *load, now)
	}
	d.table.Finished(t.routeAttempt)
	d.serveQueue(now, t.endpoint.Target)
}
