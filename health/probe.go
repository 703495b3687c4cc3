package health

import (
	"slices"
	"time"
)

// SelectProbes appends to names the endpoints to probe now, at most budget of them. Part of
// the budget goes to suspects. The rest follows the Round Robin CUSUM: an endpoint
// is probed again while its statistic is positive, and another one once it is 0.
// See A. Chaudhuri, G. Fellouris and A. Tajer, "Round Robin Active Sequential Change
// Detection for Dependent Multi-Channel Data".
func (d *Detector) SelectProbes(now time.Time, budget int, names []string) []string {
	d.followed = slices.DeleteFunc(d.followed, func(u *unit) bool { return u.suspect || u.statistic == 0 })
	taken := 0
	take := func(u *unit) {
		u.probed = now
		names = append(names, u.name)
		taken++
	}
	for _, u := range d.stalest(now, (budget+1)/2) {
		take(u)
	}
	for _, u := range d.followed {
		if taken < budget && u.rested(now, d.set.MinInterval) {
			take(u)
		}
	}
	for taken < budget {
		u := d.another(now)
		if u == nil {
			break
		}
		d.followed = append(d.followed, u)
		take(u)
	}
	return names
}

func (u *unit) rested(now time.Time, gap time.Duration) bool {
	return now.Sub(u.probed) >= gap
}

// stalest returns the suspects whose last probe is the oldest, at most limit.
func (d *Detector) stalest(now time.Time, limit int) []*unit {
	var suspects []*unit
	for _, u := range d.order {
		if u.suspect && u.rested(now, d.set.MinInterval) {
			suspects = append(suspects, u)
		}
	}
	slices.SortStableFunc(suspects, func(a, b *unit) int { return a.probed.Compare(b.probed) })
	return suspects[:min(len(suspects), limit)]
}

// another returns the next endpoint in turn that is not suspect.
func (d *Detector) another(now time.Time) *unit {
	for range d.order {
		d.next = (d.next + 1) % len(d.order)
		u := d.order[d.next]
		if !u.suspect && u.rested(now, d.set.MinInterval) && !slices.Contains(d.followed, u) {
			return u
		}
	}
	return nil
}
