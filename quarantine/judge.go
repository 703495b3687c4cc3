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
	open, outages := 0, 0
	for _, f := range r.falls {
		if f.explained {
			continue
		}
		open++
		if f.outage {
			outages++
		}
	}
	if open == 0 || (open == 1 && outages == 1) {
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

// lost returns how many endpoints may have been lost to the request.
func (r *record) lost() int {
	n := r.lapsed
	for _, f := range r.falls {
		if !f.explained {
			n++
		}
	}
	return n
}

// evidence counts the falls that speak against the request, and those of them in
// which nothing else was in flight.
func (r *record) evidence() (falls, alone int) {
	for _, f := range r.falls {
		if f.outage || (f.explained && !r.convicted) {
			continue
		}
		falls++
		if f.alone {
			alone++
		}
	}
	return falls, alone
}

// judge convicts those in a fall against whom the evidence suffices. One that fell
// alone explains the falls of those that only were near it, so it goes first.
func (l *List) judge(f *fall) {
	certain := func(falls, alone int) bool { return falls >= minFalls && alone > 0 }
	likely := func(falls, _ int) bool { return falls >= MaxLost }
	if !l.convict(f, certain) {
		l.convict(f, likely)
	}
}

func (l *List) convict(f *fall, suffices func(falls, alone int) bool) bool {
	var guilty []*record
	for _, digest := range f.digests {
		r := l.records[digest]
		if !r.convicted && suffices(r.evidence()) {
			guilty = append(guilty, r)
		}
	}
	for _, r := range guilty {
		r.convicted = true
		for _, f := range r.falls {
			f.explained = true
		}
	}
	return len(guilty) > 0
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
	if len(burst) < l.limits.BurstFalls {
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
		falls, alone := r.evidence()
		if !r.convicted || falls >= MaxLost || (falls >= minFalls && alone > 0) {
			continue
		}
		r.convicted = false
		for _, other := range r.falls {
			l.explain(other)
		}
	}
}
