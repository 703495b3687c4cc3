package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

// Engine is a stand-in of a model engine. Make one with NewEngine.
type Engine struct {
	cfg    EngineConfig
	clock  kernel.Clock
	client *http.Client
	wake   chan struct{}
	closed chan struct{}
	closeOnce   sync.Once
	loop   sync.WaitGroup

	mu       sync.Mutex
	boot     uint64
	total    int64
	held     int64
	requests map[uint64]*request
	byID     map[string]*request
	nextSeq  uint64
	cache    *prefixCache
	handles  map[string]*cachedPrefix
	exported int64
	reports  reports
	events   events
	modelState  modelState
	faults   faults
	admissionLog   admissionLog
	lastStep time.Time
	warmUpStart time.Time
	downUntil time.Time
}

// modelState is what the engine has loaded.
type modelState struct {
	model    string
	version  string
	role     string
	adapters []string
	fence    uint64
	loading  bool
}

// NewEngine starts an engine that lives until Close.
func NewEngine(cfg EngineConfig, clock kernel.Clock) *Engine {
	e := &Engine{
		cfg:      cfg,
		clock:    clock,
		client:   &http.Client{Transport: &http.Transport{}},
		wake:     make(chan struct{}, 1),
		closed:   make(chan struct{}),
		total:    cfg.KVTokens,
		requests: map[uint64]*request{},
		byID:     map[string]*request{},
		modelState:  modelState{model: cfg.Model, version: cfg.Version, role: cfg.Role},
		faults:   faults{slowdown: 1, eventLossShare: cfg.EventLossShare, lag: cfg.scaled(cfg.LoadLag), eventLag: cfg.scaled(cfg.EventLag)},
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

// Close breaks all requests and stops the engine.
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

// Boot returns the number of the engine's present start.
func (e *Engine) Boot() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// FreeTokens returns the memory that nothing holds at this moment. Cached
// prefixes count as free, since they give way to requests.
func (e *Engine) FreeTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.free()
}

// HeldTokens returns the memory that requests and exported caches hold.
func (e *Engine) HeldTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held + e.exported
}

// Config returns the engine's settings.
func (e *Engine) Config() EngineConfig { return e.cfg }

func (e *Engine) free() int64 { return e.total - e.held - e.exported }

// reboot starts the engine with empty memory, cold.
func (e *Engine) reboot(now time.Time) {
	e.boot = max(e.boot+1, uint64(now.UnixNano()))
	e.cache = newPrefixCache()
	e.handles = map[string]*cachedPrefix{}
	e.exported = 0
	e.warmUpStart = now
	e.lastStep = now
	e.sampleLoad(now)
}

// crash breaks all requests and reboots after the restart delay.
func (e *Engine) crash(now time.Time) {
	e.abortAll()
	e.reboot(now)
	e.downUntil = now.Add(e.cfg.scaled(e.cfg.RestartDelay))
	e.warmUpStart = e.downUntil
}

func (e *Engine) abortAll() {
	for _, r := range e.requests {
		e.end(r, aborted)
		r.phase = aborted
		r.signal()
		e.remove(r)
	}
}

// end moves r to a last phase and frees its memory.
func (e *Engine) end(r *request, last phase) {
	if r.ended() {
		return
	}
	e.held -= r.held()
	r.phase = last
	r.signal()
}

func (e *Engine) remove(r *request) {
	delete(e.requests, r.seq)
	if r.id != "" && e.byID[r.id] == r {
		delete(e.byID, r.id)
	}
}

// capacityShare returns the share of full load that the engine bears.
func (e *Engine) capacityShare(now time.Time) float64 {
	warmUp := e.cfg.scaled(e.cfg.ColdStart.Duration)
	since := now.Sub(e.warmUpStart)
	if since >= warmUp {
		return 1
	}
	c := e.cfg.ColdStart.Capacity
	return c + (1-c)*max(0, since.Seconds()/warmUp.Seconds())
}

// checkMemory evicts cached prefixes that are in the way of requests, and falls
// over when the requests alone outgrow what the engine bears.
func (e *Engine) checkMemory(now time.Time) {
	available := e.total - e.held - e.exported
	e.evict(now, min(available, e.cfg.CacheTokens))
	limit := int64(float64(e.total) * e.capacityShare(now))
	if available < 0 || e.held > limit {
		e.crash(now)
	}
}

func (e *Engine) evict(now time.Time, limit int64) {
	for _, evicted := range e.cache.evict(limit) {
		e.events.add(now, e.faults.eventLossShare, engine.CacheEvent{Kind: "evicted", Prefix: evicted.prefix, Tokens: evicted.tokens})
	}
}
