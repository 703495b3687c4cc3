package route_test

import (
	"container/heap"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/ramp"
	"github.com/rosemaryproxy/rosemaryproxy/reserve"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Parameters of the simulated engines and their network.
const (
	modelKVTokens     = 600_000 // KV memory of an engine, in tokens
	modelPrefillRate  = 25_000  // prefill tokens per second, without the fixed cost of steps
	chunkTokens       = 1_024   // maximum prefill tokens in a step
	stepBaseSeconds   = 0.008   // fixed cost of a step
	stepDecodeSeconds = 0.0001  // cost of each stream in a step
	coldSlowdown      = 4       // factor by which a cold engine is slower
	warmUpTokens      = 300_000 // prefill tokens until a cold engine is warm
	maxColdPending    = 150_000 // pending prompt tokens above which a cold engine crashes; a single prompt may have more
	fullPrefillRate   = chunkTokens / (stepBaseSeconds + chunkTokens/float64(modelPrefillRate))
	linkSeconds       = 0.0005 // one-way latency between entry and sidecar
	reportInterval    = 1.0    // mean seconds between load reports to the entries
	reportDelay       = 0.1    // minimum seconds until a report arrives; random up to 1.5 times as long
)

// scheduledEvent is a function to call at a simulated time in seconds. seq orders events
// of the same time.
type scheduledEvent struct {
	at  float64
	seq int
	do  func()
}

// eventQueue is the clock of the simulation and a heap of its future events.
type eventQueue struct {
	heap []scheduledEvent
	seq  int
	now  float64
}

func (q *eventQueue) Len() int { return len(q.heap) }
func (q *eventQueue) Less(i, j int) bool {
	if q.heap[i].at != q.heap[j].at {
		return q.heap[i].at < q.heap[j].at
	}
	return q.heap[i].seq < q.heap[j].seq
}
func (q *eventQueue) Swap(i, j int) { q.heap[i], q.heap[j] = q.heap[j], q.heap[i] }
func (q *eventQueue) Push(x any)    { q.heap = append(q.heap, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := q.heap[len(q.heap)-1]
	q.heap = q.heap[:len(q.heap)-1]
	return last
}

// after schedules a call of do the given number of seconds from now.
func (q *eventQueue) after(seconds float64, do func()) {
	q.seq++
	heap.Push(q, scheduledEvent{at: q.now + seconds, seq: q.seq, do: do})
}

// run calls the events in the order of their times, up to the time end.
func (q *eventQueue) run(end float64) {
	for len(q.heap) > 0 && q.heap[0].at <= end {
		ev := heap.Pop(q).(scheduledEvent)
		q.now = ev.at
		ev.do()
	}
}

// epoch is the start of the simulated time.
var epoch = time.Unix(1_000_000, 0)

// at returns the simulated time the given number of seconds after epoch.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// modelEndpoint simulates an endpoint: an engine with continuous batching and chunked
// prefill, and its sidecar with memory reservations and slow start. Prefill is first
// come, first served, unless priorities is set.
type modelEndpoint struct {
	q               *eventQueue
	info            wire.Endpoint
	reservations    *reserve.Reservations
	ramp            *ramp.Ramp
	prefill         []*call
	decode          []*call
	inStep          bool
	prefilledTokens float64 // prompt tokens prefilled since the start of the engine
	prefillRate     float64 // measured prefill rate, in tokens per second
	stepRate        float64 // measured steps per second during prefill; each step gives every stream a token
	crashes         int
	limited         bool // whether the sidecar applies reservations and slow start
	// priorities is set when the engine prefills shorter classes first, in every step.
	priorities bool
}

// call is one attempt of a request at an endpoint.
type call struct {
	req          *request
	from         *entry
	routeAttempt route.Attempt
	id           string
	left         int // prompt tokens still to prefill
	produced     int
	incarnation  uint64
	// maxPending is Choice.MaxPending.
	maxPending int64
}

// newModelEndpoint returns an idle endpoint, cold or warm.
func newModelEndpoint(q *eventQueue, name, zone string, cold bool) *modelEndpoint {
	n := &modelEndpoint{q: q, limited: true}
	n.info = wire.Endpoint{Name: name, Zone: zone, Target: "m", Incarnation: 1}
	n.reservations = reserve.NewReservations(reserve.DefaultSettings())
	n.ramp = ramp.New(ramp.DefaultSettings())
	n.report()
	if !cold {
		n.prefillRate = fullPrefillRate
		n.stepRate = fullPrefillRate / chunkTokens
		n.prefilledTokens = warmUpTokens
		for n.ramp.Cold() {
			_ = n.ramp.Admit(100_000)
			n.ramp.Complete(100_000)
			n.ramp.EndAttempt(0)
		}
	}
	return n
}

// used returns the KV tokens of the requests at the engine.
func (n *modelEndpoint) used() int64 {
	sum := int64(0)
	for _, c := range n.prefill {
		sum += int64(c.req.prompt)
	}
	for _, c := range n.decode {
		sum += int64(c.req.prompt + c.produced)
	}
	return sum
}

// report passes the engine's load report to the sidecar.
func (n *modelEndpoint) report() {
	load := engine.Load{Boot: n.info.Incarnation, TotalTokens: modelKVTokens, FreeTokens: modelKVTokens - n.used()}
	n.reservations.ApplyReport(at(n.q.now), load)
}

// pending returns the prompt tokens that wait for prefill.
func (n *modelEndpoint) pending() int64 {
	sum := int64(0)
	for _, c := range n.prefill {
		sum += int64(c.left)
	}
	return sum
}

// load returns the endpoint's load as the sidecar reports it.
func (n *modelEndpoint) load() wire.Load {
	l := wire.Load{
		FreeTokens:     n.reservations.Free(at(n.q.now)),
		CapacityTokens: modelKVTokens - n.reservations.Margin(at(n.q.now)),
		PendingPrefill: n.pending(),
		PrefillRate:    n.prefillRate,
		DecodeRate:     n.stepRate,
		RampTokens:     n.ramp.Remaining(),
		Running:        len(n.prefill) + len(n.decode),
	}
	if !n.limited {
		l.RampTokens = ramp.Warm
	}
	return l
}

// admit starts a dispatched attempt, or returns the sidecar's refusal.
func (n *modelEndpoint) admit(c *call) *verdict.Refusal {
	tokens := int64(c.req.prompt + c.req.output)
	if c.maxPending > 0 && n.pending() > c.maxPending {
		return verdict.Refuse(verdict.ReasonOverloaded, time.Second, "more tokens pending than MaxPending")
	}
	if n.limited {
		if err := n.reservations.Reserve(at(n.q.now), c.id, c.from.name, tokens, at(n.q.now+600)); err != nil {
			return verdict.From(err)
		}
		if err := n.ramp.Admit(tokens); err != nil {
			n.reservations.Release(at(n.q.now), c.id)
			return verdict.From(err)
		}
	}
	c.left = c.req.prompt
	c.incarnation = n.info.Incarnation
	n.prefill = append(n.prefill, c)
	if n.priorities {
		slices.SortStableFunc(n.prefill, func(a, b *call) int { return int(a.req.class) - int(b.req.class) })
	}
	if n.overloaded() {
		n.crash()
		return nil
	}
	n.start()
	return nil
}

// overloaded reports whether the engine crashes: its requests exceed its memory, or it is
// cold and has more than one prompt and over maxColdPending tokens pending.
func (n *modelEndpoint) overloaded() bool {
	if n.used() > modelKVTokens {
		return true
	}
	cold := n.prefilledTokens < warmUpTokens
	return cold && len(n.prefill) > 1 && n.pending() > maxColdPending
}

// crash drops all work and restarts the endpoint cold, as a new incarnation.
func (n *modelEndpoint) crash() {
	n.crashes++
	lost := append(slices.Clone(n.prefill), n.decode...)
	n.prefill, n.decode, n.prefilledTokens, n.prefillRate, n.stepRate, n.inStep = nil, nil, 0, 0, 0, false
	n.info.Incarnation++
	n.ramp.Reset()
	n.report()
	for _, c := range lost {
		n.q.after(linkSeconds, func() { c.from.lost(c) })
	}
}

// start begins an engine step unless one is running or there is no work.
func (n *modelEndpoint) start() {
	if n.inStep || len(n.prefill)+len(n.decode) == 0 {
		return
	}
	n.inStep = true
	budget := chunkTokens
	for _, c := range n.prefill {
		budget -= min(budget, c.left)
	}
	tokens := chunkTokens - budget
	seconds := stepBaseSeconds + float64(tokens)/modelPrefillRate + stepDecodeSeconds*float64(len(n.decode))
	if n.prefilledTokens < warmUpTokens {
		seconds *= coldSlowdown
	}
	incarnation := n.info.Incarnation
	n.q.after(seconds, func() {
		if n.info.Incarnation == incarnation {
			n.finish(tokens, seconds)
		}
	})
}

// finish ends an engine step, which produced one token for each stream and prefilled the
// given number of tokens.
func (n *modelEndpoint) finish(tokens int, seconds float64) {
	n.inStep = false
	n.prefilledTokens += float64(tokens)
	if tokens > chunkTokens/2 {
		prefillRate := float64(tokens) / seconds
		if n.prefillRate == 0 {
			n.prefillRate, n.stepRate = prefillRate, 1/seconds
		}
		n.prefillRate += 0.05 * (prefillRate - n.prefillRate)
		n.stepRate += 0.05 * (1/seconds - n.stepRate)
		n.ramp.ObserveRate(n.prefillRate)
	}
	streams := n.decode
	n.decode = n.decode[:0:len(n.decode)]
	kept := make([]*call, 0, len(streams)+1)
	for _, c := range streams {
		c.produced++
		if c.produced < c.req.output {
			kept = append(kept, c)
			continue
		}
		n.end(c)
	}
	for tokens > 0 {
		c := n.prefill[0]
		part := min(tokens, c.left)
		c.left -= part
		tokens -= part
		if c.left == 0 {
			n.prefill = slices.Delete(n.prefill, 0, 1)
			kept = append(kept, c)
			n.reservations.RecordUsage(at(n.q.now), c.id, int64(c.req.prompt))
			n.ramp.Complete(int64(c.req.prompt))
			n.q.after(linkSeconds, func() { c.from.firstToken(c) })
		}
	}
	n.decode = kept
	n.start()
}

// end completes an attempt with its last output token.
func (n *modelEndpoint) end(c *call) {
	if n.limited {
		n.reservations.Release(at(n.q.now), c.id)
		n.ramp.Complete(int64(c.req.output))
		n.ramp.EndAttempt(0)
	}
	load := n.load()
	n.q.after(linkSeconds, func() { c.from.ended(c, load) })
}
