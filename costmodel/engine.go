// Package costmodel predicts how long an engine that batches continuously takes for
// its work, from the figures that its operator publishes.
package costmodel

import (
	"math"
	"time"
)

// Engine describes one kind of engine.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// MemoryTokens is the KV memory.
	MemoryTokens int64
	// StepTime is the time of one token step without any request.
	StepTime time.Duration
	// PrefillTokensPerSecond is the speed of prefill in tokens, without attention.
	PrefillTokensPerSecond float64
	// TimePerMegapair is the time for a million pairs of a prompt token and an earlier one.
	TimePerMegapair time.Duration
	// Chunk is the most prompt tokens read in a step.
	Chunk int
	// Stride is how many steps an engine takes in a row while requests write.
	Stride int
}

// PrefillTime returns the time that one engine takes to read a prompt alone.
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

// SharedPrefillTime returns what each of the engines takes that read a prompt together.
func (e *Engine) SharedPrefillTime(tokens, engines int) time.Duration {
	return e.PrefillTime(tokens) / time.Duration(max(engines, 1))
}

// EnginesWithin returns how many engines bring the share of each down to limit.
func (e *Engine) EnginesWithin(tokens int, limit time.Duration) int {
	if limit <= 0 {
		return 1
	}
	return max(1, int(math.Ceil(float64(e.PrefillTime(tokens))/float64(limit))))
}

// TimeToFirstToken returns how long a prompt takes until its first token at idle engines, of
// which so many read it together.
func (e *Engine) TimeToFirstToken(tokens, engines int) time.Duration {
	return e.SharedPrefillTime(tokens, engines) + 2*e.decodeRunTime()
}

// decodeRunTime is the time of the steps that an engine takes in a row while requests write.
func (e *Engine) decodeRunTime() time.Duration { return time.Duration(max(e.Stride, 1)) * e.StepTime }
