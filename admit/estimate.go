package admit

import "math"

// Constants of the prompt length estimate.
const (
	// The histogram of tokens per byte covers octaves doublings of the ratio, each with
	// bucketsPerOctave buckets.
	bucketsPerOctave = 16
	octaves          = 8
	buckets          = bucketsPerOctave*octaves + 1
	// minRatio is the lower edge of the first bucket, in tokens per byte. Lower ratios
	// count as minRatio.
	minRatio = 1.0 / 128
	// boundQuantile is the share of prompts whose length Estimate.Bound covers.
	boundQuantile = 0.995
	// decayPerObservation is the factor by which each observation reduces the weight
	// of earlier ones.
	decayPerObservation = 0.999
	// templateTokens is the number of tokens that a chat template adds to a prompt.
	templateTokens = 16
	// boundMarginBuckets is the number of buckets by which Estimate.Bound is raised to
	// make up for the width of the buckets.
	boundMarginBuckets = 1
)

// Tokens per byte assumed for a new route, and the weights of these assumptions as
// numbers of observations.
const (
	priorRatio       = 0.25
	priorWeight      = 20
	priorBoundRatio  = 0.5
	priorBoundWeight = 5
)

// Estimate is an estimate of a prompt's length in tokens.
type Estimate struct {
	// Tokens is the expected length.
	Tokens int
	// Bound is an upper bound that holds for 995 in 1,000 prompts like the recent ones
	// of the route. It is at most the number of bytes plus templateTokens, because a
	// token stands for at least one byte.
	Bound int
}

// Estimator estimates a prompt's tokens from its bytes. It learns the ratio of each
// route from the usage that engines report. It is not safe for concurrent use; callers
// serialize access.
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

// Estimate returns the estimate for a prompt of the given length in bytes on a route.
func (e *Estimator) Estimate(route string, bytes int) Estimate {
	r := e.histogram(route)
	bound := min(r.quantile(boundQuantile, boundMarginBuckets), 1)
	return Estimate{
		Tokens: int(math.Ceil(float64(bytes)*r.quantile(0.5, 0))) + templateTokens,
		Bound:  int(math.Ceil(float64(bytes)*bound)) + templateTokens,
	}
}

// Observe learns from the token count that an engine reported for a prompt.
func (e *Estimator) Observe(route string, bytes, tokens int) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	textTokens := max(tokens-templateTokens, 1)
	e.histogram(route).add(float64(textTokens)/float64(bytes), 1)
}

// histogram returns the histogram of a route's ratios. For a new route it creates one that
// holds the assumed ratios.
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

// add decays the weights of all earlier observations and adds one.
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

// bucketOf returns the index of the bucket for a ratio in tokens per byte.
func bucketOf(ratio float64) int {
	i := int(math.Floor(math.Log2(ratio/minRatio) * bucketsPerOctave))
	return min(max(i, 0), buckets-1)
}

// lowerEdge returns the lower edge of bucket i, in tokens per byte.
func lowerEdge(i int) float64 {
	return minRatio * math.Exp2(float64(i)/bucketsPerOctave)
}
