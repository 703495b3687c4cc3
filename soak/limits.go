package soak

import (
	"slices"
	"time"
)

const (
	// limitWindow is the span in which arrivals at an endpoint are compared with its
	// limit: limitFactor times what the limit allows in it, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitTold is the time after which what an answer said is known to all entries.
	limitTold = 500 * time.Millisecond
)

// LimitedArrivals compares the arrivals at one incarnation of an endpoint with the limits that
// it names in its answers. Its caller serialises the calls.
type LimitedArrivals struct {
	// ContactTime is the time from the first answer that names a limit until it binds.
	ContactTime time.Duration
	// named is the time of that answer; zero while no limit is named.
	named    time.Time
	limits   []limitUntil
	arrivals []time.Time
}

// limitUntil is a limit in requests per second, and when it was replaced; zero for the current one.
type limitUntil struct {
	perSecond float64
	until     time.Time
}

// Answered records an answer that names a limit. Zero means that it names none, which ends the
// limit.
func (l *LimitedArrivals) Answered(now time.Time, perSecond float64) {
	if perSecond == 0 {
		l.named, l.limits, l.arrivals = time.Time{}, nil, nil
		return
	}
	if l.named.IsZero() {
		l.named = now
	}
	if n := len(l.limits); n > 0 {
		if l.limits[n-1].perSecond == perSecond {
			return
		}
		l.limits[n-1].until = now.Add(limitTold)
	}
	l.limits = append(l.limits, limitUntil{perSecond: perSecond})
}

// Arrived records an arrival. It returns how many there were in the window that ends now, how many
// were allowed, and whether there were too many. If the limit was changed, the highest one that was
// in force in the window counts.
func (l *LimitedArrivals) Arrived(now time.Time) (count int, allowed float64, excess bool) {
	if l.named.IsZero() || now.Sub(l.named) < limitTold {
		return 0, 0, false
	}
	from := now.Add(-limitWindow)
	l.arrivals = append(keepSince(l.arrivals, from), now)
	l.limits = slices.DeleteFunc(l.limits, func(u limitUntil) bool { return !u.until.IsZero() && u.until.Before(from) })
	var highest float64
	for _, u := range l.limits {
		highest = max(highest, u.perSecond)
	}
	allowed = limitFactor*highest*limitWindow.Seconds() + limitSlack
	return len(l.arrivals), allowed, now.Sub(l.named) >= l.ContactTime && float64(len(l.arrivals)) > allowed
}
