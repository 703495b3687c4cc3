package experiment

import "time"

// Outcome is how a request ended for its caller.
type Outcome int

// The outcomes.
const (
	// Completed is a whole, correct answer in time.
	Completed Outcome = iota + 1
	// Refused is an answer with a verdict that the request has not run.
	Refused
	// Failed is anything else that the caller can tell from a whole answer.
	Failed
	// Wrong is an answer that looks whole and is not the request's own.
	Wrong
	// Late is a request without a final answer at its deadline.
	Late
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"", "completed", "refused", "failed", "wrong", "late"}[o]
}

// outcomes lists all outcomes in the order of reports.
var outcomes = []Outcome{Completed, Refused, Failed, Wrong, Late}

// Result is what happened to one arrival.
type Result struct {
	Arrival *Arrival
	Outcome Outcome
	// Verdict is the verdict that the caller saw, if any.
	Verdict string
	// Reason says why the request did not complete.
	Reason string
	// TTFT and Last are the times from when the request was due to its first
	// token and to its end, in model time.
	TTFT    time.Duration
	Latency time.Duration
	// EndedAt is when it ended, in model time from the part's start.
	EndedAt time.Duration
	// Attempts is how often the request was sent.
	Attempts int
	// key is the idempotency key of a call that must not run twice.
	key string
	// digest is the prompt's.
	digest uint64
}
