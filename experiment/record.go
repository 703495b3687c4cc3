package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency that histograms record; longer ones count as it.
	maxLatency = 2 * time.Hour
	// latencyDigits is the precision of histograms in significant decimal digits.
	latencyDigits = 3
	// maxReasons bounds the number of different reasons that a run counts.
	maxReasons = 64
)

// Class is a class of prompt lengths in reports.
type Class struct {
	Name string
	// Below is the upper bound of the class, exclusive, in tokens.
	Below int
}

// classes are the prompt length classes of reports, in ascending order.
var classes = []Class{
	{"under 2k", 2_000},
	{"2k-8k", 8_000},
	{"8k-32k", 32_000},
	{"32k-100k", 100_000},
	{"over 100k", 1 << 40},
}

// shortPromptLimit is the length in tokens from which on a prompt is not short.
const shortPromptLimit = 8_000

// classOf returns the index of the class of a prompt length. The length is the one
// before multiplication by the token scale.
func classOf(tokens int) int {
	for i, c := range classes {
		if tokens < c.Below {
			return i
		}
	}
	return len(classes) - 1
}

// latencies is a histogram of latencies in microseconds of model time.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func (l latencies) count() int64 { return l.h.TotalCount() }

// valueAt returns the latency at a percentile from 0 to 100.
func (l latencies) valueAt(percentile float64) time.Duration {
	return time.Duration(l.h.ValueAtPercentile(percentile)) * time.Microsecond
}

func (l latencies) merge(from latencies) { l.h.Merge(from.h) }

// outcomeCounts counts requests by Outcome.
type outcomeCounts [Late + 1]int

// recorder collects the results of one run. It is safe for concurrent use.
type recorder struct {
	scenario *Scenario
	warmUp   time.Duration
	// step is the length of one step of the timeline.
	step time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// ttft holds the time to first token of prompts, by index of classes.
	ttft []latencies
	// shortTTFT and shortLatency are the time to first token and the time to the
	// complete answer of short prompts.
	shortTTFT    latencies
	shortLatency latencies
	// callLatency is the time to the answer of calls.
	callLatency latencies
	total       outcomeCounts
	// byItem counts outcomes by the name of the mix item.
	byItem map[string]*outcomeCounts
	// reasons counts why requests did not complete.
	reasons  map[string]int
	timeline []outcomeCounts
	// toCheck holds the results whose verdicts are compared with the executions:
	// those of at-most-once calls and those neither completed nor late.
	toCheck []Result
	sent    int
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

// recordSent counts a request that is about to be sent.
func (r *recorder) recordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
}

// add records a result. Counts cover the complete run, histograms only the completed
// requests that were due after the warm-up.
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

// countOutcome counts the outcome in total, by item, by reason and in the timeline.
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

// recordLatency adds the times of a completed request to the histograms.
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

// progress holds the counts of requests of a run in progress.
type progress struct {
	sent  int
	total outcomeCounts
}

func (r *recorder) progress() progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return progress{sent: r.sent, total: r.total}
}
