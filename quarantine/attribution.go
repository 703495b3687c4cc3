package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minFailures is the fewest failures that convict a request that was the only suspect
// in at least one of them.
const minFailures = 2

// Status returns the status of the request.
func (l *List) Status(digest uint64) Status {
	r := l.records[digest]
	if r == nil {
		return Clear
	}
	return r.status()
}

// status returns the status of the request with this record.
func (r *record) status() Status {
	if r.convicted {
		return Convicted
	}
	if r.isPart() {
		return Clear // without a permit for each request that has it
	}
	failures, first := r.ownFailures()
	if failures == 0 || failures == 1 && first.outage {
		return Clear
	}
	if failures < MinDirectLosses && first.direct {
		return Clear
	}
	return Suspect
}

// ownFailures returns the number of failures that no convicted part explains, and the first of them.
func (r *record) ownFailures() (n int, first *failure) {
	for _, f := range r.failures {
		if f.explainedByPart {
			continue
		}
		if n++; n == 1 {
			first = f
		}
	}
	return n, first
}

// Digests returns the requests with the status, sorted. The status must not be Clear,
// because clear requests have no record.
func (l *List) Digests(status Status) []uint64 {
	var digests []uint64
	for digest, r := range l.records {
		if r.status() == status {
			digests = append(digests, digest)
		}
	}
	slices.Sort(digests)
	return digests
}

// Fingerprint returns a hash of the results of Digests, which differs when they differ.
func (l *List) Fingerprint() uint64 {
	var sum uint64
	for digest, r := range l.records {
		if status := r.status(); status != Clear {
			var key [9]byte
			binary.LittleEndian.PutUint64(key[:], digest)
			key[8] = byte(status)
			sum += xxhash.Sum64(key[:])
		}
	}
	return sum
}

// lostEndpoints returns how many endpoints may have been lost to the request. It also
// counts failures that another, convicted request explains, because that conviction may
// still be revoked. It leaves out those that a convicted part explains: what is wrong with the part is
// known from several requests.
func (r *record) lostEndpoints() int {
	failures, _ := r.ownFailures()
	return failures + r.expiredPermits
}

// evidence returns the evidence against a request. It leaves out failures in an outage,
// failures that another request explains, failures before which the permitted request
// was not known to be dispatched, and failures that the request shares with other,
// which may be nil.
func (l *List) evidence(digest uint64, other *record) evidence {
	r := l.records[digest]
	var e evidence
	for _, f := range r.failures {
		if f.outage || (f.explained && !r.convicted) || (f.hasHolder && f.holder == digest && !f.holderDispatched) {
			continue
		}
		if other != nil && slices.Contains(other.failures, f) {
			continue
		}
		e.failures++
		if f.alone || l.wasOnlySuspect(f, digest) {
			e.alone++
		}
	}
	return e
}

// wasOnlySuspect reports whether a request held the permit for the instance that failed,
// and every other request in flight took part in no other failure.
func (l *List) wasOnlySuspect(f *failure, digest uint64) bool {
	if !f.hasHolder || f.holder != digest {
		return false
	}
	return !slices.ContainsFunc(f.digests, func(o uint64) bool { return o != digest && len(l.records[o].failures) > 1 })
}

// evidence counts the failures that count against a request, and of these the ones in
// which it was the only suspect.
type evidence struct {
	failures int
	alone    int
}

// corroborated reports whether the request was the only suspect in at least one failure
// and took part in another.
func (e evidence) corroborated() bool { return e.failures >= minFailures && e.alone > 0 }

// frequent reports whether the request took part in at least MaxLostEndpoints failures.
func (e evidence) frequent() bool { return e.failures >= MaxLostEndpoints }

// sufficient reports whether the evidence suffices to convict.
func (e evidence) sufficient() bool { return e.corroborated() || e.frequent() }

