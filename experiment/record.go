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

// shortPromptLimit is the prompt length in tokens below which a prompt is short.
const shortPromptLimit = 8_000

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

// valueAt returns the latency valueAt a percentile.
func (l latencies) valueAt(percentile float64) time.Duration {
	return time.Duration(l.h.ValueAtPercentile(percentile)) * time.Microsecond
}

func (l latencies) merge(from latencies) { l.h.Merge(from.h) }

// outcomeCounts is what ended within one step of a run's timeline.
type outcomeCounts [Late + 1]int

// recorder gathers the results of one run. It is safe for concurrent use.
type recorder struct {
	scenario *Scenario
	warmUp   time.Duration
	step     time.Duration

	mu           sync.Mutex
	ttft         []latencies
	shortTTFT    latencies
	shortLatency latencies
	callLatency  latencies
	total        outcomeCounts
	byItem       map[string]*outcomeCounts
	reasons      map[string]int
	timeline     []outcomeCounts
	toCheck      []Result
	sent         int
}

func newRecorder(s *Scenario, step time.Duration) *recorder {
	r := &recorder{
		scenario:     s,
		warmUp:       s.WarmUp.Std(),
		step:         step,
		shortTTFT:    newLatencies(),
		shortLatency: newLatencies(),
		callLatency:  newLatencies(),
		byItem:       map[string]*outcomeCounts{},
		reasons:      map[string]int{},
	}
	for range classes {
		r.ttft = append(r.ttft, newLatencies())
	}
	return r
}

func (r *recorder) recordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
}

// add takes a result in. Counts cover the whole run, and histograms the
// completed requests that were due after the warm-up.
func (r *recorder) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countOutcome(&res)
	if res.Outcome != Completed && res.Outcome != Late || res.key != "" {
		r.toCheck = append(r.toCheck, res)
	}
	if res.Outcome == Completed && res.Arrival.Due >= r.warmUp {
		r.recordLatency(&res)
	}
}

func (r *recorder) countOutcome(res *Result) {
	r.total[res.Outcome]++
	name := res.Arrival.Item.Name
	if r.byItem[name] == nil {
		r.byItem[name] = &outcomeCounts{}
	}
	r.byItem[name][res.Outcome]++
	if res.Outcome != Completed && (r.reasons[res.Reason] > 0 || len(r.reasons) < maxReasons) {
		r.reasons[res.Reason]++
	}
	at := int(res.EndedAt / r.step)
	for len(r.timeline) <= at {
		r.timeline = append(r.timeline, outcomeCounts{})
	}
	r.timeline[at][res.Outcome]++
}

func (r *recorder) recordLatency(res *Result) {
	if res.Arrival.Item.Prompt == nil {
		r.callLatency.add(res.Latency)
		return
	}
	tokens := int(float64(res.Arrival.PromptTokens) / r.scenario.TokenScale)
	r.ttft[classOf(tokens)].add(res.TTFT)
	if tokens < shortPromptLimit {
		r.shortTTFT.add(res.TTFT)
		r.shortLatency.add(res.Latency)
	}
}

// progress is a count of requests while a run goes on.
type progress struct {
	sent  int
	total outcomeCounts
}

func (r *recorder) progress() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return progress{sent: r.sent, total: r.total}
}
