package route

import (
	"math"
	"time"
)

// Constants of the lanes.
const (
	// mixHalfLife is how fast the observed mix follows the traffic.
	mixHalfLife = 5 * time.Minute
	// mixPriorTokens is the weight of the mix that is assumed before any traffic,
	// in prompt tokens.
	mixPriorTokens = 2_000_000
	// laneHeadroom widens a class's lanes over its bare share of the work.
	laneHeadroom = 1.5
	// shortReserve widens the endpoints that only short prompts use over the bare
	// share of short work.
	shortReserve = 1.5
)

// priorShare is the share of the prompt tokens by class that is assumed before
// any traffic.
var priorShare = [NumClasses]float64{Short: 0.15, Medium: 0.40, Long: 0.45}

// Lanes bounds on how many endpoints the prompts of a class may be prefilled at
// once. The lanes of longer classes lie within those of shorter ones, in the order
// of Endpoint.Rank, and follow the mix of prompt tokens. A prompt of any class may
// use a lane; long ones use nothing else. So whatever the burst of long prompts,
// the other endpoints have none in prefill.
type Lanes struct {
	tokens [NumClasses]float64
	at     time.Time
}

// NewLanes returns lanes for the assumed mix.
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

// decay ages the mix. Its total stays above the prior's weight, so that an idle
// time does not make the mix follow a single request.
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

// Share returns the class's share of the prompt tokens.
func (l *Lanes) Share(class Class) float64 {
	return l.tokens[class] / l.total()
}

// Width returns how many of n endpoints prompts of the class may use. The result
// is at least 1. Where n allows it, at least one endpoint is left to shorter classes
// by each class.
func (l *Lanes) Width(class Class, n int) int {
	width := n
	switch class {
	case Long:
		width = int(math.Ceil(float64(n) * l.Share(Long) * laneHeadroom))
		width = min(width, l.Width(Medium, n)-1)
	case Medium:
		width = n - int(math.Ceil(float64(n)*l.Share(Short)*shortReserve))
		width = min(width, n-1)
	}
	return max(width, 1)
}
