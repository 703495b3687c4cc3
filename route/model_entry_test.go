package route_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/queue"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// request is a caller's request in the simulation. Times are in seconds since epoch.
type request struct {
	id       uint64
	account  string
	prompt   int
	output   int
	arrived  float64
	deadline float64
	class    route.Class

	forecast     admit.Forecast
	tried        []string
	routeRequest route.Request
	first        float64 // time of the first token; 0 is none
	done         float64 // time of the end or the refusal
	answer       verdict.Reason
	tries        int
}

// entry simulates an entry VM: admission, queue, choice of endpoint and retries.
type entry struct {
	sim            *simulation
	name           string
	zone           string
	table          *route.Table
	chooser        route.Chooser
	waiting        queue.Queue
	admit          *admit.DeadlineController
	budget         *route.RetryBudget
	sendRate       admit.RateMeter
	drainScheduled bool
	// choice is the choice that fits made for the request that Pop returns.
	choice route.Choice
}

func (e *entry) now() time.Time { return at(e.sim.q.now) }

// arrive admits a new request and dispatches or queues it.
func (e *entry) arrive(r *request) {
	r.routeRequest = route.Request{
		Target: "m", Class: r.class, PromptTokens: r.prompt, OutputTokens: r.output,
		Prefix: r.id, Zone: e.zone, Deadline: at(r.deadline),
	}
	e.budget.RecordFirstAttempt(e.now())
	choice, err := e.choose(r)
	refusal := verdict.From(err)
	if refusal != nil && refusal.RetryAfter == 0 {
		e.answer(r, refusal)
		return
	}
	e.forecast(r, choice, refusal)
	if err := e.admit.Admit(e.now(), r.class, r.forecast, at(r.deadline)); err != nil {
		e.answer(r, verdict.From(err))
		return
	}
	if refusal == nil && e.waiting.Tokens(r.class) == 0 {
		e.send(r, choice)
		return
	}
	e.push(r)
}

// choose chooses an endpoint that the request has not tried yet.
func (e *entry) choose(r *request) (route.Choice, error) {
	r.routeRequest.Tried = r.tried
	return e.chooser.Choose(e.now(), &r.routeRequest, e.table.View("m"))
}

// forecast predicts the duration of the request, including its wait at the entry.
func (e *entry) forecast(r *request, choice route.Choice, refusal *verdict.Refusal) {
	view := e.table.View("m")
	mean := admit.MeanTokenRates(view)
	if refusal == nil {
		r.forecast = admit.ForecastAt(&view[choice.Index], choice, r.prompt, r.output)
	} else {
		r.forecast = mean.ForecastWithoutWait(r.prompt, r.output)
		r.forecast.Wait = refusal.RetryAfter
	}
	r.forecast.Wait += e.sendRate.Wait(e.now(), e.waiting.Tokens(r.class), e.waiting.Share(r.class), mean.Prefill)
}

// push queues a request, or refuses it when the queue is full.
func (e *entry) push(r *request) {
	item := queue.Item{
		ID: r.id, Account: r.account, Class: r.class, Tokens: r.prompt + r.output, Value: r,
		ExpiresAt: e.admit.ExpiresAt(r.class, r.forecast, at(r.deadline)),
	}
	if err := e.waiting.Push(e.now(), item); err != nil {
		e.answer(r, verdict.From(err))
	}
	e.scheduleDrain()
}

// scheduleDrain drains the queue every 20 ms until it is empty.
func (e *entry) scheduleDrain() {
	if e.drainScheduled || e.waiting.Len() == 0 {
		return
	}
	e.drainScheduled = true
	e.sim.q.after(0.02, func() {
		e.drainScheduled = false
		e.drain()
		e.scheduleDrain()
	})
}

// drain refuses expired requests and dispatches those that an endpoint can take now.
func (e *entry) drain() {
	for _, d := range e.waiting.Expire(e.now(), nil) {
		e.answer(d.Item.Value.(*request), d.Refusal)
	}
	for {
		item, ok := e.waiting.Pop(e.now(), e.fits)
		if !ok {
			return
		}
		e.send(item.Value.(*request), e.choice)
	}
}

// fits reports whether an endpoint can take a queued request now.
func (e *entry) fits(item *queue.Item) bool {
	r := item.Value.(*request)
	choice, err := e.choose(r)
	e.choice = choice
	return err == nil && e.meetsDeadline(r, choice)
}

// meetsDeadline reports whether a request that has waited can still finish in time at
// the chosen endpoint, which may be slower than the one it was admitted for.
func (e *entry) meetsDeadline(r *request, choice route.Choice) bool {
	f := admit.ForecastAt(&e.table.View("m")[choice.Index], choice, r.prompt, r.output)
	return e.admit.Admit(e.now(), r.class, f, at(r.deadline)) == nil
}

