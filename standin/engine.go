package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

// Engine is a stand-in of a model engine. NewEngine creates one.
type Engine struct {
	cfg    EngineConfig
	clock  kernel.Clock
	client *http.Client
	// wake has a buffer of one and makes run step at once.
	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	// loop waits for the goroutine of run.
	loop sync.WaitGroup

	// mu guards everything below, including the requests.
	mu sync.Mutex
	// boot identifies the present start of the engine and rises with each start.
	boot uint64
	// total is the size of the memory in KV tokens, held the part that requests use,
	// and exported the part that exported and imported caches use.
	total int64
	held  int64
	// requests are the known requests by sequence number, and byID those with an ID.
	requests map[uint64]*request
	byID     map[string]*request
	nextSeq  uint64
	cache    *prefixCache
	// handles are the exported and imported caches by handle.
	handles      map[string]*cachedPrefix
	exported     int64
	reports      reports
	events       events
	modelState   modelState
	faults       faults
	admissionLog admissionLog
	lastStep     time.Time
	// warmUpStart is when the engine last turned cold.
	warmUpStart time.Time
	// downUntil is when the engine is reachable again.
	downUntil time.Time
}

// modelState describes the loaded model and what orders have set.
type modelState struct {
	model    string
	version  string
	role     string
	adapters []string
	// fence is the highest fencing number seen.
	fence uint64
	// loading is set while weights are read.
	loading bool
}

// NewEngine starts an engine, which runs until Close.
func NewEngine(cfg EngineConfig, clock kernel.Clock) *Engine {
	e := &Engine{
		cfg:        cfg,
		clock:      clock,
		client:     &http.Client{Transport: &http.Transport{}},
		wake:       make(chan struct{}, 1),
		closed:     make(chan struct{}),
		total:      cfg.KVTokens,
		requests:   map[uint64]*request{},
		byID:       map[string]*request{},
		modelState: modelState{model: cfg.Model, version: cfg.Version, role: cfg.Role},
		faults:     faults{slowdown: 1, eventLossShare: cfg.EventLossShare, lag: cfg.scaled(cfg.LoadLag), eventLag: cfg.scaled(cfg.EventLag)},
	}
	e.mu.Lock()
	e.reboot(clock.Now())
	if cfg.ColdStart.WarmFirst {
		e.warmUpStart = time.Time{}
	}
	e.mu.Unlock()
	e.loop.Go(e.run)
	return e
}

// Close stops the engine and aborts all requests.
func (e *Engine) Close() {
	e.closeOnce.Do(func() {
		close(e.closed)
		e.Resume()
	})
	e.loop.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAll()
	e.client.CloseIdleConnections()
}

// Boot returns the number that identifies the present start of the engine. It rises
// with each restart.
func (e *Engine) Boot() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// FreeTokens returns the free memory in KV tokens. Cached prefixes count as free,
// since they are evicted when requests need their memory.
func (e *Engine) FreeTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.free()
}

// HeldTokens returns the memory, in KV tokens, that requests and the caches with a
// handle use.
func (e *Engine) HeldTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held + e.exported
}

// Config returns the engine's settings.
func (e *Engine) Config() EngineConfig { return e.cfg }

func (e *Engine) free() int64 { return e.total - e.held - e.exported }

// reboot restarts the engine: cold, with an empty prefix cache and without
// exported caches. The caller holds e.mu.
func (e *Engine) reboot(now time.Time) {
	e.boot = max(e.boot+1, uint64(now.UnixNano()))
	e.cache = newPrefixCache()
	e.handles = map[string]*cachedPrefix{}
	e.exported = 0
	e.warmUpStart = now
	e.lastStep = now
	e.sampleLoad(now)
}

// crash aborts all requests and restarts the engine, which is unreachable until
// RestartDelay has passed. The caller holds e.mu.
func (e *Engine) crash(now time.Time) {
	e.abortAll()
	e.reboot(now)
	e.downUntil = now.Add(e.cfg.scaled(e.cfg.RestartDelay))
	e.warmUpStart = e.downUntil
}

// abortAll aborts and removes all requests. The caller holds e.mu.
func (e *Engine) abortAll() {
	for _, r := range e.requests {
		e.end(r, aborted)
		r.phase = aborted
		r.signal()
		e.remove(r)
	}
}

// end moves r to its final phase, finished or aborted, and frees its memory. The
// caller holds e.mu.
func (e *Engine) end(r *request, last phase) {
	if r.ended() {
		return
	}
	e.held -= r.held()
	r.phase = last
	r.signal()
}

// remove deletes r from the known requests, so that it can't be resumed. The caller
// holds e.mu.
func (e *Engine) remove(r *request) {
	delete(e.requests, r.seq)
	if r.id != "" && e.byID[r.id] == r {
		delete(e.byID, r.id)
	}
}

// capacityShare returns the share of its full capacity that the engine has while it
// warms up; 1 once it is warm.
func (e *Engine) capacityShare(now time.Time) float64 {
	warmUp := e.cfg.scaled(e.cfg.ColdStart.Duration)
	since := now.Sub(e.warmUpStart)
	if since >= warmUp {
		return 1
	}
	c := e.cfg.ColdStart.Capacity
	return c + (1-c)*max(0, since.Seconds()/warmUp.Seconds())
}

// checkMemory evicts cached prefixes whose memory is needed otherwise. It crashes the
// engine when requests and exported caches exceed its memory, or the requests exceed
// the share of it that an engine may use while it warms up. The caller holds e.mu.
func (e *Engine) checkMemory(now time.Time) {
	available := e.total - e.held - e.exported
	e.evict(now, min(available, e.cfg.CacheTokens))
	limit := int64(float64(e.total) * e.capacityShare(now))
	if available < 0 || e.held > limit {
		e.crash(now)
	}
}

// evict shrinks the prefix cache to limit tokens and reports the evicted prefixes as
// cache events.
func (e *Engine) evict(now time.Time, limit int64) {
	for _, evicted := range e.cache.evict(limit) {
		e.events.add(now, e.faults.eventLossShare, engine.CacheEvent{Kind: "evicted", Prefix: evicted.prefix, Tokens: evicted.tokens})
	}
}
