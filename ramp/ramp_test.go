package ramp

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

func warmed(t *testing.T) *Ramp {
	t.Helper()
	r := New(DefaultSettings())
	for range 1000 {
		if err := r.Admit(10_000); err != nil {
			t.Fatal(err)
		}
		finish(r, 10_000)
	}
	if r.Cold() {
		t.Fatal("still cold after 10 million tokens")
	}
	return r
}

func finish(r *Ramp, tokens int64) {
	r.Complete(tokens)
	r.Release(0)
}

func TestStreamOfOutputDoesNotHoldItsPrompt(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	is.NoErr(r.Admit(16_000))
	is.True(r.Admit(8_000) != nil)
	r.Complete(15_500) // the first token
	is.NoErr(r.Admit(8_000))
}

func TestColdEndpointTakesItsAllowanceOnly(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	taken := int64(0)
	for r.Admit(2_000) == nil {
		taken += 2_000
	}
	is.Equal(taken, DefaultSettings().FirstTokens)
	refusal := verdict.From(r.Admit(2_000))
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.Equal(refusal.Reason, verdict.ReasonEndpointCold)
	is.True(refusal.RetryAfter > 0)
}

func TestCountingRequestsWouldOverloadAColdEndpoint(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	// A ramp of 8 requests would take 8 prompts of 400,000 tokens at once.
	is.NoErr(r.Admit(400_000)) // an idle endpoint takes any one request
	is.True(r.Admit(400_000) != nil)
	is.True(r.Admit(1) != nil)
}

func TestTurnsColdAgain(t *testing.T) {
	cases := []struct {
		name   string
		happen func(r *Ramp)
		cold   bool
	}{
		{"nothing", func(*Ramp) {}, false},
		{"new incarnation", func(r *Ramp) { r.Reset() }, true},
		{"lasting fall in speed", func(r *Ramp) { measure(r, 10_000, 1_000, 1_000, 1_000) }, true},
		{"one slow measurement", func(r *Ramp) { measure(r, 10_000, 1_000, 10_000, 1_000, 10_000) }, false},
		{"small fall", func(r *Ramp) { measure(r, 10_000, 6_000, 6_000, 6_000, 6_000) }, false},
		{"no measurement", func(r *Ramp) { measure(r, 10_000, 0, 0, 0, 0) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := warmed(t)
			c.happen(r)
			is.Equal(r.Cold(), c.cold)
			is.Equal(r.Remaining() == Warm, !c.cold)
		})
	}
}

func measure(r *Ramp, rates ...float64) {
	for _, rate := range rates {
		r.ObserveRate(rate)
	}
}

func TestColdEndpointShedsAtOnce(t *testing.T) {
	is := is.New(t)
	r := warmed(t)
	for range 50 {
		is.NoErr(r.Admit(10_000))
	}
	measure(r, 10_000, 1_000, 1_000, 1_000)
	is.Equal(r.Remaining(), int64(0))
	is.True(r.Admit(1_000) != nil) // 500,000 tokens are in flight still
}

func TestSlowEndpointWarmsAtItsNewSpeed(t *testing.T) {
	is := is.New(t)
	r := warmed(t)
	measure(r, 10_000, 1_000, 1_000, 1_000)
	is.True(r.Cold())
	for range 200 {
		r.ObserveRate(1_000)
		is.NoErr(r.Admit(10_000))
		finish(r, 10_000)
	}
	is.True(!r.Cold())
}

func TestFailedWorkDoesNotWarm(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	for range 1000 {
		is.NoErr(r.Admit(10_000))
		r.Release(10_000)
	}
	is.True(r.Cold())
}

// workToWarm is the work that makes a cold endpoint warm, in tokens.
const workToWarm = 336_000

// TestColdFleetWarmsUp holds that whatever the sizes, an idle cold endpoint always
// takes a request and becomes warm after a bounded amount of work.
func TestColdFleetWarmsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(DefaultSettings())
		var running []int64
		done := int64(0)
		for r.Cold() {
			size := rapid.Int64Range(1_000, 1_000_000).Draw(t, "size")
			if r.Admit(size) == nil {
				running = append(running, size)
			} else if len(running) == 0 {
				t.Fatal("an idle endpoint refused")
			}
			if rapid.Bool().Draw(t, "finish") && len(running) > 0 {
				finish(r, running[0])
				done += running[0]
				running = running[1:]
			}
			if done > workToWarm+1_000_000 {
				t.Fatal("cold after", done)
			}
		}
	})
}
