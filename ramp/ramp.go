// Package ramp implements slow start: it limits the work that a newly started
// endpoint may have in flight.
//
// A cold endpoint has an allowance: a limit on the tokens of its requests in flight.
// Each token that it completes raises the allowance, except while its measured
// prefill rate is low. Once the allowance reaches a threshold, the endpoint is warm
// and no longer limited. A new incarnation or a lasting drop in prefill rate makes
// the endpoint cold again. Work is counted in tokens, not in requests, because one
// long prompt costs as much as hundreds of short ones.
package ramp

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Settings configures a Ramp.
type Settings struct {
	// FirstTokens is the allowance of a cold endpoint, in tokens of prompt and output.
	FirstTokens int64 `json:"first_tokens"`
	// Growth is how much each completed token raises the allowance, in tokens.
	Growth float64 `json:"growth"`
	// WarmTokens is the allowance from which on the endpoint is warm, in tokens.
	WarmTokens int64 `json:"warm_tokens"`
	// FallShare is the share of the usual prefill rate below which a measurement is low.
	FallShare float64 `json:"fall_share"`
	// FallCount is the number of consecutive low measurements that make a warm
	// endpoint cold.
	FallCount int `json:"fall_count"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{FirstTokens: 16_000, Growth: 0.25, WarmTokens: 100_000, FallShare: 0.4, FallCount: 3}
}

const (
	// usualRateWeight is the weight with which a measurement below the usual prefill
	// rate lowers it.
	usualRateWeight = 0.05
	// coldRetryAfter is the retry delay given with a refusal by a cold endpoint.
	coldRetryAfter = 500 * time.Millisecond
)

// Warm is the result of Remaining for a warm endpoint, which has no allowance.
const Warm int64 = -1

// Ramp is the slow-start state of one endpoint. It does not lock: the caller
// serialises all calls.
type Ramp struct {
	settings  Settings
	cold      bool
	allowance float64 // tokens
	inFlight  int64   // tokens of attempts in flight that are not completed
	attempts  int     // attempts in flight
	usualRate float64 // usual prefill rate, in tokens per second; 0 before the first measurement
	low       int     // consecutive low measurements
}

// New returns the ramp of a cold endpoint.
func New(s Settings) *Ramp {
	r := &Ramp{settings: s}
	r.makeCold()
	return r
}

// makeCold sets the first allowance. Work in flight stays counted, so an endpoint
// that turns cold under load may exceed its allowance; it then gets no new work
// until enough of that work is completed.
func (r *Ramp) makeCold() {
	r.cold = true
	r.allowance = float64(r.settings.FirstTokens)
	r.low = 0
}

// Reset makes the endpoint cold and forgets all work in flight. It is called for a
// new incarnation of the engine, which has lost that work.
func (r *Ramp) Reset() {
	r.makeCold()
	r.inFlight = 0
	r.attempts = 0
}

// Admit counts an attempt of the given tokens as in flight, or refuses it with
// ReasonEndpointCold. An idle endpoint admits a request of any size: otherwise a
// prompt larger than the first allowance could never run while all endpoints are cold.
func (r *Ramp) Admit(tokens int64) error {
	if r.cold && r.attempts > 0 && float64(r.inFlight+tokens) > r.allowance {
		return verdict.Refuse(verdict.ReasonEndpointCold, coldRetryAfter,
			"the endpoint has just started and bears %d tokens more", r.Remaining())
	}
	r.inFlight += tokens
	r.attempts++
	return nil
}

// Complete records that tokens of an attempt are processed: those of its prompt at
// the first token, those of its output at the end. They no longer count as in flight
// and they raise the allowance. The prompt is completed at the first token because
// the output, although it streams for long, is little work.
func (r *Ramp) Complete(tokens int64) {
	r.inFlight = max(r.inFlight-tokens, 0)
	if !r.cold || r.low > 0 {
		return
	}
	r.allowance += r.settings.Growth * float64(tokens)
	if r.allowance >= float64(r.settings.WarmTokens) {
		r.cold = false
	}
}

// EndAttempt ends an attempt. unfinished is the part of its tokens that was not passed
// to Complete: more than 0 when the attempt failed, was cancelled or produced less
// output than expected.
func (r *Ramp) EndAttempt(unfinished int64) {
	r.inFlight = max(r.inFlight-unfinished, 0)
	r.attempts = max(r.attempts-1, 0)
}

// ObserveRate records a measured prefill rate in tokens per second and reports
// whether it made the endpoint cold. The caller passes only rates measured while
// prompts were waiting.
func (r *Ramp) ObserveRate(rate float64) bool {
	if rate <= 0 {
		return false
	}
	low := r.usualRate > 0 && rate < r.settings.FallShare*r.usualRate
	r.updateUsualRate(rate)
	if !low {
		r.low = 0
		return false
	}
	r.low++
	if r.low < r.settings.FallCount || r.cold {
		return false
	}
	r.makeCold()
	return true
}

// updateUsualRate raises the usual rate to a higher measurement at once and moves it
// gradually towards a lower one, so that an endpoint that stays slower for good
// becomes warm at its new rate.
func (r *Ramp) updateUsualRate(rate float64) {
	if r.usualRate == 0 || rate > r.usualRate {
		r.usualRate = rate
		return
	}
	r.usualRate += usualRateWeight * (rate - r.usualRate)
}

// Remaining returns the unused part of the allowance in tokens, at least 0, or Warm
// for a warm endpoint.
func (r *Ramp) Remaining() int64 {
	if !r.cold {
		return Warm
	}
	return max(int64(r.allowance)-r.inFlight, 0)
}

// Cold reports whether the endpoint is cold, that is, limited by an allowance.
func (r *Ramp) Cold() bool { return r.cold }
