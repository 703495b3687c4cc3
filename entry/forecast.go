package entry

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Speeds assumed of an endpoint that has measured none, in tokens a second: those
// of a cold one.
const (
	assumedPrefillRate = 2_000
	assumedDecodeRate  = 20
)

// usage is the tokens that an engine reported for a call.
type usage struct {
	prompt int
	output int
}

// forecast predicts what the call takes: at the endpoint chosen, or else at a
// middling one after the work that is ahead of it. The caller holds the lock.
func (d *dispatcher) forecast(c *call, view []route.Endpoint, choice route.Choice, refusal *verdict.Refusal) admit.Forecast {
	prefill, decode := fleetSpeed(view)
	queued := secondsOf(float64(d.queue(c.want.Target).Tokens(c.want.Class)) / prefill)
	if refusal == nil {
		f := forecastAt(c, view, choice)
		f.Wait += queued
		return f
	}
	n := float64(max(len(view), 1))
	return admit.Forecast{
		Wait:    queued + refusal.RetryAfter,
		Prefill: secondsOf(float64(c.want.PromptTokens) * n / prefill),
		Output:  secondsOf(float64(c.want.OutputTokens) * n / decode),
	}
}

// fleetSpeed returns the speeds of all endpoints of the view together.
func fleetSpeed(view []route.Endpoint) (prefill, decode float64) {
	for i := range view {
		if !view[i].Out {
			prefill += measured(view[i].Load.PrefillRate, assumedPrefillRate)
			decode += measured(view[i].Load.DecodeRate, assumedDecodeRate)
		}
	}
	return max(prefill, assumedPrefillRate), max(decode, assumedDecodeRate)
}

// forecastAt predicts what the call takes at the endpoint chosen.
func forecastAt(c *call, view []route.Endpoint, choice route.Choice) admit.Forecast {
	load := &view[choice.Index].Load
	prefill := secondsOf(float64(c.want.PromptTokens) / measured(load.PrefillRate, assumedPrefillRate))
	return admit.Forecast{
		Wait:    max(choice.Predicted-prefill, 0),
		Prefill: prefill,
		Output:  secondsOf(float64(c.want.OutputTokens) / measured(load.DecodeRate, assumedDecodeRate)),
	}
}

func measured(rate, assumed float64) float64 {
	if rate > 0 {
		return rate
	}
	return assumed
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
