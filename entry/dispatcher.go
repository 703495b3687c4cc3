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

// drainEvery is how often the waiting requests are looked at when nothing has
// happened: predictions change with time alone.
const drainEvery = 20 * time.Millisecond

// Bounds of the pauses between rounds in which every endpoint has refused a call.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	maxDoublings = 8
)

// dispatcher admits calls, keeps them waiting in a fair order, and gives each an
// endpoint. Its lock is "entry.table".
type dispatcher struct {
	log   hclog.Logger
	clock kernel.Clock

	mu      sync.Mutex
	table   *route.Table
	chooser route.Chooser
	// targets holds a queue for each target: calls to one wait for no other.
	targets   map[string]*target
	deadlines *admit.DeadlineController
	estimates *admit.Estimator
	retries   *route.RetryBudget
	nextID    uint64
	// found is what fits chose for the call that Pop returns.
	found route.Choice
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
	id    uint64
	c     *call
	since time.Time
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
		targets:   map[string]*target{},
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
		case <-d.clock.After(drainEvery):
		}
		d.mu.Lock()
		d.drain(d.clock.Now())
		d.mu.Unlock()
	}
}

// acquire waits until an endpoint has room for the call, and refuses at once what
// cannot be served in time.
func (d *dispatcher) acquire(ctx context.Context, c *call) (*ticket, error) {
	w, t, err := d.enter(c)
	if w == nil {
		return t, err
	}
	select {
	case out := <-w.result:
		return out.ticket, out.err
	case <-ctx.Done():
		return nil, d.abandon(ctx, w)
	}
}

// enter admits the call and gives it an endpoint, or a place in the queue.
func (d *dispatcher) enter(c *call) (*waiter, *ticket, error) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.attempts == 0 {
		d.retries.RecordFirstAttempt(now)
	}
	view := d.table.View(c.want.Target)
	c.fitBound(view)
	choice, err := d.chooser.Choose(now, &c.want, view)
	var refusal *verdict.Refusal
	if err != nil {
		refusal = verdict.From(err)
		if refusal.RetryAfter == 0 || !worthWaiting(refusal.Reason) {
			return nil, nil, refusal
		}
	}
	c.forecast = d.forecast(now, c, view, choice, refusal)
	if err := d.deadlines.Admit(now, c.want.Class, c.forecast, c.deadline); err != nil {
		return nil, nil, err
	}
	if refusal == nil && d.target(c.want.Target).waiting.Tokens(c.want.Class) == 0 {
		return nil, d.start(now, c, choice), nil
	}
	return d.push(now, c, refusal)
}

// fitBound lowers the bound on the prompt's length to what the largest endpoint
// holds, when the prompt itself is likely to fit there: the bound is twice the
// length for a route that has been little used, and must not refuse for good what
// an endpoint with nothing else in it serves.
func (c *call) fitBound(view []route.Endpoint) {
	largest := int64(0)
	for i := range view {
		largest = max(largest, view[i].Load.CapacityTokens)
	}
	room := int(largest) - c.want.OutputTokens
	if c.want.PromptTokens > room && c.expected <= room {
		c.want.PromptTokens = room
	}
}

// worthWaiting tells a lack of room from what waiting does not mend.
func worthWaiting(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonEndpointMemory, verdict.ReasonEndpointCold, verdict.ReasonOverloaded,
		verdict.ReasonNoEndpoint, verdict.ReasonEndpointLeaving:
		return true
	}
	return false
}

func (d *dispatcher) push(now time.Time, c *call, refusal *verdict.Refusal) (*waiter, *ticket, error) {
	if len(c.want.Tried) > 0 && refusal != nil {
		c.pause(now)
	}
	d.nextID++
	w := &waiter{id: d.nextID, c: c, since: now, result: make(chan outcome, 1)}
	err := d.target(c.want.Target).waiting.Push(now, queue.Item{
		ID:        w.id,
		Account:   c.account.Name,
		Class:     c.want.Class,
		Tokens:    c.want.PromptTokens + c.want.OutputTokens,
		ExpiresAt: d.deadlines.LatestStart(c.want.Class, c.forecast, c.deadline),
		Value:     w,
	})
	if err != nil {
		return nil, nil, err
	}
	d.drainTarget(now, c.want.Target)
	return w, nil, nil
}

