package health

import (
	"fmt"
	"testing"
	"time"
)

const (
	daySeconds = 24 * 3600
	// learnSeconds is how long a detector learns before anything is measured.
	learnSeconds = 4 * 3600
	benchSeeds   = 8
)

// loads are the request rates of an entry, at night and at the peak, and its rates of
// probes.
var loads = []struct {
	name     string
	requests float64 // per second
	budget   float64 // probes per second
}{
	{"probes-only", 0, 1},
	{"night", 1.4, 0.5},
	{"peak", 14, 0.5},
}

// falseAlarms returns the mean number of false alarms of one entry per day.
func falseAlarms(p policy, requests, budget, threshold float64) float64 {
	alarms := 0
	for seed := range uint64(benchSeeds) {
		sim := newSimulation(seed, p, requests, budget, threshold)
		for range learnSeconds {
			sim.advanceSecond()
		}
		sim.alarms = 0
		for range daySeconds {
			sim.advanceSecond()
		}
		alarms += sim.alarms
	}
	return float64(alarms) / benchSeeds
}

// thresholdFor returns the lowest threshold, to within 0.5 nats, that raises at maxSeconds
// perDay false alarms per day.
func thresholdFor(p policy, requests, budget, perDay float64) float64 {
	low, high := 2.0, 40.0
	for high-low > 0.5 {
		mid := (low + high) / 2
		if falseAlarms(p, requests, budget, mid) > perDay {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// detectionDelay returns the mean time in simulated seconds until a slow endpoint is
// suspect, over random endpoints in and outside the entry's availability zone.
func detectionDelay(p policy, requests, budget, threshold, slowFactor float64) float64 {
	const maxSeconds = 4 * 3600
	sum, count := 0.0, 0
	for seed := range uint64(benchSeeds) {
		sim := newSimulation(100+seed, p, requests, budget, threshold)
		for range learnSeconds {
			sim.advanceSecond()
		}
		for range 10 {
			sim.tr.slow = sim.tr.rng.IntN(traceEndpoints)
			sim.tr.slowSince = sim.now + 1
			sim.tr.slowFactor = slowFactor
			sim.detected = false
			began := sim.now
			for !sim.detected && sim.now-began < maxSeconds {
				sim.advanceSecond()
			}
			sum += sim.now - began
			count++
			sim.d.Add(sim.tr.names[sim.tr.slow], fmt.Sprint("model-", sim.tr.slow%27))
			sim.tr.slow = -1
		}
	}
	return sum / float64(count)
}

// BenchmarkPolicies compares probe policies at about the same rate of false alarms. It
// reports the simulated seconds until a slow endpoint is suspect.
func BenchmarkPolicies(b *testing.B) {
	const perDay = 2
	for _, load := range loads {
		for _, p := range []policy{passiveOnly, roundRobin, immediateCUSUM, roundRobinCUSUM} {
			if load.requests == 0 && p.name == passiveOnly.name {
				continue
			}
			threshold := thresholdFor(p, load.requests, load.budget, perDay)
			for _, slowFactor := range []float64{1.5, 2, 4} {
				b.Run(fmt.Sprintf("%s/%s/x%g", load.name, p.name, slowFactor), func(b *testing.B) {
					seconds := detectionDelay(p, load.requests, load.budget, threshold, slowFactor)
					b.ReportMetric(seconds, "delay-s")
					b.ReportMetric(threshold, "nats")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// BenchmarkFalseAlarms reports the false alarms per day of one entry with the default
// settings.
func BenchmarkFalseAlarms(b *testing.B) {
	for _, load := range loads {
		b.Run(load.name, func(b *testing.B) {
			perDay := falseAlarms(roundRobinCUSUM, load.requests, load.budget, DefaultSettings().Threshold)
			b.ReportMetric(perDay, "alarms/day")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkObserve measures Detector.Observe with 600 endpoints.
func BenchmarkObserve(b *testing.B) {
	sim := newSimulation(1, roundRobinCUSUM, 0, 0, DefaultSettings().Threshold)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sim.d.Observe(time.Unix(int64(i), 0), sim.tr.names[i%traceEndpoints], Sample{Ratio: 1})
	}
}

// BenchmarkSelectProbes measures the selection of one endpoint to probe among 600.
func BenchmarkSelectProbes(b *testing.B) {
	sim := newSimulation(1, roundRobinCUSUM, 0, 0, DefaultSettings().Threshold)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sim.names = sim.d.SelectProbes(time.Unix(int64(i), 0), 1, sim.names[:0])
	}
}
