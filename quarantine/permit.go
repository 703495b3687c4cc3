package quarantine

import (
	"slices"
	"time"
)

const (
	// retryPermit is when it is worth asking for a permit that another holds.
	retryPermit = time.Second
	// retryPlace is when it is worth asking again for an endpoint that has a suspect
	// already: another may be chosen meanwhile.
	retryPlace = 100 * time.Millisecond
	// retryHeld is when it is worth asking for a request that may have cost as many
	// endpoints as are allowed, with too little evidence to convict it.
	retryHeld = time.Hour
)

// permit is the right to run a suspect request.
type permit struct {
	// holder is empty when nobody has the permit.
	holder string
	place  place
	until  time.Time
}

// RequestPermit gives out the right to run a request. A request that is clear needs none;
// one that is suspect runs at one place at a time, so that however many copies of
// it arrive, each loss is known before the next run begins. A place gets one suspect
// at a time, so that it is the only one there if the endpoint falls.
//
// A permit that lapses with no word of the run counts as an endpoint lost, because
// both ends of the run may have gone down.
func (l *List) RequestPermit(now time.Time, a PermitRequest) Permit {
	l.expire(now)
	status := l.Status(a.Digest)
	switch status {
	case Clear:
		return Permit{Status: Clear, Granted: true}
	case Convicted:
		return Permit{Status: Convicted}
	}
	r := l.records[a.Digest]
	r.lapse(now)
	switch {
	case r.permit.holder == a.Holder:
		return Permit{Status: Suspect, Granted: true, Alone: r.alone()}
	case r.permit.holder != "":
		return Permit{Status: Suspect, RetryAfter: retryPermit}
	case r.lost() >= MaxLostEndpoints:
		return Permit{Status: Suspect, RetryAfter: retryHeld}
	}
	p := place{endpoint: a.Endpoint, incarnation: a.Incarnation}
	if l.taken(now, p) {
		return Permit{Status: Suspect, RetryAfter: retryPlace}
	}
	r.permit = permit{holder: a.Holder, place: p, until: a.Deadline}
	return Permit{Status: Suspect, Granted: true, Alone: r.alone()}
}

// alone reports whether the request has to run with nothing else in flight. After
// one loss it runs in the company of clear requests, because a fall makes suspects
// of all that were near and few endpoints are idle. After a second, in which it was
// not the only suspect, no doubt may be left.
func (r *record) alone() bool { return r.lost() > 1 }

// ReleasePermit takes a permit back when it is certain that the run is over and brought
// nothing down: it was refused, never sent, or cancelled while the endpoint lives.
func (l *List) ReleasePermit(now time.Time, digest uint64, holder string) {
	l.expire(now)
	if r := l.records[digest]; r != nil && r.permit.holder == holder {
		r.permit = permit{}
	}
}

// taken reports whether a place has a suspect already.
func (l *List) taken(now time.Time, p place) bool {
	_, r := l.at(p)
	if r == nil {
		return false
	}
	r.lapse(now)
	return r.permit.holder != ""
}

func (r *record) lapse(now time.Time) {
	if r.permit.holder == "" || now.Before(r.permit.until) {
		return
	}
	r.permit = permit{}
	r.lapsed++
}

// at returns the request that has the permit for a place.
func (l *List) at(p place) (uint64, *record) {
	for digest, r := range l.records {
		if r.permit.holder != "" && r.permit.place == p {
			return digest, r
		}
	}
	return 0, nil
}

// endPermit ends the permit for the place that fell, and counts its holder among
// those in flight unless it is certain that nothing else was. A permit for another
// place holds on: that run is still in flight.
func (l *List) endPermit(f *fall, certain bool) {
	digest, r := l.at(f.place)
	if r == nil {
		return
	}
	r.permit = permit{}
	if !certain || slices.Contains(f.digests, digest) {
		f.holder, f.held = digest, true
		l.add(f, digest)
	}
}
