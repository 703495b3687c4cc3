package admit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

var start = time.Unix(1_000_000, 0)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func TestAdmitByDeadline(t *testing.T) {
	cases := []struct {
		name     string
		forecast Forecast
		left     float64
		want     verdict.Reason
		retry    bool
	}{
		{"ample time", Forecast{Wait: seconds(1), Prefill: seconds(1), Output: seconds(2)}, 10, "", false},
		{"wait too long", Forecast{Wait: seconds(10), Prefill: seconds(1), Output: seconds(2)}, 10, verdict.ReasonOverloaded, true},
		{"too long without wait", Forecast{Prefill: seconds(20), Output: seconds(2)}, 10, verdict.ReasonDeadline, false},
		{"deadline passed", Forecast{Prefill: seconds(1)}, -1, verdict.ReasonDeadline, false},
		{"no margin for prediction error", Forecast{Prefill: seconds(8), Output: seconds(1.9)}, 10, verdict.ReasonDeadline, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := NewDeadlineController().Admit(start, route.Short, c.forecast, start.Add(seconds(c.left)))
			if c.want == "" {
				is.NoErr(err)
				return
			}
			r := verdict.From(err)
			is.Equal(r.Verdict, verdict.NotRun)
			is.Equal(r.Reason, c.want)
			is.Equal(r.RetryAfter > 0, c.retry)
		})
	}
}

func TestForecast(t *testing.T) {
	is := is.New(t)
	e := &route.Endpoint{}
	e.Load.PrefillRate, e.Load.DecodeRate = 10_000, 20
	f := ForecastAt(e, route.Choice{Predicted: seconds(3)}, 10_000, 100)
	is.Equal(f, Forecast{Wait: seconds(2), Prefill: seconds(1), Output: seconds(5)})
	out := route.Endpoint{OutOfService: true}
	out.Load.PrefillRate = 1
	is.Equal(MeanTokenRates([]route.Endpoint{*e, out}), TokenRates{Prefill: 10_000, Decode: 20})
	is.Equal(MeanTokenRates(nil), TokenRates{Prefill: defaultPrefillRate, Decode: defaultDecodeRate})
}

func TestRateMeter(t *testing.T) {
	is := is.New(t)
	p := &RateMeter{}
	is.Equal(p.Wait(start, 10_000, 0.5, 10_000), seconds(2)) // no requests recorded, so minRate applies
	for i := range 3_000 {
		p.Record(start.Add(seconds(float64(i)/10)), 5_000)
	}
	now := start.Add(seconds(300))
	is.True(p.Rate(now) > 48_000 && p.Rate(now) < 52_000)
	is.True(p.Rate(now.Add(rateTimeConstant)) < 20_000)
}

func TestExpiresAtLeavesTimeToRun(t *testing.T) {
	is := is.New(t)
	d := NewDeadlineController()
	f := Forecast{Wait: seconds(5), Prefill: seconds(2), Output: seconds(3)}
	deadline := start.Add(seconds(60))
	expiresAt := d.ExpiresAt(route.Medium, f, deadline)
	is.True(expiresAt.Before(deadline.Add(-seconds(5))))
	f.Wait = 0
	is.NoErr(d.Admit(expiresAt, route.Medium, f, deadline))
	is.True(d.Admit(expiresAt.Add(seconds(0.1)), route.Medium, f, deadline) != nil)
}

// TestSafetyFactorAdaptsToMisses observes requests that take up to twice the predicted
// time. The learned factor must cover almost all of them, the initial factor less than
// half.
func TestSafetyFactorAdaptsToMisses(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	d := NewDeadlineController()
	f := Forecast{Prefill: seconds(10)}
	missed, missedWithoutLearning := 0, 0
	for i := range 20_000 {
		took := seconds(10 * (1 + rng.Float64()))
		if i >= 10_000 && took > d.RequiredTime(route.Short, f) {
			missed++
		}
		if i >= 10_000 && took > NewDeadlineController().RequiredTime(route.Short, f) {
			missedWithoutLearning++
		}
		d.Observe(route.Short, f, took)
	}
	is.True(missed < 200)                  // 2 in 100 with the learned factor
	is.True(missedWithoutLearning > 5_000) // more than half with the initial factor
	is.Equal(d.SafetyFactor(route.Long), initialFactor)
}

// TestEstimateBound checks, for routes with different kinds of text, that at most the
// documented share of prompts exceeds the bound, and the mean error of the expected
// length.
func TestEstimateBound(t *testing.T) {
	cases := []struct {
		name   string
		ratio  float64
		spread float64
	}{
		{"english", 0.24, 0.08},
		{"breton", 0.38, 0.15},
		{"urdu in utf-8", 0.55, 0.12},
		{"repetitive tables", 0.12, 0.25},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(7, 7))
			e := NewEstimator()
			overBound, meanError := 0, 0.0
			const learn, check = 3_000, 20_000
			for i := range learn + check {
				bytes := 4_000 + rng.IntN(400_000)
				ratio := min(c.ratio*math.Exp(c.spread*rng.NormFloat64()), 1)
				tokens := int(float64(bytes)*ratio) + templateTokens
				got := e.Estimate(c.name, bytes)
				if i >= learn {
					meanError += math.Abs(float64(got.Tokens-tokens)) / float64(tokens) / check
				}
				if i >= learn && tokens > got.Bound {
					overBound++
				}
				e.Observe(c.name, bytes, tokens)
			}
			t.Logf("%s: %.4f over the bound, mean error %.3f", c.name, float64(overBound)/check, meanError)
			is.True(float64(overBound)/check < 1-boundQuantile)
			is.True(meanError < c.spread+0.05)
		})
	}
}

func TestUnknownRouteUsesPriorEstimate(t *testing.T) {
	is := is.New(t)
	got := NewEstimator().Estimate("new", 8_000)
	is.True(got.Tokens >= 2_000 && got.Tokens < 2_300)
	is.True(got.Bound >= 4_000)
	is.True(got.Bound <= 8_000+templateTokens)
}

func TestBoundFollowsChangedText(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	for range 3_000 {
		e.Observe("r", 10_000, 2_500)
	}
	before := e.Estimate("r", 10_000)
	is.True(before.Bound < 3_000)
	for range 20 { // the route's language changes: few observations must raise the bound
		e.Observe("r", 10_000, 6_000)
	}
	is.True(e.Estimate("r", 10_000).Bound > 6_000)
}

func TestConcurrencyLimiter(t *testing.T) {
	is := is.New(t)
	c := NewConcurrencyLimiter()
	is.NoErr(c.Acquire("a", 2))
	is.NoErr(c.Acquire("a", 2))
	is.Equal(verdict.From(c.Acquire("a", 2)).Reason, verdict.ReasonAccountLimit)
	is.NoErr(c.Acquire("b", 2)) // limits of different accounts are independent
	c.Release("a")
	is.NoErr(c.Acquire("a", 2))
	is.NoErr(c.Acquire("a", 0)) // a limit of 0 means no limit
	for range 3 {
		c.Release("a")
	}
	is.Equal(c.InFlight("a"), 0)
}
