// Package quarantine finds requests that crash the endpoints that run them.
//
// When an endpoint fails, every request in flight on it becomes suspect. A suspect
// request runs only under a permit of the replicated List: on one endpoint at a time,
// and as the only suspect request there. A complete answer clears the request. A
// request is convicted as the cause of the crashes after two failures, if it was the
// only suspect in at least one of them, and otherwise after three. A convicted request
// is refused everywhere, and the failures that it took part in no longer count against
// the other requests in flight. Those stay suspect until a complete answer clears them.
//
// An endpoint without a sidecar is called direct. A Tracker finds out which requests were in
// flight when such an endpoint ended.
//
// A request is identified by a digest of its content, so that copies of it that arrive
// through other entries share one record. A part of a prompt that many requests share has a record
// of its own: it is convicted as the cause once endpoints failed under several requests that have
// nothing else in common, and requests with it are refused, but for rare trials.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package quarantine

import "time"

// MaxLostEndpoints is the most endpoints that may be lost to one request.
const MaxLostEndpoints = 3

// MinDirectLosses is the number of direct endpoints that are lost under a request before it
// becomes suspect. A direct endpoint has no sidecar, and the loss of one makes too many
// innocent requests wait for permits to be worth what it tells about each of them.
const MinDirectLosses = 2

// Status says whether and how a request may run.
type Status uint8

// The statuses, from the most to the least trusted.
const (
	// Clear requests run on any endpoint.
	Clear Status = iota
	// Suspect requests run under a permit, as the only suspect on the endpoint.
	Suspect
	// Convicted requests are refused everywhere.
	Convicted
)

// String returns the name of the status in logs.
func (s Status) String() string {
	switch s {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	}
	return "convicted"
}

// Limits are the limits on the records in a List, and its thresholds.
type Limits struct {
	// SuspectTTL is how long a failure counts against a request. OutageTTL replaces it
	// for a failure in an outage, and ConvictedTTL for a failure in which a convicted
	// request took part, so that a convicted request is refused for ConvictedTTL after
	// its last failure.
	SuspectTTL   time.Duration
	OutageTTL    time.Duration
	ConvictedTTL time.Duration
	// Digests is the most requests with a record, Failures the most failures that are
	// remembered, and DigestsPerFailure the most requests in one failure.
	Digests           int
	Failures          int
	DigestsPerFailure int
	// BurstFailures failures within BurstWindow are treated as an outage of a rack or an
	// availability zone. They count against no request, and a request that took part in
	// only one of them stays clear.
	BurstFailures int
	BurstWindow   time.Duration
}

// DefaultLimits returns limits that suit one group of replicas.
func DefaultLimits() Limits {
	return Limits{
		SuspectTTL:        24 * time.Hour,
		OutageTTL:         time.Hour,
		ConvictedTTL:      7 * 24 * time.Hour,
		Digests:           8192,
		Failures:          1024,
		DigestsPerFailure: 256,
		BurstFailures:     5,
		BurstWindow:       10 * time.Second,
	}
}

// FailureReport reports that an incarnation of an endpoint failed. Several processes
// may report the same failure, each with the requests that it knows. Their reports
// are merged into one failure.
type FailureReport struct {
	Endpoint    string
	Incarnation uint64
	// Digests are the requests that the reporter knows were in flight.
	Digests []uint64
	// Alone is set if the reporter is certain that no other request was in flight: the
	// sidecar had only this one, or had admitted the attempt as one that runs alone.
	Alone bool
	// Direct is set for a direct endpoint; see MinDirectLosses.
	Direct bool
	// Parts are the parts of the prompts of these requests, but for those that sound requests
	// have too.
	Parts []PartReport
}

// PartReport reports a part of prompts that was in flight on an endpoint that failed.
type PartReport struct {
	Digest uint64
	// Carriers are up to MaxPartCarriers requests with the part.
	Carriers []uint64
}

// PermitRequest asks for a permit to run a suspect request.
type PermitRequest struct {
	Digest uint64
	// Holder identifies the attempt. A repeated request with the same Holder gets the
	// same answer.
	Holder string
	// Endpoint and Incarnation name the endpoint on which the request is to run.
	Endpoint    string
	Incarnation uint64
	// Deadline is when the permit expires: the request's deadline, by which the run is
	// over.
	Deadline time.Time
}

// Permit is the answer to a PermitRequest.
type Permit struct {
	Status Status
	// Granted is set if the request may run, under the permit if it is suspect.
	Granted bool
	// Alone is set if no other request may be in flight on the endpoint.
	Alone bool
	// RetryAfter is after how long to retry, if the request is suspect and Granted is
	// not set.
	RetryAfter time.Duration
}
