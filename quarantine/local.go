package quarantine

import "time"

const (
	// ownLife is how long an entry goes by its own losses: control has judged them
	// by then, or cannot be reached.
	ownLife = time.Minute
	// maxOwn bounds the losses that an entry remembers by itself.
	maxOwn = 4096
)

// LocalView is what one entry or sidecar knows: the lists that it has from control, and
// what it learned itself a moment ago and the lists may not show yet.
type LocalView struct {
	known map[uint64]Status
	own   map[uint64]time.Time
}

// NewLocalView returns a Local that knows nothing.
func NewLocalView() *LocalView {
	return &LocalView{known: map[uint64]Status{}, own: map[uint64]time.Time{}}
}

// Update takes over control's lists, which replace earlier ones.
func (l *LocalView) Update(suspects, convicted []uint64) {
	clear(l.known)
	for _, digest := range suspects {
		l.known[digest] = Suspect
	}
	for _, digest := range convicted {
		l.known[digest] = Convicted
	}
}

// RecordLoss notes that an endpoint fell with the request in flight: it runs apart from
// now on, before control has judged.
func (l *LocalView) RecordLoss(now time.Time, digest uint64) {
	if len(l.own) >= maxOwn {
		l.expire(now)
	}
	if len(l.own) < maxOwn {
		l.own[digest] = now.Add(ownLife)
	}
}

// SetStatus takes over control's answer to a FailureReport or a PermitRequest. Lists that were sent
// before the answer may still come in after it: a request that is not clear stays
// suspect for a while whatever they say.
func (l *LocalView) SetStatus(now time.Time, digest uint64, status Status) {
	if status == Clear {
		delete(l.own, digest)
		delete(l.known, digest)
		return
	}
	l.RecordLoss(now, digest)
	l.known[digest] = status
}

// Status returns how the request may run as far as this process knows.
func (l *LocalView) Status(now time.Time, digest uint64) Status {
	if status, ok := l.known[digest]; ok {
		return status
	}
	if until, ok := l.own[digest]; ok && now.Before(until) {
		return Suspect
	}
	return Clear
}

func (l *LocalView) expire(now time.Time) {
	for digest, until := range l.own {
		if !now.Before(until) {
			delete(l.own, digest)
		}
	}
}
