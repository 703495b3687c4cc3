package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// WriteJSON writes the complete report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write report")
}

// table writes aligned columns and keeps the first write error.
type table struct {
	w   *tabwriter.Writer
	err error
}

func (t *table) row(cells ...any) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		parts[i] = cell(c)
	}
	if _, err := fmt.Fprintln(t.w, strings.Join(parts, "\t")); t.err == nil {
		t.err = err
	}
}

// cell formats a value: durations in seconds with three decimals, and other fractions
// with two.
func cell(v any) string {
	switch x := v.(type) {
	case time.Duration:
		return fmt.Sprintf("%.3f", x.Seconds())
	case float64:
		return fmt.Sprintf("%.2f", x)
	}
	return fmt.Sprint(v)
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(fmt.Sprintf("scenario %s, seeds %v, time scale %g, token scale %g; seconds are model time", r.Scenario, r.Seeds, r.TimeScale, r.TokenScale))
	if r.Command != "" {
		t.row("command: " + r.Command)
	}
	if r.Partial {
		t.row("interrupted: only finished runs are here")
	}
	r.firstTokenTable(t)
	r.slowdownTable(t)
	r.serviceTable(t)
	r.checksTable(t)
	r.memoryTable(t)
	if t.err == nil {
		t.err = t.w.Flush()
	}
	return errors.Wrap(t.err, "write report")
}

func (r *Report) firstTokenTable(t *table) {
	t.row()
	t.row("Time to first token, by prompt length (calls: whole call), seconds")
	t.row("part", "variant", "tokens", "count", "p50", "p90", "p99", "max", "p99 of seeds")
	for _, f := range r.First {
		t.row(f.Part, f.Variant, f.Class, f.Count, f.P50, f.P90, f.P99, f.Max, cell(f.P99Low)+" to "+cell(f.P99High))
	}
}

func (r *Report) slowdownTable(t *table) {
	if len(r.Slowdown) == 0 {
		return
	}
	t.row()
	t.row("Slowdown of short prompts by long ones: p99 with long / p99 without")
	t.row("part", "against", "variant", "p99 with", "p99 without", "first token", "of seeds", "whole answer")
	for _, s := range r.Slowdown {
		t.row(s.Part, s.CompareTo, s.Variant, s.With, s.Without, s.First, cell(s.FirstLow)+" to "+cell(s.FirstHigh), s.Whole)
	}
}

func (r *Report) serviceTable(t *table) {
	t.row()
	t.row("Service: requests by outcome; worst is the least completed in a second of the timeline")
	t.row("part", "variant", "rate", "sent", "completed", "refused", "failed", "wrong", "late", "worst", "zone got work for")
	for i := range r.Service {
		s := &r.Service[i]
		t.row(s.Part, s.Variant, s.Rate, s.Sent, s.Completed, s.Refused, s.Failed, s.Wrong, s.Late, s.worst(r.scenario), s.LastWork)
	}
	for i := range r.Service {
		if s := &r.Service[i]; len(s.Reasons) > 0 {
			t.row(s.Part, s.Variant, "not completed: "+s.reasons())
		}
	}
}

// worst returns the lowest rate of completed requests in any step of the timeline,
// from the end of the warm-up until the last arrivals.
func (s *ServiceRow) worst(scenario *Scenario) float64 {
	p := scenario.part(s.Part)
	worst := -1.0
	for _, point := range s.Timeline {
		if point.At < scenario.WarmUp.Std() || p == nil || point.At >= scenario.duration(p) {
			continue
		}
		if worst < 0 || point.Completed < worst {
			worst = point.Completed
		}
	}
	return max(worst, 0)
}

// reasons formats the counts by reason.
func (s *ServiceRow) reasons() string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, s.Reasons[reason]))
	}
	return strings.Join(parts, ", ")
}

func (r *Report) checksTable(t *table) {
	t.row()
	t.row("Broken promises (each has to be 0)")
	t.row("part", "variant", "wrong answer", "no final answer", "double run", "false not_run", "false ran", "engine tokens lost", "stand-ins seen")
	for _, s := range r.Service {
		c := s.Checks
		t.row(s.Part, s.Variant, c.Wrong, c.NoFinalAnswer, c.DoubleRuns, c.FalseNotRun, c.FalseRan, c.LostTokens, c.Checked)
	}
}

// mebibyte is the unit of memory in tables, in bytes.
const mebibyte = 1 << 20

func (r *Report) memoryTable(t *table) {
	if len(r.Memory) == 0 {
		return
	}
	t.row()
	t.row("Memory with slow readers, MiB")
	t.row("part", "variant", "readers", "before", "peak", "growth", "held by its own account")
	for _, m := range r.Memory {
		t.row(m.Part, m.Variant, m.Readers, mib(m.Before), mib(m.Peak), mib(m.Peak-m.Before), mib(m.HeldPeak))
	}
}

// mib converts bytes to mebibytes.
func mib(bytes int64) float64 { return float64(bytes) / mebibyte }
