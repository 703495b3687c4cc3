package duty

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/autoscale"
)

// lateCall is the longest time after which a call without a response is expected to be executed. The
// platform says "seconds".
const lateCall = 10 * time.Second

// subject is one service in one availability zone.
type subject struct{ service, zone string }

// ordered is what the holder knows of the last order for a subject.
type ordered struct {
	// known is set if the platform has accepted count and nothing was ordered since.
	known bool
	count int
	// repeatAt is when the order is sent once more, because an earlier call without a response may have
	// been executed after it under the same number. It is zero if there is none.
	repeatAt time.Time
}

// orders is what the holder knows of the numbers of endpoints.
type orders struct {
	wanted  []autoscale.ScaleOrder
	ordered map[subject]*ordered
	// last is the subject of the last call.
	last subject
}

// reset forgets what was ordered: another holder may have ordered since.
func (o *orders) reset() { o.ordered = nil }

// next returns the call for the next subject whose order differs from what the platform has, or nil. It
// begins after the subject of the last call, so that one without a response does not hold up the others.
func (o *orders) next(now time.Time) *Call {
	start := 0
	for i, w := range o.wanted {
		if (subject{w.Service, w.Zone}) == o.last {
			start = i + 1
		}
	}
	for i := range o.wanted {
		w := o.wanted[(start+i)%len(o.wanted)]
		s := subject{w.Service, w.Zone}
		known := o.ordered[s]
		if known != nil && !known.repeatAt.IsZero() && !now.Before(known.repeatAt) {
			known.known, known.repeatAt = false, time.Time{}
		}
		if known == nil || !known.known || known.count != w.Count {
			o.last = s
			return &Call{Duty: Scaling, Order: w}
		}
	}
	return nil
}

// entry returns what is known of the subject of a call.
func (o *orders) entry(call *Call) *ordered {
	s := subject{call.Order.Service, call.Order.Zone}
	if o.ordered == nil {
		o.ordered = map[subject]*ordered{}
	}
	if o.ordered[s] == nil {
		o.ordered[s] = &ordered{}
	}
	return o.ordered[s]
}

// done records an order that needs no further call.
func (o *orders) done(call *Call) {
	if call.Duty == Scaling {
		e := o.entry(call)
		e.known, e.count = true, call.Order.Count
	}
}

// unanswered records an order without a response.
func (o *orders) unanswered(now time.Time, call *Call) {
	if call.Duty == Scaling {
		e := o.entry(call)
		e.known, e.repeatAt = false, now.Add(lateCall)
	}
}
