package standin

import "time"

// maxRecorded bounds the prompts that an engine remembers to have taken in.
const maxRecorded = 1 << 20

// record is what an engine has taken in. It outlives falls of the engine.
type record struct {
	taken map[uint64]int
	last  time.Time
}

func (r *record) add(digest uint64, now time.Time) {
	if r.taken == nil || len(r.taken) >= maxRecorded {
		r.taken = map[uint64]int{}
	}
	r.taken[digest]++
	r.last = now
}

// AdmittedCount returns how often the engine took in the prompt with the digest.
func (e *Engine) AdmittedCount(promptDigest uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.taken[promptDigest]
}

// LastAdmitted returns when the engine last took in a request.
func (e *Engine) LastAdmitted() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.last
}
