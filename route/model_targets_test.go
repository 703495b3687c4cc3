package route_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// The performance targets of the project. The simulation is deterministic: the results of
// these tests depend only on the seed.
const (
	targetSlowdown = 1.5 // maximum p99 of short prompts relative to the same run without long prompts
	targetBetter   = 5.0 // minimum factor by which the p99 of short prompts is below that of least_requests
	targetLong     = 0.9 // minimum throughput of long prompts relative to least_requests
	targetGoodput  = 0.9 // minimum goodput at 1.5 times the capacity relative to the peak
)

// TestModelShortBehindLong compares the predicted policy with least_requests and a FIFO
// queue at 90% of the capacity: long prompts must not delay short ones much.
func TestModelShortBehindLong(t *testing.T) {
	is := is.New(t)
	s := scenario{endpoints: 20, entries: 3, load: 0.9, policy: "predicted", drr: true, seconds: 240, seed: 1}
	withoutLong, baseline := s, s
	withoutLong.withoutLong = true
	baseline.policy, baseline.drr = "least_requests", false
	r := runAll([]scenario{s, withoutLong, baseline})
	p99 := quantile(r[0].first[route.Short], 0.99)
	is.True(p99 <= targetSlowdown*quantile(r[1].first[route.Short], 0.99))
	is.True(targetBetter*p99 <= quantile(r[2].first[route.Short], 0.99)) // the baseline does not meet the target
	is.True(r[0].goodputByClass[route.Long] >= targetLong*r[2].goodputByClass[route.Long])
	is.Equal(r[0].deadlineMisses, 0)
	is.True(r[2].deadlineMisses > 0) // the baseline admits requests that then miss their deadline
	is.Equal(r[0].refused[route.Short], 0)
}

// TestModelOverload checks that goodput at 1.5 times the capacity stays near that at the
// capacity and that no admitted request misses its deadline.
func TestModelOverload(t *testing.T) {
	is := is.New(t)
	s := scenario{endpoints: 20, entries: 3, load: 1.5, policy: "predicted", drr: true, seconds: 200, seed: 1}
	peak := s
	peak.load = 1.0
	r := runAll([]scenario{s, peak})
	is.True(r[0].goodput() >= targetGoodput*r[1].goodput())
	is.Equal(r[0].deadlineMisses, 0)
}

// TestModelColdFleet starts with all endpoints cold under 1.5 times the capacity. The
// sidecars' reservations and slow start prevent crashes; without them endpoints crash
// repeatedly.
func TestModelColdFleet(t *testing.T) {
	is := is.New(t)
	s := scenario{endpoints: 20, entries: 3, load: 1.5, policy: "predicted", drr: true, seconds: 300, seed: 1, cold: true}
	warm, unlimited, baseline := s, s, s
	warm.cold = false
	unlimited.unlimited = true
	baseline.unlimited, baseline.policy, baseline.drr = true, "least_requests", false
	r := runAll([]scenario{s, warm, unlimited, baseline})
	is.Equal(r[0].crashes, 0)
	is.True(r[0].secondHalf >= targetGoodput*r[1].secondHalf)
	is.True(r[2].crashes > 0)
	is.True(r[3].crashes > 50)
	is.True(r[3].secondHalf < targetGoodput*r[1].secondHalf)
}

// TestModelCrashesDoNotSpread crashes an endpoint every 10 s. Each crash loses the requests
// in flight there and must not lead to another crash.
func TestModelCrashesDoNotSpread(t *testing.T) {
	is := is.New(t)
	s := scenario{endpoints: 20, entries: 3, load: 0.7, policy: "predicted", drr: true, seconds: 150, seed: 1, crashEvery: 10}
	unlimited := s
	unlimited.unlimited = true
	r := runAll([]scenario{s, unlimited})
	is.Equal(r[0].crashes, 14)
	is.True(r[1].crashes > r[0].crashes) // without the limits, one crash leads to another
	is.Equal(r[0].deadlineMisses, 0)
}

// TestModelNoClassStarves checks that each class gets more than a tenth of the goodput at
// 1.5 times the capacity.
func TestModelNoClassStarves(t *testing.T) {
	is := is.New(t)
	r := run(scenario{endpoints: 20, entries: 3, load: 1.5, policy: "predicted", drr: true, seconds: 200, seed: 2})
	for class, goodputByClass := range r.goodputByClass {
		t.Logf("%s: %.0f tokens a second, %d of %d refused", route.Class(class), goodputByClass, r.refused[class], r.arrived[class])
		is.True(goodputByClass > 0.1*r.goodput())
	}
}
