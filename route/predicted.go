package route

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

func init() {
	kernel.Register(kernel.PluginInfo{ID: "route.predicted", New: func() any { return NewPredicted(newSeed()) }})
}

// Defaults of Predicted.
const (
	// defaultSamples is the number of endpoints drawn in each zone.
	defaultSamples = 8
	// defaultSpill is by how much another zone has to be quicker to be chosen.
	defaultSpill = 50 * time.Millisecond
	// defaultMaxWait is the backlog from which an endpoint gets no more. It has to
	// outlast the age of a report, so that endpoints do not run dry.
	defaultMaxWait = 4 * time.Second
	// defaultHints is the number of prompt prefixes remembered.
	defaultHints = 16_384
	// runningCost is the wait that one more request in flight is taken to cause.
	runningCost = 2 * time.Millisecond
	// exposure is the work in seconds that other entries are expected to send to an
	// endpoint in a second. The report does not hold it yet.
	exposure = 0.7
	// tolerated is by how much the wait at an endpoint may be over its prediction
	// before the sidecar turns the prompt away, in prefill time.
	tolerated = 150 * time.Millisecond
	// mostMisses is the number of such refusals after which there is no bound.
	mostMisses = 4
	// laneKeep is the share of its memory that the first lane keeps for long prompts.
	laneKeep = 0.9
	// affinityTokens is what the endpoint that rendezvous hashing prefers for a
	// repeated prefix is taken to save, in tokens, while no holder is known. It is
	// small: a busy endpoint loses the prompt to another one.
	affinityTokens = engine.PrefixBytes / 4
)

// Predicted takes the endpoint with the least predicted time to first token among
// a draw of its own zone's, and of the others' when those are quicker by Spill.
// Endpoints that probably hold the prompt's prefix are always weighed. Long
// prompts use their lanes only.
type Predicted struct {
	// Samples is the number of endpoints drawn in each zone.
	Samples int `json:"samples"`
	// Spill is by how much another zone has to be quicker to be chosen.
	Spill settings.Duration `json:"spill"`
	// MaxWait is the backlog in prefill time from which an endpoint gets no more.
	MaxWait settings.Duration `json:"max_wait"`
	// Hints says which endpoints probably hold a prompt's prefix.
	Hints *CacheHints `json:"-"`

	rand  source
	lanes Lanes
}

// NewPredicted returns the chooser with its defaults; its draws follow from seed.
func NewPredicted(seed uint64) *Predicted {
	return &Predicted{
		Samples: defaultSamples,
		Spill:   settings.Duration(defaultSpill),
		MaxWait: settings.Duration(defaultMaxWait),
		Hints:   NewCacheHints(defaultHints),
		rand:    source{seed},
		lanes:   NewLanes(),
	}
}

// candidate is the best endpoint weighed so far.
type candidate struct {
	index      int
	cost       float64
	considered int
	reason     string
}

// Choose implements Chooser.
func (c *Predicted) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	best := candidate{index: -1}
	width := c.width(req.Class, view)
	lo, hi := zoneRange(view, req.Zone)
	c.weighHolders(now, req, view, width, lo, hi, &best)
	c.weighZone(now, req, view, width, lo, hi, &best)
	if c.leavesZone(now, req, view, &best) {
		c.weighOtherZones(now, req, view, width, lo, &best)
	}
	if best.index < 0 {
		choice, err := chosen(now, req, view, -1, "")
		if r := verdict.From(err); r == nil || r.RetryAfter > 0 {
			c.count(now, req)
		}
		return choice, err
	}
	c.count(now, req)
	return Choice{
		Index:      best.index,
		Predicted:  time.Duration(best.cost),
		Considered: best.considered,
		MaxPending: maxPending(now, req, &view[best.index]),
		Reason:     best.reason,
	}, nil
}

// count takes a request into the mix, once. A prompt that no endpoint can hold is no work for any.
func (c *Predicted) count(now time.Time, req *Request) {
	if !req.counted {
		c.lanes.Observe(now, req.Class, req.PromptTokens)
		req.counted = true
	}
}

// leavesZone reports whether other zones are weighed too: for a long prompt, and
// when the best of the own zone would make the prompt wait.
func (c *Predicted) leavesZone(now time.Time, req *Request, view []Endpoint, best *candidate) bool {
	if best.index < 0 || req.Class == Long {
		return true
	}
	return c.waits(now, req, &view[best.index])
}

// width returns the number of lanes open to the class.
func (c *Predicted) width(class Class, view []Endpoint) int {
	if len(view) == 0 {
		return 0
	}
	return c.lanes.Width(class, view[0].Ranked)
}

// waits reports whether a prompt at e would wait for others for longer than Spill.
func (c *Predicted) waits(now time.Time, req *Request, e *Endpoint) bool {
	alone := time.Duration(float64(req.PromptTokens) / e.prefillRate() * float64(time.Second))
	return e.FirstTokenIn(now, req.PromptTokens)-alone > c.Spill.Std()
}

// weighOtherZones weighs every zone but the one that starts at own.
func (c *Predicted) weighOtherZones(now time.Time, req *Request, view []Endpoint, width, own int, best *candidate) {
	for lo := 0; lo < len(view); {
		_, hi := zoneRange(view, view[lo].Zone)
		if lo != own {
			c.weighZone(now, req, view, width, lo, hi, best)
		}
		lo = hi
	}
}