// target returns the queue of a target. The caller holds the lock.
func (d *dispatcher) target(name string) *target {
	t, ok := d.targets[name]
	if !ok {
		t = &target{waiting: queue.NewDRR(queue.DefaultSettings())}
		d.targets[name] = t
	}
	return t
}

// drain looks at the queues of all targets. The caller holds the lock.
func (d *dispatcher) drain(now time.Time) {
	for name := range d.targets {
		d.drainTarget(now, name)
	}
}

// drainTarget gives endpoints to the waiting calls that fit and ends the hopeless
// ones. The caller holds the lock.
func (d *dispatcher) drainTarget(now time.Time, name string) {
	q := d.target(name).waiting
	for _, dropped := range q.Expire(now, nil) {
		dropped.Item.Value.(*waiter).result <- outcome{err: dropped.Refusal}
	}
	for {
		item, ok := q.Pop(now, func(i *queue.Item) bool { return d.fits(now, i) })
		if !ok {
			return
		}
		w := item.Value.(*waiter)
		t := d.start(now, w.c, d.found)
		t.waited = now.Sub(w.since)
		w.result <- outcome{ticket: t}
	}
}

// pause makes all endpoints good for another try after a while, when all of them
// have refused the call. Each pause is twice as long as the one before.
func (c *call) pause(now time.Time) {
	c.want.Tried = nil
	c.notBefore = now.Add(min(firstPause<<min(c.pauses, maxDoublings), longestPause))
	c.pauses++
}

func (d *dispatcher) fits(now time.Time, item *queue.Item) bool {
	c := item.Value.(*waiter).c
	if now.Before(c.notBefore) {
		return false
	}
	view := d.table.View(c.want.Target)
	choice, err := d.chooser.Choose(now, &c.want, view)
	d.found = choice
	if err != nil {
		return false
	}
	// The endpoint may be slower than the one for which the call was admitted.
	f := admit.ForecastAt(&view[choice.Index], choice, c.want.PromptTokens, c.want.OutputTokens)
	return d.deadlines.Admit(now, c.want.Class, f, c.deadline) == nil
}

func (d *dispatcher) start(now time.Time, c *call, choice route.Choice) *ticket {
	t := &ticket{endpoint: d.table.View(c.want.Target)[choice.Index].Endpoint, choice: choice}
	t.flight = d.table.Started(now, t.endpoint.Name, c.want.PromptTokens, c.want.OutputTokens)
	d.target(c.want.Target).pace.Record(now, c.want.PromptTokens+c.want.OutputTokens)
	return t
}

// again returns a ticket for another try at the same endpoint.
func (d *dispatcher) again(c *call, t *ticket) *ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := *t
	next.flight = d.table.Started(d.clock.Now(), t.endpoint.Name, c.want.PromptTokens, c.want.OutputTokens)
	return &next
}

// abandon takes a call whose time is over or whose caller went out of the queue.
func (d *dispatcher) abandon(ctx context.Context, w *waiter) error {
	d.mu.Lock()
	d.target(w.c.want.Target).waiting.Remove(w.id)
	d.mu.Unlock()
	select {
	case out := <-w.result:
		if out.ticket != nil {
			d.finished(out.ticket, nil)
		}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(verdict.ReasonDeadline, time.Second, "no endpoint had room within the deadline")
	}
	return verdict.Refuse(verdict.ReasonSlowReader, 0, "the caller has gone")
}

// mayRetry spends a retry of work that an endpoint may have done already.
func (d *dispatcher) mayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries.Take(d.clock.Now())
}

// finished takes back a ticket, with the endpoint's load when it sent one.
func (d *dispatcher) finished(t *ticket, load *wire.Load) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if load != nil {
		d.table.Granted(t.flight, *load, now)
	}
	d.table.Finished(t.flight)
	d.drainTarget(now, t.endpoint.Target)
}
