package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// choose returns the endpoint that c chooses for the request, whose Target and Class it
// sets.
func choose(t *testing.T, c Chooser, table *Table, now time.Time, req *Request) (Endpoint, Choice) {
	t.Helper()
	req.Target = "m"
	req.Class = ClassOf(req.PromptTokens)
	choice, err := c.Choose(now, req, table.View("m"))
	if err != nil {
		t.Fatal(err)
	}
	return table.View("m")[choice.Index], choice
}

// setLoad reports a changed warm load of an endpoint for the time at.
func setLoad(t *Table, name string, at time.Time, change func(*wire.Load)) {
	load := warmLoad()
	change(&load)
	t.SetLoad(name, load, at)
}

// TestShortAvoidsAnEndpointWithALongPrompt guards against short prompts behind a long
// one: of two endpoints with one request each, one prefills 400,000 tokens.
// least_requests cannot tell them apart.
func TestShortAvoidsAnEndpointWithALongPrompt(t *testing.T) {
	for policy, c := range map[string]Chooser{"least_requests": NewLeastRequests(1), "predicted": NewPredicted(1)} {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			for _, name := range []string{"a", "b"} {
				table.Upsert(start, warmEndpoint(name, "z"))
			}
			setLoad(table, "a", afterStart(1), func(l *wire.Load) { l.Running, l.PendingPrefill = 1, 400_000 })
			setLoad(table, "b", afterStart(1), func(l *wire.Load) { l.Running, l.PendingPrefill = 1, 1_000 })
			blocked := 0
			for range 100 {
				if e, _ := choose(t, c, table, afterStart(1), &Request{PromptTokens: 2_000, Zone: "z"}); e.Name == "a" {
					blocked++
				}
			}
			is.Equal(blocked > 0, policy == "least_requests")
		})
	}
}

// TestBurstOfLongPromptsLeavesEndpointsFree checks that 40 simultaneous long prompts do
// not occupy all 20 endpoints.
func TestBurstOfLongPromptsLeavesEndpointsFree(t *testing.T) {
	for policy, c := range map[string]Chooser{"least_requests": NewLeastRequests(1), "predicted": NewPredicted(1)} {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			table := fleet(20)
			for range 40 {
				req := &Request{Target: "m", Class: Long, PromptTokens: 400_000, Zone: "z0"}
				choice, err := c.Choose(start, req, table.View("m"))
				if err != nil {
					continue // the prompt would wait in the queue of the entry
				}
				table.Started(start, table.View("m")[choice.Index].Name, 400_000, 0)
			}
			free := 0
			for _, e := range table.View("m") {
				if e.InFlight == 0 {
					free++
				}
			}
			is.Equal(free > 0, policy == "predicted")
		})
	}
}

// TestMediumStreamsLeaveLongPromptsRoom guards against streams of medium prompts that
// occupy the memory of every endpoint: a long prompt that arrives later must still find
// an endpoint with enough free memory.
func TestMediumStreamsLeaveLongPromptsRoom(t *testing.T) {
	for policy, c := range map[string]Chooser{"two_choices": NewTwoChoices(1), "predicted": NewPredicted(1)} {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			table := fleet(20)
			for i := range 2_000 {
				now := afterStart(float64(i))
				req := &Request{Target: "m", Class: Medium, PromptTokens: 50_000, OutputTokens: 500, Zone: "z0"}
				if choice, err := c.Choose(now, req, table.View("m")); err == nil {
					e := table.View("m")[choice.Index]
					f := table.Started(now, e.Name, 50_000, 500)
					e.Load.FreeTokens -= 50_500
					table.Granted(f, e.Load, now) // never finishes
				}
			}
			req := &Request{Target: "m", Class: Long, PromptTokens: 600_000, Zone: "z0"}
			_, err := c.Choose(afterStart(2_000), req, table.View("m"))
			is.Equal(err == nil, policy == "predicted")
		})
	}
}

