package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

func TestBaselinesServeASmallScenario(t *testing.T) {
	is := is.New(t)
	s := scenario(t, small)
	var progress bytes.Buffer
	x := &Experiment{Scenario: s, Seeds: []uint64{1}, Progress: &progress}
	for _, name := range []string{"round-robin", "least-requests", "random"} {
		v, err := Lookup(name)
		is.NoErr(err)
		x.Variants = append(x.Variants, v)
	}
	report, err := x.Run(context.Background())
	is.NoErr(err)
	is.Equal(len(report.Runs), 6)
	for _, row := range report.Service {
		is.Equal(row.Reasons, map[string]int{})
		is.Equal(row.Completed, row.Sent)
		is.True(row.Sent > 0)
		is.Equal(row.Checks, Checks{Checked: true})
	}
	is.Equal(len(report.Slowdown), 3)
	is.True(strings.Contains(progress.String(), "run 6/6 part=all"))
	files, err := report.WritePlots(t.TempDir())
	is.NoErr(err)
	is.Equal(len(files), 2*(2+6+1)) // formats * (first token by part, service by run, slowdown)
	var raw bytes.Buffer
	is.NoErr(report.WriteJSON(&raw))
	is.True(json.Valid(raw.Bytes()))
}

func TestFaultsAndZoneOrders(t *testing.T) {
	is := is.New(t)
	brief := strings.Replace(small, `"name":"seal"`, `"name":"seal","deadline":"10s"`, 1)
	s := scenario(t, strings.Replace(brief, `"compare_to":"short"`, `"faults":[
		{"at":"100ms","kind":"crash","target":"m-1"},
		{"at":"200ms","kind":"zone_out","target":"b"},
		{"at":"250ms","kind":"slow","target":"nothing","factor":2},
		{"at":"300ms","kind":"lose_answer","target":"desk-1","count":3},
		{"at":"500ms","kind":"zone_in","target":"b"}],
		"slow_readers":{"at":"100ms","count":3,"model":"m","prompt_tokens":100,"output_tokens":50}`, 1))
	v, err := Lookup("round-robin")
	is.NoErr(err)
	x := &Experiment{Scenario: s, Variants: []Variant{v}, Seeds: []uint64{2}, Parts: []string{"all"}}
	report, err := x.Run(context.Background())
	is.NoErr(err)
	run := report.Runs[0]
	is.Equal(len(run.Faults), 5)
	for _, f := range run.Faults {
		is.Equal(f.Error != "", f.Target == "nothing")
	}
	is.Equal(run.LastWork[0].Zone, "b")
	is.True(run.Use != nil)
	is.Equal(run.Checks.LostTokens, int64(0))
	is.Equal(run.Checks.FalseNotRun, 0)
}

func TestQuickReadersReadWholeStreams(t *testing.T) {
	is := is.New(t)
	s := scenario(t, strings.Replace(small, `"compare_to":"short"`,
		`"slow_readers":{"at":"0s","over":"1s","count":4,"quick":true,"model":"m","prompt_tokens":100,"output_tokens":50}`, 1))
	v, err := Lookup("random")
	is.NoErr(err)
	x := &Experiment{Scenario: s, Variants: []Variant{v}, Seeds: []uint64{1}, Parts: []string{"all"}}
	report, err := x.Run(context.Background())
	is.NoErr(err)
	is.Equal(report.Memory[0].Readers, 4)
	is.Equal(report.Service[0].Checks, Checks{Checked: true})
}

func TestInterruptedExperimentReportsFinishedRuns(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	v, err := Lookup("random")
	is.NoErr(err)
	last := Variant{Name: "last", Start: func(context.Context, *Env) (*System, error) {
		cancel()
		return nil, ctx.Err()
	}}
	x := &Experiment{Scenario: scenario(t, small), Variants: []Variant{v, last}, Seeds: []uint64{1}, Parts: []string{"all"}}
	report, err := x.Run(ctx)
	is.NoErr(err)
	is.True(report.Partial)
	is.Equal(len(report.Service), 1)
}

func TestChoosers(t *testing.T) {
	list := []*backend{{zone: "a", inFlight: 2}, {zone: "b", inFlight: 1}, {zone: "a", inFlight: 3}}
	t.Run("round robin", func(t *testing.T) {
		is := is.New(t)
		r := &roundRobin{}
		for i := range 6 {
			is.Equal(r.choose(list), list[(i+1)%3])
		}
	})
	t.Run("least requests", func(t *testing.T) {
		is := is.New(t)
		for range 20 {
			is.Equal(leastRequests{}.choose(list), list[1])
		}
	})
	t.Run("zone out", func(t *testing.T) {
		is := is.New(t)
		p := &backendPool{chooser: leastRequests{}, backends: list, zonesOut: map[string]bool{}}
		p.setZone("b", false)
		is.Equal(p.acquire(), list[0])
		p.setZone("a", false)
		is.Equal(p.acquire(), nil)
		p.setZone("b", true)
		is.Equal(p.acquire(), list[1])
	})
}

