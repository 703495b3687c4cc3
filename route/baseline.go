package route

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

func init() {
	kernel.Register(kernel.PluginInfo{ID: "route.random", New: func() any { return NewRandom(newSeed()) }})
	kernel.Register(kernel.PluginInfo{ID: "route.round_robin", New: func() any { return &RoundRobin{} }})
	kernel.Register(kernel.PluginInfo{ID: "route.least_requests", New: func() any { return NewLeastRequests(newSeed()) }})
	kernel.Register(kernel.PluginInfo{ID: "route.two_choices", New: func() any { return NewTwoChoices(newSeed()) }})
}

// Random takes any endpoint that fits the request.
type Random struct{ rand source }

// NewRandom returns a random chooser whose choices follow from seed.
func NewRandom(seed uint64) *Random { return &Random{rand: source{seed}} }

// Choose implements Chooser.
func (c *Random) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	i := nextFit(req, view, c.rand.below(len(view)))
	return chosen(now, req, view, i, "random")
}

// RoundRobin takes the endpoints in turn.
type RoundRobin struct{ next int }

// Choose implements Chooser.
func (c *RoundRobin) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	i := nextFit(req, view, c.next)
	c.next = i + 1
	return chosen(now, req, view, i, "turn")
}

// LeastRequests takes the endpoint with the fewest requests in flight, by the
// last report and this entry's own attempts since then.
type LeastRequests struct{ rand source }

// NewLeastRequests returns a chooser whose ties are broken by seed.
func NewLeastRequests(seed uint64) *LeastRequests { return &LeastRequests{rand: source{seed}} }

// Choose implements Chooser.
func (c *LeastRequests) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	best := -1
	start := c.rand.below(len(view))
	for n := range view {
		i := (start + n) % len(view)
		if view[i].fitness(req) != fits {
			continue
		}
		if best < 0 || view[i].requests() < view[best].requests() {
			best = i
		}
	}
	return chosen(now, req, view, best, "fewest")
}

// TwoChoices draws two endpoints and takes the one with fewer requests in flight.
type TwoChoices struct{ rand source }

// NewTwoChoices returns a chooser whose draws follow from seed.
func NewTwoChoices(seed uint64) *TwoChoices { return &TwoChoices{rand: source{seed}} }

// Choose implements Chooser.
func (c *TwoChoices) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	a := nextFit(req, view, c.rand.below(len(view)))
	if a < 0 {
		return chosen(now, req, view, a, "")
	}
	b := nextFit(req, view, c.rand.below(len(view)))
	if view[b].requests() < view[a].requests() {
		a = b
	}
	return chosen(now, req, view, a, "two")
}

// requests counts the requests in flight at the endpoint, as far as known.
func (e *Endpoint) requests() int {
	return e.Load.Running + e.Unreported
}

// nextFit returns the first endpoint from start on, in turn, that fits the
// request, or -1.
func nextFit(req *Request, view []Endpoint, start int) int {
	for n := range view {
		i := (start + n) % len(view)
		if view[i].fitness(req) == fits {
			return i
		}
	}
	return lastResort(req, view)
}

// lastResort returns a suspect endpoint that would fit otherwise, or -1: a
// suspicion may be wrong, and a refusal helps nobody.
func lastResort(req *Request, view []Endpoint) int {
	for i := range view {
		if view[i].fitness(req) == isSuspect {
			return i
		}
	}
	return -1
}

// chosen returns the choice of endpoint i, or the refusal when i is -1.
func chosen(now time.Time, req *Request, view []Endpoint, i int, reason string) (Choice, error) {
	if i < 0 {
		i = lastResort(req, view)
		reason = "suspect"
	}
	if i < 0 {
		return Choice{}, refuse(req, view)
	}
	return Choice{
		Index:      i,
		Predicted:  view[i].PredictTTFT(now, req.PromptTokens),
		Considered: len(view),
		Reason:     reason,
	}, nil
}
