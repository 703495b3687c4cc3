package reserve

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// Constants of what is learned from reports.
const (
	// surpriseKeep is what one report leaves of the largest surprise so far.
	surpriseKeep = 0.99
	// reportSkew is by how much a report may be older than it says. What changed within
	// it, or at the report's very time, may be in the report or not.
	reportSkew = 200 * time.Millisecond
	// staleGrowth is how many times the margin may grow while reports are missing.
	staleGrowth = 4.0
)

// reports is what the engine's reports have taught.
type reports struct {
	boot  uint64
	at    time.Time
	total int64
	// others is the memory in use that is not ours, in KV tokens, as far as reports
	// show it.
	others int64
	seen   bool
	// surprise is by how much others' use grew from one report to the next, in KV
	// tokens: the largest of late.
	surprise float64
}

// ApplyReport takes in an engine's load report, which was true at the given time.
// Reports that come late behind a newer one are ignored. It reports whether the
// engine has restarted, and with it lost everything in the book.
func (b *Reservations) ApplyReport(at time.Time, load engine.Load) bool {
	r := &b.reports
	restarted := r.boot != 0 && load.Boot != r.boot
	if !restarted && at.Before(r.at) {
		return false
	}
	if restarted {
		b.forget()
	}
	r.boot = load.Boot
	r.at = at
	r.total = load.TotalTokens
	inUse := load.TotalTokens - load.FreeTokens
	least, most := b.ours(at)
	r.learn(inUse-most, inUse-least)
	return restarted
}

// forget empties the book: the engine has started again with empty memory.
func (b *Reservations) forget() {
	clear(b.holdings)
	b.held = 0
	b.gone = b.gone[:0]
	b.claim = claim{}
	b.reports = reports{}
}

// ours returns bounds of the memory that our holdings used at the time of a report:
// at least what was known to be in use by then, and at most all that was reserved,
// with what has been released since.
func (b *Reservations) ours(at time.Time) (least, most int64) {
	oldest := at.Add(-reportSkew)
	for _, h := range b.holdings {
		most += h.Tokens
		if h.used > 0 && h.usedSince.Before(oldest) {
			least += h.used
		}
	}
	kept := b.gone[:0]
	for _, g := range b.gone {
		if !g.at.Before(oldest) {
			most += g.tokens
			kept = append(kept, g)
		}
	}
	b.gone = kept
	return least, most
}

// learn moves the estimate of others' use only as far as a report forces it: what
// our own attempts use between their dispatch and their first token is not known.
func (r *reports) learn(least, most int64) {
	before := r.others
	r.others = min(max(r.others, least), most)
	r.others = max(r.others, 0)
	r.surprise *= surpriseKeep
	if r.seen {
		r.surprise = max(r.surprise, float64(r.others-before))
	}
	r.seen = true
}

// Limit returns what all holdings together may reach at now, in KV tokens.
func (b *Reservations) Limit(now time.Time) int64 {
	return max(b.reports.total-b.reports.others-b.Margin(now), 0)
}

// Margin returns the memory kept free at now: the floor and what others' use has
// surprised us by, more while reports are missing.
func (b *Reservations) Margin(now time.Time) int64 {
	margin := float64(b.floor()) + b.reports.surprise
	late := now.Sub(b.reports.at) - b.set.StaleAfter
	if late > 0 {
		margin *= min(1+late.Seconds()/b.set.StaleAfter.Seconds(), staleGrowth)
	}
	return int64(margin)
}

// floor returns the least margin, in KV tokens.
func (b *Reservations) floor() int64 {
	return int64(b.set.MarginShare * float64(b.reports.total))
}
