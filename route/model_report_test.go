package route_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

var policies = []string{"random", "round_robin", "least_requests", "two_choices", "predicted"}

// modelWorkers is the number of runs at once. Each run is deterministic by itself.
const modelWorkers = 4

// runAll plays the setups, a few at once, and returns the results in their order.
func runAll(setups []setup) []result {
	results := make([]result, len(setups))
	slots := make(chan struct{}, modelWorkers)
	var wg sync.WaitGroup
	for i, s := range setups {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			results[i] = run(s)
			<-slots
		}()
	}
	wg.Wait()
	return results
}

// row is a policy's figures, one of each for a seed.
type row struct {
	setup                        setup
	p50, p99, slowdown, medium   []float64
	long, longP99, goodput       []float64
	refusedShort                 []float64
	missed, crashes, misses, all int
}

// add takes in a run and the same run without long prompts.
func (r *row) add(with, without result) {
	p99 := quantile(with.first[route.Short], 0.99)
	r.p50 = append(r.p50, quantile(with.first[route.Short], 0.5))
	r.p99 = append(r.p99, p99)
	r.slowdown = append(r.slowdown, p99/quantile(without.first[route.Short], 0.99))
	r.medium = append(r.medium, quantile(with.first[route.Medium], 0.99))
	r.long = append(r.long, with.good[route.Long])
	r.longP99 = append(r.longP99, quantile(with.first[route.Long], 0.99))
	r.goodput = append(r.goodput, with.goodput())
	r.refusedShort = append(r.refusedShort, 100*float64(with.refused[route.Short])/float64(with.arrived[route.Short]))
	r.missed += with.missed
	r.crashes += with.crashes
	r.misses += with.misses
	r.all += with.arrived[0] + with.arrived[1] + with.arrived[2]
}

