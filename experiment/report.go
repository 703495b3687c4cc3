package experiment

import (
	"slices"
	"time"
)

// Report is the result of an experiment. It is written as JSON under the Go names of
// its fields. All durations but ZoneWork are in model time; in JSON they are
// nanoseconds.
type Report struct {
	Scenario   string
	Command    string
	Seeds      []uint64
	TimeScale  float64
	TokenScale float64
	// Partial is set when the experiment was interrupted.
	Partial bool
	// First is the time to first token by prompt length class.
	First []FirstTokenRow
	// Slowdown says by which factor long prompts slow short ones down.
	Slowdown []SlowdownRow
	// Service counts the outcomes of requests, in total and over time.
	Service []ServiceRow
	// Memory is the memory used with slow readers.
	Memory []MemoryRow
	// Runs are the runs that the rows summarize.
	Runs []*Run

	scenario *Scenario
}

// FirstTokenRow is the time to first token of one class of prompts. The row of class
// "calls" holds the time to the answer of calls to plain services.
type FirstTokenRow struct {
	Part    string
	Variant string
	Class   string
	Count   int64
	P50     time.Duration
	P90     time.Duration
	P99     time.Duration
	Max     time.Duration
	// P99Low and P99High are the smallest and the largest p99 of a single seed.
	P99Low  time.Duration
	P99High time.Duration
}

// SlowdownRow compares the p99 of short prompts in two parts.
type SlowdownRow struct {
	Part      string
	CompareTo string
	Variant   string
	// With and Without are the p99 of the time to first token of short prompts with
	// and without long prompts, and First is With divided by Without.
	With    time.Duration
	Without time.Duration
	First   float64
	// FirstLow and FirstHigh are the smallest and the largest First of a single seed.
	FirstLow  float64
	FirstHigh float64
	// Whole is the same ratio for the time to the complete answer.
	Whole float64
}

// ServiceRow counts the outcomes of the requests of a part and variant, summed over
// all seeds.
type ServiceRow struct {
	Part    string
	Variant string
	// Rate is the arrival rate in requests per second.
	Rate float64
	// Sent counts all requests; the next five fields count them by Outcome.
	Sent      int
	Completed int
	Refused   int
	Failed    int
	Wrong     int
	Late      int
	Checks    Checks
	// LastWork is the longest time for which a zone still got requests after the order
	// to take it out of service.
	LastWork time.Duration
	// Reasons counts why requests did not complete.
	Reasons map[string]int
	// Items counts outcomes by mix item and name of the outcome.
	Items    map[string]map[string]int
	Timeline []ServicePoint
}

// ServicePoint is one step of a timeline, in requests per second, as the mean over all
// seeds. Failed includes wrong and late requests.
type ServicePoint struct {
	At        time.Duration
	Completed float64
	Refused   float64
	Failed    float64
}

// MemoryRow is the memory use of a part with slow readers, of the seed with the
// largest growth. HeldPeak is the largest of all seeds.
type MemoryRow struct {
	Part    string
	Variant string
	MemoryUse
}

// group holds the runs of one part and variant, one for each seed.
type group struct {
	part    string
	variant string
	runs    []*Run
}

// summarize computes the rows from the runs.
func (r *Report) summarize() {
	groups := r.groups()
	for _, g := range groups {
		r.First = append(r.First, g.firstTokenRows()...)
		r.Service = append(r.Service, g.serviceRow())
		if row, ok := g.memoryRow(); ok {
			r.Memory = append(r.Memory, row)
		}
		p := r.scenario.part(g.part)
		if p == nil || p.CompareTo == "" {
			continue
		}
		if base := findGroup(groups, p.CompareTo, g.variant); base != nil {
			r.Slowdown = append(r.Slowdown, slowdownRow(g, base))
		}
	}
}

// groups groups the runs by part and variant, in the order of their first runs.
func (r *Report) groups() []*group {
	var list []*group
	for _, run := range r.Runs {
		g := findGroup(list, run.Part, run.Variant)
		if g == nil {
			g = &group{part: run.Part, variant: run.Variant}
			list = append(list, g)
		}
		g.runs = append(g.runs, run)
	}
	return list
}

// findGroup returns the group of a part and variant, or nil.
func findGroup(list []*group, part, variant string) *group {
	i := slices.IndexFunc(list, func(g *group) bool { return g.part == part && g.variant == variant })
	if i < 0 {
		return nil
	}
	return list[i]
}

// merged returns the sum of one histogram over all runs.
func (g *group) merged(histogram func(*recorder) latencies) latencies {
	sum := newLatencies()
	for _, run := range g.runs {
		sum.merge(histogram(run.record))
	}
	return sum
}

// firstTokenRows returns a row for each class and one for calls.
func (g *group) firstTokenRows() []FirstTokenRow {
	var rows []FirstTokenRow
	for i, c := range classes {
		rows = g.addFirstTokenRow(rows, c.Name, func(r *recorder) latencies { return r.ttft[i] })
	}
	return g.addFirstTokenRow(rows, "calls", func(r *recorder) latencies { return r.callLatency })
}

