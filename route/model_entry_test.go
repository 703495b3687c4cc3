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

// request is a caller's request in the model. Times are in seconds.
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
	first        float64 // time of the first token
	done         float64 // time of the end
	answer       verdict.Reason
	tries        int
}

// entry is an entry VM: it holds the request path's decisions.
type entry struct {
	sim            *simulation
	name           string
	zone           string
	table          *route.Table
	chooser        route.Chooser
	waiting        queue.Queue
	admit          *admit.DeadlineController
	budget         *route.RetryBudget
	pace           admit.RateMeter
	drainScheduled bool
	// choice is what fits found for the request that Pop returns.
	choice route.Choice
}

func (e *entry) now() time.Time { return at(e.sim.q.now) }

// arrive admits a request, and sends or queues it.
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

func (e *entry) choose(r *request) (route.Choice, error) {
	r.routeRequest.Tried = r.tried
	return e.chooser.Choose(e.now(), &r.routeRequest, e.table.View("m"))
}

// forecast predicts what the request takes, with the wait at the entry.
func (e *entry) forecast(r *request, choice route.Choice, refusal *verdict.Refusal) {
	view := e.table.View("m")
	mean := admit.MeanTokenRates(view)
	if refusal == nil {
		r.forecast = admit.ForecastAt(&view[choice.Index], choice, r.prompt, r.output)
	} else {
		r.forecast = mean.ForecastWithoutWait(r.prompt, r.output)
		r.forecast.Wait = refusal.RetryAfter
	}
	r.forecast.Wait += e.pace.PredictWait(e.now(), e.waiting.Tokens(r.class), e.waiting.Share(r.class), mean.Prefill)
}

func (e *entry) push(r *request) {
	item := queue.Item{
		ID: r.id, Account: r.account, Class: r.class, Tokens: r.prompt + r.output, Value: r,
		ExpiresAt: e.admit.LatestStart(r.class, r.forecast, at(r.deadline)),
	}
	if err := e.waiting.Push(e.now(), item); err != nil {
		e.answer(r, verdict.From(err))
	}
	e.scheduleDrain()
}

// wake looks at the queue once more in a moment.
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

func (e *entry) fits(item *queue.Item) bool {
	r := item.Value.(*request)
	choice, err := e.choose(r)
	e.choice = choice
	return err == nil && e.meetsDeadline(r, choice)
}

// inTime reports whether a request that has waited can still finish at the endpoint
// chosen, which may be slower than the one it was admitted for.
func (e *entry) meetsDeadline(r *request, choice route.Choice) bool {
	f := admit.ForecastAt(&e.table.View("m")[choice.Index], choice, r.prompt, r.output)
	return e.admit.Admit(e.now(), r.class, f, at(r.deadline)) == nil
}

func (e *entry) send(r *request, choice route.Choice) {
	n := e.sim.byName[e.table.View("m")[choice.Index].Name]
	c := &call{req: r, from: e, id: fmt.Sprint(r.id, "-", r.tries), maxPending: choice.MaxPending}
	r.tries++
	c.flight = e.table.Started(e.now(), n.info.Name, r.prompt, r.output)
	e.sim.q.after(linkSeconds, func() {
		refusal := n.admit(c)
		load, incarnation := n.load(), n.info.Incarnation
		e.sim.q.after(linkSeconds, func() {
			if c.flight.Incarnation == incarnation {
				e.table.Granted(c.flight, load, e.now())
			}
			if refusal != nil {
				e.refused(c, refusal)
				return
			}
			e.pace.Record(e.now(), r.prompt+r.output)
		})
	})
}

// refused sends a request that the sidecar refused elsewhere, or queues it.
func (e *entry) refused(c *call, refusal *verdict.Refusal) {
	e.table.Finished(c.flight)
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
	r.tried = append(r.tried, c.flight.Name)
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

// lost takes in that an endpoint fell with the request: the caller gets an error.
func (e *entry) lost(c *call) {
	e.table.Finished(c.flight)
	e.answer(c.req, verdict.Uncertain(verdict.ReasonEndpointLost, 0, "lost"))
}

func (e *entry) firstToken(c *call) { c.req.first = e.sim.q.now }

func (e *entry) ended(c *call, load wire.Load) {
	e.table.Granted(c.flight, load, e.now())
	e.table.Finished(c.flight)
	c.req.done = e.sim.q.now
	e.admit.Observe(c.req.class, c.req.forecast, seconds(c.req.done-c.req.arrived))
	e.drain()
}

// answer ends a request with a refusal.
func (e *entry) answer(r *request, refusal *verdict.Refusal) {
	r.answer = refusal.Reason
	r.done = e.sim.q.now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// mix draws the requests of a run. Long prompts are drawn apart from the others, so
// that a run without them has the same other requests.
type workload struct {
	rate        float64 // requests a second
	long        float64 // share of long prompts
	end         float64
	withoutLong bool // leave the long ones out
}

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

// meanPrompt is the mean of the prompts that an engine can hold, in tokens.
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
