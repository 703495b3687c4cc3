package quarantine

import (
	"slices"
	"time"
)

const (
	// retryPermit is when it is worth asking for a permit that another holds.
	retryPermit = time.Second
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

// Permit gives out the right to run a request. A request that is clear needs none;
// one that is suspect runs at one place at a time, so that however many copies of
// it arrive, each loss is known before the next run begins.
//
// A permit that lapses with no word of the run counts as an endpoint lost, because
// both ends of the run may have gone down.
func (l *List) Permit(now time.Time, a Ask) Permit {
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
	case r.lost() >= MaxLost:
		return Permit{Status: Suspect, RetryAfter: retryHeld}
	}
	r.permit = permit{
		holder: a.Holder,
		place:  place{endpoint: a.Endpoint, incarnation: a.Incarnation},
		until:  a.Until,
	}
	return Permit{Status: Suspect, Granted: true, Alone: r.alone()}
}

// alone reports whether the request has to run with nothing else in flight. After
// one loss it runs in the company of clear requests, because a fall makes suspects
// of all that were near and few endpoints are idle; a second loss leaves few.
func (r *record) alone() bool { return r.lost() > 1 }

// Return takes a permit back when it is certain that the run is over and brought
// nothing down: it was refused, never sent, or cancelled while the endpoint lives.
func (l *List) Return(now time.Time, digest uint64, holder string) {
	l.expire(now)
	if r := l.records[digest]; r != nil && r.permit.holder == holder {
		r.permit = permit{}
	}
}

func (r *record) lapse(now time.Time) {
	if r.permit.holder == "" || now.Before(r.permit.until) {
		return
	}
	r.permit = permit{}
	r.lapsed++
}

// endPermits ends the permits for the place that fell, and counts their holders
// among those in flight unless it is certain that nothing else was. A permit for
// another place holds on: that run is still in flight.
func (l *List) endPermits(f *fall, certain bool) {
	var ended []uint64
	for digest, r := range l.records {
		if r.permit.holder != "" && r.permit.place == f.place {
			r.permit = permit{}
			ended = append(ended, digest)
		}
	}
	if certain {
		return
	}
	slices.Sort(ended)
	for _, digest := range ended {
		l.add(f, digest)
	}
}