// fixedExecutions is an executionLog with fixed contents.
type fixedExecutions struct {
	calls   map[string]int
	prompts map[uint64]int
}

func (k fixedExecutions) executions() map[string]int      { return k.calls }
func (k fixedExecutions) admittedCount(digest uint64) int { return k.prompts[digest] }
func (k fixedExecutions) leakedTokens() int64             { return 0 }

func TestChecks(t *testing.T) {
	cases := []struct {
		name string
		res  Result
		runs fixedExecutions
		want Checks
	}{
		{"call ran once", Result{Verdict: "ran", key: "k"}, fixedExecutions{calls: map[string]int{"k": 1}}, Checks{}},
		{"call ran twice", Result{Verdict: "ran", key: "k"}, fixedExecutions{calls: map[string]int{"k": 2}}, Checks{DoubleRuns: 1}},
		{"call not run, and so it is", Result{Verdict: "not_run", key: "k"}, fixedExecutions{}, Checks{}},
		{"call not run, but it ran", Result{Verdict: "not_run", key: "k"}, fixedExecutions{calls: map[string]int{"k": 1}}, Checks{FalseNotRun: 1}},
		{"call ran, but it did not", Result{Verdict: "ran", key: "k"}, fixedExecutions{}, Checks{FalseRan: 1}},
		{"call may have run", Result{Verdict: "may_have_run", key: "k"}, fixedExecutions{}, Checks{}},
		{"prompt not run, and so it is", Result{Verdict: "not_run", digest: 5}, fixedExecutions{}, Checks{}},
		{"prompt not run, but it ran", Result{Verdict: "not_run", digest: 5}, fixedExecutions{prompts: map[uint64]int{5: 1}}, Checks{FalseNotRun: 1}},
		{"prompt may have run", Result{Verdict: "may_have_run", digest: 5}, fixedExecutions{prompts: map[uint64]int{5: 2}}, Checks{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRecorder(scenario(t, small), time.Second)
			c.res.Arrival = &Arrival{Item: &Item{}}
			c.res.Outcome = Refused
			r.add(c.res)
			c.want.Checked = true
			is.New(t).Equal(check(r, c.runs), c.want)
		})
	}
}

// fixedReport returns a report of fixed results.
func fixedReport(t *testing.T) *Report {
	s := scenario(t, small)
	report := &Report{Scenario: s.Name, Command: "rosemary-load run small.json", Seeds: []uint64{1, 2}, TimeScale: 10, TokenScale: 1, scenario: s}
	for i, part := range []string{"short", "all"} {
		for _, seed := range report.Seeds {
			run := &Run{Variant: "ours", Part: part, Seed: seed, Rate: 20, Step: time.Second, Sent: 101, record: newRecorder(s, time.Second)}
			for n := range 100 {
				d := time.Duration(n+1) * time.Duration(i+1) * time.Duration(seed) * 10 * time.Millisecond
				a := &Arrival{Item: &s.Mix[0], PromptTokens: 300}
				run.record.add(Result{Arrival: a, Outcome: Completed, TTFT: d, Latency: 2 * d, EndedAt: time.Duration(n) * 40 * time.Millisecond})
			}
			run.record.add(Result{Arrival: &Arrival{Item: &s.Mix[1]}, Outcome: Refused, Reason: "overloaded", Verdict: "not_run"})
			run.Checks = Checks{Checked: true}
			run.Use = &MemoryUse{Readers: 9, Before: 10 << 20, Peak: int64(11+seed) << 20, HeldPeak: 1 << 19}
			report.Runs = append(report.Runs, run)
		}
	}
	report.summarize()
	return report
}

func TestReportTable(t *testing.T) {
	is := is.New(t)
	var got bytes.Buffer
	is.NoErr(fixedReport(t).WriteTable(&got))
	golden := filepath.Join("testdata", "report.txt")
	if *update {
		is.NoErr(os.WriteFile(golden, got.Bytes(), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(got.String(), string(want))
}

func TestRemoteVariant(t *testing.T) {
	is := is.New(t)
	sys, err := Remote("target", []string{"http://127.0.0.1:1"}).Start(context.Background(), nil)
	is.NoErr(err)
	u, err := url.Parse(sys.Entries[0])
	is.NoErr(err)
	is.Equal(u.Port(), "1")
	is.Equal(sys.SetZone, nil)
}
