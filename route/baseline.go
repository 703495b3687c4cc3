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

// Random chooses a random endpoint that fits the request.
type Random struct{ rand splitMix64 }

// NewRandom returns a Random seeded with seed.
func NewRandom(seed uint64) *Random { return &Random{rand: splitMix64{seed}} }

// Choose implements Chooser.
func (c *Random) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	i := nextFit(req, view, c.rand.intN(len(view)))
	return choiceAt(now, req, view, i, "random")
}

// RoundRobin chooses the endpoints that fit the request in turn.
type RoundRobin struct{ next int }

// Choose implements Chooser.
func (c *RoundRobin) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	i := nextFit(req, view, c.next)
	c.next = i + 1
	return choiceAt(now, req, view, i, "turn")
}

// LeastRequests chooses the endpoint with the fewest requests in flight: those of its
// last load report and this entry's own attempts that the report does not include.
type LeastRequests struct{ rand splitMix64 }

// NewLeastRequests returns a LeastRequests that breaks ties at random, seeded with seed.
func NewLeastRequests(seed uint64) *LeastRequests { return &LeastRequests{rand: splitMix64{seed}} }

// Choose implements Chooser.
func (c *LeastRequests) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	best := -1
	start := c.rand.intN(len(view))
	for n := range view {
		i := (start + n) % len(view)
		if view[i].fitness(req) != fits {
			continue
		}
		if best < 0 || view[i].requestsInFlight() < view[best].requestsInFlight() {
			best = i
		}
	}
	return choiceAt(now, req, view, best, "fewest")
}

// TwoChoices draws two endpoints at random and chooses the one with fewer requests in
// flight ("power of two choices").
type TwoChoices struct{ rand splitMix64 }

// NewTwoChoices returns a TwoChoices seeded with seed.
func NewTwoChoices(seed uint64) *TwoChoices { return &TwoChoices{rand: splitMix64{seed}} }

// Choose implements Chooser.
func (c *TwoChoices) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	a := nextFit(req, view, c.rand.intN(len(view)))
	if a < 0 {
		return choiceAt(now, req, view, a, "")
	}
	b := nextFit(req, view, c.rand.intN(len(view)))
	if view[b].requestsInFlight() < view[a].requestsInFlight() {
		a = b
	}
	return choiceAt(now, req, view, a, "two")
}

// requestsInFlight returns the number of requests in flight at the endpoint, as far
// as this entry knows.
func (e *Endpoint) requestsInFlight() int {
	return e.Load.Running + e.Unreported
}

// nextFit returns the index of the first endpoint, from start on and wrapping around,
// that fits the request. Without one it returns the result of fallbackSuspect.
func nextFit(req *Request, view []Endpoint, start int) int {
	for n := range view {
		i := (start + n) % len(view)
		if view[i].fitness(req) == fits {
			return i
		}
	}
	return fallbackSuspect(req, view)
}

// fallbackSuspect returns the index of an endpoint that fits the request but for being
// suspect, or -1. A suspicion may be wrong, so a suspect endpoint is better than a
// refusal.
func fallbackSuspect(req *Request, view []Endpoint) int {
	for i := range view {
		if view[i].fitness(req) == isSuspect {
			return i
		}
	}
	return -1
}

// choiceAt returns the choice of the endpoint at index i. When i is -1, it returns the
// choice of a suspect endpoint or, without one, a refusal.
func choiceAt(now time.Time, req *Request, view []Endpoint, i int, reason string) (Choice, error) {
	if i < 0 {
		i = fallbackSuspect(req, view)
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
