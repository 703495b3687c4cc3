package soak

import (
	"math/rand/v2"
	"time"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind string
	// At is the beginning of the fault, as time since the start of the plan, and For its
	// duration.
	At, For time.Duration
	// Pick selects the target of the fault: the target's index is Pick modulo the number
	// of possible targets.
	Pick int
}

// Plan returns random faults of the given kinds that begin within span, or shortly after it
// at the end of a series. A series has several faults of one kind, which may overlap. The
// plan depends only on the arguments, including the order of kinds.
func Plan(seed uint64, kinds []string, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var faults []Fault
	for at := time.Duration(0); at < span; {
		kind := kinds[random.IntN(len(kinds))]
		for range 1 + random.IntN(maxSeries) {
			faults = append(faults, Fault{
				Kind: kind, At: at, For: minFaultTime + time.Duration(random.Int64N(int64(faultTimeSpread))), Pick: random.IntN(1 << 16),
			})
			at += time.Duration(random.Int64N(int64(maxPause)))
		}
		at += time.Duration(random.Int64N(int64(maxPause)))
	}
	return faults
}

const (
	// maxSeries is the largest number of faults in a series.
	maxSeries = 3
	// A fault lasts from minFaultTime to minFaultTime+faultTimeSpread, and maxPause bounds
	// the pause between the beginnings of two faults; between two series a second such
	// pause is added. Faults last longer than the pauses on average, so that they overlap.
	minFaultTime    = 300 * time.Millisecond
	faultTimeSpread = 3 * time.Second
	maxPause        = 1500 * time.Millisecond
)
