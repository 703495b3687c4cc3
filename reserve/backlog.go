package reserve

import "time"

// mostDone bounds the part of a prompt that is taken for processed before its first
// token has come.
const mostDone = 0.95

// Backlog estimates the prompt tokens that wait for prefill at an engine, which
// reports no progress: prompts are taken to be processed one after another in order
// of dispatch, at the measured speed. Its calls are serialised by the host.
type Backlog struct {
	prompts []prompt
	sum     int64
	// since is when the engine turned to the first prompt.
	since time.Time
}

type prompt struct {
	id     string
	tokens int64
}

// Add counts a prompt that is dispatched to the engine.
func (b *Backlog) Add(now time.Time, id string, tokens int64) {
	if len(b.prompts) == 0 {
		b.since = now
	}
	b.prompts = append(b.prompts, prompt{id: id, tokens: tokens})
	b.sum += tokens
}

// Remove takes a prompt out: its first token has come, or it has ended. A second
// call for one prompt changes nothing.
func (b *Backlog) Remove(now time.Time, id string) {
	for i, p := range b.prompts {
		if p.id != id {
			continue
		}
		if i == 0 {
			b.since = now
		}
		b.sum -= p.tokens
		b.prompts = append(b.prompts[:i], b.prompts[i+1:]...)
		return
	}
}

// Clear forgets all prompts: the engine has started anew.
func (b *Backlog) Clear() {
	b.prompts = nil
	b.sum = 0
}

// Pending returns the prompt tokens that are expected to wait at now. rate is the
// measured prefill speed in tokens a second.
func (b *Backlog) Pending(now time.Time, rate float64) int64 {
	if len(b.prompts) == 0 {
		return 0
	}
	done := rate * max(now.Sub(b.since).Seconds(), 0)
	most := mostDone * float64(b.prompts[0].tokens)
	return b.sum - int64(min(done, most))
}
