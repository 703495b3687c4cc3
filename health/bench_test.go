package health

import (
	"fmt"
	"testing"
	"time"
)

const (
	daySeconds = 24 * 3600
	// warmSeconds is how long a watch learns before anything is counted.
	warmSeconds = 4 * 3600
	benchSeeds  = 8
)

// loads are the requests a second at an entry, at night and at the peak, and the
// probes a second.
var loads = []struct {
	name     string
	requests float64
	budget   float64
}{
	{"probes-only", 0, 1},
	{"night", 1.4, 0.5},
	{"peak", 14, 0.5},
}

// falseAlarms returns the false alarms of an entry a day.
func falseAlarms(p policy, requests, budget, threshold float64) float64 {
	alarms := 0
	for seed := range uint64(benchSeeds) {
		w := newWatch(seed, p, requests, budget, threshold)
		for range warmSeconds {
			w.second()
		}
		w.alarms = 0
		for range daySeconds {
			w.second()
		}
		alarms += w.alarms
	}
	return float64(alarms) / benchSeeds
}

// thresholdFor returns the lowest threshold with at most the false alarms a day.
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

// delay returns the mean seconds until a slow endpoint is suspect, over endpoints of
// the entry's zone and others.
func delay(p policy, requests, budget, threshold, factor float64) float64 {
	const most = 4 * 3600
	sum, count := 0.0, 0
	for seed := range uint64(benchSeeds) {
		w := newWatch(100+seed, p, requests, budget, threshold)
		for range warmSeconds {
			w.second()
		}
		for range 10 {
			w.tr.slow = w.tr.rng.IntN(traceUnits)
			w.tr.since = w.now + 1
			w.tr.factor = factor
			w.found = false
			began := w.now
			for !w.found && w.now-began < most {
				w.second()
			}
			sum += w.now - began
			count++
			w.d.Add(w.tr.names[w.tr.slow], fmt.Sprint("model-", w.tr.slow%27))
			w.tr.slow = -1
		}
	}
	return sum / float64(count)
}

// BenchmarkPolicies compares policies of probing at about equal false alarms. It
// reports simulated seconds until a slow endpoint is suspect.
func BenchmarkPolicies(b *testing.B) {
	const perDay = 2
	for _, load := range loads {
		for _, p := range []policy{passiveOnly, roundRobin, atOnce, followed} {
			if load.requests == 0 && p.name == passiveOnly.name {
				continue
			}
			threshold := thresholdFor(p, load.requests, load.budget, perDay)
			for _, factor := range []float64{1.5, 2, 4} {
				b.Run(fmt.Sprintf("%s/%s/x%g", load.name, p.name, factor), func(b *testing.B) {
					seconds := delay(p, load.requests, load.budget, threshold, factor)
					b.ReportMetric(seconds, "delay-s")
					b.ReportMetric(threshold, "nats")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// BenchmarkFalseAlarms reports the false alarms a day of one entry with the default
// settings.
func BenchmarkFalseAlarms(b *testing.B) {
	for _, load := range loads {
		b.Run(load.name, func(b *testing.B) {
			perDay := falseAlarms(followed, load.requests, load.budget, DefaultSettings().Threshold)
			b.ReportMetric(perDay, "alarms/day")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkObserve takes in samples of 600 endpoints.
func BenchmarkObserve(b *testing.B) {
	w := newWatch(1, followed, 0, 0, DefaultSettings().Threshold)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.d.Observe(time.Unix(int64(i), 0), w.tr.names[i%traceUnits], Sample{Ratio: 1})
	}
}

// BenchmarkProbe chooses the endpoint to probe among 600.
func BenchmarkProbe(b *testing.B) {
	w := newWatch(1, followed, 0, 0, DefaultSettings().Threshold)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w.names = w.d.SelectProbes(time.Unix(int64(i), 0), 1, w.names[:0])
	}
}
