package admit

import (
	"math"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// Constants of the forecast.
const (
	// paceTime is the time over which the entry's pace is taken.
	paceTime = 30 * time.Second
	// assumedPrefill and assumedDecode are the speeds assumed of an endpoint that has
	// measured none, in tokens a second: those of a cold one.
	assumedPrefill = 4_000.0
	assumedDecode  = 5.0
)

// Speeds are an endpoint's measured speeds in tokens a second.
type Speeds struct {
	Prefill float64
	// Decode is the speed of one stream of output while prompts are processed beside
	// it, as wire.Load.DecodeRate reports it.
	Decode float64
}

// SpeedsOf returns the mean speeds of the endpoints that are in service.
func SpeedsOf(view []route.Endpoint) Speeds {
	sum, n := Speeds{}, 0.0
	for i := range view {
		if view[i].OutOfService {
			continue
		}
		s := speedsAt(&view[i])
		sum.Prefill += s.Prefill
		sum.Decode += s.Decode
		n++
	}
	if n == 0 {
		return Speeds{Prefill: assumedPrefill, Decode: assumedDecode}
	}
	return Speeds{Prefill: sum.Prefill / n, Decode: sum.Decode / n}
}

func speedsAt(e *route.Endpoint) Speeds {
	s := Speeds{Prefill: e.Load.PrefillRate, Decode: e.Load.DecodeRate}
	if s.Prefill <= 0 {
		s.Prefill = assumedPrefill
	}
	if s.Decode <= 0 {
		s.Decode = assumedDecode
	}
	return s
}

// Alone predicts what a request takes without a wait. outputTokens is its bound.
func (s Speeds) Alone(promptTokens, outputTokens int) Forecast {
	return Forecast{
		Prefill: inSeconds(float64(promptTokens) / s.Prefill),
		Output:  inSeconds(float64(outputTokens) / s.Decode),
	}
}

// At predicts what a request takes at the endpoint chosen for it.
func At(e *route.Endpoint, c route.Choice, promptTokens, outputTokens int) Forecast {
	f := speedsAt(e).Alone(promptTokens, outputTokens)
	f.Wait = max(c.PredictedTTFT-f.Prefill, 0)
	return f
}

// Pace measures the work that an entry sends, in tokens a second. While requests wait
// at the entry, it is the entry's share of the endpoints.
type Pace struct {
	rate float64
	at   time.Time
}

// Sent counts a request that an endpoint has taken.
func (p *Pace) Sent(now time.Time, tokens int) {
	p.rate = p.Rate(now) + float64(tokens)/paceTime.Seconds()
	p.at = now
}

// Rate returns the pace at now.
func (p *Pace) Rate(now time.Time) float64 {
	return p.rate * math.Exp(-now.Sub(p.at).Seconds()/paceTime.Seconds())
}

// Wait predicts the wait behind the given tokens, of which the request's class gets
// share. least is the pace assumed at least, such as the speed of one endpoint.
func (p *Pace) Wait(now time.Time, ahead int64, share, least float64) time.Duration {
	return inSeconds(float64(ahead) / (max(p.Rate(now), least) * share))
}

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
