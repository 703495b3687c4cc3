package quarantine

import "time"

const (
	// localLossTTL is for how long a process treats a request as suspect on its own. By
	// then control has sent its status or can't be reached.
	localLossTTL = time.Minute
	// maxLocalLosses is the most requests that a process treats as suspect on its own.
	maxLocalLosses = 4096
)

// LocalView is what one entry or sidecar knows of the status of requests: the lists
// that control sent, and losses that it saw itself and that the lists may not include
// yet.
type LocalView struct {
	// statuses are the statuses from control.
	statuses map[uint64]Status
	// losses maps requests that this process treats as suspect to the end of that
	// period.
	losses map[uint64]time.Time
}

// NewLocalView returns an empty LocalView.
func NewLocalView() *LocalView {
	return &LocalView{statuses: map[uint64]Status{}, losses: map[uint64]time.Time{}}
}

// Update replaces the statuses by those in control's lists.
func (l *LocalView) Update(suspects, convicted []uint64) {
	clear(l.statuses)
	for _, digest := range suspects {
		l.statuses[digest] = Suspect
	}
	for _, digest := range convicted {
		l.statuses[digest] = Convicted
	}
}

// RecordLoss records that an endpoint failed with the request in flight. The request
// is suspect immediately, before control has evaluated the failure.
func (l *LocalView) RecordLoss(now time.Time, digest uint64) {
	if len(l.losses) >= maxLocalLosses {
		l.expireLosses(now)
	}
	if len(l.losses) < maxLocalLosses {
		l.losses[digest] = now.Add(localLossTTL)
	}
}

// SetStatus sets the status of a request from control's answer to a FailureReport or
// a PermitRequest. Lists that control sent before the answer may arrive after it, so a
// request that isn't clear stays suspect for localLossTTL even if they don't include
// it.
func (l *LocalView) SetStatus(now time.Time, digest uint64, status Status) {
	if status == Clear {
		delete(l.losses, digest)
		delete(l.statuses, digest)
		return
	}
	l.RecordLoss(now, digest)
	l.statuses[digest] = status
}

// Status returns the status of a request as far as this process knows.
func (l *LocalView) Status(now time.Time, digest uint64) Status {
	if status, ok := l.statuses[digest]; ok {
		return status
	}
	if until, ok := l.losses[digest]; ok && now.Before(until) {
		return Suspect
	}
	return Clear
}

// expireLosses removes the losses whose period is over.
func (l *LocalView) expireLosses(now time.Time) {
	for digest, until := range l.losses {
		if !now.Before(until) {
			delete(l.losses, digest)
		}
	}
}