// convictCulprit convicts the request in a failure against which the evidence is
// sufficient. Corroborated evidence takes precedence over frequent failures, because a
// conviction explains the failures of the requests that ran beside the culprit. If the
// evidence is of the same kind against several requests, any of them may have run
// beside the culprit, and none is convicted: either the next run decides, or all of
// them get no more permits because of MaxLostEndpoints.
func (l *List) convictCulprit(f *failure) {
	found := l.culprits(f, evidence.corroborated)
	if len(found) != 1 {
		found = l.culprits(f, evidence.frequent)
	}
	if len(found) == 1 {
		l.convict(found[0])
	}
}

// convict convicts a request and marks its failures as explained.
func (l *List) convict(r *record) {
	r.convicted = true
	for _, f := range r.failures {
		f.explained = true
	}
	l.reviewExplained(r)
}

// culprits returns the requests in a failure that aren't convicted and against which
// the evidence is enough.
func (l *List) culprits(f *failure, enough func(evidence) bool) []*record {
	var found []*record
	for _, digest := range f.digests {
		r := l.records[digest]
		if !r.convicted && enough(l.evidence(digest, nil)) {
			found = append(found, r)
		}
	}
	return found
}

// reviewExplained revokes earlier convictions that rest on failures which the newly
// convicted culprit explains: those requests ran beside the culprit, and also alone on
// an endpoint that failed for another reason.
func (l *List) reviewExplained(culprit *record) {
	for _, f := range culprit.failures {
		for _, digest := range f.digests {
			r := l.records[digest]
			if r.convicted && r != culprit && !l.evidence(digest, culprit).sufficient() {
				l.revokeConviction(r)
			}
		}
	}
}

// revokeConviction makes a convicted request suspect again.
func (l *List) revokeConviction(r *record) {
	r.convicted = false
	for _, f := range r.failures {
		l.updateExplained(f)
	}
}

// updateExplained sets explained and explainedByPart.
func (l *List) updateExplained(f *failure) {
	convicted := func(digest uint64) bool { return l.records[digest].convicted }
	f.explainedByPart = slices.ContainsFunc(f.parts, convicted)
	f.explained = f.explainedByPart || slices.ContainsFunc(f.digests, convicted)
}

// markOutage checks whether at least BurstFailures endpoints failed within BurstWindow.
// If so, and no request was in flight in nearly all of them, the cause lies outside the
// requests, and convictions that rest on these failures are revoked. Failures with a crashing part in
// flight are not counted.
func (l *List) markOutage(now time.Time) {
	since := now.Add(-l.limits.BurstWindow)
	first := len(l.failures)
	for first > 0 && !l.failures[first-1].at.Before(since) {
		first--
	}
	// A part that crashes endpoints would look like an outage, as its requests have nothing else in common.
	burst := slices.DeleteFunc(slices.Clone(l.failures[first:]), l.hasCrashingPart)
	if len(burst) < l.limits.BurstFailures || haveCommonRequest(burst) {
		return
	}
	for _, f := range burst {
		f.outage = true
	}
	for _, f := range burst {
		l.reviewOutage(f)
	}
}

// haveCommonRequest reports whether a request was in flight in all failures but one at most. Many
// copies of a crashing request that are sent at once look like an outage otherwise.
func haveCommonRequest(burst []*failure) bool {
	for _, f := range burst[:2] {
		if slices.ContainsFunc(f.digests, func(digest uint64) bool { return isCommon(burst, digest) }) {
			return true
		}
	}
	return false
}

// isCommon reports whether at most one of the failures lacks the request.
func isCommon(burst []*failure, digest uint64) bool {
	lacking := 0
	for _, f := range burst {
		if !slices.Contains(f.digests, digest) {
			lacking++
		}
		if lacking > 1 {
			return false
		}
	}
	return true
}

// reviewOutage revokes the convictions of requests in a failure of an outage, if the
// remaining evidence doesn't suffice.
func (l *List) reviewOutage(f *failure) {
	for _, digest := range f.digests {
		r := l.records[digest]
		if r.convicted && !l.evidence(digest, nil).sufficient() {
			l.revokeConviction(r)
		}
	}
}
