package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency that histograms hold.
	maxLatency = 2 * time.Hour
	// latencyDigits is the precision of histograms in decimal digits.
	latencyDigits = 3
	// maxReasons bounds the different reasons that a run counts.
	maxReasons = 64
)

// Class is a range of prompt lengths in reports.
type Class struct {
	Name string
	// Below is the first prompt length in tokens that is too long for the class.
	Below int
}

// classes are the prompt length classes of reports, by rising length.
var classes = []Class{
	{"under 2k", 2_000},
	{"2k-8k", 8_000},
	{"8k-32k", 32_000},
	{"32k-100k", 100_000},
	{"over 100k", 1 << 40},
}

// shortBelow is the prompt length in tokens below which a prompt is short.
const shortBelow = 8_000

// classOf returns the class of a prompt length, before the token scale.
func classOf(tokens int) int {
	for i, c := range classes {
		if tokens < c.Below {
			return i
		}
	}
	return len(classes) - 1
}

// latencies is a histogram of times in microseconds of model time.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func (l latencies) count() int64 { return l.h.TotalCount() }

// at returns the latency at a percentile.
func (l latencies) at(percentile float64) time.Duration {
	return time.Duration(l.h.ValueAtPercentile(percentile)) * time.Microsecond
}

func (l latencies) merge(from latencies) { l.h.Merge(from.h) }

// second is what ended within one step of a run's timeline.
type second [Late + 1]int

// recorder gathers the results of one run. It is safe for concurrent use.
type recorder struct {
	scenario *Scenario
	warmUp   time.Duration
	step     time.Duration

	mu       sync.Mutex
	first    []latencies
	short    latencies
	whole    latencies
	calls    latencies
	total    second
	byItem   map[string]*second
	reasons  map[string]int
	timeline []second
	checks   []Result
	sent     int
}

func newRecorder(s *Scenario, step time.Duration) *recorder {
	r := &recorder{
		scenario: s,
		warmUp:   s.WarmUp.Std(),
		step:     step,
		short:    newLatencies(),
		whole:    newLatencies(),
		calls:    newLatencies(),
		byItem:   map[string]*second{},
		reasons:  map[string]int{},
	}
	for range classes {
		r.first = append(r.first, newLatencies())
	}
	return r
}

func (r *recorder) started() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
}

// add takes a result in. Counts cover the whole run, and histograms the
// completed requests that were due after the warm-up.
func (r *recorder) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(&res)
	if res.Outcome != Completed && res.Outcome != Late || res.key != "" {
		r.checks = append(r.checks, res)
	}
	if res.Outcome == Completed && res.Arrival.Due >= r.warmUp {
		r.latency(&res)
	}
}

func (r *recorder) count(res *Result) {
	r.total[res.Outcome]++
	name := res.Arrival.Item.Name
	if r.byItem[name] == nil {
		r.byItem[name] = &second{}
	}
	r.byItem[name][res.Outcome]++
	if res.Outcome != Completed && (r.reasons[res.Reason] > 0 || len(r.reasons) < maxReasons) {
		r.reasons[res.Reason]++
	}
	at := int(res.EndedAt / r.step)
	for len(r.timeline) <= at {
		r.timeline = append(r.timeline, second{})
	}
	r.timeline[at][res.Outcome]++
}

func (r *recorder) latency(res *Result) {
	if res.Arrival.Item.Prompt == nil {
		r.calls.add(res.Latency)
		return
	}
	tokens := int(float64(res.Arrival.PromptTokens) / r.scenario.TokenScale)
	r.first[classOf(tokens)].add(res.TTFT)
	if tokens < shortBelow {
		r.short.add(res.TTFT)
		r.whole.add(res.Latency)
	}
}

// progress is a count of requests while a run goes on.
type progress struct {
	sent  int
	total second
}

func (r *recorder) progress() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return progress{sent: r.sent, total: r.total}
}
