package health

import (
	"slices"
	"time"
)

// SelectProbes appends to names the endpoints to probe now, at most budget of them,
// and records them as probed. Up to half of the budget, rounded up, goes to suspects.
// The rest follows the Round Robin CUSUM: an endpoint is probed repeatedly while its
// statistic is positive; once the statistic is 0, the next endpoint in turn follows.
// See A. Chaudhuri, G. Fellouris and A. Tajer, "Round Robin Active Sequential Change
// Detection for Dependent Multi-Channel Data".
func (d *Detector) SelectProbes(now time.Time, budget int, names []string) []string {
	d.reprobe = slices.DeleteFunc(d.reprobe, func(e *endpoint) bool { return e.suspect || e.statistic == 0 })
	taken := 0
	take := func(e *endpoint) {
		e.lastProbe = now
		names = append(names, e.name)
		taken++
	}
	for _, e := range d.suspectsToProbe(now, (budget+1)/2) {
		take(e)
	}
	for _, e := range d.reprobe {
		if taken < budget && e.probeDue(now, d.settings.MinInterval) {
			take(e)
		}
	}
	for taken < budget {
		e := d.nextInTurn(now)
		if e == nil {
			break
		}
		d.reprobe = append(d.reprobe, e)
		take(e)
	}
	return names
}

// probeDue reports whether the last probe of e is at least interval ago.
func (e *endpoint) probeDue(now time.Time, interval time.Duration) bool {
	return now.Sub(e.lastProbe) >= interval
}

// suspectsToProbe returns at most limit suspects that are due for a probe, the one
// with the oldest probe first.
func (d *Detector) suspectsToProbe(now time.Time, limit int) []*endpoint {
	var suspects []*endpoint
	for _, e := range d.sorted {
		if e.suspect && e.probeDue(now, d.settings.MinInterval) {
			suspects = append(suspects, e)
		}
	}
	slices.SortStableFunc(suspects, func(a, b *endpoint) int { return a.lastProbe.Compare(b.lastProbe) })
	return suspects[:min(len(suspects), limit)]
}

// nextInTurn returns the next endpoint in name order that is due for a probe, not
// suspect and not in d.reprobe, or nil.
func (d *Detector) nextInTurn(now time.Time) *endpoint {
	for range d.sorted {
		d.cursor = (d.cursor + 1) % len(d.sorted)
		e := d.sorted[d.cursor]
		if !e.suspect && e.probeDue(now, d.settings.MinInterval) && !slices.Contains(d.reprobe, e) {
			return e
		}
	}
	return nil
}
