package lease

import "time"

// maxUnanswered bounds the unanswered heartbeats that a Permission remembers. The echo of
// an older one does not renew it.
const maxUnanswered = 64

// Permission is the right of a process to send and to accept new work. It is a lease on
// the fact that the process's configuration is current.
//
// Control echoes a heartbeat only after it has made sure, since the heartbeat arrived, that
// it has every change accepted before. The echo therefore proves that the process's
// configuration was current when it sent the heartbeat, and the permission counts from
// that moment on the process's own clock. So one duration after a change is accepted, the
// process has applied the change or its permission has expired.
//
// Permission does no locking.
type Permission struct {
	duration   time.Duration
	margin     time.Duration
	unanswered []heartbeat
	validUntil time.Time
	// renewedUntil is when the last renewal by control expires.
	renewedUntil time.Time
}

// heartbeat is a heartbeat that control has not yet echoed.
type heartbeat struct {
	seq uint64
	at  time.Time
}

// NewPermission returns an expired permission. The echo of a heartbeat renews it for
// duration less margin, counted from the sending of the heartbeat. The margin compensates
// for clocks that run at different speeds.
func NewPermission(duration, margin time.Duration) *Permission {
	return &Permission{duration: duration, margin: margin}
}

// HeartbeatSent records that heartbeat seq is sent at now. The caller calls it before it
// sends the heartbeat.
func (p *Permission) HeartbeatSent(now time.Time, seq uint64) {
	if len(p.unanswered) == maxUnanswered {
		p.unanswered = append(p.unanswered[:0], p.unanswered[1:]...)
	}
	p.unanswered = append(p.unanswered, heartbeat{seq: seq, at: now})
}

// HeartbeatEchoed renews the permission from the time heartbeat seq was sent. The caller
// must first apply all changes that came with the echo.
func (p *Permission) HeartbeatEchoed(seq uint64) {
	for i, hb := range p.unanswered {
		if hb.seq != seq {
			continue
		}
		p.extend(hb.at.Add(p.duration - p.margin))
		p.renewedUntil = hb.at.Add(p.duration - p.margin)
		p.unanswered = append(p.unanswered[:0], p.unanswered[i+1:]...)
		return
	}
}

// RenewFrom renews the permission from since, a time at which the configuration was current
// according to Poll.ProvesCurrent.
func (p *Permission) RenewFrom(since time.Time) { p.extend(since.Add(p.duration - p.margin)) }

// Reset forgets the heartbeats of a session that ended. The permission stays valid until
// it expires, because it does not depend on the session.
func (p *Permission) Reset() { p.unanswered = p.unanswered[:0] }

// Left returns the time until the permission expires, or zero if it has expired.
func (p *Permission) Left(now time.Time) time.Duration {
	return max(0, p.validUntil.Sub(now))
}

// RenewedByControl reports whether the last renewal by control is still valid at now. In
// contrast to renewals by peers and polls, it also proves that no newer process has
// replaced this one.
func (p *Permission) RenewedByControl(now time.Time) bool { return now.Before(p.renewedUntil) }

// Fresh reports whether the permission is valid at now.
func (p *Permission) Fresh(now time.Time) bool { return now.Before(p.validUntil) }

// Adopt extends the permission to that of a peer, which has revision peerRevision and a
// permission for the time left. since is a time on the clock of this process before the
// peer sent its message, such as the time of the request that the message answers. A
// message that was delayed in transit therefore does not prolong the permission.
//
// A peer with a valid permission has every change that was accepted before its permission
// began. This process has them too if ownRevision is at least peerRevision. Otherwise
// Adopt returns false, and the process has to get the changes first. Adopt also returns
// false if left is not longer than the margin.
func (p *Permission) Adopt(since time.Time, ownRevision, peerRevision uint64, left time.Duration) bool {
	if peerRevision > ownRevision || left <= p.margin {
		return false
	}
	p.extend(since.Add(min(left, p.duration) - p.margin))
	return true
}

// extend extends the permission. It never shortens it, because each proof that the
// configuration is current holds on its own.
func (p *Permission) extend(validUntil time.Time) {
	if validUntil.After(p.validUntil) {
		p.validUntil = validUntil
	}
}
