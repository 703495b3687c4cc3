package quarantine

import "time"

const (
	// localLossTTL is for how long a process treats a request as suspect on its own. By
	// then control has sent its status or can't be reached.
	localLossTTL = time.Minute
	// maxLocalLosses is the most requests that a process treats as suspect on its own.
	maxLocalLosses = 4096
	// completionTTL is for how long a complete answer shows that a request does not crash
	// endpoints, and maxCompletions is the number of the latest requests for which it is
	// remembered at least; up to twice as many are.
	completionTTL = 10 * time.Second
	// ClearanceTime is how long after it has learned of the conviction of a part a process holds requests
	// with it back before it refuses them. Meanwhile those that saw complete answers clear the part.
	ClearanceTime  = 200 * time.Millisecond
	maxCompletions = 2048
)

// LocalView is what one entry or sidecar knows of the status of requests: the lists
// that control sent, and losses that it saw itself and that the lists may not include
// yet.
type LocalView struct {
	// statuses are the statuses from control.
	statuses map[uint64]Status
	losses   map[uint64]localLoss
	// completions maps requests to the time of their last complete answer. A full map becomes
	// olderCompletions, so that no completion has to look for the ones that are too old.
	completions, olderCompletions map[uint64]time.Time
	// trials maps convicted requests and parts to the time from which control is asked for a trial, and
	// clearable to the time until which they may still be cleared.
	trials, clearable map[uint64]time.Time
}

// localLoss is what a process knows of a request from losses that it saw itself.
type localLoss struct {
	// until is the end of the period for which the loss counts.
	until time.Time
	// direct is the number of direct endpoints that were lost. It is zero if the loss of an
	// endpoint with a sidecar, or control, has made the request suspect.
	direct int
}

// NewLocalView returns an empty LocalView.
func NewLocalView() *LocalView {
	return &LocalView{statuses: map[uint64]Status{}, losses: map[uint64]localLoss{}, completions: map[uint64]time.Time{}, trials: map[uint64]time.Time{}, clearable: map[uint64]time.Time{}}
}

// Update replaces the statuses by those in control's lists. It returns what is listed although it got a
// complete answer lately, so that control has to be informed.
func (l *LocalView) Update(now time.Time, suspects, convicted []uint64) (completed []uint64) {
	clear(l.statuses)
	for _, digest := range suspects {
		l.statuses[digest] = Suspect
	}
	trials, clearable := map[uint64]time.Time{}, map[uint64]time.Time{}
	for _, digest := range convicted {
		l.statuses[digest] = Convicted
		due, ok := l.trials[digest]
		until := l.clearable[digest]
		if !ok {
			due, until = now.Add(FirstTrial), now.Add(ClearanceTime)
		}
		trials[digest], clearable[digest] = due, until
	}
	l.trials, l.clearable = trials, clearable
	for digest := range l.statuses {
		if l.CompletedLately(now, digest) {
			completed = append(completed, digest)
		}
	}
	return completed
}

// PartStatus returns the status of a part of prompts as far as this process knows. A complete answer that it
// saw lately goes before what control knows. Without control, requests with a part need a permit
// from the loss on with which control would convict the part.
func (l *LocalView) PartStatus(now time.Time, part uint64) Status {
	status, listed := l.statuses[part]
	loss, lost := l.losses[part]
	switch {
	case !listed && !lost, l.CompletedLately(now, part):
		return Clear
	case listed:
		return status
	case now.Before(loss.until) && loss.direct >= minPartLosses:
		return Suspect
	}
	return Clear
}

// ClearableFor returns for how long requests with a convicted part are still held back before they are
// refused.
func (l *LocalView) ClearableFor(now time.Time, part uint64) time.Duration {
	return max(0, l.clearable[part].Sub(now))
}

