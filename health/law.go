package health

import "math"

// Constants of the laws of samples.
const (
	// priorSamples is how many samples the prior mean counts for, and maxSamples
	// bounds what the past counts for, so that a mean follows slow changes.
	priorSamples = 10
	maxSamples   = 1000
	// priorSpread is the standard deviation to begin with, in nats, and spreadWeight
	// the weight of one sample in it.
	priorSpread  = 0.4
	spreadWeight = 0.001
	// maxOffset bounds by how much an endpoint's own mean may differ from its
	// peers', in nats: slower than that is no habit but a fault.
	maxOffset = 0.25
	// minSpread and maxSpread bound the learned standard deviation, in nats.
	minSpread = 0.1
	maxSpread = 0.6
	// maxOff bounds how far off its mean one sample counts, and maxStep its share in a
	// statistic, both in nats.
	maxOff  = 2.0
	maxStep = 4.0
	// soundFailures and failingFailures are the shares of requests that fail.
	soundFailures   = 0.01
	failingFailures = 0.1
	// learnBelow is the statistic, in nats, up to which a sample counts as sound.
	learnBelow = 3.0
	// commonWeight is the weight of one sample in what a target has in common, and
	// commonLimit bounds how far off it counts, in nats. Before firstSamples of a
	// target its level is not known, and nobody is accused for time.
	commonWeight = 0.02
	commonLimit  = 0.5
	firstSamples = 50
)

// spread is the standard deviation of sound log ratios about their means. All
// endpoints of a target have it in common, so that a failing one cannot make its own
// samples look usual.
type spread struct {
	square float64
}

func newSpread() spread { return spread{square: priorSpread * priorSpread} }

// learn takes in how far a sample was off its mean.
func (s *spread) learn(off float64) {
	s.square += spreadWeight * (off*off - s.square)
}

func (s *spread) value() float64 {
	return min(max(math.Sqrt(s.square), minSpread), maxSpread)
}

// mean is an endpoint's own mean of sound log ratios.
type mean struct {
	samples float64
	value   float64
}

func newMean() mean { return mean{samples: priorSamples} }

// learn takes in how far a sample was off the mean.
func (m *mean) learn(off float64) {
	m.samples = min(m.samples+1, maxSamples)
	m.value += off / m.samples
	m.value = min(max(m.value, -maxOffset), maxOffset)
}

// timeStep returns the log-likelihood ratio of failing against sound for a sample
// that is off its mean, by normal laws that differ by shift.
func timeStep(off, spread, shift float64) float64 {
	delta := shift / spread
	z := off / spread
	return min(max(delta*(z-delta/2), -maxStep), maxStep)
}

// failureStep returns the log-likelihood ratio of whether a request failed.
func failureStep(failed bool) float64 {
	if failed {
		return math.Log(failingFailures / soundFailures)
	}
	return math.Log((1 - failingFailures) / (1 - soundFailures))
}
