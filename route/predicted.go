package route

import (
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

func init() {
	kernel.Register(kernel.PluginInfo{ID: "route.predicted", New: func() any { return NewPredicted(newSeed()) }})
}

const (
	// defaultSamples is the default of Predicted.Samples.
	defaultSamples = 8
	// defaultSpill is the default of Predicted.Spill.
	defaultSpill = 50 * time.Millisecond
	// defaultMaxWait is the default of Predicted.MaxWait. It is longer than the age of
	// a load report, so that an endpoint does not run out of work between reports.
	defaultMaxWait = 4 * time.Second
	// defaultHints is the number of prompt prefixes that CacheHints can hold.
	defaultHints = 16_384
	// requestCost is the additional time to first token assumed for each request in
	// flight at an endpoint.
	requestCost = 2 * time.Millisecond
	// otherEntriesRate is the prefill work, in seconds per second, that other entries
	// are assumed to send to an endpoint after its last load report.
	otherEntriesRate = 0.7
	// maxChargedAge bounds the age of a report for which otherEntriesRate is charged.
	// A load that does not change is not reported again, so an old report does not
	// mean that much work has arrived since.
	maxChargedAge = 2 * time.Second
	// pendingTolerance is the prefill time by which the work pending at an endpoint may
	// exceed the entry's estimate before the sidecar refuses the dispatch.
	pendingTolerance = 150 * time.Millisecond
	// maxBacklogRefusals is the number of refusals for backlog after which the further
	// dispatches of a request have no Choice.MaxPending.
	maxBacklogRefusals = 4
	// firstLaneReserve is the share of its KV memory that the first lane reserves for
	// long prompts.
	firstLaneReserve = 0.9
	// affinityTokens is the number of cached tokens assumed at the endpoint that
	// rendezvous hashing selects for a shared prefix while no holder is known. It is
	// small, so that the prompt goes elsewhere when that endpoint is busy.
	affinityTokens = prefixTokens
)

// Predicted chooses the endpoint with the lowest predicted time to first token among
// random samples. It samples the request's own availability zone, and the other zones
// for a long prompt or when the prompt would wait in its own zone. Endpoints that
// probably hold the prompt's prefix are always considered. Long prompts use only their
// lanes, see Lanes.
type Predicted struct {
	// Samples is the number of endpoints sampled in each availability zone.
	Samples int `json:"samples"`
	// Spill is the time by which an endpoint of another availability zone must be
	// faster to be chosen. It is also the longest wait for prefill in the request's own
	// zone for which the other zones are not sampled; a long prompt samples them always.
	Spill settings.Duration `json:"spill"`
	// MaxWait is the prefill time of the backlog above which an endpoint is not chosen.
	MaxWait settings.Duration `json:"max_wait"`
	// Hints records which endpoints probably hold a prompt's prefix.
	Hints *CacheHints `json:"-"`

	rand  splitMix64
	lanes Lanes
}

// NewPredicted returns a Predicted with default settings, seeded with seed.
func NewPredicted(seed uint64) *Predicted {
	return &Predicted{
		Samples: defaultSamples,
		Spill:   settings.Duration(defaultSpill),
		MaxWait: settings.Duration(defaultMaxWait),
		Hints:   NewCacheHints(defaultHints),
		rand:    splitMix64{seed},
		lanes:   NewLanes(),
	}
}

// Validate implements kernel.Validator.
func (c *Predicted) Validate() error {
	switch {
	case c.Samples < 1:
		return errors.New("samples has to be at least 1")
	case c.Spill < 0:
		return errors.New("spill may not be negative")
	case c.MaxWait <= 0:
		return errors.New("max_wait has to be above 0")
	}
	return nil
}

// prefixTokens is the number of cached tokens assumed for two prompts with the same
// first engine.PrefixBytes bytes, at 4 bytes per token. Whether they share more is not
// known.
const prefixTokens = engine.PrefixBytes / 4

// PrefixServed implements PrefixObserver.
func (c *Predicted) PrefixServed(now time.Time, zone, name string, prefix uint64) {
	c.Hints.Stored(now, zone, name, prefix, prefixTokens)
}

// Choose implements Chooser.
func (c *Predicted) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	s := c.search(now, req, view)
	s.run()
	if s.best < 0 {
		choice, err := choiceAt(now, req, view, -1, "")
		if r := verdict.From(err); r == nil || r.RetryAfter > 0 {
			c.countOnce(now, req)
		}
		return choice, err
	}
	c.countOnce(now, req)
	return Choice{
		Index:      s.best,
		Predicted:  time.Duration(s.cost),
		Considered: s.considered,
		MaxPending: maxPending(now, req, &view[s.best]),
		Reason:     s.reason,
	}, nil
}

// countOnce adds a request to the traffic mix unless it is already counted. Choose does
// not call it for a prompt that no endpoint can hold, which causes no work.
func (c *Predicted) countOnce(now time.Time, req *Request) {
	if !req.counted {
		c.lanes.Observe(now, req.Class, req.PromptTokens)
		req.counted = true
	}
}

// maxPending returns Choice.MaxPending for a dispatch to e: the estimated pending
// tokens and a tolerance. The tolerance doubles with each refusal for backlog, and the
// bound ends after maxBacklogRefusals, so that the prompt is eventually admitted.
func maxPending(now time.Time, req *Request, e *Endpoint) int64 {
	if req.BacklogRefusals >= maxBacklogRefusals {
		return 0
	}
	tolerance := e.prefillRate() * pendingTolerance.Seconds() * float64(int(1)<<req.BacklogRefusals)
	return int64(e.PendingTokens(now)+tolerance) + 1
}
