package route

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// search is the state of one call of Predicted.Choose. It stays on the stack.
type search struct {
	policy *Predicted
	now    time.Time
	req    *Request
	view   []Endpoint
	// width is the number of lanes of the request's class, longLanes and mediumLanes
	// those of long and medium prompts. An endpoint with a rank below chargedLanes may
	// have received prompts of a longer class than the request since its last load
	// report; predictCost adds a charge for them.
	width        int
	longLanes    int
	mediumLanes  int
	chargedLanes int

	best       int     // index of the best endpoint so far, or -1
	cost       float64 // its predicted cost in nanoseconds
	considered int     // number of endpoints evaluated
	reason     string  // Choice.Reason of the best endpoint
}

// search returns the state for one request, with its lanes.
func (c *Predicted) search(now time.Time, req *Request, view []Endpoint) search {
	s := search{policy: c, now: now, req: req, view: view, best: -1}
	if len(view) == 0 {
		return s
	}
	rankCount := view[0].RankCount
	s.width = c.lanes.Width(req.Class, rankCount)
	s.longLanes = c.lanes.Width(Long, rankCount)
	s.mediumLanes = c.lanes.Width(Medium, rankCount)
	switch req.Class {
	case Short:
		s.chargedLanes = s.mediumLanes
	case Medium:
		s.chargedLanes = s.longLanes
	}
	return s
}

// run evaluates the probable holders of the prefix, the request's own zone and, if
// needed, the other zones.
func (s *search) run() {
	lo, hi := zoneRange(s.view, s.req.Zone)
	s.evaluateHolders(lo, hi)
	s.evaluateZone(lo, hi)
	if s.needsOtherZones() {
		s.evaluateOtherZones()
	}
}

// needsOtherZones reports whether other zones are evaluated too: for a long prompt, or
// when no endpoint was found or the prompt would wait for longer than Spill at the best
// one.
func (s *search) needsOtherZones() bool {
	if s.best < 0 || s.req.Class == Long {
		return true
	}
	e := &s.view[s.best]
	return e.PendingTokens(s.now) > e.prefillRate()*s.policy.Spill.Std().Seconds()
}

// evaluateOtherZones evaluates every zone except the request's own.
func (s *search) evaluateOtherZones() {
	for lo := 0; lo < len(s.view); {
		_, hi := zoneRange(s.view, s.view[lo].Zone)
		if s.view[lo].Zone != s.req.Zone {
			s.evaluateZone(lo, hi)
		}
		lo = hi
	}
}

// evaluateZone evaluates the lanes of the request in the zone view[lo:hi]: all of them,
// or a random sample if there are many. Sampling keeps entries with the same load
// reports from all choosing the same endpoint.
func (s *search) evaluateZone(lo, hi int) {
	n := lanesInZone(s.view, s.width, lo, hi)
	if n <= 0 {
		return
	}
	if n <= s.policy.Samples {
		s.evaluateLanes(lo, n)
		return
	}
	for range s.policy.Samples {
		s.evaluate(lo+s.policy.rand.intN(n), 0)
	}
	if s.best < 0 {
		s.evaluateLanes(lo, n)
	}
}

// evaluateLanes evaluates view[lo:lo+n] from a random start, because the first of
// several endpoints with the same cost is chosen.
func (s *search) evaluateLanes(lo, n int) {
	start := s.policy.rand.intN(n)
	for k := range n {
		s.evaluate(lo+(start+k)%n, 0)
	}
}

// evaluateHolders evaluates the endpoints that probably hold the prompt's prefix. They
// compete with the others on predicted cost, which limits their load. For a shared
// prefix without a usable holder, rendezvous hashing selects one endpoint of the zone
// view[lo:hi], so that all entries prefer the same one.
func (s *search) evaluateHolders(lo, hi int) {
	hints := s.policy.Hints
	if hints == nil || s.req.Prefix == 0 {
		return
	}
	known := hints.findOrReplace(s.now, s.req.Prefix)
	if !s.req.counted {
		known.requests++
	}
	for i := range known.holder[:known.held] {
		held := &known.holder[i]
		saved := min(hints.expectedSaving(s.now, held), float64(s.req.PromptTokens))
		at := indexOf(s.view, held.zone, held.name)
		if saved > 0 && at >= 0 {
			s.evaluate(at, saved)
		}
	}
	if s.best < 0 && known.requests >= sharedPrefixRequests && hi > lo {
		s.evaluate(lo+rendezvousIndex(s.view[lo:hi], s.req.Prefix), affinityTokens)
	}
}