// TestSmallFleetsServeAllClasses checks that with one to four idle endpoints the lanes
// leave no class without an endpoint, for any prompt that fits into an engine.
func TestSmallFleetsServeAllClasses(t *testing.T) {
	for n := 1; n <= 4; n++ {
		for _, prompt := range []int{1_000, 7_999, 8_000, 99_999, 100_000, 1_100_000} {
			t.Run(fmt.Sprint(n, "/", prompt), func(t *testing.T) {
				e, _ := choose(t, NewPredicted(1), fleet(n), start, &Request{PromptTokens: prompt, Zone: "z0"})
				is.New(t).True(e.Name != "")
			})
		}
	}
}

// TestOneEndpointUsesItsMemory checks that a single endpoint reserves no memory for long
// prompts: short prompts can use all of it.
func TestOneEndpointUsesItsMemory(t *testing.T) {
	is := is.New(t)
	c := NewPredicted(1)
	table := singleEndpoint()
	free := int64(1_200_000)
	for i := range 1_000 { // one short prompt per second, none of which ends
		req := &Request{Target: "m", PromptTokens: 5_000, OutputTokens: 1_000, Zone: "z"}
		now := afterStart(float64(i))
		if _, err := c.Choose(now, req, table.View("m")); err != nil {
			continue
		}
		f := table.Started(now, "a", 5_000, 1_000)
		free -= 6_000
		load := warmLoad()
		load.FreeTokens = free
		table.Granted(f, load, now)
	}
	is.True(free < 6_000)
}

func TestLanesFollowTheMix(t *testing.T) {
	is := is.New(t)
	l := NewLanes()
	observe := func(from float64, class Class, tokens int) {
		for i := range 3600 { // one per second for an hour
			l.Observe(afterStart(from+float64(i)), class, tokens)
		}
	}
	observe(0, Short, 3_000)
	is.Equal(l.Width(Long, 100), 1) // no long prompts: one lane remains
	is.True(l.Width(Medium, 100) <= 1)
	observe(3600, Long, 300_000)
	is.Equal(l.Width(Medium, 100), 99) // one endpoint without medium prompts
	is.Equal(l.Width(Long, 100), 98)   // and another one without long prompts
	is.True(l.Share(Long) > 0.99)
	for _, n := range []int{1, 2, 3, 600} {
		for _, class := range []Class{Short, Medium, Long} {
			width := l.Width(class, n)
			is.True(width >= 1 && width <= n)
			is.True(class == Short || n == 1 || width < n)
		}
	}
}

func TestPromptThatFitsNowhereIsNotInTheMix(t *testing.T) {
	is := is.New(t)
	c := NewPredicted(1)
	before := c.lanes.Share(Long)
	for range 100 {
		req := &Request{Target: "m", Class: Long, PromptTokens: 5_000_000}
		_, err := c.Choose(start, req, fleet(20).View("m"))
		is.True(err != nil)
	}
	is.Equal(c.lanes.Share(Long), before)
}

func TestOwnZoneFirst(t *testing.T) {
	cases := []struct {
		name    string
		pending int64 // prompt tokens pending at each endpoint of the request's zone
		want    string
	}{
		{"idle", 0, "z1"},
		{"a short wait", 400, "z1"},
		{"a long wait", 20_000, "other"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := fleet(60)
			for _, e := range table.View("m") {
				if e.Zone == "z1" {
					setLoad(table, e.Name, afterStart(1), func(l *wire.Load) { l.PendingPrefill = tc.pending })
				}
			}
			e, _ := choose(t, NewPredicted(1), table, afterStart(1), &Request{PromptTokens: 2_000, Zone: "z1"})
			is.Equal(e.Zone == "z1", tc.want == "z1")
		})
	}
}

func TestEntryInAZoneWithoutEndpoints(t *testing.T) {
	is := is.New(t)
	for _, zone := range []string{"a", "m", "z"} { // sorted before, between and after the endpoints' zones
		table := NewTable()
		table.Upsert(start, warmEndpoint("one", "f"))
		table.Upsert(start, warmEndpoint("two", "r"))
		taken := map[string]bool{}
		for seed := range uint64(20) {
			e, _ := choose(t, NewPredicted(seed), table, start, &Request{PromptTokens: 2_000, Zone: zone})
			table.Started(start, e.Name, 2_000, 0)
			taken[e.Name] = true
		}
		is.Equal(len(taken), 2)
	}
}

