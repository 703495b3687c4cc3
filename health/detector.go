package health

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Detector watches the endpoints that one entry sends to.
type Detector struct {
	set     Settings
	units   map[string]*unit
	targets map[string]*target
	// order lists the units by name, and next is the place of the one that was
	// probed last in turn.
	order []*unit
	next  int
	// followed lists those that are probed again while their statistic is positive.
	followed []*unit
}

// unit is one endpoint.
type unit struct {
	name   string
	target *target
	mean   mean
	// statistic is the evidence for failing, in nats; never below 0.
	statistic float64
	// sound is the evidence of a suspect for being sound, in nats; never below 0.
	sound   float64
	suspect bool
	// probed is when the endpoint was last probed, and sampled when a sample last
	// counted.
	probed  time.Time
	sampled time.Time
}

// target is what endpoints have in common that serve the same.
type target struct {
	units    int
	suspects int
	// common is the mean of late of the log ratios, beyond the endpoints' own means.
	common  float64
	samples int
	spread  spread
}

// NewDetector returns a detector that knows no endpoint.
func NewDetector(set Settings) *Detector {
	return &Detector{set: set, units: map[string]*unit{}, targets: map[string]*target{}, next: -1}
}

// Add adds an endpoint of a target, or begins anew with one that has restarted.
func (d *Detector) Add(name, targetName string) {
	d.Remove(name)
	t := d.targets[targetName]
	if t == nil {
		t = &target{spread: newSpread()}
		d.targets[targetName] = t
	}
	t.units++
	u := &unit{name: name, target: t, mean: newMean()}
	d.units[name] = u
	at, _ := d.find(name)
	d.order = slices.Insert(d.order, at, u)
	if at <= d.next {
		d.next++
	}
}

// Remove removes an endpoint.
func (d *Detector) Remove(name string) {
	u := d.units[name]
	if u == nil {
		return
	}
	d.release(u)
	u.target.units--
	delete(d.units, name)
	d.trim(u.target)
	at, _ := d.find(name)
	d.order = slices.Delete(d.order, at, at+1)
	d.followed = slices.DeleteFunc(d.followed, func(f *unit) bool { return f == u })
	if at <= d.next {
		d.next--
	}
}

func (d *Detector) find(name string) (int, bool) {
	return slices.BinarySearchFunc(d.order, name, func(u *unit, name string) int { return strings.Compare(u.name, name) })
}

// Observe takes in a sample, and returns whether the endpoint has become suspect or
// sound by it. Samples that come too close after another say little new, and do not
// count.
func (d *Detector) Observe(now time.Time, name string, s Sample) bool {
	u := d.units[name]
	if u == nil || now.Sub(u.sampled) < d.set.MinInterval {
		return false
	}
	u.sampled = now
	step := failureStep(s.Failed)
	if s.Ratio > 0 && !s.Failed {
		step += d.timed(u, s.Ratio)
	}
	if u.suspect {
		return d.acquit(u, step)
	}
	return d.accuse(u, step)
}

// timed returns the evidence in a sample's time, and learns from it.
func (d *Detector) timed(u *unit, ratio float64) float64 {
	t := u.target
	x := math.Log(ratio) - t.common
	off := min(max(x-u.mean.value, -maxOff), maxOff)
	if !t.follow(off) {
		return 0
	}
	step := timeStep(off, t.spread.value(), math.Log(d.set.Slowdown))
	if !u.suspect && u.statistic+step < learnBelow {
		u.mean.learn(off)
		t.spread.learn(off)
	}
	return step
}

// follow moves what the target has in common towards a sample that was off by so
// much, and reports whether the level is known by now.
func (t *target) follow(off float64) bool {
	t.samples++
	if t.samples <= firstSamples {
		t.common += off / float64(t.samples)
		return false
	}
	t.common += commonWeight * min(max(off, -commonLimit), commonLimit)
	return true
}

// accuse adds evidence against an endpoint that is not suspect.
func (d *Detector) accuse(u *unit, step float64) bool {
	u.statistic = max(u.statistic+step, 0)
	if u.statistic < d.set.Threshold {
		return false
	}
	u.statistic = d.set.Threshold
	if u.target.suspects >= d.maxSuspects(u.target) {
		return false
	}
	u.suspect = true
	u.sound = 0
	u.target.suspects++
	return true
}

// acquit adds evidence for a suspect.
func (d *Detector) acquit(u *unit, step float64) bool {
	u.sound = max(u.sound-step, 0)
	if u.sound < d.set.RecoveryThreshold {
		return false
	}
	d.release(u)
	return true
}

func (d *Detector) release(u *unit) {
	u.statistic = 0
	if u.suspect {
		u.suspect = false
		u.target.suspects--
	}
}

// trim releases suspects of a target that has become too small for them, the
// soundest first.
func (d *Detector) trim(t *target) {
	for t.suspects > d.maxSuspects(t) {
		var soundest *unit
		for _, u := range d.order {
			if u.suspect && u.target == t && (soundest == nil || u.sound > soundest.sound) {
				soundest = u
			}
		}
		d.release(soundest)
	}
}

// maxSuspects returns how many endpoints of a target may be suspect at once.
func (d *Detector) maxSuspects(t *target) int {
	return int(d.set.MaxSuspectShare * float64(t.units))
}

// Suspect reports whether the endpoint is suspect.
func (d *Detector) Suspect(name string) bool {
	u := d.units[name]
	return u != nil && u.suspect
}

// Suspects returns the suspects by name.
func (d *Detector) Suspects() []string {
	var names []string
	for _, u := range d.order {
		if u.suspect {
			names = append(names, u.name)
		}
	}
	return names
}
