package reserve

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// Constants of the estimates made from load reports.
const (
	// growthDecay is the factor by which maxGrowth decays with each report.
	growthDecay = 0.99
	// reportSkew is how much older than its timestamp a report may be. A change within
	// this time before the timestamp, or exactly at it, may be in the report or not.
	reportSkew = 200 * time.Millisecond
	// maxStaleFactor is the largest factor by which the margin grows while reports are
	// missing.
	maxStaleFactor = 4.0
)

// estimate holds what the engine's load reports say about its memory.
type estimate struct {
	// boot identifies the run of the engine; it changes when the engine restarts.
	boot  uint64
	at    time.Time
	total int64
	// otherUse estimates the memory that is in use without a reservation, in KV tokens.
	otherUse  int64
	hasReport bool
	// maxGrowth is the largest recent growth of otherUse from one report to the next, in
	// KV tokens. It decays by growthDecay with each report.
	maxGrowth float64
}

// ApplyReport updates the estimates from an engine's load report, which describes the
// engine at the given time. It ignores a report older than the last one. It returns true
// if the engine has restarted, and then removes all reservations, because the engine has
// lost its memory.
func (r *Reservations) ApplyReport(at time.Time, load engine.Load) bool {
	e := &r.estimate
	restarted := e.boot != 0 && load.Boot != e.boot
	if !restarted && at.Before(e.at) {
		return false
	}
	if restarted {
		r.reset()
	}
	e.boot = load.Boot
	e.at = at
	e.total = load.TotalTokens
	inUse := load.TotalTokens - load.FreeTokens
	minOwn, maxOwn := r.ownUsage(at)
	e.update(inUse-maxOwn, inUse-minOwn)
	return restarted
}

// reset removes all reservations, claims and estimates.
func (r *Reservations) reset() {
	clear(r.reservations)
	r.reservedTokens = 0
	r.released = r.released[:0]
	r.claim = claim{}
	r.estimate = estimate{}
}

// ownUsage returns bounds of the memory that the reservations used at the time of a
// report: at least what was known to be in use by then, and at most all reserved memory
// and the memory released since. It forgets older releases.
func (r *Reservations) ownUsage(at time.Time) (minOwn, maxOwn int64) {
	cutoff := at.Add(-reportSkew)
	for _, h := range r.reservations {
		maxOwn += h.Tokens
		if h.used > 0 && h.usedSince.Before(cutoff) {
			minOwn += h.used
		}
	}
	recent := r.released[:0]
	for _, g := range r.released {
		if !g.at.Before(cutoff) {
			maxOwn += g.tokens
			recent = append(recent, g)
		}
	}
	r.released = recent
	return minOwn, maxOwn
}

// update changes otherUse only as far as needed to fit between the bounds that a report
// gives. There is no exact value, because the use by attempts between their dispatch and
// their first token is not known.
func (e *estimate) update(lower, upper int64) {
	previous := e.otherUse
	e.otherUse = min(max(e.otherUse, lower), upper)
	e.otherUse = max(e.otherUse, 0)
	e.maxGrowth *= growthDecay
	if e.hasReport {
		e.maxGrowth = max(e.maxGrowth, float64(e.otherUse-previous))
	}
	e.hasReport = true
}

// Limit returns the upper bound of the sum of all reservations at now, in KV tokens.
func (r *Reservations) Limit(now time.Time) int64 {
	return max(r.estimate.total-r.estimate.otherUse-r.Margin(now), 0)
}

// Margin returns the memory to keep free at now, in KV tokens: the minimum margin plus
// maxGrowth, multiplied by a growing factor while reports are missing.
func (r *Reservations) Margin(now time.Time) int64 {
	margin := float64(r.minMargin()) + r.estimate.maxGrowth
	overdue := now.Sub(r.estimate.at) - r.settings.StaleAfter
	if overdue > 0 {
		margin *= min(1+overdue.Seconds()/r.settings.StaleAfter.Seconds(), maxStaleFactor)
	}
	return int64(margin)
}

// minMargin returns the smallest margin, in KV tokens.
func (r *Reservations) minMargin() int64 {
	return int64(r.settings.MarginShare * float64(r.estimate.total))
}