// addFirstTokenRow appends the row of a class, unless the class has no requests.
func (g *group) addFirstTokenRow(rows []FirstTokenRow, class string, histogram func(*recorder) latencies) []FirstTokenRow {
	all := g.merged(histogram)
	if all.count() == 0 {
		return rows
	}
	row := FirstTokenRow{
		Part: g.part, Variant: g.variant, Class: class, Count: all.count(),
		P50: all.valueAt(50), P90: all.valueAt(90), P99: all.valueAt(99), Max: all.valueAt(100),
	}
	for _, run := range g.runs {
		h := histogram(run.record)
		if h.count() == 0 {
			continue
		}
		p99 := h.valueAt(99)
		if row.P99Low == 0 || p99 < row.P99Low {
			row.P99Low = p99
		}
		row.P99High = max(row.P99High, p99)
	}
	return append(rows, row)
}

// slowdownRow compares the short prompts of a group with those of base.
func slowdownRow(g, base *group) SlowdownRow {
	shortTTFT := func(r *recorder) latencies { return r.shortTTFT }
	shortLatency := func(r *recorder) latencies { return r.shortLatency }
	row := SlowdownRow{Part: g.part, CompareTo: base.part, Variant: g.variant}
	row.With, row.Without = g.merged(shortTTFT).valueAt(99), base.merged(shortTTFT).valueAt(99)
	row.First = quotient(row.With, row.Without)
	row.Whole = quotient(g.merged(shortLatency).valueAt(99), base.merged(shortLatency).valueAt(99))
	for i := range min(len(g.runs), len(base.runs)) {
		q := quotient(g.runs[i].record.shortTTFT.valueAt(99), base.runs[i].record.shortTTFT.valueAt(99))
		if row.FirstLow == 0 || q < row.FirstLow {
			row.FirstLow = q
		}
		row.FirstHigh = max(row.FirstHigh, q)
	}
	return row
}

// quotient returns a divided by b, or 0 if b is 0.
func quotient(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (g *group) serviceRow() ServiceRow {
	row := ServiceRow{Part: g.part, Variant: g.variant, Reasons: map[string]int{}, Items: map[string]map[string]int{}}
	for _, run := range g.runs {
		row.Rate = run.Rate
		row.add(run)
	}
	row.Timeline = g.timeline()
	return row
}

// add adds the counts of a run.
func (row *ServiceRow) add(run *Run) {
	total := &run.record.total
	row.Sent += run.Sent
	row.Completed += total[Completed]
	row.Refused += total[Refused]
	row.Failed += total[Failed]
	row.Wrong += total[Wrong]
	row.Late += total[Late]
	row.Checks.add(&run.Checks)
	for _, z := range run.LastWork {
		row.LastWork = max(row.LastWork, z.After)
	}
	for reason, n := range run.record.reasons {
		row.Reasons[reason] += n
	}
	for item, counts := range run.record.byItem {
		if row.Items[item] == nil {
			row.Items[item] = map[string]int{}
		}
		for _, o := range outcomes {
			row.Items[item][o.String()] += counts[o]
		}
	}
}

// add adds the counts of one run. Checked is that of the last run.
func (c *Checks) add(from *Checks) {
	c.Checked = from.Checked
	c.Wrong += from.Wrong
	c.NoFinalAnswer += from.NoFinalAnswer
	c.DoubleRuns += from.DoubleRuns
	c.FalseNotRun += from.FalseNotRun
	c.FalseRan += from.FalseRan
	c.LostTokens += from.LostTokens
}

// timeline returns the mean of the timelines of all runs.
func (g *group) timeline() []ServicePoint {
	var points []ServicePoint
	for _, run := range g.runs {
		perStep := run.Step.Seconds() * float64(len(g.runs))
		for i, s := range run.record.timeline {
			if i == len(points) {
				points = append(points, ServicePoint{At: time.Duration(i) * run.Step})
			}
			points[i].Completed += float64(s[Completed]) / perStep
			points[i].Refused += float64(s[Refused]) / perStep
			points[i].Failed += float64(s[Failed]+s[Wrong]+s[Late]) / perStep
		}
	}
	return points
}

// memoryRow returns the row of a group, and false if it has no memory samples.
func (g *group) memoryRow() (MemoryRow, bool) {
	row := MemoryRow{Part: g.part, Variant: g.variant}
	found := false
	for _, run := range g.runs {
		if run.Use == nil {
			continue
		}
		if !found || run.Use.Peak-run.Use.Before > row.Peak-row.Before {
			row.Readers, row.Before, row.Peak = run.Use.Readers, run.Use.Before, run.Use.Peak
		}
		row.HeldPeak = max(row.HeldPeak, run.Use.HeldPeak)
		found = true
	}
	return row, found
}
