package assign

import "time"

const (
	// holdbackWindow is how long before a prompt has to start it holds back others.
	holdbackWindow = 300 * time.Millisecond
	// holdbackFactor is how much less prefill a prompt needs than the one that is about to start, to be
	// placed before it all the same.
	holdbackFactor = 4
)

// Holdback keeps endpoints for a long prompt that has to start soon and waits for more of them:
// otherwise smaller prompts take each one that becomes idle. It is used for one pass through the waiting
// prompts in the order in which they have to start. The zero value holds back nothing.
type Holdback struct {
	// held is the shortest prefill time of the prompts that hold back others.
	held time.Duration
}

// Missed records that a prompt that has to start by a time found too few endpoints.
func (h *Holdback) Missed(now time.Time, r *Request, startBy time.Time) {
	if !r.grouped() || startBy.Before(now) || startBy.After(now.Add(holdbackWindow)) {
		return
	}
	if prefill := r.Engine.PrefillTime(r.PromptTokens); h.held == 0 || prefill < h.held {
		h.held = prefill
	}
}

// Allows reports whether a prompt may be placed.
func (h *Holdback) Allows(r *Request) bool {
	return h.held == 0 || !r.grouped() || holdbackFactor*r.Engine.PrefillTime(r.PromptTokens) <= h.held
}
