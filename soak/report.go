package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report holds the counts and findings of the run of one seed.
type Report struct {
	Seed uint64 `json:"seed"`
	// FaultPeriod is the time during which faults were injected.
	FaultPeriod time.Duration  `json:"span_ns"`
	Faults      map[string]int `json:"faults"`
	Sent        int            `json:"sent"`
	Served      int            `json:"served"`
	Refused     int            `json:"refused"`
	BrokenOff   int            `json:"broken_off"`
	Runs        int            `json:"runs"`
	// Ends counts the ends of requests by group of callers.
	Ends     map[string]Ends `json:"ends"`
	Findings []Finding       `json:"findings"`
}

// Report returns the counts and findings of the checker. The caller adds the seed, the
// fault period and the injected faults by kind.
func (c *Checker) Report(seed uint64, span time.Duration, faults map[string]int) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{
		Seed: seed, FaultPeriod: span, Faults: faults, Sent: c.sent, Served: c.served, Refused: c.refusals, BrokenOff: c.broken, Runs: c.runs,
		Findings: slices.Clone(c.findings),
	}
}

// Table formats reports as a Markdown table, followed by a line for each finding.
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
