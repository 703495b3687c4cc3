package lease

import "time"

// maxUnanswered bounds the heartbeats that a Permission remembers; older ones
// can no longer renew it.
const maxUnanswered = 64

// Permission is a process's right to send and to take new work: a lease on the
// fact that its configuration is current. It lapses by itself.
//
// Control echoes a heartbeat only once it knows that it held, after the
// heartbeat came in, every change accepted before. The echo therefore proves that
// the process is current as of the moment it sent the heartbeat, and the
// permission counts from that moment, on the process's own clock. A change that
// is accepted later is in force, or the permission has lapsed, one span after.
//
// Permission does no locking.
type Permission struct {
	span   time.Duration
	margin time.Duration
	sent   []heartbeat
	until  time.Time
	// renewed is until when control itself renewed the permission.
	renewed time.Time
}

type heartbeat struct {
	seq uint64
	at  time.Time
}

// NewPermission returns a lapsed permission that a heartbeat's echo renews for
// span less margin. The margin covers clocks that run at different speeds.
func NewPermission(span, margin time.Duration) *Permission {
	return &Permission{span: span, margin: margin}
}

// HeartbeatSent notes that heartbeat seq was sent at now. It must be called before the
// heartbeat leaves.
func (p *Permission) HeartbeatSent(now time.Time, seq uint64) {
	if len(p.sent) == maxUnanswered {
		p.sent = append(p.sent[:0], p.sent[1:]...)
	}
	p.sent = append(p.sent, heartbeat{seq: seq, at: now})
}

// HeartbeatEchoed renews the permission from heartbeat seq on. The caller must first have
// applied all changes that came with the echo.
func (p *Permission) HeartbeatEchoed(seq uint64) {
	for i, h := range p.sent {
		if h.seq != seq {
			continue
		}
		p.extend(h.at.Add(p.span - p.margin))
		p.renewed = h.at.Add(p.span - p.margin)
		p.sent = append(p.sent[:0], p.sent[i+1:]...)
		return
	}
}

// RenewFrom renews the permission from since, a moment at which a Poll has proven the
// process to be current.
func (p *Permission) RenewFrom(since time.Time) { p.extend(since.Add(p.span - p.margin)) }

// Reset forgets the heartbeats of a session that ended. The permission itself
// holds on, because it was granted for a span and not for a session.
func (p *Permission) Reset() { p.sent = p.sent[:0] }

// Left returns for how long the permission still holds; zero when it lapsed.
func (p *Permission) Left(now time.Time) time.Duration {
	return max(0, p.until.Sub(now))
}

// RenewedByControl reports whether control itself renewed the permission. That proves also
// that no newer process has taken this one's place, which peers and polls do not.
func (p *Permission) RenewedByControl(now time.Time) bool { return now.Before(p.renewed) }

// Fresh reports whether the permission holds at now.
func (p *Permission) Fresh(now time.Time) bool { return now.Before(p.until) }

// Adopt takes over the freshness that a peer stated: at revision peer, for left.
// since is a moment on our clock that lies before the peer made the statement,
// such as when the request was sent that the peer's message answers; without it
// a message that was held up would prolong the permission.
//
// A fresh peer holds every change that was accepted when its own permission
// began. We hold them too only when our revision is at least the peer's;
// otherwise Adopt refuses and we have to learn the changes first.
func (p *Permission) Adopt(since time.Time, ours, peer uint64, left time.Duration) bool {
	if peer > ours || left <= p.margin {
		return false
	}
	p.extend(since.Add(min(left, p.span) - p.margin))
	return true
}

// extend never shortens the permission: each proof stands by itself.
func (p *Permission) extend(until time.Time) {
	if until.After(p.until) {
		p.until = until
	}
}
