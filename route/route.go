// Package route chooses the endpoint of a request.
//
// A Table holds what an entry knows of the endpoints. A Chooser is a policy; the
// policies register themselves as plug-ins under "route.<name>".
package route

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Class is a request's length class.
type Class uint8

// The length classes, by prompt tokens.
const (
	Short Class = iota
	Medium
	Long
	// NumClasses is the number of classes.
	NumClasses
)

// String returns the class's name in logs and metrics.
func (c Class) String() string {
	switch c {
	case Short:
		return "short"
	case Medium:
		return "medium"
	}
	return "long"
}

// Thresholds of the length classes, in prompt tokens.
const (
	// MediumFromTokens is the length from which a prompt is no longer short.
	MediumFromTokens = 8_000
	// LongFromTokens is the length from which a prompt is long.
	LongFromTokens = 100_000
)

// ClassOf returns the length class of a prompt.
func ClassOf(promptTokens int) Class {
	switch {
	case promptTokens >= LongFromTokens:
		return Long
	case promptTokens >= MediumFromTokens:
		return Medium
	}
	return Short
}

// Request is what the choice depends on.
type Request struct {
	Target       string
	Class        Class
	PromptTokens int
	OutputTokens int
	// Prefix is the xxhash64 of the prompt's first engine.PrefixBytes bytes.
	Prefix uint64
	// Zone is the entry's zone; its endpoints are preferred.
	Zone string
	// Deadline is when the request has to be finished.
	Deadline time.Time
	// Tried lists endpoints that earlier attempts of the request went to.
	Tried []string
	// BacklogRefusals counts the dispatches refused because more waited than Choice.MaxPending.
	BacklogRefusals int

	// counted is set once the request is part of the observed mix.
	counted bool
}

// Endpoint is an entry's view of one endpoint. Load is aged: LoadAt is when it
// was true at the latest.
type Endpoint struct {
	wire.Endpoint
	LoadAt time.Time
	// InFlight and InFlightTokens count this entry's own attempts there.
	InFlight       int
	InFlightTokens int64
	// OutOfService is set when the configuration gives the endpoint no new work.
	OutOfService bool
	// Suspect is set while health takes the endpoint for failing.
	Suspect bool
	// Unreported counts this entry's own attempts that Load does not hold yet;
	// UnseenPrompt is their prompt tokens and UnseenTokens their prompt and output.
	Unreported             int
	UnreportedPromptTokens int64
	UnreportedTokens       int64
	// Rank is the endpoint's place in the order in which the target's endpoints
	// become lanes for longer prompts; every entry has the same order. It
	// means nothing for an endpoint that is out.
	Rank int
	// RankCount counts the target's endpoints that have a rank.
	RankCount int

	// hash is the hash of the name, for rendezvous hashing.
	hash uint64
}

// RequiredTokens returns the engine memory that the request needs, in KV tokens.
func (r *Request) RequiredTokens() int64 {
	return int64(r.PromptTokens) + int64(r.OutputTokens)
}

// AvailableTokens returns the memory that this entry may still count on, in KV tokens.
func (e *Endpoint) AvailableTokens() int64 {
	return e.Load.FreeTokens - e.UnreportedTokens
}

// PendingTokens returns the prompt tokens that are expected to wait for prefill at now.
// The reported backlog shrinks at the reported speed while the report ages.
func (e *Endpoint) PendingTokens(now time.Time) float64 {
	done := e.Load.PrefillRate * now.Sub(e.LoadAt).Seconds()
	reported := float64(e.Load.PendingPrefill) - max(done, 0)
	return max(reported, 0) + float64(e.UnreportedPromptTokens)
}

// PredictTTFT predicts the time to first token of a prompt sent at now.
func (e *Endpoint) PredictTTFT(now time.Time, promptTokens int) time.Duration {
	seconds := (e.PendingTokens(now) + float64(promptTokens)) / e.prefillRate()
	return time.Duration(seconds * float64(time.Second))
}

// prefillRate returns the measured speed in tokens a second, or an assumed one.
func (e *Endpoint) prefillRate() float64 {
	if e.Load.PrefillRate > 0 {
		return e.Load.PrefillRate
	}
	return assumedPrefillRate
}

// assumedPrefillRate is the speed assumed before the first measurement, in tokens a second.
const assumedPrefillRate = 4_000

// Choice is the endpoint chosen and why.
type Choice struct {
	// Index is the endpoint's place in the view.
	Index int
	// Predicted is the predicted time to first token there.
	Predicted time.Duration
	// Considered counts the endpoints that were weighed.
	Considered int
	// MaxPending is the prompt tokens that may wait for prefill at the endpoint; 0 is
	// no bound. The sidecar refuses the dispatch when more wait: the entry's view was
	// too old, and the refusal brings a fresh one.
	MaxPending int64
	// Reason says in a word what decided, for the log line.
	Reason string
}

// PrefixObserver is a Chooser that learns where prompt prefixes are cached.
type PrefixObserver interface {
	// PrefixServed notes that an endpoint has processed a prompt with the prefix.
	PrefixServed(now time.Time, zone, name string, prefix uint64)
}

// Chooser is a policy for the choice of endpoint. Choose allocates nothing on
// success; its error is a *verdict.Refusal. Calls are serialised by the caller.
type Chooser interface {
	Choose(now time.Time, req *Request, view []Endpoint) (Choice, error)
}
