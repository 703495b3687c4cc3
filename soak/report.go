package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report is what one seed showed.
type Report struct {
	Seed     uint64         `json:"seed"`
	FaultPeriod     time.Duration  `json:"span_ns"`
	Faults   map[string]int `json:"faults"`
	Sent     int            `json:"sent"`
	Served   int            `json:"served"`
	Refused  int            `json:"refused"`
	BrokenOff   int            `json:"broken_off"`
	Runs     int            `json:"runs"`
	Findings []Finding      `json:"findings"`
}

// Report sums the ledger up.
func (l *Checker) Report(seed uint64, span time.Duration, faults map[string]int) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		Seed: seed, FaultPeriod: span, Faults: faults, Sent: l.sent, Served: l.served, Refused: l.refusals, BrokenOff: l.broken, Runs: l.runs,
		Findings: slices.Clone(l.findings),
	}
}

// Table shows reports as a table, with a line for each finding.
func Table(reports []Report) string {
	var b strings.Builder
	b.WriteString("| seed | seconds | sent | served | refused | broken off | runs | faults | findings |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range reports {
		var faults []string
		for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
			faults = append(faults, fmt.Sprintf("%s %d", kind, r.Faults[kind]))
		}
		fmt.Fprintf(&b, "| %d | %.0f | %d | %d | %d | %d | %d | %s | %d |\n",
			r.Seed, r.FaultPeriod.Seconds(), r.Sent, r.Served, r.Refused, r.BrokenOff, r.Runs, strings.Join(faults, ", "), len(r.Findings))
	}
	for _, r := range reports {
		for _, f := range r.Findings {
			fmt.Fprintf(&b, "\nseed %d at %.3f s: %s: %s", r.Seed, f.At.Seconds(), f.Promise, f.Detail)
		}
	}
	return b.String()
}
