package route

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// search looks for the endpoint of one request. It lives on the stack of Choose.
type search struct {
	policy *Predicted
	now    time.Time
	req    *Request
	view   []Endpoint
	// width is the number of lanes open to the request's class, longLanes and
	// mediumLanes those of long and medium prompts, and exposed that of lanes in which
	// longer prompts than the request may have arrived since the last report.
	width       int
	longLanes   int
	mediumLanes int
	exposed     int

	best       int
	cost       float64
	considered int
	reason     string
}

func (c *Predicted) search(now time.Time, req *Request, view []Endpoint) search {
	s := search{policy: c, now: now, req: req, view: view, best: -1}
	if len(view) == 0 {
		return s
	}
	ranked := view[0].RankCount
	s.width = c.lanes.Width(req.Class, ranked)
	s.longLanes = c.lanes.Width(Long, ranked)
	s.mediumLanes = c.lanes.Width(Medium, ranked)
	switch req.Class {
	case Short:
		s.exposed = s.mediumLanes
	case Medium:
		s.exposed = s.longLanes
	}
	return s
}

// run weighs the likely holders of the prefix, the own zone and, when that is not
// enough, the other zones.
func (s *search) run() {
	lo, hi := zoneRange(s.view, s.req.Zone)
	s.weighHolders(lo, hi)
	s.weighZone(lo, hi)
	if s.leavesZone() {
		s.weighOtherZones()
	}
}

// leavesZone reports whether other zones are weighed too: for a long prompt, and
// when the best of the own zone would make the prompt wait.
func (s *search) leavesZone() bool {
	if s.best < 0 || s.req.Class == Long {
		return true
	}
	e := &s.view[s.best]
	return e.PendingTokens(s.now) > e.prefillRate()*s.policy.Spill.Std().Seconds()
}

// weighOtherZones weighs every zone but the request's own.
func (s *search) weighOtherZones() {
	for lo := 0; lo < len(s.view); {
		_, hi := zoneRange(s.view, s.view[lo].Zone)
		if s.view[lo].Zone != s.req.Zone {
			s.weighZone(lo, hi)
		}
		lo = hi
	}
}

// weighZone weighs the zone view[lo:hi]: all of a small one, a draw of a large one.
// The draw keeps entries whose reports have the same age from all choosing the
// same endpoint.
func (s *search) weighZone(lo, hi int) {
	n := lanesOf(s.view, s.width, lo, hi)
	if n <= 0 {
		return
	}
	if n <= s.policy.Samples {
		s.weighAll(lo, n)
		return
	}
	for range s.policy.Samples {
		s.weigh(lo+s.policy.rand.below(n), 0)
	}
	if s.best < 0 {
		s.weighAll(lo, n)
	}
}

// weighAll weighs n endpoints from lo on, from a random one on: the first of equals
// is taken.
func (s *search) weighAll(lo, n int) {
	start := s.policy.rand.below(n)
	for k := range n {
		s.weigh(lo+(start+k)%n, 0)
	}
}

// weighHolders weighs the endpoints that probably hold the prompt's prefix. They
// compete with the others on predicted time, which bounds their load. A prefix that
// repeats and has no known holder is drawn to one endpoint of the zone view[lo:hi].
func (s *search) weighHolders(lo, hi int) {
	hints := s.policy.Hints
	if hints == nil || s.req.Prefix == 0 {
		return
	}
	known := hints.slotOf(s.now, s.req.Prefix)
	if !s.req.counted {
		known.requests++
	}
	for i := range known.holder[:known.held] {
		held := &known.holder[i]
		saved := min(hints.worth(s.now, held), float64(s.req.PromptTokens))
		at := indexOf(s.view, held.zone, held.name)
		if saved > 0 && at >= 0 {
			s.weigh(at, saved)
		}
	}
	if s.best < 0 && known.requests >= repeated && hi > lo {
		s.weigh(lo+preferred(s.view[lo:hi], s.req.Prefix), affinityTokens)
	}
}

// weigh makes endpoint i the best when it takes the request and costs least. saved is
// the prompt tokens that its cache is expected to save.
func (s *search) weigh(i int, saved float64) {
	e := &s.view[i]
	s.considered++
	if e.Rank >= s.width || e.fitness(s.req) != fits || s.keeps(e) {
		return
	}
	pending := e.PendingTokens(s.now)
	if s.backlogged(e, pending) {
		return
	}
	cost := s.costOf(e, pending-saved)
	if s.best >= 0 && cost >= s.cost {
		return
	}
	s.best = i
	s.cost = cost
	s.reason = s.reasonFor(saved)
}

// backlogged reports whether so much waits at e that a prompt waits better at the
// entry, in a fair order and for whichever endpoint is free first. What waits at the
// engine holds its memory and keeps long prompts out.
func (s *search) backlogged(e *Endpoint, pending float64) bool {
	return pending > e.prefillRate()*s.policy.MaxWait.Std().Seconds()
}

// keeps reports whether e is a lane of long prompts that keeps its memory for them:
// most of it in the first lane, and less from lane to lane. Without it, streams of
// shorter prompts always hold what a long one needs. With so few endpoints that medium
// prompts have none beside the lanes, nothing is kept.
func (s *search) keeps(e *Endpoint) bool {
	if s.req.Class == Long || e.Rank >= s.longLanes || s.longLanes >= s.mediumLanes {
		return false
	}
	place := float64(s.longLanes-e.Rank) / float64(s.longLanes)
	kept := laneKeep * place * float64(e.Load.CapacityTokens)
	return float64(e.AvailableTokens()-s.req.RequiredTokens()) < kept
}

// costOf is the predicted time to first token at e in nanoseconds, behind the given
// prompt tokens, with charges for a busy endpoint, an old report and another zone.
func (s *search) costOf(e *Endpoint, ahead float64) float64 {
	work := ahead + float64(s.req.PromptTokens)
	cost := work / e.prefillRate() * float64(time.Second)
	cost += float64(e.requests()) * float64(runningCost)
	if e.Rank < s.exposed && !e.Service {
		cost += exposure * float64(min(max(s.now.Sub(e.LoadAt), 0), oldestExposed))
	}
	if e.Zone != s.req.Zone {
		cost += float64(s.policy.Spill)
	}
	return cost
}

func (s *search) reasonFor(saved float64) string {
	switch {
	case saved > 0:
		return "cached"
	case s.req.Class == Long:
		return "lane"
	}
	return "predicted"
}

// lanesOf returns how many endpoints of the zone view[lo:hi] are among the first
// width in rank. Within a zone the ranks grow with the order of the view.
func lanesOf(view []Endpoint, width, lo, hi int) int {
	return sort.Search(hi-lo, func(i int) bool { return view[lo+i].Rank >= width })
}

// zoneRange returns the range of a zone's endpoints in a view sorted by zone.
func zoneRange(view []Endpoint, zone string) (lo, hi int) {
	lo = sort.Search(len(view), func(i int) bool { return view[i].Zone >= zone })
	hi = lo + sort.Search(len(view)-lo, func(i int) bool { return view[lo+i].Zone > zone })
	return lo, hi
}

// indexOf returns the place of an endpoint in a view sorted by zone and hash, or -1.
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

// preferred returns the endpoint of the view that rendezvous hashing gives the
// prefix, so that prompts with one prefix meet before any cache event has come.
func preferred(view []Endpoint, prefix uint64) int {
	best := 0
	most := uint64(0)
	for i := range view {
		weight := mix(prefix ^ view[i].hash)
		if weight > most {
			best, most = i, weight
		}
	}
	return best
}