// weighZone weighs the zone view[lo:hi]: all of a small one, a draw of a large one.
// The draw keeps entries whose reports have the same age from all choosing the
// same endpoint.
func (c *Predicted) weighZone(now time.Time, req *Request, view []Endpoint, width, lo, hi int, best *candidate) {
	n := lanesOf(view, width, lo, hi)
	if n <= 0 {
		return
	}
	start := c.rand.below(n)
	if n <= c.Samples {
		c.weighAll(now, req, view, width, lo, n, start, best)
		return
	}
	before := best.index
	for range c.Samples {
		c.weigh(now, req, view, width, lo+c.rand.below(n), 0, best)
	}
	if before < 0 && best.index < 0 {
		c.weighAll(now, req, view, width, lo, n, start, best)
	}
}

func (c *Predicted) weighAll(now time.Time, req *Request, view []Endpoint, width, lo, n, start int, best *candidate) {
	for k := range n {
		c.weigh(now, req, view, width, lo+(start+k)%n, 0, best)
	}
}

// lanesOf returns how many endpoints of the zone view[lo:hi] are among the first
// width in rank. Within a zone the ranks grow with the order of the view.
func lanesOf(view []Endpoint, width, lo, hi int) int {
	return sort.Search(hi-lo, func(i int) bool { return view[lo+i].Rank >= width })
}

// weighHolders weighs the endpoints that probably hold the prompt's prefix. They
// compete with the others on predicted time, which bounds their load. A prefix that
// repeats and has no known holder is drawn to one endpoint of the zone.
func (c *Predicted) weighHolders(now time.Time, req *Request, view []Endpoint, width, lo, hi int, best *candidate) {
	if c.Hints == nil || req.Prefix == 0 {
		return
	}
	known := c.Hints.requested(now, req.Prefix)
	for i := range known.holder[:known.held] {
		held := &known.holder[i]
		saved := min(c.Hints.worth(now, held), float64(req.PromptTokens))
		at := indexOf(view, held.zone, held.name)
		if saved > 0 && at >= 0 {
			c.weigh(now, req, view, width, at, saved, best)
		}
	}
	if best.index < 0 && known.requests >= repeated && hi > lo {
		at := lo + preferred(view[lo:hi], req.Prefix)
		c.weigh(now, req, view, width, at, affinityTokens, best)
	}
}

// weigh makes endpoint i the best candidate when it fits and costs least.
func (c *Predicted) weigh(now time.Time, req *Request, view []Endpoint, width, i int, saved float64, best *candidate) {
	e := &view[i]
	best.considered++
	if e.Rank >= width || e.fitness(req) != fits || c.backlogged(now, e) || c.keeps(req, e) {
		return
	}
	cost := c.cost(now, req, e, saved)
	if best.index >= 0 && cost >= best.cost {
		return
	}
	best.index = i
	best.cost = cost
	best.reason = reasonFor(req, saved)
}

// backlogged reports whether so much waits at e that a prompt waits better at the
// entry, in a fair order and for whichever endpoint is free first. What waits at the
// engine holds its memory and keeps long prompts out.
func (c *Predicted) backlogged(now time.Time, e *Endpoint) bool {
	return e.PendingAt(now) > e.prefillRate()*c.MaxWait.Std().Seconds()
}

// keeps reports whether e is a lane of long prompts that keeps its memory for them:
// all of it in the first lane, and less from lane to lane. Without it, streams of
// shorter prompts always hold what a long one needs.
func (c *Predicted) keeps(req *Request, e *Endpoint) bool {
	lanes := c.lanes.Width(Long, e.Ranked)
	if req.Class == Long || e.Rank >= lanes {
		return false
	}
	kept := laneKeep * float64(e.Load.CapacityTokens) * float64(lanes-e.Rank) / float64(lanes)
	return float64(e.FreeAt()-req.Needs()) < kept
}

// cost is the predicted time to first token at e in nanoseconds, with small
// charges for a busy endpoint and another zone.
func (c *Predicted) cost(now time.Time, req *Request, e *Endpoint, saved float64) float64 {
	seconds := (e.PendingAt(now) + float64(req.PromptTokens) - saved) / e.prefillRate()
	cost := seconds * float64(time.Second)
	cost += float64(e.requests()) * float64(runningCost)
	if e.Rank < c.exposed(req.Class, e.Ranked) {
		cost += exposure * float64(max(now.Sub(e.LoadAt), 0))
	}
	if e.Zone != req.Zone {
		cost += float64(c.Spill)
	}
	return cost
}

// maxPending bounds what may wait at e: what the prediction holds and a tolerance
// that doubles with each miss, so that the prompt is taken in the end.
func maxPending(now time.Time, req *Request, e *Endpoint) int64 {
	if req.Misses >= mostMisses {
		return 0
	}
	tolerance := e.prefillRate() * tolerated.Seconds() * float64(int(1)<<req.Misses)
	return int64(e.PendingAt(now)+tolerance) + 1
}

// exposed returns the number of lanes in which longer prompts than the class's may
// have arrived since the last report.
func (c *Predicted) exposed(class Class, n int) int {
	switch class {
	case Short:
		return c.lanes.Width(Medium, n)
	case Medium:
		return c.lanes.Width(Long, n)
	}
	return 0
}

func reasonFor(req *Request, saved float64) string {
	switch {
	case saved > 0:
		return "cached"
	case req.Class == Long:
		return "lane"
	}
	return "predicted"
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
