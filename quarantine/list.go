package quarantine

import (
	"slices"
	"time"
)

// List holds the records of the requests that were in flight when an endpoint failed.
// It is deterministic: the same calls of its methods in the same order lead to the
// same state on every replica. The times passed as now must never decrease.
type List struct {
	limits  Limits
	records map[uint64]*record
	// failures lists the remembered failures, oldest first.
	failures []*failure
}

// instance is one incarnation of an endpoint.
type instance struct {
	endpoint    string
	incarnation uint64
}

// failure is the end of an instance.
type failure struct {
	instance instance
	at       time.Time
	// digests are the requests that were in flight and have a record. cleared were in
	// flight too, but don't count, because they have completed elsewhere since.
	digests []uint64
	cleared []uint64
	// parts are the parts of the prompts of these requests that have a record. clearedParts were in
	// flight too, but don't count, because an answer has cleared them since.
	parts        []uint64
	clearedParts []uint64
	// alone is set if exactly one request was in flight.
	alone bool
	// holder is the request that held the permit for the instance, if hasHolder is set.
	// The failure counts in its lostEndpoints, but is evidence against it only once
	// holderDispatched is set: a report names it as in flight.
	holder           uint64
	hasHolder        bool
	holderDispatched bool
	// outage is set if the failure is one of BurstFailures within BurstWindow.
	outage bool
	// direct is set if the endpoint has no sidecar.
	direct bool
	// explained is set while a convicted request is among digests or a convicted part among parts.
	// The failure then counts against no other request. explainedByPart is set for a part.
	explained       bool
	explainedByPart bool
}

// record is what is known of one request, or of one part of prompts.
type record struct {
	// failures lists the failures with the request or part in flight, oldest first.
	failures  []*failure
	convicted bool
	permit    permit
	// expiredPermits counts the permits that expired without a report of how the run
	// ended.
	expiredPermits int
	// partRecord is set for a part.
	*partRecord
}

// NewList returns an empty list.
func NewList(limits Limits) *List {
	return &List{limits: limits, records: map[uint64]*record{}}
}

// ReportFailure processes a report: it updates the failure, detects outages, and
// convicts a request if the evidence suffices.
func (l *List) ReportFailure(now time.Time, r FailureReport) {
	l.expire(now)
	f := l.failure(now, instance{endpoint: r.Endpoint, incarnation: r.Incarnation})
	f.direct = f.direct || r.Direct
	for _, digest := range r.Digests {
		l.addRequest(f, digest)
	}
	for _, part := range r.Parts {
		l.addPart(f, part)
	}
	l.endPermit(f, r.Alone)
	f.holderDispatched = f.holderDispatched || (f.hasHolder && slices.Contains(r.Digests, f.holder))
	f.alone = f.requests() == 1 && (f.alone || r.Alone)
	l.updateExplained(f)
	l.convictPart(now, f)
	l.markOutage(now)
	l.convictCulprit(f)
}

// failure returns the failure of an instance, and adds it if it isn't known yet.
func (l *List) failure(now time.Time, inst instance) *failure {
	for _, f := range l.failures {
		if f.instance == inst {
			return f
		}
	}
	if len(l.failures) >= l.limits.Failures {
		l.dropFailure(l.victim(nil))
	}
	f := &failure{instance: inst, at: now}
	l.failures = append(l.failures, f)
	return f
}

// victim returns the failure to drop when the list is full: the oldest one that isn't
// explained, because explained failures keep a convicted request refused, or else the
// oldest. It never returns keep, and returns nil if there is no other.
func (l *List) victim(keep *failure) *failure {
	var victim *failure
	for _, f := range l.failures {
		if f == keep {
			continue
		}
		if !f.explained {
			return f
		}
		if victim == nil {
			victim = f
		}
	}
	return victim
}

// makeRoom drops failures other than f until one more record fits, and reports whether
// it does.
func (l *List) makeRoom(f *failure) bool {
	for len(l.records) >= l.limits.Digests {
		victim := l.victim(f)
		if victim == nil {
			return false
		}
		l.dropFailure(victim)
	}
	return true
}

// requests returns the number of requests that are known to have been in flight.
func (f *failure) requests() int { return len(f.digests) + len(f.cleared) }

// addRequest adds a request to those in flight, unless it is known already or the
// limits don't allow it.
func (l *List) addRequest(f *failure, digest uint64) {
	if slices.Contains(f.digests, digest) || slices.Contains(f.cleared, digest) || f.requests() >= l.limits.DigestsPerFailure {
		return
	}
	if r := l.recordFor(f, digest); r != nil {
		r.failures = append(r.failures, f)
		f.digests = append(f.digests, digest)
	}
}

// recordFor returns the record of a request or part in a failure, or nil if there is no room for it.
func (l *List) recordFor(f *failure, digest uint64) *record {
	r := l.records[digest]
	if r == nil && l.makeRoom(f) {
		r = &record{}
		l.records[digest] = r
	}
	return r
}

// Completed records that the request ran to a complete answer, which clears it unless
// it is convicted as the only suspect of a failure. An answer that has gone on past its beginning
// clears the parts of its prompt. Completed reports whether the list changed.
func (l *List) Completed(now time.Time, digest uint64) bool {
	l.expire(now)
	r := l.records[digest]
	if r == nil || (r.convicted && !r.isPart() && l.evidence(digest, nil).alone > 0) {
		return false
	}
	failures := r.failures
	l.clearRequest(digest)
	for _, f := range failures {
		l.updateExplained(f)
	}
	if r.isPart() && r.convicted {
		l.reconsider(now, failures)
	}
	return true
}

// clearRequest drops the record of a request. Its failures no longer count against it,
// even if they are reported again.
func (l *List) clearRequest(digest uint64) {
	for _, f := range l.records[digest].failures {
		if slices.Contains(f.parts, digest) {
			f.parts = remove(f.parts, digest)
			f.clearedParts = append(f.clearedParts, digest)
			continue
		}
		f.digests = remove(f.digests, digest)
		f.cleared = append(f.cleared, digest)
	}
	delete(l.records, digest)
}

// dropFailure drops a failure, and the records that have no other failure.
func (l *List) dropFailure(f *failure) {
	for _, digest := range slices.Concat(f.digests, f.parts) {
		r := l.records[digest]
		r.failures = remove(r.failures, f)
		if len(r.failures) == 0 {
			delete(l.records, digest)
		}
	}
	l.failures = remove(l.failures, f)
}

// remove removes item from list in place.
func remove[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}

// expire drops the failures that are older than their TTL.
func (l *List) expire(now time.Time) {
	for _, f := range slices.Clone(l.failures) {
		if now.After(f.at.Add(l.ttl(f))) {
			l.dropFailure(f)
		}
	}
}

// ttl returns how long a failure counts.
func (l *List) ttl(f *failure) time.Duration {
	switch {
	case f.explained:
		return l.limits.ConvictedTTL
	case f.outage:
		return l.limits.OutageTTL
	}
	return l.limits.SuspectTTL
}