// TestStaleLoadDoesNotHerd guards against a herd: 100 entries have the same load reports,
// by which one endpoint of 40 is idle and the others have a little work.
func TestStaleLoadDoesNotHerd(t *testing.T) {
	is := is.New(t)
	taken := map[string]int{}
	for seed := range uint64(100) {
		table := NewTable()
		for i := range 40 {
			table.Upsert(start, warmEndpoint(fmt.Sprintf("e%02d", i), "z"))
			setLoad(table, fmt.Sprintf("e%02d", i), afterStart(1), func(l *wire.Load) { l.PendingPrefill = int64(min(i, 1) * 3_000) })
		}
		e, _ := choose(t, NewPredicted(seed), table, afterStart(1), &Request{PromptTokens: 2_000, Zone: "z"})
		taken[e.Name]++
	}
	is.True(taken["e00"] < 40) // without sampling it would be all 100
}

func TestMaxPendingGrowsWithBacklogRefusals(t *testing.T) {
	is := is.New(t)
	table := singleEndpoint()
	setLoad(table, "a", afterStart(1), func(l *wire.Load) { l.PendingPrefill = 10_000 })
	last := int64(0)
	for refusals := range maxBacklogRefusals {
		_, choice := choose(t, NewPredicted(1), table, afterStart(1), &Request{PromptTokens: 2_000, Zone: "z", BacklogRefusals: refusals})
		is.True(choice.MaxPending > 10_000 && choice.MaxPending > last)
		last = choice.MaxPending
	}
	_, choice := choose(t, NewPredicted(1), table, afterStart(1), &Request{PromptTokens: 2_000, Zone: "z", BacklogRefusals: maxBacklogRefusals})
	is.Equal(choice.MaxPending, int64(0)) // no limit, so the prompt is eventually admitted
}

func TestColdEndpointGetsOnlyItsAllowance(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	cold := warmEndpoint("a", "z")
	cold.Load.RampTokens = 5_000
	table.Upsert(start, cold)
	c := NewPredicted(1)
	sent := 0
	for range 20 {
		req := &Request{Target: "m", PromptTokens: 2_000, Zone: "z"}
		if _, err := c.Choose(start, req, table.View("m")); err == nil {
			table.Started(start, "a", 2_000, 0)
			sent++
		}
	}
	is.Equal(sent, 2)
}

// cacheEvents returns a page with one cache event.
func cacheEvents(seq uint64, kind string, prefix uint64) engine.CacheEvents {
	return engine.CacheEvents{Events: []engine.CacheEvent{{Seq: seq, Kind: kind, Prefix: prefix, Tokens: 4_000}}}
}

func TestCacheHints(t *testing.T) {
	const prefix = 42
	cases := []struct {
		name  string
		apply func(h *CacheHints)
		want  bool // whether the holder e007 is chosen
	}{
		{"nothing known", func(*CacheHints) {}, false},
		{"stored", func(h *CacheHints) { h.Apply(start, "z2", "e007", cacheEvents(1, "stored", prefix)) }, true},
		{"evicted", func(h *CacheHints) {
			h.Apply(start, "z2", "e007", cacheEvents(1, "stored", prefix))
			h.Apply(start, "z2", "e007", cacheEvents(2, "evicted", prefix))
		}, false},
		{"repeated old eviction", func(h *CacheHints) {
			h.Apply(start, "z2", "e007", cacheEvents(3, "evicted", prefix))
			h.Apply(start, "z2", "e007", cacheEvents(4, "stored", prefix))
			h.Apply(start, "z2", "e007", cacheEvents(3, "evicted", prefix))
		}, true},
		{"one gap", func(h *CacheHints) {
			h.Apply(start, "z2", "e007", cacheEvents(1, "stored", prefix))
			h.Apply(start, "z2", "e007", cacheEvents(9, "stored", 1))
		}, true},
		{"many gaps", func(h *CacheHints) {
			h.Apply(start, "z2", "e007", cacheEvents(1, "stored", prefix))
			for seq := range uint64(5) {
				h.Apply(start, "z2", "e007", cacheEvents(10+10*seq, "stored", 1))
			}
		}, false},
		{"restarted", func(h *CacheHints) {
			h.Apply(start, "z2", "e007", cacheEvents(1, "stored", prefix))
			h.Forget("e007")
		}, false},
		{"unknown endpoint", func(h *CacheHints) { h.Apply(start, "z2", "e999", cacheEvents(1, "stored", prefix)) }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := NewPredicted(1)
			tc.apply(c.Hints)
			e, choice := choose(t, c, fleet(20), start, &Request{PromptTokens: 5_000, Zone: "z2", Prefix: prefix})
			is.Equal(e.Name == "e007" && choice.Reason == "cached", tc.want)
		})
	}
}

