package soak

import (
	"math/rand/v2"
	"time"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind string
	// At and For are when it begins, from the start, and how long it lasts.
	At, For time.Duration
	// Pick chooses among what the fault may hit.
	Pick int
}

// Plan draws faults of the kinds from a seed: series of them, which overlap, until the
// span is over.
func Plan(seed uint64, kinds []string, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var faults []Fault
	for at := time.Duration(0); at < span; {
		kind := kinds[random.IntN(len(kinds))]
		for range 1 + random.IntN(seriesMost) {
			faults = append(faults, Fault{
				Kind: kind, At: at, For: leastFault + time.Duration(random.Int64N(int64(spreadFault))), Pick: random.IntN(1 << 16),
			})
			at += time.Duration(random.Int64N(int64(spreadPause)))
		}
		at += time.Duration(random.Int64N(int64(spreadPause)))
	}
	return faults
}

const (
	// seriesMost is the most faults of one kind in a row.
	seriesMost = 3
	// leastFault and spreadFault bound how long a fault lasts, and spreadPause the time to
	// the next one. Faults last longer than the pauses, so that they overlap.
	leastFault  = 300 * time.Millisecond
	spreadFault = 3 * time.Second
	spreadPause = 1500 * time.Millisecond
)