func middle(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// over returns the middle and the least of the ratios a/b, seed by seed.
func over(a, b []float64) (mid, least float64) {
	ratios := make([]float64, len(a))
	for i := range a {
		ratios[i] = a[i] / b[i]
	}
	return middle(ratios), slices.Min(ratios)
}

// compare runs the policies with the queues, drr or not, at a load and returns the rows.
func compare(base setup, policies []string, queues []bool, seeds int) []row {
	var setups []setup
	for _, drr := range queues {
		for _, policy := range policies {
			for seed := range seeds {
				s := base
				s.policy, s.drr, s.seed = policy, drr, uint64(seed+1)
				without := s
				without.without = true
				setups = append(setups, s, without)
			}
		}
	}
	results := runAll(setups)
	var rows []row
	for i := 0; i < len(results); i += 2 * seeds {
		r := row{setup: setups[i]}
		for j := i; j < i+2*seeds; j += 2 {
			r.add(results[j], results[j+1])
		}
		rows = append(rows, r)
	}
	return rows
}

func least(rows []row) row {
	for _, r := range rows {
		if r.setup.policy == "least_requests" && r.setup.drr {
			return r
		}
	}
	return rows[0]
}

// print returns the rows as a table: the middle over the seeds, with the worst seed
// where a target stands.
func print(rows []row) string {
	base := least(rows)
	var b strings.Builder
	fmt.Fprintf(&b, "\n%d endpoints, %d entries, load %.1f, %d seeds, engine priorities %v; ratios to least_requests with drr\n",
		base.setup.endpoints, base.setup.entries, base.setup.load, len(base.p99), base.setup.priorities)
	fmt.Fprintf(&b, "| policy | queue | short p50 s | short p99 s | p99 ratio (worst) | slowdown (worst) | medium p99 s | long p99 s | long tokens/s | long ratio (worst) | goodput ratio | short refused %% | late | crashes | misses/request |\n")
	fmt.Fprintf(&b, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		queue := "fifo"
		if r.setup.drr {
			queue = "drr"
		}
		better, worst := over(base.p99, r.p99)
		long, longWorst := over(r.long, base.long)
		good, _ := over(r.goodput, base.goodput)
		fmt.Fprintf(&b, "| %s | %s | %.3f | %.3f | %.1fx (%.1fx) | %.2f (%.2f) | %.2f | %.0f | %.0f | %.2f (%.2f) | %.2f | %.1f | %d | %d | %.2f |\n",
			r.setup.policy, queue, middle(r.p50), middle(r.p99), better, worst,
			middle(r.slowdown), slices.Max(r.slowdown), middle(r.medium), middle(r.longP99), middle(r.long),
			long, longWorst, good, middle(r.refusedShort), r.missed, r.crashes, float64(r.misses)/float64(r.all))
	}
	return b.String()
}

// TestModelReport prints the comparison of all policies, when asked to.
func TestModelReport(t *testing.T) {
	if !*modelReport {
		return
	}
	for _, load := range []float64{0.7, 0.9} {
		s := setup{endpoints: 20, entries: 3, load: load, seconds: 600}
		t.Log(print(compare(s, policies, []bool{false, true}, *modelSeeds)))
		s.priorities = true
		t.Log(print(compare(s, policies, []bool{true}, *modelSeeds)))
	}
}

// TestModelOverloadReport prints the goodput under overload, when asked to.
func TestModelOverloadReport(t *testing.T) {
	if !*modelReport {
		return
	}
	t.Log(overloadReport([]string{"least_requests", "predicted"}, *modelSeeds))
}

// TestModelLargeReport prints the comparison at 600 endpoints, when asked to.
func TestModelLargeReport(t *testing.T) {
	if !*modelReport {
		return
	}
	for _, load := range []float64{0.7, 0.9} {
		s := setup{endpoints: 600, entries: 340, load: load, seconds: 120}
		t.Log(print(compare(s, []string{"least_requests", "two_choices", "predicted"}, []bool{true}, min(*modelSeeds, 2))))
	}
}

// overload is the figures of one load over the seeds.
type overload struct {
	setup         setup
	good, recent  []float64
	late, crashes int
}

func runOverload(s setup, seeds int) overload {
	o := overload{setup: s}
	var setups []setup
	for seed := range seeds {
		s.seed = uint64(seed + 1)
		setups = append(setups, s)
	}
	for _, r := range runAll(setups) {
		o.good = append(o.good, r.goodput())
		o.recent = append(o.recent, r.recent)
		o.late += r.missed
		o.crashes += r.crashes
	}
	return o
}

// overloadReport prints the goodput from light load to 1.5 times the capacity, warm
// and with the whole fleet cold at the start, with and without the sidecar's gate.
func overloadReport(policies []string, seeds int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n20 endpoints, 3 entries, drr, %d seeds, 300 s; goodput in prompt tokens/s, ratios to the policy's own warm peak\n", seeds)
	fmt.Fprintf(&b, "| policy | fleet | gate | load | goodput | ratio (worst) | second half | ratio (worst) | late | crashes |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, policy := range policies {
		base := setup{endpoints: 20, entries: 3, policy: policy, drr: true, seconds: 300}
		var runs []overload
		peak, recentPeak := make([]float64, seeds), make([]float64, seeds)
		for _, load := range []float64{0.7, 0.9, 1.0, 1.1, 1.25, 1.5} {
			s := base
			s.load = load
			o := runOverload(s, seeds)
			runs = append(runs, o)
			for i := range o.good {
				peak[i] = max(peak[i], o.good[i])
				recentPeak[i] = max(recentPeak[i], o.recent[i])
			}
		}
		for _, ungated := range []bool{true, false} {
			s := base
			s.load, s.cold, s.ungated = 1.5, true, ungated
			runs = append(runs, runOverload(s, seeds))
		}
		for _, o := range runs {
			writeOverload(&b, o, peak, recentPeak)
		}
	}
	return b.String()
}

func writeOverload(b *strings.Builder, o overload, peak, recentPeak []float64) {
	fleet, gate := "warm", "on"
	if o.setup.cold {
		fleet = "cold"
	}
	if o.setup.ungated {
		gate = "off"
	}
	mid, worst := over(o.good, peak)
	recent, recentWorst := over(o.recent, recentPeak)
	fmt.Fprintf(b, "| %s | %s | %s | %.2f | %.0f | %.2f (%.2f) | %.0f | %.2f (%.2f) | %d | %d |\n",
		o.setup.policy, fleet, gate, o.setup.load, middle(o.good), mid, worst,
		middle(o.recent), recent, recentWorst, o.late, o.crashes)
}
