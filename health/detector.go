package health

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Detector decides which of the endpoints that one entry sends requests to are
// suspect. It does not lock: the caller serialises all calls.
type Detector struct {
	settings  Settings
	endpoints map[string]*endpoint
	targets   map[string]*target
	// sorted lists the endpoints by name. cursor is the index of the endpoint that was
	// last probed in turn.
	sorted []*endpoint
	cursor int
	// reprobe lists the endpoints that are probed again while their statistic is
	// positive.
	reprobe []*endpoint
}

// endpoint is the detector's state of one endpoint.
type endpoint struct {
	name   string
	target *target
	mean   mean
	// statistic is the CUSUM statistic of a failure, in nats; never below 0.
	statistic float64
	// recovery is the CUSUM statistic of a suspect's recovery, in nats; never below 0.
	recovery float64
	suspect  bool
	// lastProbe is the time of the last probe, and lastSample that of the last sample
	// that counted.
	lastProbe  time.Time
	lastSample time.Time
}

// target is the state shared by all endpoints that serve the same model.
type target struct {
	endpoints int
	suspects  int
	// sharedOffset is the moving average of the log ratios, less the endpoints' own
	// means.
	sharedOffset float64
	samples      int
	stddev       stddev
}

// NewDetector returns a detector without endpoints.
func NewDetector(settings Settings) *Detector {
	return &Detector{settings: settings, endpoints: map[string]*endpoint{}, targets: map[string]*target{}, cursor: -1}
}

// Add adds an endpoint of a target. The state of an endpoint that is already known,
// such as one that has restarted, starts anew.
func (d *Detector) Add(name, targetName string) {
	d.Remove(name)
	t := d.targets[targetName]
	if t == nil {
		t = &target{stddev: newStddev()}
		d.targets[targetName] = t
	}
	t.endpoints++
	e := &endpoint{name: name, target: t, mean: newMean()}
	d.endpoints[name] = e
	at, _ := d.find(name)
	d.sorted = slices.Insert(d.sorted, at, e)
	if at <= d.cursor {
		d.cursor++
	}
}

// Remove removes an endpoint. It does nothing for an unknown one.
func (d *Detector) Remove(name string) {
	e := d.endpoints[name]
	if e == nil {
		return
	}
	d.markHealthy(e)
	e.target.endpoints--
	delete(d.endpoints, name)
	d.enforceMaxSuspects(e.target)
	at, _ := d.find(name)
	d.sorted = slices.Delete(d.sorted, at, at+1)
	d.reprobe = slices.DeleteFunc(d.reprobe, func(f *endpoint) bool { return f == e })
	if at <= d.cursor {
		d.cursor--
	}
}

// find returns the index of name in d.sorted, or where to insert it, and whether it
// is there.
func (d *Detector) find(name string) (int, bool) {
	return slices.BinarySearchFunc(d.sorted, name, func(e *endpoint, name string) int { return strings.Compare(e.name, name) })
}

// Observe records a sample and reports whether it made the endpoint suspect or
// healthy again. It ignores samples of unknown endpoints and those that come less than
// Settings.MinInterval after the last one that counted.
func (d *Detector) Observe(now time.Time, name string, s Sample) bool {
	e := d.endpoints[name]
	if e == nil || now.Sub(e.lastSample) < d.settings.MinInterval {
		return false
	}
	e.lastSample = now
	llr := failureLLR(s.Failed)
	if s.Ratio > 0 && !s.Failed {
		llr += d.ratioLLR(e, s.Ratio)
	}
	if e.suspect {
		return d.updateSuspect(e, llr)
	}
	return d.updateHealthy(e, llr)
}

// ratioLLR returns the log-likelihood ratio of a sample's Ratio and updates the
// learned estimates with the sample.
func (d *Detector) ratioLLR(e *endpoint, ratio float64) float64 {
	t := e.target
	x := math.Log(ratio) - t.sharedOffset
	deviation := min(max(x-e.mean.value, -maxDeviation), maxDeviation)
	if !t.updateSharedOffset(deviation) {
		return 0
	}
	llr := latencyLLR(deviation, t.stddev.value(), math.Log(d.settings.Slowdown))
	if !e.suspect && e.statistic+llr < maxLearnStatistic {
		e.mean.learn(deviation)
		t.stddev.learn(deviation)
	}
	return llr
}

// updateSharedOffset moves the shared offset towards a sample with the given deviation
// and reports whether enough samples have been seen for the offset to be used.
func (t *target) updateSharedOffset(deviation float64) bool {
	t.samples++
	if t.samples <= warmUpSamples {
		t.sharedOffset += deviation / float64(t.samples)
		return false
	}
	t.sharedOffset += sharedOffsetWeight * min(max(deviation, -maxSharedDeviation), maxSharedDeviation)
	return true
}

// updateHealthy adds a log-likelihood ratio to the statistic of an endpoint that is
// not suspect, and reports whether the endpoint becomes suspect.
func (d *Detector) updateHealthy(e *endpoint, llr float64) bool {
	e.statistic = max(e.statistic+llr, 0)
	if e.statistic < d.settings.Threshold {
		return false
	}
	e.statistic = d.settings.Threshold
	if e.target.suspects >= d.maxSuspects(e.target) {
		return false
	}
	e.suspect = true
	e.recovery = 0
	e.target.suspects++
	return true
}

// updateSuspect subtracts a log-likelihood ratio from the recovery statistic of a
// suspect, and reports whether the endpoint becomes healthy.
func (d *Detector) updateSuspect(e *endpoint, llr float64) bool {
	e.recovery = max(e.recovery-llr, 0)
	if e.recovery < d.settings.RecoveryThreshold {
		return false
	}
	d.markHealthy(e)
	return true
}

// markHealthy ends a suspicion, if there is one, and resets the statistic.
func (d *Detector) markHealthy(e *endpoint) {
	e.statistic = 0
	if e.suspect {
		e.suspect = false
		e.target.suspects--
	}
}

// enforceMaxSuspects marks suspects healthy until the target is within its bound,
// which shrinks as endpoints are removed. It takes those with the most evidence of
// recovery first.
func (d *Detector) enforceMaxSuspects(t *target) {
	for t.suspects > d.maxSuspects(t) {
		var healthiest *endpoint
		for _, e := range d.sorted {
			if e.suspect && e.target == t && (healthiest == nil || e.recovery > healthiest.recovery) {
				healthiest = e
			}
		}
		d.markHealthy(healthiest)
	}
}

// maxSuspects returns how many endpoints of a target may be suspect at once.
func (d *Detector) maxSuspects(t *target) int {
	return int(d.settings.MaxSuspectShare * float64(t.endpoints))
}

// Suspect reports whether the endpoint is suspect.
func (d *Detector) Suspect(name string) bool {
	e := d.endpoints[name]
	return e != nil && e.suspect
}

// Suspects returns the names of all suspect endpoints, sorted.
func (d *Detector) Suspects() []string {
	var names []string
	for _, e := range d.sorted {
		if e.suspect {
			names = append(names, e.name)
		}
	}
	return names
}
