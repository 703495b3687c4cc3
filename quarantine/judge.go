package quarantine

import (
	"slices"
	"time"
)

// minFalls is the fewest falls that convict, when one of them was alone.
const minFalls = 2

// Status returns how the request may run.
func (l *List) Status(digest uint64) Status {
	r := l.records[digest]
	if r == nil {
		return Clear
	}
	return r.status()
}

func (r *record) status() Status {
	if r.convicted {
		return Convicted
	}
	if len(r.falls) == 1 && r.falls[0].outage {
		return Clear
	}
	return Suspect
}

// Digests returns the requests with the status, which is not Clear, in order.
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

// lost returns how many endpoints may have been lost to the request, also those
// that another explains: that conviction may yet be taken back.
func (r *record) lost() int { return len(r.falls) + r.lapsed }

// evidence counts the falls that speak against a request, and those of them in which
// it was the only suspect. Falls that the request shares with the other one are left
// out.
func (l *List) evidence(digest uint64, other *record) evidence {
	r := l.records[digest]
	var e evidence
	for _, f := range r.falls {
		if f.outage || (f.explained && !r.convicted) || (f.held && f.holder == digest && !f.dispatched) {
			continue
		}
		if other != nil && slices.Contains(other.falls, f) {
			continue
		}
		e.falls++
		if f.alone || l.apart(f, digest) {
			e.alone++
		}
	}
	return e
}

// apart reports whether a request ran under the permit for the place that fell, in
// the company only of requests that no other fall makes suspect.
func (l *List) apart(f *fall, digest uint64) bool {
	if !f.held || f.holder != digest {
		return false
	}
	return !slices.ContainsFunc(f.digests, func(o uint64) bool { return o != digest && len(l.records[o].falls) > 1 })
}

// evidence is what speaks against a request: the falls, and those in which it was
// the only suspect.
type evidence struct {
	falls int
	alone int
}

// certain holds for a request that fell as the only suspect, and not only then.
func (e evidence) certain() bool { return e.falls >= minFalls && e.alone > 0 }

// likely holds for a request that was there too often.
func (e evidence) likely() bool { return e.falls >= MaxLostEndpoints }

func (e evidence) suffices() bool { return e.certain() || e.likely() }

// judge convicts the one in a fall against whom the evidence suffices. One that was
// the only suspect explains the falls of those that only were near it, so it goes
// first. When the evidence is the same against several, each may have been near
// the other, and none is convicted: the next run tells, or they are held because of
// what may have been lost to them.
func (l *List) judge(f *fall) {
	guilty := l.against(f, evidence.certain)
	if len(guilty) != 1 {
		guilty = l.against(f, evidence.likely)
	}
	if len(guilty) == 1 {
		l.convict(guilty[0])
	}
}

func (l *List) convict(r *record) {
	r.convicted = true
	for _, f := range r.falls {
		f.explained = true
	}
	l.reconsider(r)
}

// against returns those in a fall against whom there is enough evidence.
func (l *List) against(f *fall, enough func(evidence) bool) []*record {
	var guilty []*record
	for _, digest := range f.digests {
		r := l.records[digest]
		if !r.convicted && enough(l.evidence(digest, nil)) {
			guilty = append(guilty, r)
		}
	}
	return guilty
}

// reconsider releases those that were convicted earlier because of falls that the
// guilty one explains: they were near it, and were alone on an endpoint that died
// for another reason.
func (l *List) reconsider(guilty *record) {
	for _, f := range guilty.falls {
		for _, digest := range f.digests {
			r := l.records[digest]
			if r.convicted && r != guilty && !l.evidence(digest, guilty).suffices() {
				l.release(r)
			}
		}
	}
}

// release takes a conviction back.
func (l *List) release(r *record) {
	r.convicted = false
	for _, f := range r.falls {
		l.explain(f)
	}
}

// explain looks whether a convicted request is among the digests of a fall.
func (l *List) explain(f *fall) {
	f.explained = slices.ContainsFunc(f.digests, func(digest uint64) bool { return l.records[digest].convicted })
}

// markOutage looks whether so many endpoints fell of late that the cause lies
// elsewhere, and takes back what was concluded from the first of these falls.
func (l *List) markOutage(now time.Time) {
	since := now.Add(-l.limits.BurstWindow)
	first := len(l.falls)
	for first > 0 && !l.falls[first-1].at.Before(since) {
		first--
	}
	burst := l.falls[first:]
	if len(burst) < l.limits.BurstFailures {
		return
	}
	for _, f := range burst {
		f.outage = true
	}
	for _, f := range burst {
		l.review(f)
	}
}

// review releases the convicted of a fall that turned out to be part of an outage.
func (l *List) review(f *fall) {
	for _, digest := range f.digests {
		r := l.records[digest]
		if r.convicted && !l.evidence(digest, nil).suffices() {
			l.release(r)
		}
	}
}
