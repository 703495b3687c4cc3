package experiment

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

// small is a small scenario: two engines, two workers, and a mix of prompts and calls.
const small = `{"name":"small","region":"r","zones":["a","b"],"time_scale":10,"duration":"4s","deadline":"20m","rate":20,
"engines":[{"name":"m","count":2,"engine":{"model":"m"}}],
"workers":[{"name":"desk","count":2,"worker":{"duration":"1ms"}}],
"accounts":[{"name":"one","key":"k1","weight":1},{"name":"two","key":"k2","weight":3}],
"mix":[{"name":"letter","weight":8,"prompt":{"model":"m","tokens":{"min":100,"max":400},"output":{"min":2,"max":9}}},
 {"name":"ledger","weight":1,"prompt":{"model":"m","chat":true,"documents":2,"tokens":{"min":9000,"max":9000},"output":{"min":2,"max":2}}},
 {"name":"status","weight":4,"call":{"service":"desk","method":"GET","path":"/capsules/{n}"}},
 {"name":"seal","weight":4,"call":{"service":"desk","method":"POST","path":"/seals","once":true}}],
"parts":[{"name":"short","without":["ledger"]},{"name":"all","compare_to":"short"}]}`

func scenario(t *testing.T, raw string) *Scenario {
	t.Helper()
	s, err := ParseScenario([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestScenarioFaultsAreAllListed(t *testing.T) {
	is := is.New(t)
	_, err := ParseScenario([]byte(`{"name":"x","region":"r","zones":["a"],"duration":"1s","deadline":"1s",
		"accounts":[{"name":"a","key":"k","weight":1}],
		"mix":[{"name":"i","weight":1,"call":{"service":"s","method":"GET","path":"/"}}],
		"parts":[{"name":"p","without":["nothing"],"compare_to":"nowhere"}]}`))
	faults, ok := err.(settings.Faults)
	is.True(ok)
	is.Equal(len(faults), 3) // the two unknown names and the missing rate
}

func TestExampleScenariosAreValid(t *testing.T) {
	for _, name := range []string{"kerlouan", "karachi"} {
		is := is.New(t)
		s, err := ReadScenario("../examples/experiments/" + name + ".json")
		is.NoErr(err)
		long := 0
		prompts := 0
		for _, a := range s.Arrivals(&Part{Duration: settings.Duration(time.Hour)}, 1) {
			if a.Item.Prompt == nil {
				continue
			}
			prompts++
			if a.PromptTokens >= 100_000 {
				long++
			}
		}
		is.True(long > prompts/55 && long < prompts/45) // one prompt in 50 is long, within 10%
	}
}

func TestArrivalsFollowSeedAndRate(t *testing.T) {
	is := is.New(t)
	s := scenario(t, small)
	p := &Part{Name: "p", Duration: settings.Duration(1000 * time.Second)}
	list := s.Arrivals(p, 7)
	is.True(len(list) > 19_500 && len(list) < 20_500) // 20 requests per second
	again := s.Arrivals(p, 7)
	is.Equal(len(again), len(list))
	is.Equal(again[99].Due, list[99].Due)
	is.True(s.Arrivals(p, 8)[99].Due != list[99].Due)
}

func TestLeavingItemsOutKeepsOtherArrivals(t *testing.T) {
	is := is.New(t)
	s := scenario(t, small)
	var kept []Arrival
	for _, a := range s.Arrivals(s.part("all"), 3) {
		if a.Item.Name != "ledger" {
			kept = append(kept, a)
		}
	}
	is.Equal(s.Arrivals(s.part("short"), 3), kept)
}

func TestCapacityIsLimitedByScarcerThroughput(t *testing.T) {
	is := is.New(t)
	s := &Scenario{
		TokenScale: 1,
		Engines:    []EngineGroup{{Count: 2, Engine: standin.EngineConfig{PrefillRate: 1000, DecodeRate: 10, MaxBatch: 5}}},
		Mix: []Item{
			{Weight: 1, Prompt: &Prompt{Tokens: Span{Min: 100, Max: 100}, Output: Span{Min: 50, Max: 50}}},
			{Weight: 1, Call: &Call{}},
		},
	}
	is.Equal(s.Capacity(), 4.0) // limited by decode: 100 tokens per second, 25 per request on average
	s.Mix[0].Prompt.Output = Span{Min: 1, Max: 1}
	is.Equal(s.Capacity(), 40.0) // limited by prefill: 2,000 tokens per second, 50 per request on average
}

func TestPromptBodies(t *testing.T) {
	s := scenario(t, small)
	for _, a := range s.Arrivals(s.part("all"), 5)[:40] {
		if a.Item.Prompt == nil {
			continue
		}
		is := is.New(t)
		text := newPromptText(&a)
		body, length := text.body(&a)
		raw, err := io.ReadAll(body)
		is.NoErr(err)
		is.Equal(int64(len(raw)), length)
		var c engine.Completion
		is.NoErr(json.Unmarshal(raw, &c))
		prompt := standin.PromptText(&c)
		is.Equal(len(prompt), a.PromptTokens*bytesPerToken)
		is.Equal(text.digest(), standin.PromptDigest(prompt))
		is.Equal(c.MaxTokens, a.OutputTokens)
	}
}
