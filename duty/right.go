package duty

import "time"

// right is what a process knows of its right to one duty.
type right struct {
	duty string
	// number is the fencing number of the grant, or zero if this process has none, and until its end.
	number uint64
	until  time.Time
	// abandoned is the highest number under which this process makes no calls any more.
	abandoned uint64
	// acquiring is set while an Acquire has no answer.
	acquiring bool
	// renewAt is when a holder acquires again. Without a grant, the leader acquires at askAt and any
	// other replica at standbyAt.
	renewAt, askAt, standbyAt time.Time
	// quietUntil is the time until which this process does not acquire because it has given up.
	quietUntil time.Time
	lastCall   time.Time
	// unansweredSince is when the first call was made since the last response.
	unansweredSince time.Time
	// backoff is the pause after the last call without a response, which ends at retryAt.
	backoff time.Duration
	retryAt time.Time
}

// left returns how long the grant is valid from now on.
func (r *right) left(now time.Time) time.Duration {
	if r.number == 0 {
		return 0
	}
	return max(0, r.until.Sub(now))
}

// silent reports whether the calls of a holder have had no response for so long that it does not renew.
func (r *right) silent(now time.Time) bool {
	return r.number != 0 && r.backoff > 0 && now.Sub(r.unansweredSince) >= renewWithin
}

// expire ends the grants whose lease has passed.
func (c *Core) expire(now time.Time) {
	for _, r := range c.rights {
		if r.number == 0 || r.left(now) > 0 {
			continue
		}
		if r.backoff > 0 {
			c.giveUp(now, r, ReasonSilent) // it was not renewed for this reason
			continue
		}
		c.lose(now, r, ReasonExpired)
	}
}

// lose forgets a grant and what was known under it.
func (c *Core) lose(now time.Time, r *right, reason string) {
	c.emit(Lost{Duty: r.duty, Number: r.number, Reason: reason})
	r.number = 0
	r.askAt, r.standbyAt = now, now.Add(c.standbyDelay())
	c.reset(r)
}

// reset forgets what was known under the last grant.
func (c *Core) reset(r *right) {
	r.unansweredSince, r.retryAt, r.backoff = time.Time{}, time.Time{}, 0
	switch r.duty {
	case Usage:
		c.windows.reset()
	case Scaling:
		c.orders.reset()
	}
}

// giveUp stops the use of a grant, which then expires. It is not released, because two VMs could then
// alternate within a lease.
func (c *Core) giveUp(now time.Time, r *right, reason string) {
	r.abandoned = max(r.abandoned, r.number)
	c.lose(now, r, reason)
	r.quietUntil = now.Add(quietLeases * c.settings.Lease)
}

func (c *Core) standbyDelay() time.Duration {
	return time.Duration(standbyFraction * float64(c.settings.Lease))
}

// acquire asks for the duties that this process holds and has to renew, or may hold. The leader is
// preferred, because its commands take the shortest way. Another replica acquires only a grant that the
// leader leaves unused: it cannot reach the platform.
func (c *Core) acquire(now time.Time) {
	for _, r := range c.rights {
		if r.acquiring || now.Before(r.quietUntil) || r.silent(now) {
			continue
		}
		if r.duty == Scaling && !c.leader {
			continue // only the leader of control has the load from which orders follow
		}
		at := r.standbyAt
		if r.number != 0 {
			at = r.renewAt
		} else if c.leader {
			at = r.askAt
		}
		if now.Before(at) {
			continue
		}
		r.acquiring = true
		c.emit(Acquire{Duty: r.duty, Sent: now})
	}
}

// acquired takes the answer to an Acquire. The lease counts from before the request was sent.
func (c *Core) acquired(now time.Time, ev Acquired) {
	r := c.right(ev.Duty)
	if r == nil {
		return
	}
	r.acquiring = false
	until := ev.Sent.Add(time.Duration((1 - marginFraction) * float64(c.settings.Lease)))
	switch {
	case ev.Failed:
		r.renewAt, r.askAt, r.standbyAt = now.Add(minBackoff), now.Add(minBackoff), now.Add(c.settings.Lease)
	case !ev.Granted:
		if r.number != 0 {
			c.lose(now, r, ReasonReplaced)
		}
		r.askAt = now.Add(ev.Left)
		r.standbyAt = r.askAt.Add(c.standbyDelay())
	case ev.Number <= r.abandoned || now.Before(r.quietUntil):
		// A late request has renewed a grant that this process has given up. Another request would renew
		// it again, so it is left to expire.
		r.askAt = now.Add(ev.Left + c.standbyDelay())
		r.standbyAt = r.askAt.Add(c.standbyDelay())
	case !now.Before(until):
		r.askAt, r.standbyAt = now, now // the answer took longer than the lease
	default:
		c.hold(r, ev, until)
	}
}

// hold takes a grant or its renewal.
func (c *Core) hold(r *right, ev Acquired, until time.Time) {
	r.renewAt = ev.Sent.Add(c.settings.Lease / renewalsPerLease)
	if r.number == ev.Number {
		if until.After(r.until) {
			r.until = until
		}
		return
	}
	r.abandoned = max(r.abandoned, r.number)
	r.number, r.until = ev.Number, until
	c.reset(r)
	c.emit(Held{Duty: r.duty, Number: r.number})
}
