package standin

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

func itoa(n int) string    { return strconv.Itoa(n) }
func utoa(n uint64) string { return strconv.FormatUint(n, 10) }

// manualClock is a clock that a test sets. Its timers never fire; tests call step
// directly.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time                       { return c.now }
func (c *manualClock) After(time.Duration) <-chan time.Time { return nil }

// steppedEngine is an engine without a scheduling loop: the test calls advance.
type steppedEngine struct {
	*Engine
	clock *manualClock
}

func stepEngine(t interface{ Cleanup(func()) }, configure func(*EngineConfig)) *steppedEngine {
	cfg := DefaultEngineConfig()
	cfg.KVTokens = 1000
	cfg.CacheTokens = 300
	cfg.PrefillRate = 100
	cfg.DecodeRate = 10
	cfg.BatchSlowdown = 0
	cfg.PrefillInterference = 0
	cfg.TokensPerByte = 1
	if configure != nil {
		configure(&cfg)
	}
	clock := &manualClock{now: time.Unix(1000, 0)}
	s := &steppedEngine{Engine: NewEngine(cfg, clock), clock: clock}
	s.Close() // ends the scheduling loop
	s.closed = make(chan struct{})
	t.Cleanup(s.client.CloseIdleConnections)
	return s
}

// advance moves the clock by d and runs one step.
func (s *steppedEngine) advance(d time.Duration) {
	s.clock.now = s.clock.now.Add(d)
	s.step(s.clock.now)
}

// add admits a streamed request with a prompt of the given bytes, each of which is
// one token. Consecutive prompts have no common prefix.
func (s *steppedEngine) add(bytes, output, priority int) *request {
	prompt := strings.Repeat(string(rune('a'+s.nextSeq%26)), bytes)
	r := newRequest(&engine.Completion{Prompt: prompt, MaxTokens: output, Stream: true}, &s.cfg)
	r.priority = priority
	r.id = utoa(s.nextSeq)
	s.admit(r)
	return r
}

func TestPrefillOrder(t *testing.T) {
	cases := []struct {
		order               string
		long, short, urgent float64 // remaining prefill after a second
	}{
		{prefillEqual, 360, 0, 0}, // of 100 tokens, urgent gets 40, short 20 and long 40
		{prefillArrival, 340, 20, 0},
	}
	for _, c := range cases {
		t.Run(c.order, func(t *testing.T) {
			is := is.New(t)
			e := stepEngine(t, func(cfg *EngineConfig) { cfg.PrefillOrder = c.order })
			long, short, urgent := e.add(400, 1, 1), e.add(20, 1, 1), e.add(40, 1, 0)
			e.advance(time.Second)
			is.Equal([]float64{long.remainingPrefill, short.remainingPrefill, urgent.remainingPrefill}, []float64{c.long, c.short, c.urgent})
		})
	}
}

func TestWaitingRequestsStartByPriority(t *testing.T) {
	is := is.New(t)
	e := stepEngine(t, func(c *EngineConfig) { c.MaxBatch = 1 })
	first := e.add(150, 1, 5)
	e.advance(time.Millisecond)
	late, urgent := e.add(10, 1, 5), e.add(10, 1, 0)
	e.advance(time.Second)
	is.Equal(first.phase, prefilling) // a running request is not preempted
	e.advance(time.Second)
	e.advance(time.Second)
	is.Equal(urgent.phase, finished)
	is.Equal(late.phase, waiting)
}

func TestCachedPrefixIsNotProcessedAgain(t *testing.T) {
	is := is.New(t)
	e := stepEngine(t, nil)
	prompt := strings.Repeat("z", 200)
	for i, want := range []phase{prefilling, finished} {
		r := newRequest(&engine.Completion{Prompt: prompt, MaxTokens: 1}, &e.cfg)
		e.admit(r)
		e.advance(time.Second)
		is.Equal(r.phase, want) // the second request hits the cache
		e.advance(2 * time.Second)
		is.Equal(int(e.cache.tokens), 200)
		is.Equal(len(e.events.entries), i+1)
	}
}

func TestEngineCrashes(t *testing.T) {
	cold := func(c *EngineConfig) {
		c.ColdStart = ColdStart{Duration: settings.Duration(10 * time.Second), Capacity: 0.1}
	}
	cases := []struct {
		name      string
		configure func(*EngineConfig)
		run       func(*steppedEngine)
		crashes   bool
	}{
		{"full memory", nil, func(e *steppedEngine) { e.add(1000, 1, 0) }, false},
		{"prompts outgrow memory", nil, func(e *steppedEngine) { e.add(600, 1, 0); e.add(401, 1, 0) }, true},
		{"output outgrows memory", nil, func(e *steppedEngine) {
			e.add(100, 950, 0)
			for range 95 {
				e.advance(time.Second)
			}
		}, true},
		{"memory set below its use", nil, func(e *steppedEngine) { e.add(500, 1, 0); e.SetKVTokens(499) }, true},
		{"memory set to its use", nil, func(e *steppedEngine) { e.add(500, 1, 0); e.SetKVTokens(500) }, false},
		{"cold, light load", cold, func(e *steppedEngine) { e.add(100, 1, 0) }, false},
		{"cold, full load", cold, func(e *steppedEngine) { e.add(900, 1, 0) }, true},
		{"warmed up, full load", cold, func(e *steppedEngine) { e.advance(10 * time.Second); e.add(900, 1, 0) }, false},
		{"cold again under load", cold, func(e *steppedEngine) { e.advance(10 * time.Second); e.add(900, 1, 0); e.TurnCold() }, true},
		{"crash", nil, func(e *steppedEngine) { e.Crash() }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := stepEngine(t, c.configure)
			boot := e.Boot()
			c.run(e)
			is.Equal(e.Boot() > boot, c.crashes)
			is.Equal(len(e.requests) == 0, c.crashes) // only a crash aborts requests, and then all
		})
	}
}

