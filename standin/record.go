package standin

import "time"

// maxAdmissionDigests bounds the prompts that an engine remembers to have taken in.
const maxAdmissionDigests = 1 << 20

// admissionLog is what an engine has taken in. It outlives falls of the engine.
type admissionLog struct {
	counts map[uint64]int
	last  time.Time
}

func (r *admissionLog) add(digest uint64, now time.Time) {
	if r.counts == nil || len(r.counts) >= maxAdmissionDigests {
		r.counts = map[uint64]int{}
	}
	r.counts[digest]++
	r.last = now
}

// AdmittedCount returns how often the engine took in the prompt with the digest.
func (e *Engine) AdmittedCount(promptDigest uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admissionLog.counts[promptDigest]
}

// LastAdmitted returns when the engine last took in a request.
func (e *Engine) LastAdmitted() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admissionLog.last
}
