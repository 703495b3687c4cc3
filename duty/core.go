package duty

import (
	"net/http"
	"time"
)

const (
	// closeFraction is the part of ReportWithin after the end of a window at which it is closed. The
	// counts of entries that were cut off for a moment arrive before, and there is time left for a
	// change of the holder: a lease and a retry.
	closeFraction = 0.3
	// marginFraction is the part of a lease that the holder does not use, because its clock and that
	// of control may run at different speeds.
	marginFraction = 0.05
	// renewalsPerLease is the number of renewals within a lease, so that one may be lost.
	renewalsPerLease = 3
	// quietLeases is the time, in leases, after a holder has given up before it acquires again. The
	// grant expires within one, and another VM acquires it in the next.
	quietLeases = 2
	// standbyFraction is the part of a lease by which a replica that does not lead waits longer than
	// the leader before it acquires a grant that has expired.
	standbyFraction = 0.1
	// answerWithin is the time without a response after which the holder gives up: three calls of a
	// second at most.
	answerWithin = 3 * time.Second
	// renewWithin is the time without a response after which the holder renews no longer. Its grant then
	// expires about when it gives up, and not a lease later, which would leave the next holder half a
	// second of the 10 s in which a window is to be reported.
	renewWithin = time.Second
	// minBackoff and maxBackoff bound the pause after a call or a command without an answer.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 2 * time.Second
	// limitPause is the pause after the platform has refused a call as one too many a second.
	limitPause = time.Second
	// callShare is the part of the platform's limit that one process uses. Two processes may call at
	// once: the holders of two duties, or an earlier holder whose last call is late.
	callShare = 0.5
)

// Reasons of Lost.
const (
	ReasonExpired  = "lease expired"
	ReasonReplaced = "another VM holds the duty"
	ReasonFenced   = "the platform has seen a higher number"
	ReasonSilent   = "the platform gives no response"
)

// Core decides what the holder of duties does. A process has one Core for all duties.
type Core struct {
	settings Settings
	rights   []*right
	windows  windows
	orders   orders
	// wall is the true time at wallAt.
	wall, wallAt time.Time
	leader       bool
	started      bool
	// flight is the call without a response yet. There is one at a time, so that calls of one holder
	// reach the platform in order unless one is late.
	flight *Call
	lastID uint64
	// nextCall is the earliest time of the next call, by the limit of the platform.
	nextCall time.Time
	effects  []Effect
}

// NewCore returns a core that holds no duty.
func NewCore(s Settings) *Core {
	c := &Core{settings: s}
	for _, d := range s.Duties {
		c.rights = append(c.rights, &right{duty: d})
	}
	return c
}

// Step takes an event and returns what has to be done. The time includes the time for which the VM was
// suspended.
func (c *Core) Step(now time.Time, ev Event) []Effect {
	c.effects = nil
	if !c.started {
		c.start(now)
	}
	c.expire(now)
	switch ev := ev.(type) {
	case Tick:
		c.leader, c.wall, c.wallAt = ev.Leader, ev.Wall, now
		c.orders.wanted = ev.Orders
	case Acquired:
		c.acquired(now, ev)
	case WindowsRead:
		c.windowsRead(now, ev)
	case WindowClosed:
		c.windowClosed(now, ev)
	case Marked:
		c.marked(now, ev)
	case Responded:
		c.responded(now, ev)
	}
	c.checkSilence(now)
	c.acquire(now)
	c.commandWindows(now)
	c.call(now)
	return c.effects
}

// MayCall reports whether a call may be written at now.
func (c *Core) MayCall(now time.Time, call Call) bool {
	r := c.right(call.Duty)
	return r != nil && r.number == call.Number && r.left(now) >= c.settings.ThawSlack
}

// Holds reports whether this process holds a duty at now.
func (c *Core) Holds(now time.Time, duty string) bool {
	r := c.right(duty)
	return r != nil && r.left(now) > 0
}

// Unreported returns the number of closed windows that the platform has not accepted yet, as far as this
// process knows.
func (c *Core) Unreported() int {
	n := 0
	for _, w := range c.windows.closed {
		if !w.done {
			n++
		}
	}
	return n
}

func (c *Core) start(now time.Time) {
	c.started = true
	c.wall, c.wallAt = now, now
	for _, r := range c.rights {
		// The leader acquires at once. It may be known only after an election.
		r.standbyAt = now.Add(c.settings.Lease)
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) right(duty string) *right {
	for _, r := range c.rights {
		if r.duty == duty {
			return r
		}
	}
	return nil
}

// call begins the next call if there is none and the limit of the platform allows it. The duty that has
// called least recently goes first, so that late windows do not hold up orders.
func (c *Core) call(now time.Time) {
	if c.flight != nil || now.Before(c.nextCall) {
		return
	}
	var next *Call
	var by *right
	for _, r := range c.rights {
		if r.left(now) < c.settings.ThawSlack || r.number == 0 || now.Before(r.retryAt) {
			continue
		}
		if by != nil && !r.lastCall.Before(by.lastCall) {
			continue
		}
		if call := c.due(now, r); call != nil {
			next, by = call, r
		}
	}
	if next == nil {
		return
	}
	c.lastID++
	next.ID, next.Number = c.lastID, by.number
	by.lastCall = now
	if by.unansweredSince.IsZero() {
		by.unansweredSince = now
	}
	c.nextCall = now.Add(time.Duration(float64(time.Second) / (c.settings.PerSecond * callShare)))
	c.flight = next
	c.emit(*next)
}

// due returns the next call of a duty, or nil.
func (c *Core) due(now time.Time, r *right) *Call {
	switch r.duty {
	case Usage:
		return c.windows.next()
	case Scaling:
		return c.orders.next(now)
	}
	return nil
}

// responded ends the call in flight.
func (c *Core) responded(now time.Time, ev Responded) {
	call := c.flight
	if call == nil || call.ID != ev.ID {
		return
	}
	c.flight = nil
	r := c.right(call.Duty)
	if r.number != call.Number {
		return // a call of an earlier grant, which ended with it
	}
	switch {
	case ev.NotSent:
		r.unansweredSince = time.Time{}
		return
	case !answered(ev.Status):
		r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
		r.retryAt = now.Add(r.backoff)
		c.orders.unanswered(now, call)
		return
	}
	r.unansweredSince, r.backoff = time.Time{}, 0
	switch ev.Status {
	case http.StatusConflict:
		c.giveUp(now, r, ReasonFenced)
	case http.StatusTooManyRequests:
		if pause := now.Add(limitPause); pause.After(c.nextCall) {
			c.nextCall = pause
		}
	default: // accepted, or refused in a way that a retry would not change
		c.windows.done(call)
		c.orders.done(call)
	}
}

// answered reports whether a status is a response that decides on a call. After any other the call is
// repeated.
func answered(status int) bool {
	return status >= 200 && status < 300 || status >= 400 && status < 500
}

// checkSilence gives up a duty for which the platform has given no response for too long, so that another
// VM can try from its location.
func (c *Core) checkSilence(now time.Time) {
	for _, r := range c.rights {
		if r.number != 0 && !r.unansweredSince.IsZero() && now.Sub(r.unansweredSince) >= answerWithin {
			c.giveUp(now, r, ReasonSilent)
		}
	}
}
