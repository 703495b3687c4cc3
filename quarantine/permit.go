package quarantine

import (
	"slices"
	"time"
)

const (
	// permitHeldRetryAfter is after how long to retry if another attempt holds the
	// permit of the request.
	permitHeldRetryAfter = time.Second
	// instanceTakenRetryAfter is after how long to retry if another suspect request
	// has a permit for the endpoint. It is short, because the caller may choose another
	// endpoint.
	instanceTakenRetryAfter = 100 * time.Millisecond
	// lossLimitRetryAfter is after how long to retry if MaxLostEndpoints may have
	// been lost to the request, but the evidence doesn't suffice to convict it.
	lossLimitRetryAfter = time.Hour
)

// permit is the right to run a suspect request on one instance of an endpoint.
type permit struct {
	// holder is the Holder of the PermitRequest. It is empty if there is no permit.
	holder   string
	instance instance
	deadline time.Time
}

// Permit answers a PermitRequest. A clear request needs no permit. A suspect request
// runs on one instance at a time, so that the outcome of each run is known before the
// next one begins, however many copies of the request arrive. An instance runs one
// suspect request at a time, so that the request is the only suspect if the endpoint
// fails.
//
// A permit that expires without a report of how the run ended counts as a lost
// endpoint, because the sender and the endpoint may both have failed.
func (l *List) Permit(now time.Time, req PermitRequest) Permit {
	l.expire(now)
	status := l.Status(req.Digest)
	switch status {
	case Clear:
		return Permit{Status: Clear, Granted: true}
	case Convicted:
		if r := l.records[req.Digest]; r.isPart() {
			return l.permitTrial(now, r, req)
		}
		return Permit{Status: Convicted}
	}
	r := l.records[req.Digest]
	r.expirePermit(now)
	switch {
	case r.permit.holder == req.Holder:
		return Permit{Status: Suspect, Granted: true, Alone: r.mustRunAlone()}
	case r.permit.holder != "":
		return Permit{Status: Suspect, RetryAfter: permitHeldRetryAfter}
	}
	if wait := l.withheldFor(now, req.Digest); wait > 0 {
		return Permit{Status: Suspect, RetryAfter: wait}
	}
	inst := instance{endpoint: req.Endpoint, incarnation: req.Incarnation}
	if l.hasPermit(now, inst) {
		return Permit{Status: Suspect, RetryAfter: instanceTakenRetryAfter}
	}
	r.permit = permit{holder: req.Holder, instance: inst, deadline: req.Deadline}
	return Permit{Status: Suspect, Granted: true, Alone: r.mustRunAlone()}
}

// withheldFor returns how long the request gets no permit, because MaxLostEndpoints may have been
// lost to it. After losses of direct endpoints in an outage it is tried again once the outage is
// over: many endpoints may be lost to copies that are sent at once, and to requests that are in
// flight beside them, before control knows of the first loss. If an endpoint is lost under a
// permit in another outage, there is no further trial.
func (l *List) withheldFor(now time.Time, digest uint64) time.Duration {
	r := l.records[digest]
	if r.lostEndpoints() < MaxLostEndpoints {
		return 0
	}
	inOutage := 0
	for _, f := range r.failures {
		if f.explainedByPart {
			continue
		}
		if !f.direct || (f.outage && f.hasHolder && f.holder == digest) {
			return lossLimitRetryAfter
		}
		if f.outage {
			inOutage++
		}
	}
	if r.lostEndpoints()-inOutage >= MaxLostEndpoints {
		return lossLimitRetryAfter
	}
	last := r.failures[len(r.failures)-1].at
	return last.Add(l.limits.BurstWindow).Sub(now)
}

// mustRunAlone reports whether the request may run only while no other request is in
// flight on the endpoint. After one lost endpoint it may run beside clear requests: a
// failure makes every request in flight suspect, and few endpoints are idle. After a
// second loss that did not suffice to convict it, it must run alone, so that another
// failure can be attributed to it.
func (r *record) mustRunAlone() bool { return r.lostEndpoints() > 1 }

// ReleasePermit ends a permit after a run that certainly crashed no endpoint: the
// request was refused, never sent, or cancelled while the endpoint was still alive.
func (l *List) ReleasePermit(now time.Time, digest uint64, holder string) {
	l.expire(now)
	if r := l.records[digest]; r != nil && holder != "" && r.permit.holder == holder {
		r.permit = permit{}
		r.repeatTrial(now)
	}
}

// hasPermit reports whether a request holds an unexpired permit for an instance.
func (l *List) hasPermit(now time.Time, inst instance) bool {
	_, r := l.permitHolder(inst)
	if r == nil {
		return false
	}
	r.expirePermit(now)
	return r.permit.holder != ""
}

// expirePermit ends the permit if it has expired, and counts it in expiredPermits.
func (r *record) expirePermit(now time.Time) {
	if r.permit.holder == "" || now.Before(r.permit.deadline) {
		return
	}
	r.permit = permit{}
	r.expiredPermits++
}

// permitHolder returns the request that holds a permit for an instance, which may have
// expired, and its record. The record is nil if there is none.
func (l *List) permitHolder(inst instance) (uint64, *record) {
	for digest, r := range l.records {
		if r.permit.holder != "" && r.permit.instance == inst {
			return digest, r
		}
	}
	return 0, nil
}

// endPermit ends the permit for the instance that failed. It counts the permitted
// request among those in flight, unless certain is set: the report is certain to be
// complete. Permits for other instances stay, because those runs are still in flight.
func (l *List) endPermit(f *failure, certain bool) {
	digest, r := l.permitHolder(f.instance)
	if r == nil {
		return
	}
	r.permit = permit{}
	if r.isPart() {
		l.addPart(f, PartReport{Digest: digest})
		return
	}
	if !certain || slices.Contains(f.digests, digest) {
		f.holder, f.hasHolder = digest, true
		l.addRequest(f, digest)
	}
}
