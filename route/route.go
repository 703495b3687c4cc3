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
	// Classes is the number of classes.
	Classes
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
}

// Endpoint is an entry's view of one endpoint. Load is aged: LoadAt is when it
// was true at the latest.
type Endpoint struct {
	wire.Endpoint
	LoadAt time.Time
	// InFlight and InFlightTokens count this entry's own attempts there.
	InFlight       int
	InFlightTokens int64
	// Out is set when the configuration gives the endpoint no new work.
	Out bool
	// Suspect is set while health takes the endpoint for failing.
	Suspect bool
}

// Choice is the endpoint chosen and why.
type Choice struct {
	// Index is the endpoint's place in the view.
	Index int
	// Predicted is the predicted time to first token there.
	Predicted time.Duration
	// Considered counts the endpoints that were weighed.
	Considered int
	// Reason says in a word what decided, for the log line.
	Reason string
}

// Chooser is a policy for the choice of endpoint. Choose allocates nothing on
// success; its error is a *verdict.Refusal. Calls are serialised by the caller.
type Chooser interface {
	Choose(now time.Time, req *Request, view []Endpoint) (Choice, error)
}
