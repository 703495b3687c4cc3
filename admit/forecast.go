package admit

import (
	"math"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// Constants of the forecast.
const (
	// rateTimeConstant is the time over which the entry's pace is taken.
	rateTimeConstant = 30 * time.Second
	// defaultPrefillRate and assumedDecode are the speeds assumed of an endpoint that has
	// measured none, in tokens a second: those of a cold one.
	defaultPrefillRate = 4_000.0
	defaultDecodeRate  = 5.0
)

// TokenRates are an endpoint's measured speeds in tokens a second.
type TokenRates struct {
	Prefill float64
	// Decode is the speed of one stream of output while prompts are processed beside
	// it, as wire.Load.DecodeRate reports it.
	Decode float64
}

// MeanTokenRates returns the mean speeds of the endpoints that are in service.
func MeanTokenRates(view []route.Endpoint) TokenRates {
	sum, n := TokenRates{}, 0.0
	for i := range view {
		if view[i].Out {
			continue
		}
		s := tokenRatesOf(&view[i])
		sum.Prefill += s.Prefill
		sum.Decode += s.Decode
		n++
	}
	if n == 0 {
		return TokenRates{Prefill: defaultPrefillRate, Decode: defaultDecodeRate}
	}
	return TokenRates{Prefill: sum.Prefill / n, Decode: sum.Decode / n}
}

func tokenRatesOf(e *route.Endpoint) TokenRates {
	s := TokenRates{Prefill: e.Load.PrefillRate, Decode: e.Load.DecodeRate}
	if s.Prefill <= 0 {
		s.Prefill = defaultPrefillRate
	}
	if s.Decode <= 0 {
		s.Decode = defaultDecodeRate
	}
	return s
}

// ForecastWithoutWait predicts what a request takes without a wait. outputTokens is its bound.
func (s TokenRates) ForecastWithoutWait(promptTokens, outputTokens int) Forecast {
	return Forecast{
		Prefill: secondsToDuration(float64(promptTokens) / s.Prefill),
		Output:  secondsToDuration(float64(outputTokens) / s.Decode),
	}
}

// ForecastAt predicts what a request takes at the endpoint chosen for it.
func ForecastAt(e *route.Endpoint, c route.Choice, promptTokens, outputTokens int) Forecast {
	f := tokenRatesOf(e).ForecastWithoutWait(promptTokens, outputTokens)
	f.Wait = max(c.Predicted-f.Prefill, 0)
	return f
}

// RateMeter measures the work that an entry sends, in tokens a second. While requests wait
// at the entry, it is the entry's share of the endpoints.
type RateMeter struct {
	rate float64
	updatedAt   time.Time
}

// Record counts a request that an endpoint has taken.
func (p *RateMeter) Record(now time.Time, tokens int) {
	p.rate = p.Rate(now) + float64(tokens)/rateTimeConstant.Seconds()
	p.updatedAt = now
}

// Rate returns the pace at now.
func (p *RateMeter) Rate(now time.Time) float64 {
	return p.rate * math.Exp(-now.Sub(p.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// PredictWait predicts the wait behind the given tokens, of which the request's class gets
// share. least is the pace assumed at least, such as the speed of one endpoint.
func (p *RateMeter) PredictWait(now time.Time, tokensAhead int64, share, minRate float64) time.Duration {
	return secondsToDuration(float64(tokensAhead) / (max(p.Rate(now), minRate) * share))
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