func TestServedPrefixIsPreferred(t *testing.T) {
	is := is.New(t)
	c := NewPredicted(1)
	var observer PrefixObserver = c
	observer.PrefixServed(start, "z2", "e007", 42)
	e, choice := choose(t, c, fleet(20), start, &Request{PromptTokens: 5_000, Zone: "z2", Prefix: 42})
	is.Equal(e.Name, "e007")
	is.Equal(choice.Reason, "cached")
}

// TestAffinityIsBounded guards against overload of the holder of a popular prefix: if all
// requests have one prefix, the holder gets only as many as its saving justifies.
func TestAffinityIsBounded(t *testing.T) {
	is := is.New(t)
	c := NewPredicted(1)
	table := fleet(20)
	c.Hints.Stored(start, "z2", "e007", 42, 4_000)
	for range 100 {
		e, _ := choose(t, c, table, start, &Request{PromptTokens: 5_000, Zone: "z2", Prefix: 42})
		table.Started(start, e.Name, 5_000, 0)
	}
	is.True(get(table, "e007").InFlight >= 5)
	is.True(get(table, "e007").InFlight <= 10)
}

// TestSharedPrefixGoesToOneEndpointBeforeAnyEvent checks that entries without cache
// events send the requests of a shared prefix to the same endpoint.
func TestSharedPrefixGoesToOneEndpointBeforeAnyEvent(t *testing.T) {
	is := is.New(t)
	chosen := map[string]bool{}
	for seed := range uint64(10) { // entries with different random numbers
		c := NewPredicted(seed)
		for range 3 {
			e, _ := choose(t, c, fleet(100), start, &Request{PromptTokens: 2_000, Zone: "z2", Prefix: 42})
			if c.Hints.find(42).requests >= sharedPrefixRequests {
				chosen[e.Name] = true
			}
		}
	}
	is.Equal(len(chosen), 1)
}

func TestCacheHintsHaveFixedSize(t *testing.T) {
	is := is.New(t)
	h := NewCacheHints(64)
	for prefix := range uint64(10_000) {
		h.Stored(start.Add(time.Duration(prefix)), "z", "a", prefix+1, 100)
	}
	is.Equal(len(h.slots), 64)
	is.True(h.find(10_000) != nil)
}

// TestAgeOfUnchangedLoadIsBounded guards against predictions that grow with the age of a
// report: idle endpoints do not report for an hour, because their load does not change.
func TestAgeOfUnchangedLoadIsBounded(t *testing.T) {
	zones := []string{"x", "y", "z"}
	for _, service := range []bool{false, true} {
		is := is.New(t)
		table := NewTable()
		for _, zone := range zones {
			e := warmEndpoint("in-"+zone, zone)
			e.Service = service
			table.Upsert(start, e)
		}
		for _, zone := range zones {
			_, choice := choose(t, NewPredicted(1), table, afterStart(3600), &Request{PromptTokens: 1, Zone: zone})
			is.True(choice.Predicted <= maxChargedAge)
		}
	}
}
