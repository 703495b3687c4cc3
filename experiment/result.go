package experiment

import "time"

// Outcome is the result of a request as its caller sees it.
type Outcome int

// Outcomes of requests.
const (
	// Completed is a complete and correct answer in time.
	Completed Outcome = iota + 1
	// Refused is a refusal with the verdict not_run.
	Refused
	// Failed is every other answer that the caller can recognize as incomplete or as an
	// error.
	Failed
	// Wrong is an answer that looks complete but is not the expected one.
	Wrong
	// Late is a request without a final answer at its deadline and the grace after it.
	Late
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"", "completed", "refused", "failed", "wrong", "late"}[o]
}

// outcomes lists all outcomes in the order of reports.
var outcomes = []Outcome{Completed, Refused, Failed, Wrong, Late}

// Result is the result of one arrival.
type Result struct {
	Arrival *Arrival
	Outcome Outcome
	// Verdict is the verdict that the caller received, if any.
	Verdict string
	// Reason says why the request did not complete.
	Reason string
	// TTFT and Latency are the times to the first token and to the end of the request,
	// in model time. They count from when the request was due.
	TTFT    time.Duration
	Latency time.Duration
	// EndedAt is when the request ended, in model time from the part's start.
	EndedAt time.Duration
	// Attempts is how often the request was sent, retries included.
	Attempts int
	// key is the idempotency key of a call that must not run twice.
	key string
	// digest is the digest of the prompt; 0 for a call.
	digest uint64
}
