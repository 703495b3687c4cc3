package admit

import (
	"math"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// Constants of the forecast.
const (
	// rateTimeConstant is the time constant of the exponential average in RateMeter.
	rateTimeConstant = 30 * time.Second
	// defaultPrefillRate and defaultDecodeRate are assumed for an endpoint that has
	// not measured its rates, in tokens per second. They are the rates of a cold
	// endpoint.
	defaultPrefillRate = 4_000.0
	defaultDecodeRate  = 5.0
)

// TokenRates are the rates of an endpoint in tokens per second.
type TokenRates struct {
	// Prefill is the rate at which the endpoint processes prompts.
	Prefill float64
	// Decode is the rate of one output stream while the endpoint also processes
	// prompts, as wire.Load.DecodeRate reports it.
	Decode float64
}

// MeanTokenRates returns the mean rates of the endpoints that are in service.
func MeanTokenRates(view []route.Endpoint) TokenRates {
	sum, n := TokenRates{}, 0.0
	for i := range view {
		if view[i].OutOfService {
			continue
		}
		rates := tokenRatesOf(&view[i])
		sum.Prefill += rates.Prefill
		sum.Decode += rates.Decode
		n++
	}
	if n == 0 {
		return TokenRates{Prefill: defaultPrefillRate, Decode: defaultDecodeRate}
	}
	return TokenRates{Prefill: sum.Prefill / n, Decode: sum.Decode / n}
}

// tokenRatesOf returns the endpoint's measured rates, or the defaults for rates that it
// has not measured.
func tokenRatesOf(e *route.Endpoint) TokenRates {
	rates := TokenRates{Prefill: e.Load.PrefillRate, Decode: e.Load.DecodeRate}
	if rates.Prefill <= 0 {
		rates.Prefill = defaultPrefillRate
	}
	if rates.Decode <= 0 {
		rates.Decode = defaultDecodeRate
	}
	return rates
}

// ForecastWithoutWait predicts the time of a request that does not wait in a queue.
// outputTokens is the maximum length of its output.
func (r TokenRates) ForecastWithoutWait(promptTokens, outputTokens int) Forecast {
	return Forecast{
		Prefill: secondsToDuration(float64(promptTokens) / r.Prefill),
		Output:  secondsToDuration(float64(outputTokens) / r.Decode),
	}
}

// ForecastAt predicts the time of a request at the endpoint e that was chosen for it.
// outputTokens is the maximum length of its output.
func ForecastAt(e *route.Endpoint, c route.Choice, promptTokens, outputTokens int) Forecast {
	f := tokenRatesOf(e).ForecastWithoutWait(promptTokens, outputTokens)
	f.Wait = max(c.Predicted-f.Prefill, 0)
	return f
}

// RateMeter measures the rate at which endpoints accept work from this entry, in tokens
// per second, as an exponential moving average. While requests wait at the entry, the
// rate is the entry's share of the endpoints' capacity. The zero value is ready.
type RateMeter struct {
	rate      float64
	updatedAt time.Time
}

// Record adds a request of the given number of tokens that is sent to an endpoint.
func (m *RateMeter) Record(now time.Time, tokens int) {
	m.rate = m.Rate(now) + float64(tokens)/rateTimeConstant.Seconds()
	m.updatedAt = now
}

// Rate returns the average rate at now.
func (m *RateMeter) Rate(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// Wait predicts the wait of a request behind tokensAhead tokens of its own class, which gets
// classShare of the rate. minRate is the lowest rate that is assumed, such as the prefill
// rate of one endpoint.
func (m *RateMeter) Wait(now time.Time, tokensAhead int64, classShare, minRate float64) time.Duration {
	return secondsToDuration(float64(tokensAhead) / (max(m.Rate(now), minRate) * classShare))
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
