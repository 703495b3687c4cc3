// Package costmodel predicts prefill times of an LLM engine with continuous batching
// from the figures that its operator publishes.
package costmodel

import (
	"math"
	"time"
)

// Engine describes one kind of engine.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// MemoryTokens is the capacity of the KV cache in tokens.
	MemoryTokens int64
	// StepTime is the time of one step without any request. Each request that decodes adds
	// SequenceTime, and each thousand tokens of its context ContextTime.
	StepTime, SequenceTime, ContextTime time.Duration
	// PrefillTokensPerSecond is the prefill speed without the cost of attention.
	PrefillTokensPerSecond float64
	// TimePerMegapair is the attention time for a million pairs of a prompt token and
	// an earlier token.
	TimePerMegapair time.Duration
	// Chunk is the maximum number of prompt tokens that are prefilled in one step.
	Chunk int
	// Stride is the number of consecutive steps that an engine takes while requests
	// decode.
	Stride int
}

// PrefillTime returns the time in which one engine prefills a prompt alone.
func (e *Engine) PrefillTime(tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.PrefillTokensPerSecond * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.TimePerMegapair)
	steps := n / float64(max(e.Chunk, 1)) * float64(e.StepTime)
	return time.Duration(linear + pairs + steps)
}

// SharedPrefillTime returns the prefill time of each engine when several of them
// prefill a prompt together.
func (e *Engine) SharedPrefillTime(tokens, engines int) time.Duration {
	return e.PrefillTime(tokens) / time.Duration(max(engines, 1))
}

// EnginesWithin returns how many engines have to share a prompt for a prefill time of
// at most limit each. Without a limit it is 1.
func (e *Engine) EnginesWithin(tokens int, limit time.Duration) int {
	if limit <= 0 {
		return 1
	}
	return max(1, int(math.Ceil(float64(e.PrefillTime(tokens))/float64(limit))))
}

// TimeToFirstToken returns the time until the first token of a prompt that the given
// number of idle engines prefills together.
func (e *Engine) TimeToFirstToken(tokens, engines int) time.Duration {
	return e.SharedPrefillTime(tokens, engines) + 2*e.DecodeRunTime()
}

// DecodeRunTime is the time of Stride consecutive steps, in which an engine that decodes makes one
// event of each stream.
func (e *Engine) DecodeRunTime() time.Duration { return time.Duration(max(e.Stride, 1)) * e.StepTime }

// FullDecodeTime returns how long an engine decodes an answer while all of its slots and memory are in
// use; false if the engine states no speed. Prefills between the decode runs are not part of it.
func (e *Engine) FullDecodeTime(outputTokens int) (full time.Duration, ok bool) {
	if e.StepTime <= 0 {
		return 0, false
	}
	step := e.StepTime + time.Duration(e.Slots)*e.SequenceTime + time.Duration(float64(e.MemoryTokens)/1e3*float64(e.ContextTime))
	stride := max(e.Stride, 1)
	runs := (outputTokens + stride - 1) / stride
	return time.Duration(runs*stride) * step, true
}
