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
	// oldestExposed bounds the age that is charged for: an endpoint whose load does
	// not change is not reported again, however long that lasts.
	oldestExposed = 2 * time.Second
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
	affinityTokens = prefixTokens
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

// prefixTokens is what the engine's cache is taken to hold of a prompt that shares
// the first engine.PrefixBytes bytes with another, in tokens: no more is known.
const prefixTokens = engine.PrefixBytes / 4

// PrefixServed notes that an endpoint has processed a prompt with the prefix, ahead of the
// engine's own events. The host calls it at the first token.
func (c *Predicted) PrefixServed(now time.Time, zone, name string, prefix uint64) {
	c.Hints.Stored(now, zone, name, prefix, prefixTokens)
}

// Choose implements Chooser.
func (c *Predicted) Choose(now time.Time, req *Request, view []Endpoint) (Choice, error) {
	s := c.search(now, req, view)
	s.run()
	if s.best < 0 {
		choice, err := chosen(now, req, view, -1, "")
		if r := verdict.From(err); r == nil || r.RetryAfter > 0 {
			c.count(now, req)
		}
		return choice, err
	}
	c.count(now, req)
	return Choice{
		Index:      s.best,
		Predicted:  time.Duration(s.cost),
		Considered: s.considered,
		MaxPending: maxPending(now, req, &view[s.best]),
		Reason:     s.reason,
	}, nil
}

// count takes a request into the mix, once. A prompt that no endpoint can hold is no
// work for any.
func (c *Predicted) count(now time.Time, req *Request) {
	if !req.counted {
		c.lanes.Observe(now, req.Class, req.PromptTokens)
		req.counted = true
	}
}

// maxPending bounds what may wait at e: what the prediction holds and a tolerance
// that doubles with each miss, so that the prompt is taken in the end.
func maxPending(now time.Time, req *Request, e *Endpoint) int64 {
	if req.BacklogRefusals >= mostMisses {
		return 0
	}
	tolerance := e.prefillRate() * tolerated.Seconds() * float64(int(1)<<req.BacklogRefusals)
	return int64(e.PendingTokens(now)+tolerance) + 1
}
