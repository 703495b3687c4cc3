// Package quarantine finds requests that crash the endpoints that run them.
//
// When an endpoint falls, everything in flight on it is suspect. A suspect runs
// apart: under a permit of the replicated List, at one place at a time, and as the
// only suspect there. A whole answer clears it. A fall in which it was the only
// suspect and another one convict it, and so do three in company. A convicted
// request is refused everywhere, and the falls that it took part in no longer speak
// against the others that were in flight. Those run apart until a whole answer
// clears them.
//
// Requests are told apart by a digest of their content, so a resend through
// another entry meets what is known of the first.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package quarantine

import "time"

// MaxLostEndpoints is the most endpoints that may be lost to one request.
const MaxLostEndpoints = 3

// Status says how a request with some content may run.
type Status uint8

// The statuses, from the most to the least trusted.
const (
	// Clear requests run anywhere.
	Clear Status = iota
	// Suspect requests run under a permit, with no other in flight on the endpoint.
	Suspect
	// Convicted requests are refused everywhere.
	Convicted
)

// String returns the status's name in logs.
func (s Status) String() string {
	switch s {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	}
	return "convicted"
}

// Limits bound what a List keeps.
type Limits struct {
	// SuspectTTL is how long a fall counts, OutageLife how long one of many at
	// about the same time, and ConvictedLife for how long a convicted request is
	// refused after its last fall.
	SuspectTTL   time.Duration
	OutageTTL    time.Duration
	ConvictedTTL time.Duration
	// MaxRequests bounds the requests remembered, Falls the falls, and PerFall the
	// requests of one fall.
	MaxRequests           int
	MaxFailures           int
	MaxRequestsPerFailure int
	// BurstFailures within BurstWindow are taken for an outage of a rack or an
	// availability zone: they convict nobody, and a request that was in one of
	// them only stays clear.
	BurstFailures int
	BurstWindow   time.Duration
}

// DefaultLimits suit one group of replicas.
func DefaultLimits() Limits {
	return Limits{
		SuspectTTL:            24 * time.Hour,
		OutageTTL:             time.Hour,
		ConvictedTTL:          7 * 24 * time.Hour,
		MaxRequests:           8192,
		MaxFailures:           1024,
		MaxRequestsPerFailure: 256,
		BurstFailures:         5,
		BurstWindow:           10 * time.Second,
	}
}

// FailureReport says that an incarnation of an endpoint fell. Several processes may
// report parts of one fall; together they count once.
type FailureReport struct {
	Endpoint    string
	Incarnation uint64
	// Digests were in flight, as far as the reporter knows.
	Digests []uint64
	// Alone is set when it is certain that nothing else was in flight: the
	// sidecar's list has one digest, or the sidecar granted the attempt as one to
	// run apart.
	Alone bool
}

// PermitRequest asks for a permit to run a suspect request.
type PermitRequest struct {
	Digest uint64
	// Holder names the attempt. The same one asking again gets the same answer.
	Holder string
	// Endpoint and Incarnation say where it is to run.
	Endpoint    string
	Incarnation uint64
	// Deadline is when the run is over at the latest: the end of its deadline.
	Deadline time.Time
}

// Permit is the answer to a PermitRequest.
type Permit struct {
	Status Status
	// Granted is set when the request may run: apart, if it is suspect.
	Granted bool
	// Alone is set when nothing else may be in flight on the endpoint.
	Alone bool
	// RetryAfter is when it is worth asking again, when it is suspect and not granted.
	RetryAfter time.Duration
}
