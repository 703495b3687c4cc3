package quarantine

import (
	"slices"
	"time"
)

// List is what is known of all requests that were in flight when an endpoint
// fell. It is deterministic: the same calls in the same order lead to the same
// state on every replica. now never goes back from call to call.
type List struct {
	limits  Limits
	records map[uint64]*record
	// falls lists the remembered falls, oldest first.
	falls []*fall
}

// place is one incarnation of an endpoint.
type place struct {
	endpoint    string
	incarnation uint64
}

// fall is the end of an incarnation.
type fall struct {
	place place
	at    time.Time
	// digests were in flight and have a record. cleared were too, and do not count:
	// they ran to a whole answer since.
	digests []uint64
	cleared []uint64
	// alone is set when nothing but the one request was in flight.
	alone bool
	// holder is the request that had the permit for the place, when held is set. It
	// counts as lost here, and is evidence once dispatched is set: a report names it.
	holder     uint64
	held       bool
	dispatched bool
	// outage is set when many endpoints fell at about the same time.
	outage bool
	// explained is set while a convicted request is among the digests.
	explained bool
}

// record is what is known of one request.
type record struct {
	// falls lists those that have the request among their digests, oldest first.
	falls     []*fall
	convicted bool
	permit    permit
	// lapsed counts permits that ended with no word of how the run went.
	lapsed int
}

// NewList returns an empty list.
func NewList(limits Limits) *List {
	return &List{limits: limits, records: map[uint64]*record{}}
}

// ReportFailure takes in a report.
func (l *List) ReportFailure(now time.Time, r FailureReport) {
	l.expire(now)
	f := l.fall(now, place{endpoint: r.Endpoint, incarnation: r.Incarnation})
	for _, digest := range r.Digests {
		l.add(f, digest)
	}
	l.endPermit(f, r.Alone)
	f.dispatched = f.dispatched || (f.held && slices.Contains(r.Digests, f.holder))
	f.alone = f.known() == 1 && (f.alone || r.Alone)
	l.explain(f)
	l.markOutage(now)
	l.judge(f)
}

// fall returns the fall of the incarnation, which is new when nobody reported it.
func (l *List) fall(now time.Time, p place) *fall {
	for _, f := range l.falls {
		if f.place == p {
			return f
		}
	}
	if len(l.falls) >= l.limits.MaxFailures {
		l.forgetFall(l.oldest(nil))
	}
	f := &fall{place: p, at: now}
	l.falls = append(l.falls, f)
	return f
}

// oldest returns the fall other than keep to forget first: one that helps to refuse
// nothing. It returns nil when there is no other.
func (l *List) oldest(keep *fall) *fall {
	var oldest *fall
	for _, f := range l.falls {
		if f == keep {
			continue
		}
		if !f.explained {
			return f
		}
		if oldest == nil {
			oldest = f
		}
	}
	return oldest
}

// makeRoom forgets the oldest falls other than f until one more record fits.
func (l *List) makeRoom(f *fall) bool {
	for len(l.records) >= l.limits.MaxRequests {
		oldest := l.oldest(f)
		if oldest == nil {
			return false
		}
		l.forgetFall(oldest)
	}
	return true
}

// known returns how many requests are known to have been in flight.
func (f *fall) known() int { return len(f.digests) + len(f.cleared) }

// add enters a request that was in flight.
func (l *List) add(f *fall, digest uint64) {
	if slices.Contains(f.digests, digest) || slices.Contains(f.cleared, digest) || f.known() >= l.limits.MaxRequestsPerFailure {
		return
	}
	r := l.records[digest]
	if r == nil {
		if !l.makeRoom(f) {
			return
		}
		r = &record{}
		l.records[digest] = r
	}
	r.falls = append(r.falls, f)
	f.digests = append(f.digests, digest)
}

// MarkCompleted notes that the request ran to a whole answer: it crashes nothing. It
// returns whether that changed anything.
func (l *List) MarkCompleted(now time.Time, digest uint64) bool {
	l.expire(now)
	r := l.records[digest]
	if r == nil || r.convicted {
		return false
	}
	l.forget(digest)
	return true
}

// forget drops the record of a request. Its falls no longer count against it, also
// when they are reported again.
func (l *List) forget(digest uint64) {
	for _, f := range l.records[digest].falls {
		f.digests = remove(f.digests, digest)
		f.cleared = append(f.cleared, digest)
	}
	delete(l.records, digest)
}

// forgetFall drops a fall, and the records that have no other.
func (l *List) forgetFall(f *fall) {
	for _, digest := range f.digests {
		r := l.records[digest]
		r.falls = remove(r.falls, f)
		if len(r.falls) == 0 {
			delete(l.records, digest)
		}
	}
	l.falls = remove(l.falls, f)
}

func remove[T comparable](list []T, item T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == item })
}

// expire forgets the falls that are too old, and with them what hung on them.
func (l *List) expire(now time.Time) {
	for _, f := range slices.Clone(l.falls) {
		if now.After(f.at.Add(l.life(f))) {
			l.forgetFall(f)
		}
	}
}

// life returns how long a fall counts.
func (l *List) life(f *fall) time.Duration {
	switch {
	case f.explained:
		return l.limits.ConvictedTTL
	case f.outage:
		return l.limits.OutageTTL
	}
	return l.limits.SuspectTTL
}
