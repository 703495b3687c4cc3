package standin

import "time"

// maxAdmissionDigests limits the number of prompt digests that an engine counts. All
// counts are discarded when it is reached.
const maxAdmissionDigests = 1 << 20

// admissionLog counts the requests that an engine has admitted. It is kept when the
// engine crashes.
type admissionLog struct {
	// counts holds the number of admissions by prompt digest.
	counts map[uint64]int
	// last is the time of the last admission.
	last time.Time
}

func (r *admissionLog) add(digest uint64, now time.Time) {
	if r.counts == nil || len(r.counts) >= maxAdmissionDigests {
		r.counts = map[uint64]int{}
	}
	r.counts[digest]++
	r.last = now
}

// AdmittedCount returns how often the engine has admitted the prompt with the digest.
func (e *Engine) AdmittedCount(promptDigest uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admissionLog.counts[promptDigest]
}

// LastAdmitted returns when the engine last admitted a request.
func (e *Engine) LastAdmitted() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admissionLog.last
}
