package ramp

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// newWarm returns the ramp of a warm endpoint without work in flight.
func newWarm(t *testing.T) *Ramp {
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

// finish completes and ends an attempt of the given tokens.
func finish(r *Ramp, tokens int64) {
	r.Complete(tokens)
	r.EndAttempt(0)
}

func TestPromptIsReleasedAtFirstToken(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	is.NoErr(r.Admit(16_000))
	is.True(r.Admit(8_000) != nil)
	r.Complete(15_500) // the first token
	is.NoErr(r.Admit(8_000))
}

func TestColdEndpointAdmitsItsAllowance(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	admitted := int64(0)
	for r.Admit(2_000) == nil {
		admitted += 2_000
	}
	is.Equal(admitted, DefaultSettings().FirstTokens)
	refusal := verdict.From(r.Admit(2_000))
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.Equal(refusal.Reason, verdict.ReasonEndpointCold)
	is.True(refusal.RetryAfter > 0)
}

// TestAllowanceCountsTokens guards against a ramp that counts requests: one that
// admits 8 requests would admit 8 prompts of 400,000 tokens at once.
func TestAllowanceCountsTokens(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	is.NoErr(r.Admit(400_000))       // an idle endpoint admits a request of any size
	is.True(r.Admit(400_000) != nil) // tokens count, not requests
	is.True(r.Admit(1) != nil)
}

func TestWarmEndpointTurnsCold(t *testing.T) {
	cases := []struct {
		name  string
		apply func(r *Ramp)
		cold  bool
	}{
		{"nothing", func(*Ramp) {}, false},
		{"new incarnation", func(r *Ramp) { r.Reset() }, true},
		{"lasting drop in rate", func(r *Ramp) { measure(r, 10_000, 1_000, 1_000, 1_000) }, true},
		{"single low measurements", func(r *Ramp) { measure(r, 10_000, 1_000, 10_000, 1_000, 10_000) }, false},
		{"small drop in rate", func(r *Ramp) { measure(r, 10_000, 6_000, 6_000, 6_000, 6_000) }, false},
		{"no measurement", func(r *Ramp) { measure(r, 10_000, 0, 0, 0, 0) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newWarm(t)
			c.apply(r)
			is.Equal(r.Cold(), c.cold)
			is.Equal(r.Remaining() == Warm, !c.cold)
		})
	}
}

// measure passes the prefill rates to the ramp.
func measure(r *Ramp, rates ...float64) {
	for _, rate := range rates {
		r.ObserveRate(rate)
	}
}

// TestColdEndpointRefusesWhileOverAllowance checks that an endpoint that turns cold
// under load admits nothing while its work in flight exceeds the new allowance.
func TestColdEndpointRefusesWhileOverAllowance(t *testing.T) {
	is := is.New(t)
	r := newWarm(t)
	for range 50 {
		is.NoErr(r.Admit(10_000))
	}
	measure(r, 10_000, 1_000, 1_000, 1_000)
	is.Equal(r.Remaining(), int64(0))
	is.True(r.Admit(1_000) != nil) // 500,000 tokens are still in flight
}

func TestSlowEndpointWarmsAtItsNewRate(t *testing.T) {
	is := is.New(t)
	r := newWarm(t)
	measure(r, 10_000, 1_000, 1_000, 1_000)
	is.True(r.Cold())
	for range 200 {
		r.ObserveRate(1_000)
		is.NoErr(r.Admit(10_000))
		finish(r, 10_000)
	}
	is.True(!r.Cold())
}

func TestFailedAttemptsDoNotRaiseTheAllowance(t *testing.T) {
	is := is.New(t)
	r := New(DefaultSettings())
	for range 1000 {
		is.NoErr(r.Admit(10_000))
		r.EndAttempt(10_000)
	}
	is.True(r.Cold())
}

// workToWarm is the completed work that makes a cold endpoint warm, in tokens.
const workToWarm = 336_000

// TestColdFleetWarmsUp checks that an idle cold endpoint admits a request of any size
// and that a cold endpoint becomes warm after a bounded amount of completed work.
func TestColdFleetWarmsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(DefaultSettings())
		var running []int64
		completed := int64(0)
		for r.Cold() {
			size := rapid.Int64Range(1_000, 1_000_000).Draw(t, "size")
			if r.Admit(size) == nil {
				running = append(running, size)
			} else if len(running) == 0 {
				t.Fatal("idle endpoint refused a request")
			}
			if rapid.Bool().Draw(t, "finish") && len(running) > 0 {
				finish(r, running[0])
				completed += running[0]
				running = running[1:]
			}
			if completed > workToWarm+1_000_000 {
				t.Fatal("endpoint still cold after completed tokens:", completed)
			}
		}
	})
}
