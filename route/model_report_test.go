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

// modelWorkers is the number of concurrent runs. Each run is deterministic.
const modelWorkers = 4

// runAll runs the scenarios, modelWorkers at a time, and returns the results in order.
func runAll(scenarios []scenario) []result {
	results := make([]result, len(scenarios))
	slots := make(chan struct{}, modelWorkers)
	var wg sync.WaitGroup
	for i, s := range scenarios {
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

// row holds the measurements of a policy, one element for each seed. Its counts are sums
// over the seeds. p50, p99, mediumP99 and longP99 are times to first token in seconds, p50
// and p99 those of short prompts. long is the goodput of long prompts.
type row struct {
	scenario                                      scenario
	p50, p99, slowdown, mediumP99                 []float64
	long, longP99, goodput                        []float64
	refusedShort                                  []float64
	deadlineMisses, crashes, backlogRefusals, all int
}

// add adds the result of a run and that of the same run without long prompts.
func (r *row) add(with, withoutLong result) {
	p99 := quantile(with.first[route.Short], 0.99)
	r.p50 = append(r.p50, quantile(with.first[route.Short], 0.5))
	r.p99 = append(r.p99, p99)
	r.slowdown = append(r.slowdown, p99/quantile(withoutLong.first[route.Short], 0.99))
	r.mediumP99 = append(r.mediumP99, quantile(with.first[route.Medium], 0.99))
	r.long = append(r.long, with.goodputByClass[route.Long])
	r.longP99 = append(r.longP99, quantile(with.first[route.Long], 0.99))
	r.goodput = append(r.goodput, with.goodput())
	r.refusedShort = append(r.refusedShort, 100*float64(with.refused[route.Short])/float64(with.arrived[route.Short]))
	r.deadlineMisses += with.deadlineMisses
	r.crashes += with.crashes
	r.backlogRefusals += with.backlogRefusals
	r.all += with.arrived[0] + with.arrived[1] + with.arrived[2]
}

// median returns the median, the upper one of an even number of values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// seedRatios returns the median and the minimum of the ratios a/b of the seeds.
func seedRatios(a, b []float64) (mid, least float64) {
	ratios := make([]float64, len(a))
	for i := range a {
		ratios[i] = a[i] / b[i]
	}
	return median(ratios), slices.Min(ratios)
}

// compare runs the base scenario with each policy, seed and kind of queue (true is drr)
// and returns a row for each policy and queue.
func compare(base scenario, policies []string, queues []bool, seeds int) []row {
	var scenarios []scenario
	for _, drr := range queues {
		for _, policy := range policies {
			for seed := range seeds {
				s := base
				s.policy, s.drr, s.seed = policy, drr, uint64(seed+1)
				withoutLong := s
				withoutLong.withoutLong = true
				scenarios = append(scenarios, s, withoutLong)
			}
		}
	}
	results := runAll(scenarios)
	var rows []row
	for i := 0; i < len(results); i += 2 * seeds {
		r := row{scenario: scenarios[i]}
		for j := i; j < i+2*seeds; j += 2 {
			r.add(results[j], results[j+1])
		}
		rows = append(rows, r)
	}
	return rows
}

// baselineRow returns the row of least_requests with drr, or else the first row.
func baselineRow(rows []row) row {
	for _, r := range rows {
		if r.scenario.policy == "least_requests" && r.scenario.drr {
			return r
		}
	}
	return rows[0]
}

// formatRows returns the rows as a table of medians over the seeds. Figures that have a
// target also show the worst seed.
func formatRows(rows []row) string {
	base := baselineRow(rows)
	var b strings.Builder
	fmt.Fprintf(&b, "\n%d endpoints, %d entries, load %.1f, %d seeds, engine priorities %v; ratios to least_requests with drr\n",
		base.scenario.endpoints, base.scenario.entries, base.scenario.load, len(base.p99), base.scenario.priorities)
	fmt.Fprintf(&b, "| policy | queue | short p50 s | short p99 s | p99 ratio (worst) | slowdown (worst) | medium p99 s | long p99 s | long tokens/s | long ratio (worst) | goodput ratio | short refused %% | late | crashes | backlog refusals/request |\n")
	fmt.Fprintf(&b, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		queue := "fifo"
		if r.scenario.drr {
			queue = "drr"
		}
		better, worst := seedRatios(base.p99, r.p99)
		long, longWorst := seedRatios(r.long, base.long)
		goodputRatio, _ := seedRatios(r.goodput, base.goodput)
		fmt.Fprintf(&b, "| %s | %s | %.3f | %.3f | %.1fx (%.1fx) | %.2f (%.2f) | %.2f | %.0f | %.0f | %.2f (%.2f) | %.2f | %.1f | %d | %d | %.2f |\n",
			r.scenario.policy, queue, median(r.p50), median(r.p99), better, worst,
			median(r.slowdown), slices.Max(r.slowdown), median(r.mediumP99), median(r.longP99), median(r.long),
			long, longWorst, goodputRatio, median(r.refusedShort), r.deadlineMisses, r.crashes, float64(r.backlogRefusals)/float64(r.all))
	}
	return b.String()
}

// TestModelReport prints a comparison of all policies, with -model.report.
func TestModelReport(t *testing.T) {
	if !*modelReport {
		return
	}
	for _, load := range []float64{0.7, 0.9} {
		s := scenario{endpoints: 20, entries: 3, load: load, seconds: 600}
		t.Log(formatRows(compare(s, policies, []bool{false, true}, *modelSeeds)))
		s.priorities = true
		t.Log(formatRows(compare(s, policies, []bool{true}, *modelSeeds)))
	}
}

// TestModelOverloadReport prints the goodput under overload, with -model.report.
func TestModelOverloadReport(t *testing.T) {
	if !*modelReport {
		return
	}
	t.Log(overloadReport([]string{"least_requests", "predicted"}, *modelSeeds))
}

// TestModelLargeReport prints a comparison at 600 endpoints, with -model.report.
func TestModelLargeReport(t *testing.T) {
	if !*modelReport {
		return
	}
	for _, load := range []float64{0.7, 0.9} {
		s := scenario{endpoints: 600, entries: 340, load: load, seconds: 120}
		t.Log(formatRows(compare(s, []string{"least_requests", "two_choices", "predicted"}, []bool{true}, min(*modelSeeds, 2))))
	}
}

// overload holds the measurements of a scenario: goodput by seed, and counts summed over
// the seeds.
type overload struct {
	scenario                  scenario
	goodputBySeed, secondHalf []float64
	late, crashes             int
}

// runOverload runs a scenario with each seed.
func runOverload(s scenario, seeds int) overload {
	o := overload{scenario: s}
	var scenarios []scenario
	for seed := range seeds {
		s.seed = uint64(seed + 1)
		scenarios = append(scenarios, s)
	}
	for _, r := range runAll(scenarios) {
		o.goodputBySeed = append(o.goodputBySeed, r.goodput())
		o.secondHalf = append(o.secondHalf, r.secondHalf)
		o.late += r.deadlineMisses
		o.crashes += r.crashes
	}
	return o
}

// overloadReport returns a table of the goodput from light load to 1.5 times the
// capacity with warm endpoints, and at 1.5 times the capacity with all endpoints cold at
// the start, with and without the sidecars' limits ("gate").
func overloadReport(policies []string, seeds int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n20 endpoints, 3 entries, drr, %d seeds, 300 s; goodput in prompt tokens/s, ratios to the policy's own warm peak\n", seeds)
	fmt.Fprintf(&b, "| policy | fleet | gate | load | goodput | ratio (worst) | second half | ratio (worst) | late | crashes |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, policy := range policies {
		base := scenario{endpoints: 20, entries: 3, policy: policy, drr: true, seconds: 300}
		var runs []overload
		peak, secondHalfPeak := make([]float64, seeds), make([]float64, seeds)
		for _, load := range []float64{0.7, 0.9, 1.0, 1.1, 1.25, 1.5} {
			s := base
			s.load = load
			o := runOverload(s, seeds)
			runs = append(runs, o)
			for i := range o.goodputBySeed {
				peak[i] = max(peak[i], o.goodputBySeed[i])
				secondHalfPeak[i] = max(secondHalfPeak[i], o.secondHalf[i])
			}
		}
		for _, unlimited := range []bool{true, false} {
			s := base
			s.load, s.cold, s.unlimited = 1.5, true, unlimited
			runs = append(runs, runOverload(s, seeds))
		}
		for _, o := range runs {
			writeOverload(&b, o, peak, secondHalfPeak)
		}
	}
	return b.String()
}

// writeOverload writes one line of the table.
func writeOverload(b *strings.Builder, o overload, peak, secondHalfPeak []float64) {
	fleet, limited := "warm", "on"
	if o.scenario.cold {
		fleet = "cold"
	}
	if o.scenario.unlimited {
		limited = "off"
	}
	mid, worst := seedRatios(o.goodputBySeed, peak)
	secondHalf, secondHalfWorst := seedRatios(o.secondHalf, secondHalfPeak)
	fmt.Fprintf(b, "| %s | %s | %s | %.2f | %.0f | %.2f (%.2f) | %.0f | %.2f (%.2f) | %d | %d |\n",
		o.scenario.policy, fleet, limited, o.scenario.load, median(o.goodputBySeed), mid, worst,
		median(o.secondHalf), secondHalf, secondHalfWorst, o.late, o.crashes)
}
