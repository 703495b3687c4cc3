package quarantine

import (
	"slices"
	"time"
)

const (
	// minPartLosses is the number of endpoints that are lost under requests with a part before the part
	// is convicted, and MinPartCarriers the number of different requests with it among them: the
	// retries of one crashing request convict only that request.
	minPartLosses   = 4
	MinPartCarriers = 3
	// MaxPartCarriers is the most requests that are remembered of a part.
	MaxPartCarriers = 8
	// partLossTTL is how long a failure counts against a part that is not convicted.
	partLossTTL = time.Hour
	// maxPartsPerFailure is the most parts in one failure.
	maxPartsPerFailure = 256
	// FirstTrial is the time from the conviction of a part to the first trial. It is short, because a sound
	// part may have had no answer yet when it was convicted. The next trial follows after secondTrial, and
	// each further one trialFactor times later, up to maxTrialInterval.
	FirstTrial       = time.Second
	secondTrial      = time.Minute
	trialFactor      = 8
	maxTrialInterval = 24 * time.Hour
)

// partRecord is what is known of a part in addition to its failures.
type partRecord struct {
	// carriers are up to MaxPartCarriers requests with the part that were in flight at its failures.
	carriers []uint64
	// trials is the number of requests that were tried since the conviction. The next one is tried
	// from nextTrial on.
	trials    int
	nextTrial time.Time
}

// isPart reports whether the record is that of a part.
func (r *record) isPart() bool { return r.partRecord != nil }

// addPart adds a part to those in flight, unless it is known already or the limits don't allow it.
func (l *List) addPart(f *failure, report PartReport) {
	if slices.Contains(f.clearedParts, report.Digest) {
		return
	}
	if !slices.Contains(f.parts, report.Digest) {
		if len(f.parts)+len(f.clearedParts) >= maxPartsPerFailure {
			return
		}
		r := l.recordFor(f, report.Digest)
		if r == nil || (!r.isPart() && len(r.failures) > 0) {
			return
		}
		if !r.isPart() {
			r.partRecord = &partRecord{}
		}
		r.failures = append(r.failures, f)
		f.parts = append(f.parts, report.Digest)
	}
	r := l.records[report.Digest]
	for _, carrier := range report.Carriers {
		if len(r.carriers) < MaxPartCarriers && !slices.Contains(r.carriers, carrier) {
			r.carriers = append(r.carriers, carrier)
		}
	}
}

// partLosses returns the number of failures that count against a part: those within partLossTTL that
// neither another convicted part explains nor a convicted request without the part. An outage does not excuse a
// part, because it would excuse the one that crashes endpoints beside it.
func (l *List) partLosses(now time.Time, part uint64) (losses int) {
	r := l.records[part]
	for _, f := range r.failures {
		otherPart := func(digest uint64) bool { return digest != part && l.records[digest].convicted }
		otherRequest := func(digest uint64) bool { return l.records[digest].convicted && !slices.Contains(r.carriers, digest) }
		explained := f.explained && (slices.ContainsFunc(f.parts, otherPart) || slices.ContainsFunc(f.digests, otherRequest))
		if now.Sub(f.at) <= partLossTTL && !explained {
			losses++
		}
	}
	return losses
}

// convictPart convicts the part in a failure that is the most likely cause, if enough endpoints were lost
// under different requests with it: the one with the most losses, and of several the last, because
// sound prompts share the first parts rather than the last ones. If it is innocent, a complete answer clears
// it, and the next one is considered.
func (l *List) convictPart(now time.Time, f *failure) {
	if f.explainedByPart {
		return
	}
	var culprit *record
	most := minPartLosses
	for _, part := range f.parts {
		r := l.records[part]
		if len(r.failures) < most || len(r.carriers) < MinPartCarriers {
			continue
		}
		if losses := l.partLosses(now, part); losses >= most {
			culprit, most = r, losses
		}
	}
	if culprit == nil {
		return
	}
	culprit.nextTrial = now.Add(FirstTrial)
	l.convict(culprit)
	for _, f := range culprit.failures {
		f.explainedByPart = true
	}
}

// hasCrashingPart reports whether endpoints were lost under enough different requests with a part that was
// in flight in the failure.
func (l *List) hasCrashingPart(f *failure) bool {
	return f.explainedByPart || slices.ContainsFunc(f.parts, func(part uint64) bool {
		r := l.records[part]
		return len(r.failures) >= minPartLosses && len(r.carriers) >= MinPartCarriers
	})
}

// reconsider looks for another cause of failures, whose convicted part has proved to be innocent.
func (l *List) reconsider(now time.Time, failures []*failure) {
	for _, f := range failures {
		l.convictPart(now, f)
	}
	l.markOutage(now)
	for _, f := range failures {
		l.convictCulprit(f)
	}
}

// permitTrial answers a PermitRequest for a request with a convicted part. From time to time one of them
// is tried: a complete answer clears the part.
func (l *List) permitTrial(now time.Time, r *record, req PermitRequest) Permit {
	r.expirePermit(now)
	switch inst := (instance{endpoint: req.Endpoint, incarnation: req.Incarnation}); {
	case r.permit.holder == req.Holder:
		return Permit{Status: Convicted, Granted: true}
	case now.Before(r.nextTrial):
		return Permit{Status: Convicted, RetryAfter: r.nextTrial.Sub(now)}
	case r.permit.holder != "":
		return Permit{Status: Convicted, RetryAfter: permitHeldRetryAfter}
	case l.hasPermit(now, inst):
		return Permit{Status: Convicted, RetryAfter: instanceTakenRetryAfter}
	default:
		r.permit = permit{holder: req.Holder, instance: inst, deadline: req.Deadline}
	}
	r.trials++
	r.nextTrial = now.Add(trialInterval(r.trials))
	return Permit{Status: Convicted, Granted: true}
}

// trialInterval returns the time from a trial to the next one.
func trialInterval(trials int) time.Duration {
	interval := secondTrial
	for range trials - 1 {
		if interval *= trialFactor; interval >= maxTrialInterval {
			return maxTrialInterval
		}
	}
	return interval
}

// repeatTrial makes the next trial of a part due, because the last one has decided nothing.
func (r *record) repeatTrial(now time.Time) {
	if r.isPart() && r.trials > 0 {
		r.trials--
		r.nextTrial = now
	}
}
