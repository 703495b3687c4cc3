package route

import (
	"math"
	"time"
)

const (
	// mixHalfLife is the half-life of the observed traffic mix.
	mixHalfLife = 5 * time.Minute
	// mixPriorTokens is the weight of the mix assumed before any traffic, in prompt
	// tokens.
	mixPriorTokens = 2_000_000
	// laneHeadroom is the number of lanes for long prompts relative to their share of
	// the prompt tokens.
	laneHeadroom = 1.5
	// shortHeadroom is the number of endpoints kept for short prompts alone relative
	// to their share of the prompt tokens.
	shortHeadroom = 1.5
)

// priorShare is the share of each class in the prompt tokens that is assumed before any
// traffic.
var priorShare = [NumClasses]float64{Short: 0.15, Medium: 0.40, Long: 0.45}

// Lanes limits the number of endpoints that may prefill prompts of each length class.
// The lanes of a class are the endpoints that its prompts may use: the first ones in
// the order of Endpoint.Rank. Their number follows the share of the class in the
// prompt tokens of recent traffic. The lanes of a longer class are always a subset of
// those of a shorter one, so shorter prompts may use every lane of longer ones, but
// long prompts use only their own lanes. However large a burst of long prompts is, the
// other endpoints do not prefill any of them.
type Lanes struct {
	tokens [NumClasses]float64 // decayed prompt tokens by class
	at     time.Time           // when tokens was last decayed
}

// NewLanes returns lanes for the mix assumed before any traffic.
func NewLanes() Lanes {
	l := Lanes{}
	for c, share := range priorShare {
		l.tokens[c] = share * mixPriorTokens
	}
	return l
}

// Observe counts a request that arrived at now.
func (l *Lanes) Observe(now time.Time, class Class, promptTokens int) {
	l.decay(now)
	l.tokens[class] += float64(promptTokens)
}

// decay ages the observed mix. Decay stops at a total of mixPriorTokens, so that the
// first request after an idle period does not dominate the mix.
func (l *Lanes) decay(now time.Time) {
	age := now.Sub(l.at)
	first := l.at.IsZero()
	l.at = now
	if first || age <= 0 {
		return
	}
	factor := math.Exp2(-age.Seconds() / mixHalfLife.Seconds())
	factor = max(factor, min(1, mixPriorTokens/l.total()))
	for c := range l.tokens {
		l.tokens[c] *= factor
	}
}

func (l *Lanes) total() float64 {
	sum := 0.0
	for _, tokens := range l.tokens {
		sum += tokens
	}
	return sum
}

// Share returns the share of the class in the prompt tokens of recent traffic.
func (l *Lanes) Share(class Class) float64 {
	return l.tokens[class] / l.total()
}

// Width returns the number of lanes of the class among n endpoints, at least 1. If n is
// large enough, each class leaves at least one endpoint to shorter classes alone.
func (l *Lanes) Width(class Class, n int) int {
	width := n
	switch class {
	case Long:
		width = int(math.Ceil(float64(n) * l.Share(Long) * laneHeadroom))
		width = min(width, l.Width(Medium, n)-1)
	case Medium:
		width = n - int(math.Ceil(float64(n)*l.Share(Short)*shortHeadroom))
		width = min(width, n-1)
	}
	return max(width, 1)
}
