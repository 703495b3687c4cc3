package health

import "math"

// Parameters of the distributions of samples. Latencies are log ratios (the logarithm
// of Sample.Ratio), so differences between them are in nats.
const (
	// priorSamples is the number of samples that the prior mean counts as. maxSamples
	// bounds the number that the past counts as, so that a mean follows slow changes.
	priorSamples = 10
	maxSamples   = 1000
	// priorStddev is the initial standard deviation, in nats. varianceWeight is the
	// weight of one sample in the moving average of the variance.
	priorStddev    = 0.4
	varianceWeight = 0.001
	// maxMean bounds the difference between an endpoint's own mean and the offset
	// shared by its target, in nats: a larger difference is a fault, not a property of
	// the endpoint to be learned.
	maxMean = 0.25
	// minStddev and maxStddev bound the learned standard deviation, in nats.
	minStddev = 0.1
	maxStddev = 0.6
	// maxDeviation bounds the deviation of one sample from its mean, and maxLLR its
	// log-likelihood ratio, both in nats, so that one outlier does not decide.
	maxDeviation = 2.0
	maxLLR       = 4.0
	// healthyFailureRate and failingFailureRate are the assumed shares of failed
	// requests of a healthy and of a failing endpoint.
	healthyFailureRate = 0.01
	failingFailureRate = 0.1
	// maxLearnStatistic is the statistic, in nats, below which a sample is taken for
	// a healthy one and the means are learned from it.
	maxLearnStatistic = 3.0
	// sharedOffsetWeight is the weight of one sample in a target's shared offset, and
	// maxSharedDeviation bounds its deviation there, in nats. The first warmUpSamples
	// samples of a target only set the shared offset: until it is known, latency is
	// not evidence of a failure.
	sharedOffsetWeight = 0.02
	maxSharedDeviation = 0.5
	warmUpSamples      = 50
)

// stddev estimates the standard deviation of the log ratios of healthy endpoints
// around their means. All endpoints of a target share one estimate, so that a failing
// endpoint cannot widen its own and hide in it.
type stddev struct {
	variance float64
}

func newStddev() stddev { return stddev{variance: priorStddev * priorStddev} }

// learn updates the estimate with a sample's deviation from its mean.
func (s *stddev) learn(deviation float64) {
	s.variance += varianceWeight * (deviation*deviation - s.variance)
}

// value returns the estimate in nats, within its bounds.
func (s *stddev) value() float64 {
	return min(max(math.Sqrt(s.variance), minStddev), maxStddev)
}

// mean estimates the mean log ratio of one endpoint while it is healthy, relative to
// the shared offset of its target.
type mean struct {
	samples float64
	value   float64
}

func newMean() mean { return mean{samples: priorSamples} }

// learn updates the estimate with a sample's deviation from it.
func (m *mean) learn(deviation float64) {
	m.samples = min(m.samples+1, maxSamples)
	m.value += deviation / m.samples
	m.value = min(max(m.value, -maxMean), maxMean)
}

// latencyLLR returns the log-likelihood ratio of failing against healthy for a sample
// with the given deviation from its mean. Both hypotheses are normal distributions
// with the same standard deviation; their means differ by shift.
func latencyLLR(deviation, stddev, shift float64) float64 {
	delta := shift / stddev
	z := deviation / stddev
	return min(max(delta*(z-delta/2), -maxLLR), maxLLR)
}

// failureLLR returns the log-likelihood ratio of failing against healthy for a
// request that failed or succeeded.
func failureLLR(failed bool) float64 {
	if failed {
		return math.Log(failingFailureRate / healthyFailureRate)
	}
	return math.Log((1 - failingFailureRate) / (1 - healthyFailureRate))
}
