// Package ramp limits the work of an endpoint that has just started.
//
// A cold endpoint is given an allowance of work in flight, in tokens. Each token
// that it finishes at a sound speed raises the allowance; above a bound it is warm
// and has none. A new incarnation or a lasting fall in speed makes it cold again.
// Work is counted in tokens because one long prompt weighs as much as hundreds of
// short ones.
package ramp

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Settings bound the ramp.
type Settings struct {
	// FirstTokens is the allowance of a cold endpoint, in tokens of prompt and output.
	FirstTokens int64 `json:"first_tokens"`
	// Growth is how much each finished token raises the allowance, in tokens.
	Growth float64 `json:"growth"`
	// WarmTokens is the allowance above which the endpoint is warm.
	WarmTokens int64 `json:"warm_tokens"`
	// FallShare is the share of the usual speed below which a measurement is low.
	FallShare float64 `json:"fall_share"`
	// FallCount is the number of low measurements in a row that make it cold.
	FallCount int `json:"fall_count"`
}

// DefaultSettings returns the usual bounds.
func DefaultSettings() Settings {
	return Settings{FirstTokens: 16_000, Growth: 0.25, WarmTokens: 100_000, FallShare: 0.4, FallCount: 3}
}

// Constants of the usual speed.
const (
	// usualWeight is the weight of one measurement in the usual speed.
	usualWeight = 0.05
	// retryCold is when a refused request is worth trying again on the endpoint.
	retryCold = 500 * time.Millisecond
)

// Warm is what Left returns for an endpoint without an allowance.
const Warm int64 = -1

// Ramp is the slow start of one endpoint. Its calls are serialised by the host.
type Ramp struct {
	set       Settings
	cold      bool
	allowance float64
	inFlight  int64
	attempts  int
	usual     float64
	low       int
}

// New returns the ramp of an endpoint that has just started.
func New(s Settings) *Ramp {
	r := &Ramp{set: s}
	r.chill()
	return r
}

// chill makes the endpoint cold. Work in flight stays counted: until it is done,
// the endpoint may be over its allowance and is given nothing new.
func (r *Ramp) chill() {
	r.cold = true
	r.allowance = float64(r.set.FirstTokens)
	r.low = 0
}

// Reset notes a new incarnation of the engine, which has lost all work.
func (r *Ramp) Reset() {
	r.chill()
	r.inFlight = 0
	r.attempts = 0
}

// Admit takes work of the given tokens in, or refuses it with endpoint_cold. An
// idle endpoint takes any one request: else a prompt larger than the first
// allowance could never run in a fleet that is cold as a whole.
func (r *Ramp) Admit(tokens int64) error {
	if r.cold && r.attempts > 0 && float64(r.inFlight+tokens) > r.allowance {
		return verdict.Refuse(verdict.ReasonEndpointCold, retryCold,
			"the endpoint has just started and bears %d tokens more", r.Remaining())
	}
	r.inFlight += tokens
	r.attempts++
	return nil
}

// Complete notes that an attempt has finished a part of its work: its prompt at the first
// token, its output at the end. The part no longer counts against the allowance and
// raises it. A prompt is let go at its first token because a stream of output, which
// takes long, is little work.
func (r *Ramp) Complete(tokens int64) {
	r.inFlight = max(r.inFlight-tokens, 0)
	if !r.cold || r.low > 0 {
		return
	}
	r.allowance += r.set.Growth * float64(tokens)
	if r.allowance >= float64(r.set.WarmTokens) {
		r.cold = false
	}
}

// Release notes the end of an attempt. left is the part of its tokens that was not
// Done: more than 0 for one that failed, was cancelled or needed less output.
func (r *Ramp) Release(left int64) {
	r.inFlight = max(r.inFlight-left, 0)
	r.attempts = max(r.attempts-1, 0)
}

// ObserveRate takes in a measured prefill speed in tokens a second. The caller passes
// speeds of times when there was work only. It reports whether the endpoint has
// just become cold.
func (r *Ramp) ObserveRate(rate float64) bool {
	if rate <= 0 {
		return false
	}
	low := r.usual > 0 && rate < r.set.FallShare*r.usual
	r.learn(rate)
	if !low {
		r.low = 0
		return false
	}
	r.low++
	if r.low < r.set.FallCount || r.cold {
		return false
	}
	r.chill()
	return true
}

// learn moves the usual speed towards rate, so that an endpoint that stays slower
// for good becomes warm at its new speed.
func (r *Ramp) learn(rate float64) {
	if r.usual == 0 || rate > r.usual {
		r.usual = rate
		return
	}
	r.usual += usualWeight * (rate - r.usual)
}

// Remaining returns the tokens that the endpoint still bears, never below 0, or Warm.
func (r *Ramp) Remaining() int64 {
	if !r.cold {
		return Warm
	}
	return max(int64(r.allowance)-r.inFlight, 0)
}

// Cold reports whether the endpoint has an allowance.
func (r *Ramp) Cold() bool { return r.cold }
