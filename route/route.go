// Package route chooses the endpoint for a request.
//
// A Table holds what one entry knows about the endpoints. A Chooser is a load balancing
// policy; the policies register themselves as plug-ins under "route.<name>".
package route

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Class is the length class of a request's prompt.
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

// Request holds the properties of a request that the choice of an endpoint depends on.
type Request struct {
	Target       string // name of the model or service, see wire.Endpoint
	Class        Class
	PromptTokens int // upper bound of the prompt's length
	OutputTokens int // maximum length of the output
	// Prefix is the xxhash64 of the prompt's first engine.PrefixBytes bytes.
	Prefix uint64
	// Zone is the entry's availability zone; its endpoints are preferred.
	Zone string
	// Deadline is when the request has to be finished.
	Deadline time.Time
	// Tried lists the endpoints that earlier attempts of the request were sent to; they
	// are not chosen again.
	Tried []string
	// BacklogRefusals counts the dispatches of the request that sidecars refused because
	// more tokens were pending than Choice.MaxPending.
	BacklogRefusals int

	// counted is set once the request is included in the traffic mix of Lanes.
	counted bool
}

// Endpoint is what an entry knows about one endpoint. Load is the last load report.
type Endpoint struct {
	wire.Endpoint
	// LoadAt is the time for which Load was reported.
	LoadAt time.Time
	// InFlight is the number of this entry's own attempts in flight at the endpoint, and
	// InFlightTokens their tokens of prompt and output.
	InFlight       int
	InFlightTokens int64
	// OutOfService is set when the configuration excludes the endpoint from new work.
	OutOfService bool
	// Suspect is set while package health considers the endpoint to be failing.
	Suspect bool
	// Unreported is the number of this entry's own attempts that Load does not include
	// yet, UnreportedPromptTokens their prompt tokens, and UnreportedTokens their
	// tokens of prompt and output.
	Unreported             int
	UnreportedPromptTokens int64
	UnreportedTokens       int64
	// Rank is the endpoint's position, from 0, in an order of the target's endpoints that
	// is the same at all entries. The endpoints with the lowest ranks are the lanes of a
	// class, see Lanes. The rank only matters for an endpoint in service.
	Rank int
	// RankCount is the number of the target's endpoints that are in service and so have
	// a rank.
	RankCount int

	// hash is the xxhash64 of the name, used as sort key and for rendezvous hashing.
	hash uint64
}

// RequiredTokens returns the engine memory that the request needs, in KV tokens: its
// prompt and an output of the maximum length.
func (r *Request) RequiredTokens() int64 {
	return int64(r.PromptTokens) + int64(r.OutputTokens)
}

// AvailableTokens returns the engine memory that this entry assumes to be free, in KV
// tokens: the reported free memory less that of its own unreported attempts.
func (e *Endpoint) AvailableTokens() int64 {
	return e.Load.FreeTokens - e.UnreportedTokens
}

// PendingTokens returns the estimated number of prompt tokens that wait for prefill at
// the time now. It assumes that the reported backlog has since shrunk at the reported
// prefill rate, and adds the prompts that the report does not include.
func (e *Endpoint) PendingTokens(now time.Time) float64 {
	done := e.Load.PrefillRate * now.Sub(e.LoadAt).Seconds()
	reported := float64(e.Load.PendingPrefill) - max(done, 0)
	return max(reported, 0) + float64(e.UnreportedPromptTokens)
}

// PredictTTFT predicts the time to first token of a prompt sent at the time now.
func (e *Endpoint) PredictTTFT(now time.Time, promptTokens int) time.Duration {
	seconds := (e.PendingTokens(now) + float64(promptTokens)) / e.prefillRate()
	return time.Duration(seconds * float64(time.Second))
}

// prefillRate returns the reported prefill rate in tokens per second, or
// assumedPrefillRate before the first measurement.
func (e *Endpoint) prefillRate() float64 {
	if e.Load.PrefillRate > 0 {
		return e.Load.PrefillRate
	}
	return assumedPrefillRate
}

// assumedPrefillRate is the prefill rate assumed before the first measurement, in tokens
// per second.
const assumedPrefillRate = 4_000

// Choice is the result of a Chooser.
type Choice struct {
	// Index is the index of the chosen endpoint in the view.
	Index int
	// Predicted is the predicted time to first token at the endpoint. The policy of type
	// Predicted adds its charges for load, age of the report and zone.
	Predicted time.Duration
	// Considered is the number of endpoints that were compared.
	Considered int
	// MaxPending is the maximum number of prompt tokens that may wait for prefill at the
	// endpoint when the dispatch arrives; 0 is no limit. If more wait, the entry's load
	// report was out of date: the sidecar refuses the dispatch, and its answer contains
	// a new load report.
	MaxPending int64
	// Reason is the rule that decided the choice, as one word for the log.
	Reason string
}

// PrefixObserver is implemented by choosers that record where prompt prefixes are
// cached.
type PrefixObserver interface {
	// PrefixServed records that an endpoint has processed a prompt with the prefix. The
	// entry calls it at the first token, before the engine's own cache event arrives.
	PrefixServed(now time.Time, zone, name string, prefix uint64)
}

// Chooser is a policy that chooses one endpoint of a view, which comes from Table.View.
// Choose does not allocate on success; its error is a *verdict.Refusal. The caller
// serialises all calls.
type Chooser interface {
	Choose(now time.Time, req *Request, view []Endpoint) (Choice, error)
}
