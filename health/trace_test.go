package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// trace simulates the samples of a set of endpoints. Each log ratio is the sum of the
// endpoint's own mean, a sine wave of load shared by all endpoints, noise that is
// correlated over some seconds, and independent noise with a heavy tail.
type trace struct {
	rng   *rand.Rand
	names []string
	index map[string]int
	mean  []float64
	// correlated is each endpoint's correlated noise as of the time correlatedAt, in
	// seconds.
	correlated   []float64
	correlatedAt []float64
	// cumulativeWeights holds the cumulative weights of the endpoints in the traffic.
	cumulativeWeights []float64
	// slow is the index of the endpoint that is slower by slowFactor from slowSince on,
	// in seconds; -1 is none.
	slow       int
	slowSince  float64
	slowFactor float64
}

const (
	traceEndpoints = 600
	// waveSeconds is the period of the shared wave of load, and waveHeight its
	// amplitude in nats.
	waveSeconds = 3600.0
	waveHeight  = 0.15
	// correlationSeconds is the time constant of the correlated noise, and
	// correlatedStddev its standard deviation in nats.
	correlationSeconds = 10.0
	correlatedStddev   = 0.15
)

func newTrace(seed uint64) *trace {
	tr := &trace{rng: rand.New(rand.NewPCG(seed, 1)), index: map[string]int{}, slow: -1}
	sum := 0.0
	for i := range traceEndpoints {
		tr.names = append(tr.names, fmt.Sprintf("e%03d", i))
		tr.index[tr.names[i]] = i
		tr.mean = append(tr.mean, 0.1*tr.rng.NormFloat64())
		// The fifth of the endpoints in the entry's availability zone gets most of the traffic.
		if i%5 == 0 {
			sum += 16
		} else {
			sum++
		}
		tr.cumulativeWeights = append(tr.cumulativeWeights, sum)
	}
	tr.correlated = make([]float64, traceEndpoints)
	tr.correlatedAt = make([]float64, traceEndpoints)
	return tr
}

// sample draws the sample of a request to endpoint i at the time now, in seconds.
func (tr *trace) sample(now float64, i int) Sample {
	decay := math.Exp(-(now - tr.correlatedAt[i]) / correlationSeconds)
	tr.correlated[i] = decay*tr.correlated[i] + math.Sqrt(1-decay*decay)*correlatedStddev*tr.rng.NormFloat64()
	tr.correlatedAt[i] = now
	x := tr.mean[i] + waveHeight*math.Sin(2*math.Pi*now/waveSeconds) + tr.correlated[i]
	if tr.rng.Float64() < 0.03 {
		x += 0.8 + 0.5*tr.rng.NormFloat64()
	} else {
		x += 0.2 * tr.rng.NormFloat64()
	}
	if i == tr.slow && now >= tr.slowSince {
		x += math.Log(tr.slowFactor)
	}
	return Sample{Ratio: math.Exp(x), Failed: tr.rng.Float64() < 0.005}
}

// drawEndpoint draws the endpoint that serves a request, by traffic weight.
func (tr *trace) drawEndpoint() int {
	x := tr.rng.Float64() * tr.cumulativeWeights[traceEndpoints-1]
	low, high := 0, traceEndpoints-1
	for low < high {
		mid := (low + high) / 2
		if tr.cumulativeWeights[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// policy selects the endpoints to probe in each second, with the minimum interval
// between samples of one endpoint.
type policy struct {
	name     string
	interval time.Duration
	probe    func(d *Detector, now time.Time, budget int, names []string) []string
}

// The policies that the benchmarks compare.
var (
	passiveOnly     = policy{"passive", DefaultSettings().MinInterval, func(_ *Detector, _ time.Time, _ int, names []string) []string { return names }}
	roundRobin      = policy{"round-robin", DefaultSettings().MinInterval, probeRoundRobin}
	roundRobinCUSUM = policy{"rr-cusum", DefaultSettings().MinInterval, (*Detector).SelectProbes}
	// immediateCUSUM follows the paper literally: the next probe goes to the same
	// endpoint, without a longer interval between probes.
	immediateCUSUM = policy{"rr-cusum-at-once", time.Second, (*Detector).SelectProbes}
)

func probeRoundRobin(d *Detector, now time.Time, budget int, names []string) []string {
	d.reprobe = d.reprobe[:0]
	for range budget {
		if e := d.nextInTurn(now); e != nil {
			e.lastProbe = now
			names = append(names, e.name)
		}
	}
	return names
}

// simulation runs the detector of one entry on a trace. After each alarm it marks the
// endpoint healthy and counts either a detection or a false alarm.
type simulation struct {
	tr            *trace
	d             *Detector
	policy        policy
	requests      float64 // per second
	budget        float64 // probes per second
	now           float64 // seconds
	requestCredit float64 // fractions of a request carried over between seconds
	probeCredit   float64 // fractions of a probe carried over between seconds
	names         []string
	alarms        int  // false alarms
	detected      bool // whether the slow endpoint was suspect
}

func newSimulation(seed uint64, p policy, requests, budget, threshold float64) *simulation {
	settings := DefaultSettings()
	settings.Threshold = threshold
	settings.MinInterval = p.interval
	sim := &simulation{tr: newTrace(seed), d: NewDetector(settings), policy: p, requests: requests, budget: budget}
	for i, name := range sim.tr.names {
		sim.d.Add(name, fmt.Sprint("model-", i%27))
	}
	return sim
}

// advanceSecond simulates one second.
func (sim *simulation) advanceSecond() {
	sim.now++
	for sim.requestCredit += sim.requests; sim.requestCredit >= 1; sim.requestCredit-- {
		sim.observe(sim.tr.names[sim.tr.drawEndpoint()])
	}
	sim.probeCredit += sim.budget
	probes := int(sim.probeCredit)
	sim.probeCredit -= float64(probes)
	sim.names = sim.policy.probe(sim.d, time.Unix(int64(sim.now), 0), probes, sim.names[:0])
	for _, name := range sim.names {
		sim.observe(name)
	}
}

func (sim *simulation) observe(name string) {
	i := sim.tr.index[name]
	if !sim.d.Observe(time.Unix(int64(sim.now), 0), name, sim.tr.sample(sim.now, i)) || !sim.d.Suspect(name) {
		return
	}
	sim.d.markHealthy(sim.d.endpoints[name])
	if i == sim.tr.slow && sim.now >= sim.tr.slowSince {
		sim.detected = true
		return
	}
	sim.alarms++
}