// TrialDue reports whether control is to be asked if a request with a convicted part may be tried. The next
// one is due a second later, unless control names another time.
func (l *LocalView) TrialDue(now time.Time, part uint64) bool {
	due, ok := l.trials[part]
	if !ok || now.Before(due) {
		return false
	}
	l.trials[part] = now.Add(permitHeldRetryAfter)
	return true
}

// NextTrial returns the time until control may be asked for a trial of a part.
func (l *LocalView) NextTrial(now time.Time, part uint64) time.Duration {
	return max(permitHeldRetryAfter, l.trials[part].Sub(now))
}

// SetNextTrial records from control's answer after how long a trial may be permitted.
func (l *LocalView) SetNextTrial(now time.Time, part uint64, after time.Duration) {
	if _, ok := l.trials[part]; ok && after > 0 {
		l.trials[part] = now.Add(after)
	}
}

// RecordLoss records that an endpoint failed with the request in flight. The request
// is suspect immediately, before control has evaluated the failure.
func (l *LocalView) RecordLoss(now time.Time, digest uint64) {
	l.addLoss(now, digest, 0)
}

// RecordDirectLoss records that a direct endpoint failed with the request in flight. Until
// control has answered, the request is suspect from MinDirectLosses on.
func (l *LocalView) RecordDirectLoss(now time.Time, digest uint64) {
	loss, ok := l.losses[digest]
	switch {
	case ok && loss.direct == 0 && now.Before(loss.until):
		l.addLoss(now, digest, 0)
	case now.Before(loss.until):
		l.addLoss(now, digest, loss.direct+1)
	default:
		l.addLoss(now, digest, 1)
	}
}

// addLoss records a loss, unless there are too many.
func (l *LocalView) addLoss(now time.Time, digest uint64, direct int) {
	if len(l.losses) >= maxLocalLosses {
		l.expireLosses(now)
	}
	if _, ok := l.losses[digest]; ok || len(l.losses) < maxLocalLosses {
		l.losses[digest] = localLoss{until: now.Add(localLossTTL), direct: direct}
	}
}

// RecordCompletion records a complete answer to a request, or to one with a part. It reports whether the
// request or part is not clear, so that control has to be informed.
func (l *LocalView) RecordCompletion(now time.Time, digest uint64) (inform bool) {
	if len(l.completions) >= maxCompletions {
		l.completions, l.olderCompletions = map[uint64]time.Time{}, l.completions
	}
	l.completions[digest] = now
	return l.Status(now, digest) != Clear
}

// RecordPartCompletion is RecordCompletion for a part. Control is also informed of a part under which this
// process has lost an endpoint.
func (l *LocalView) RecordPartCompletion(now time.Time, part uint64) (inform bool) {
	inform = l.RecordCompletion(now, part)
	_, lost := l.losses[part]
	delete(l.losses, part)
	return inform || lost
}

// CompletedLately reports whether the request got a complete answer within completionTTL. Such a
// request does not crash endpoints, although one may have failed with a copy of it in flight.
func (l *LocalView) CompletedLately(now time.Time, digest uint64) bool {
	at, ok := l.completions[digest]
	if !ok {
		at, ok = l.olderCompletions[digest]
	}
	return ok && now.Sub(at) <= completionTTL
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
	if _, ok := l.trials[digest]; !ok && status == Convicted {
		l.trials[digest] = now.Add(FirstTrial)
	}
}

// Status returns the status of a request as far as this process knows.
func (l *LocalView) Status(now time.Time, digest uint64) Status {
	if status, ok := l.statuses[digest]; ok {
		return status
	}
	loss, ok := l.losses[digest]
	switch {
	case !ok || !now.Before(loss.until):
		return Clear
	case loss.direct == 0 || loss.direct >= MinDirectLosses:
		return Suspect
	}
	return Clear
}

// expireLosses removes the losses whose period is over.
func (l *LocalView) expireLosses(now time.Time) {
	for digest, loss := range l.losses {
		if !now.Before(loss.until) {
			delete(l.losses, digest)
		}
	}
}
