package admit

import "math"

// Constants of the estimate.
const (
	// bucketsPerOctave and octaves lay out the histogram of tokens per byte.
	bucketsPerOctave = 16
	octaves          = 8
	buckets          = bucketsPerOctave*octaves + 1
	// minRatio is the lowest ratio told apart, in tokens per byte.
	minRatio = 1.0 / 128
	// boundQuantile is the share of requests that the bound holds for.
	boundQuantile = 0.995
	// decayPerObservation is what one observation leaves of the weight of the earlier ones.
	decayPerObservation = 0.999
	// templateTokens is the tokens that a chat's template adds to its text.
	templateTokens = 16
	// boundMarginBuckets widens the bound by one bucket, for the width of the buckets.
	boundMarginBuckets = 1
)

// Ratios and weights assumed before a route has been seen.
const (
	priorRatio       = 0.25
	priorWeight      = 20
	priorBoundRatio  = 0.5
	priorBoundWeight = 5
)

// Estimate is an estimate of a prompt's length.
type Estimate struct {
	// Tokens is the expected length.
	Tokens int
	// Bound is a length that 995 in 1,000 prompts like the route's recent ones keep
	// to. A prompt never has more tokens than bytes, beside the chat's template.
	Bound int
}

// Estimator estimates prompt tokens from prompt bytes, by route. It learns the ratio
// from the usage that engines report. Calls are serialised by the host.
type Estimator struct {
	routes map[string]*ratioHistogram
}

// ratioHistogram is a histogram of tokens per byte, in which old observations fade.
type ratioHistogram struct {
	weight [buckets]float64
	sum    float64
}

// NewEstimator returns an estimator that knows no route yet.
func NewEstimator() *Estimator { return &Estimator{routes: map[string]*ratioHistogram{}} }

// Estimate returns the estimate for a prompt of a route.
func (e *Estimator) Estimate(route string, bytes int) Estimate {
	r := e.histogram(route)
	bound := min(r.quantile(boundQuantile, boundMarginBuckets), 1)
	return Estimate{
		Tokens: int(math.Ceil(float64(bytes)*r.quantile(0.5, 0))) + templateTokens,
		Bound:  int(math.Ceil(float64(bytes)*bound)) + templateTokens,
	}
}

// Observe takes in the usage that an engine reported for a prompt.
func (e *Estimator) Observe(route string, bytes, tokens int) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	textTokens := max(tokens-templateTokens, 1)
	e.histogram(route).add(float64(textTokens)/float64(bytes), 1)
}

// histogram returns the ratios histogram a route.
func (e *Estimator) histogram(route string) *ratioHistogram {
	r := e.routes[route]
	if r == nil {
		r = &ratioHistogram{}
		r.add(priorRatio, priorWeight)
		r.add(priorBoundRatio, priorBoundWeight)
		e.routes[route] = r
	}
	return r
}

func (r *ratioHistogram) add(ratio, weight float64) {
	for i := range r.weight {
		r.weight[i] *= decayPerObservation
	}
	r.sum *= decayPerObservation
	r.weight[bucketOf(ratio)] += weight
	r.sum += weight
}

// quantile returns the upper edge of the bucket that holds the quantile, raised by
// the given number of buckets.
func (r *ratioHistogram) quantile(q float64, extraBuckets int) float64 {
	remaining := q * r.sum
	for i, w := range r.weight {
		remaining -= w
		if remaining <= 0 {
			return lowerEdge(i + 1 + extraBuckets)
		}
	}
	return 1
}

func bucketOf(ratio float64) int {
	i := int(math.Floor(math.Log2(ratio/minRatio) * bucketsPerOctave))
	return min(max(i, 0), buckets-1)
}

// lowerEdge returns the lower edge of bucket i, in tokens per byte.
func lowerEdge(i int) float64 {
	return minRatio * math.Exp2(float64(i)/bucketsPerOctave)
}
