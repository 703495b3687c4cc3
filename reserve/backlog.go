package reserve

import "time"

// maxProcessed bounds the part of a prompt that is assumed to be processed before its
// first output token has arrived.
const maxProcessed = 0.95

// Backlog estimates the prompt tokens that wait for prefill at an engine. The engine does
// not report the progress of prefill, so Backlog assumes that the engine processes one
// prompt after another, in order of dispatch, at the measured speed. It does no locking:
// the caller serialises the calls.
type Backlog struct {
	prompts []prompt
	total   int64
	// headSince is when the engine began with the first of prompts.
	headSince time.Time
}

type prompt struct {
	id     string
	tokens int64
}

// Add adds a prompt that is dispatched to the engine.
func (b *Backlog) Add(now time.Time, id string, tokens int64) {
	if len(b.prompts) == 0 {
		b.headSince = now
	}
	b.prompts = append(b.prompts, prompt{id: id, tokens: tokens})
	b.total += tokens
}

// Remove removes a prompt whose first output token has arrived or whose request has
// ended. A second call for the same prompt changes nothing.
func (b *Backlog) Remove(now time.Time, id string) {
	for i, p := range b.prompts {
		if p.id != id {
			continue
		}
		if i == 0 {
			b.headSince = now
		}
		b.total -= p.tokens
		b.prompts = append(b.prompts[:i], b.prompts[i+1:]...)
		return
	}
}

// Clear removes all prompts, because the engine has restarted.
func (b *Backlog) Clear() {
	b.prompts = nil
	b.total = 0
}

// Pending returns the estimated number of prompt tokens that wait for prefill at now.
// rate is the measured prefill speed in tokens per second.
func (b *Backlog) Pending(now time.Time, rate float64) int64 {
	if len(b.prompts) == 0 {
		return 0
	}
	processed := rate * max(now.Sub(b.headSince).Seconds(), 0)
	bound := maxProcessed * float64(b.prompts[0].tokens)
	return b.total - int64(min(processed, bound))
}