// send dispatches a request to the chosen endpoint.
func (e *entry) send(r *request, choice route.Choice) {
	n := e.sim.byName[e.table.View("m")[choice.Index].Name]
	c := &call{req: r, from: e, id: fmt.Sprint(r.id, "-", r.tries), maxPending: choice.MaxPending}
	r.tries++
	c.routeAttempt = e.table.Started(e.now(), n.info.Name, r.prompt, r.output)
	e.sim.q.after(linkSeconds, func() {
		refusal := n.admit(c)
		load, incarnation := n.load(), n.info.Incarnation
		e.sim.q.after(linkSeconds, func() {
			if c.routeAttempt.Incarnation == incarnation {
				e.table.Granted(c.routeAttempt, load, e.now())
			}
			if refusal != nil {
				e.refused(c, refusal)
				return
			}
			e.sendRate.Record(e.now(), r.prompt+r.output)
		})
	})
}

// refused handles the refusal of a request by a sidecar: it sends the request to another
// endpoint, queues it again, or answers it with the refusal.
func (e *entry) refused(c *call, refusal *verdict.Refusal) {
	e.table.Finished(c.routeAttempt)
	r := c.req
	if refusal.Reason == verdict.ReasonOverloaded {
		r.routeRequest.BacklogRefusals++
		e.sim.backlogRefusals++
		if choice, err := e.choose(r); err == nil && e.meetsDeadline(r, choice) {
			e.send(r, choice)
			return
		}
		e.push(r)
		return
	}
	r.tried = append(r.tried, c.routeAttempt.Name)
	if refusal.RetryAfter == 0 {
		e.answer(r, refusal)
		return
	}
	if len(r.tried) < 3 && e.budget.Take(e.now()) {
		if choice, err := e.choose(r); err == nil && e.meetsDeadline(r, choice) {
			e.send(r, choice)
			return
		}
	}
	r.tried = nil
	e.push(r)
}

// lost ends a request whose endpoint crashed; it may have run, so it is not retried.
func (e *entry) lost(c *call) {
	e.table.Finished(c.routeAttempt)
	e.answer(c.req, verdict.Uncertain(verdict.ReasonEndpointLost, 0, "lost"))
}

func (e *entry) firstToken(c *call) { c.req.first = e.sim.q.now }

// ended records a complete answer and the load report that came with it.
func (e *entry) ended(c *call, load wire.Load) {
	e.table.Granted(c.routeAttempt, load, e.now())
	e.table.Finished(c.routeAttempt)
	c.req.done = e.sim.q.now
	e.admit.Observe(c.req.class, c.req.forecast, seconds(c.req.done-c.req.arrived))
	e.drain()
}

// answer ends a request and records the reason of its refusal.
func (e *entry) answer(r *request, refusal *verdict.Refusal) {
	r.answer = refusal.Reason
	r.done = e.sim.q.now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// workload draws the requests of a run. withoutLong removes the long prompts after the
// draw, so that the other requests are the same with and without them.
type workload struct {
	rate        float64 // requests per second
	long        float64 // share of long prompts
	end         float64 // seconds
	withoutLong bool    // without long prompts
}

// draw returns the requests in the order of their arrival.
func (m workload) draw(seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 2))
	var all []*request
	for now := 0.0; now < m.end; now += rng.ExpFloat64() / m.rate {
		r := &request{id: uint64(len(all) + 1), arrived: now}
		r.account = fmt.Sprint("account-", int(10*math.Pow(rng.Float64(), 2)))
		r.output = 50 + rng.IntN(350)
		kind, size := rng.Float64(), rng.Float64()
		r.prompt = lengthOf(kind, size, m.long)
		r.class = route.ClassOf(r.prompt)
		r.deadline = now + 30 + float64(r.prompt)/2000
		if m.withoutLong && r.class == route.Long {
			continue
		}
		all = append(all, r)
	}
	return all
}

// lengthOf returns the length of a prompt in tokens: kind selects the class, size the
// length within it, both from 0 to 1. long is the share of long prompts.
func lengthOf(kind, size, long float64) int {
	rng := func(least, most float64) int { return int(least * math.Pow(most/least, size)) }
	switch {
	case kind < long:
		return rng(100_000, 1_000_000)
	case kind < 0.2:
		return rng(8_000, 100_000)
	}
	return rng(1_000, 8_000)
}

// meanPrompt returns the mean length of the prompts that fit into an engine, in tokens.
func (m workload) meanPrompt() float64 {
	sum, n := 0.0, 0
	rng := rand.New(rand.NewPCG(9, 9))
	for range 200_000 {
		tokens := lengthOf(rng.Float64(), rng.Float64(), m.long)
		n++
		if tokens < modelKVTokens {
			sum += float64(tokens)
		}
	}
	return sum / float64(n)
}