func TestSpeedFaults(t *testing.T) {
	cases := []struct {
		name      string
		fault     func(*steppedEngine)
		remaining float64
	}{
		{"none", func(*steppedEngine) {}, 300},
		{"slow", func(e *steppedEngine) { e.Slow(4) }, 375},
		{"stalled", func(e *steppedEngine) { e.SetStalled(true) }, 400},
		{"no longer stalled", func(e *steppedEngine) { e.SetStalled(true); e.SetStalled(false) }, 300},
		{"suspended", func(e *steppedEngine) { e.Suspend() }, 400},
		{"resumed", func(e *steppedEngine) { e.Suspend(); e.Resume() }, 300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := stepEngine(t, nil)
			r := e.add(400, 1, 0)
			c.fault(e)
			e.advance(time.Second)
			is.New(t).Equal(r.remainingPrefill, c.remaining)
		})
	}
}

func TestReportsAndEventsAreDelayed(t *testing.T) {
	is := is.New(t)
	e := stepEngine(t, nil)
	e.SetReportLag(2 * time.Second)
	e.add(50, 20, 0)
	for range 2 {
		is.Equal(e.reports.publish(e.clock.now, e.faults.lag).FreeTokens, int64(1000))
		is.Equal(len(e.events.after(e.clock.now, e.faults.eventLag, 0).Events), 0)
		e.advance(time.Second)
	}
	e.advance(time.Second)
	is.True(e.reports.publish(e.clock.now, e.faults.lag).FreeTokens < 1000)
	is.Equal(len(e.events.after(e.clock.now, e.faults.eventLag, 0).Events), 1)
}

func TestEventGaps(t *testing.T) {
	is := is.New(t)
	var l events
	for range 1000 {
		l.add(time.Time{}, 0.25, engine.CacheEvent{})
	}
	is.True(len(l.entries) > 700 && len(l.entries) < 800)
	is.Equal(l.next, uint64(1000)) // lost events have numbers too
}

func TestAbandonedStreamIsReleased(t *testing.T) {
	is := is.New(t)
	e := stepEngine(t, func(c *EngineConfig) { c.DecodeRate = 0.1 })
	r := e.add(50, 20, 0)
	d := &delivery{engine: e.Engine, req: r}
	e.attach(d)
	e.detach(d)
	e.advance(4 * time.Second)
	is.True(e.FreeTokens() < 1000) // within the resume window of 5 s
	e.advance(time.Second)
	is.Equal(e.FreeTokens(), int64(1000))
	is.Equal(len(e.requests), 0)
}

// TestAllMemoryIsReleased runs random operations on an engine and checks that all
// memory is free when no request runs and all handles are deleted.
func TestAllMemoryIsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := stepEngine(t, nil)
		actions := map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				e.add(rapid.IntRange(1, 300).Draw(t, "bytes"), rapid.IntRange(1, 50).Draw(t, "output"), 0)
			},
			"step": func(t *rapid.T) {
				e.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"cancel": func(*rapid.T) {
				for _, r := range e.requests {
					e.end(r, aborted)
					e.remove(r)
					return
				}
			},
			"export": func(*rapid.T) {
				for _, el := range e.cache.byHash {
					_, _ = e.holdCache(el.Value.(*cachedPrefix))
					return
				}
			},
			"crash": func(*rapid.T) { e.Crash() },
			"": func(t *rapid.T) {
				var held int64
				for _, r := range e.requests {
					held += r.held()
				}
				if held != e.held || e.held+e.exported > e.total {
					t.Fatalf("requests hold %d tokens, engine counts %d; exported %d; memory %d", held, e.held, e.exported, e.total)
				}
			},
		}
		t.Repeat(actions)
		for range 200 {
			e.advance(time.Second)
		}
		for handle, entry := range e.handles {
			delete(e.handles, handle)
			e.exported -= entry.tokens
		}
		if e.FreeTokens() != e.cfg.KVTokens {
			t.Fatalf("%d of %d tokens are free after all requests have ended", e.FreeTokens(), e.cfg.KVTokens)
		}
	})
}