// evaluate makes view[i] the best endpoint if it can take the request at the lowest cost
// so far. saved is the number of prompt tokens that its prefix cache is expected to save.
func (s *search) evaluate(i int, saved float64) {
	e := &s.view[i]
	s.considered++
	if e.Rank >= s.width || e.fitness(s.req) != fits || s.reservedForLong(e) {
		return
	}
	pending := e.PendingTokens(s.now)
	if s.backlogged(e, pending) {
		return
	}
	cost := s.predictCost(e, pending-saved)
	if s.best >= 0 && cost >= s.cost {
		return
	}
	s.best = i
	s.cost = cost
	s.reason = s.reasonFor(saved)
}

// backlogged reports whether the pending prompt tokens at e take longer than MaxWait. The
// prompt then waits in the queue of the entry instead, which is fair and dispatches to
// whichever endpoint is free first. Prompts that wait at the engine occupy its memory
// and keep long prompts out.
func (s *search) backlogged(e *Endpoint, pending float64) bool {
	return pending > e.prefillRate()*s.policy.MaxWait.Std().Seconds()
}

// reservedForLong reports whether a shorter request would use memory of e that is
// reserved for long prompts. Each lane of long prompts reserves a share of its memory:
// firstLaneReserve in the first lane, and linearly less in each further one. Otherwise
// streams of shorter prompts would always hold the memory that a long prompt needs.
// Nothing is reserved if there are so few endpoints that all lanes of medium prompts are
// also lanes of long ones.
func (s *search) reservedForLong(e *Endpoint) bool {
	if s.req.Class == Long || e.Rank >= s.longLanes || s.longLanes >= s.mediumLanes {
		return false
	}
	lanePosition := float64(s.longLanes-e.Rank) / float64(s.longLanes)
	kept := firstLaneReserve * lanePosition * float64(e.Load.CapacityTokens)
	return float64(e.AvailableTokens()-s.req.RequiredTokens()) < kept
}

// predictCost returns the predicted time to first token at e in nanoseconds. ahead is
// the number of prompt tokens to prefill before the prompt, less those that the prefix
// cache saves. The cost includes charges for requests in flight, for work that other
// entries may have sent since the last report, and for another zone.
func (s *search) predictCost(e *Endpoint, ahead float64) float64 {
	work := ahead + float64(s.req.PromptTokens)
	cost := work / e.prefillRate() * float64(time.Second)
	cost += float64(e.requestsInFlight()) * float64(requestCost)
	if e.Rank < s.chargedLanes && !e.Service {
		cost += otherEntriesRate * float64(min(max(s.now.Sub(e.LoadAt), 0), maxChargedAge))
	}
	if e.Zone != s.req.Zone {
		cost += float64(s.policy.Spill)
	}
	return cost
}

// reasonFor returns Choice.Reason for an endpoint that saves the given prompt tokens.
func (s *search) reasonFor(saved float64) string {
	switch {
	case saved > 0:
		return "cached"
	case s.req.Class == Long:
		return "lane"
	}
	return "predicted"
}

// lanesInZone returns the number of endpoints of the zone view[lo:hi] whose rank is
// below width. They come first, because ranks do not decrease within a zone.
func lanesInZone(view []Endpoint, width, lo, hi int) int {
	return sort.Search(hi-lo, func(i int) bool { return view[lo+i].Rank >= width })
}

// zoneRange returns the range of a zone's endpoints in a view, which is sorted by zone.
func zoneRange(view []Endpoint, zone string) (lo, hi int) {
	lo = sort.Search(len(view), func(i int) bool { return view[i].Zone >= zone })
	hi = lo + sort.Search(len(view)-lo, func(i int) bool { return view[lo+i].Zone > zone })
	return lo, hi
}

// indexOf returns the index of an endpoint in a view, which is sorted by zone and hash,
// or -1.
func indexOf(view []Endpoint, zone, name string) int {
	hash := xxhash.Sum64String(name)
	i := sort.Search(len(view), func(i int) bool {
		e := &view[i]
		return e.Zone > zone || e.Zone == zone && e.hash >= hash
	})
	if i == len(view) || view[i].Name != name {
		return -1
	}
	return i
}

// rendezvousIndex returns the index of the endpoint that rendezvous hashing selects for
// the prefix, so that prompts with the same prefix go to the same endpoint before any
// cache event arrives.
func rendezvousIndex(view []Endpoint, prefix uint64) int {
	best := 0
	most := uint64(0)
	for i := range view {
		weight := mix64(prefix ^ view[i].hash)
		if weight > most {
			best, most = i, weight
		}
	}
	return best
}
