package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// trace is a stand-in fleet whose endpoints answer samples. Log ratios have a mean
// of each endpoint's own, a wave of load that all share, a part that lasts some
// seconds, and noise with a heavy tail.
type trace struct {
	rng   *rand.Rand
	names []string
	index map[string]int
	mean  []float64
	// lasting is the part that lasts, as it was at the time in seconds.
	lasting   []float64
	lastingAt []float64
	// weights is the cumulative share of the traffic.
	weights []float64
	// slow is the endpoint that fails from since on, by the factor.
	slow   int
	since  float64
	factor float64
}

const (
	traceUnits = 600
	// waveSeconds and waveHeight describe the load that all endpoints share.
	waveSeconds = 3600.0
	waveHeight  = 0.15
	// lastSeconds and lastSpread describe the part that lasts.
	lastSeconds = 10.0
	lastSpread  = 0.15
)

func newTrace(seed uint64) *trace {
	tr := &trace{rng: rand.New(rand.NewPCG(seed, 1)), index: map[string]int{}, slow: -1}
	sum := 0.0
	for i := range traceUnits {
		tr.names = append(tr.names, fmt.Sprintf("e%03d", i))
		tr.index[tr.names[i]] = i
		tr.mean = append(tr.mean, 0.1*tr.rng.NormFloat64())
		// A fifth of the endpoints, those of the entry's zone, get most traffic.
		if i%5 == 0 {
			sum += 16
		} else {
			sum++
		}
		tr.weights = append(tr.weights, sum)
	}
	tr.lasting = make([]float64, traceUnits)
	tr.lastingAt = make([]float64, traceUnits)
	return tr
}

// sample returns the ratio of a request to endpoint i at some second.
func (tr *trace) sample(now float64, i int) Sample {
	keep := math.Exp(-(now - tr.lastingAt[i]) / lastSeconds)
	tr.lasting[i] = keep*tr.lasting[i] + math.Sqrt(1-keep*keep)*lastSpread*tr.rng.NormFloat64()
	tr.lastingAt[i] = now
	x := tr.mean[i] + waveHeight*math.Sin(2*math.Pi*now/waveSeconds) + tr.lasting[i]
	if tr.rng.Float64() < 0.03 {
		x += 0.8 + 0.5*tr.rng.NormFloat64()
	} else {
		x += 0.2 * tr.rng.NormFloat64()
	}
	if i == tr.slow && now >= tr.since {
		x += math.Log(tr.factor)
	}
	return Sample{Ratio: math.Exp(x), Failed: tr.rng.Float64() < 0.005}
}

// served draws the endpoint of a request.
func (tr *trace) served() int {
	x := tr.rng.Float64() * tr.weights[traceUnits-1]
	low, high := 0, traceUnits-1
	for low < high {
		mid := (low + high) / 2
		if tr.weights[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// policy spends the probes of one second.
type policy struct {
	name  string
	gap   time.Duration
	probe func(d *Detector, now time.Time, budget int, names []string) []string
}

// The policies that are measured against each other.
var (
	passiveOnly = policy{"passive", DefaultSettings().MinInterval, func(_ *Detector, _ time.Time, _ int, names []string) []string { return names }}
	roundRobin  = policy{"round-robin", DefaultSettings().MinInterval, probeRoundRobin}
	followed    = policy{"rr-cusum", DefaultSettings().MinInterval, (*Detector).SelectProbes}
	// atOnce is the rule of the paper to the letter: the next sample is of the same
	// endpoint.
	atOnce = policy{"rr-cusum-at-once", time.Second, (*Detector).SelectProbes}
)

func probeRoundRobin(d *Detector, now time.Time, budget int, names []string) []string {
	d.followed = d.followed[:0]
	for range budget {
		if u := d.another(now); u != nil {
			u.probed = now
			names = append(names, u.name)
		}
	}
	return names
}

// watch is a detector of one entry on a trace. Each alarm starts the endpoint's
// statistic anew.
type watch struct {
	tr       *trace
	d        *Detector
	policy   policy
	requests float64 // a second
	budget   float64 // probes a second
	now      float64 // seconds
	owed     float64
	due      float64
	names    []string
	alarms   int
	found    bool
}

func newWatch(seed uint64, p policy, requests, budget, threshold float64) *watch {
	set := DefaultSettings()
	set.Threshold = threshold
	set.MinInterval = p.gap
	w := &watch{tr: newTrace(seed), d: NewDetector(set), policy: p, requests: requests, budget: budget}
	for i, name := range w.tr.names {
		w.d.Add(name, fmt.Sprint("model-", i%27))
	}
	return w
}

// second lets one second pass.
func (w *watch) second() {
	w.now++
	for w.owed += w.requests; w.owed >= 1; w.owed-- {
		w.observe(w.tr.names[w.tr.served()])
	}
	w.due += w.budget
	whole := int(w.due)
	w.due -= float64(whole)
	w.names = w.policy.probe(w.d, time.Unix(int64(w.now), 0), whole, w.names[:0])
	for _, name := range w.names {
		w.observe(name)
	}
}

func (w *watch) observe(name string) {
	i := w.tr.index[name]
	if !w.d.Observe(time.Unix(int64(w.now), 0), name, w.tr.sample(w.now, i)) || !w.d.Suspect(name) {
		return
	}
	w.d.release(w.d.units[name])
	if i == w.tr.slow && w.now >= w.tr.since {
		w.found = true
		return
	}
	w.alarms++
}
