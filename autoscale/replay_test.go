package autoscale

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const slotsPerEndpoint = 8

// replay gives a Scaler the load of one service, second by second. Endpoints serve a boot time after they
// were ordered, and end at once.
type replay struct {
	t      *testing.T
	scaler *Scaler
	limits Limits
	second int
	// serving are the endpoints that serve, and booting when those serve that were ordered, by zone.
	serving map[string]int
	booting map[string][]int
	counts  map[string]int
	out     map[string]bool
	// changes are all orders, and at the seconds in which they were decided.
	changes []Change
	at      []int
}

func newReplay(t *testing.T, boot time.Duration, serving map[string]int) *replay {
	r := &replay{t: t, scaler: NewScaler(), limits: Limits{Min: 1, Max: 100, BootTime: boot}, serving: serving, booting: map[string][]int{}, counts: map[string]int{}, out: map[string]bool{}}
	for z, n := range serving {
		r.counts[z] = n
	}
	return r
}

func (r *replay) now() time.Time { return time.Unix(1_000_000+int64(r.second), 0) }

// step offers a number of requests at once in each zone, which use slots or wait, and carries out the orders.
func (r *replay) step(offered map[string]float64) {
	r.t.Helper()
	r.second++
	zones := map[string]Zone{}
	for z := range r.serving {
		for len(r.booting[z]) > 0 && r.booting[z][0] <= r.second {
			r.booting[z] = r.booting[z][1:]
			r.serving[z]++
		}
		busy := min(offered[z], float64(r.serving[z]*slotsPerEndpoint))
		// Half of the booting endpoints have registered, as cold.
		zones[z] = Zone{
			Demand: Demand{Busy: busy, Waiting: offered[z] - busy}, Serving: r.serving[z], Starting: len(r.booting[z]) / 2,
			Slots: slotsPerEndpoint, Out: r.out[z],
		}
	}
	for _, c := range r.scaler.Observe(r.now(), "scribe", r.limits, zones) {
		z := c.Zone
		if c.Count < r.limits.Min || c.Count > r.limits.Max || c.Count == r.counts[z] || c.From != r.counts[z] {
			r.t.Fatalf("second %d: order %+v after %d, limits %+v", r.second, c.ScaleOrder, r.counts[z], r.limits)
		}
		for range c.Count - r.counts[z] {
			r.booting[z] = append(r.booting[z], r.second+int(r.limits.BootTime.Seconds()))
		}
		for range r.counts[z] - c.Count {
			if n := len(r.booting[z]); n > 0 {
				r.booting[z] = r.booting[z][:n-1]
			} else {
				r.serving[z]--
			}
		}
		r.counts[z] = c.Count
		r.changes, r.at = append(r.changes, c), append(r.at, r.second)
	}
}

// run offers the same load in zone a for some seconds.
func (r *replay) run(seconds int, offered float64) {
	for range seconds {
		r.step(map[string]float64{"a": offered})
	}
}

// TestEndpointsServeBeforeARampNeedsThem guards against counts that follow the demand a boot time late.
func TestEndpointsServeBeforeARampNeedsThem(t *testing.T) {
	r := newReplay(t, 20*time.Second, map[string]int{"a": 5})
	r.run(20, 20)
	// The trend is known TrendTime after the ramp has begun, and endpoints serve BootTime later.
	known := int((TrendTime + r.limits.BootTime).Seconds())
	for i := range 150 {
		offered := 20 + 0.8*float64(i)
		r.step(map[string]float64{"a": offered})
		if capacity := float64(r.serving["a"] * slotsPerEndpoint); offered > capacity {
			t.Logf("second %d of the ramp: %v requests for %v slots", i, offered, capacity)
			if i >= known {
				t.Fail()
			}
		}
	}
}

// TestShortBurstsOrderLittle guards against paying for endpoints that serve after the burst has ended.
func TestShortBurstsOrderLittle(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, 30*time.Second, map[string]int{"a": 4})
	r.run(20, 20)
	r.run(2, 200)
	r.run(20, 20)
	is.Equal(len(r.changes), 0) // a burst that ends within half of the time of measurement changes nothing

	// A longer burst that still is shorter than the boot time is covered, and not extrapolated. Requests
	// beyond three times the slots do not count.
	r.run(8, 60)
	is.True(r.counts["a"] > 4)
	is.True(r.counts["a"] <= 11) // 60 slots at a utilization of 0.7
	r.run(240, 20)
	is.Equal(r.counts["a"], 4)
}

// TestCountFallsLateAndByAFifth guards against giving up endpoints that are needed again soon.
func TestCountFallsLateAndByAFifth(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, 10*time.Second, map[string]int{"a": 50})
	r.run(60, 280)
	is.Equal(len(r.changes), 0)
	fell := r.second
	r.run(400, 5)
	is.Equal(r.counts["a"], 1)
	last := fell + int(HoldTime.Seconds()) - int(LowerInterval.Seconds())
	for i, c := range r.changes {
		is.True(c.From-c.Count <= max(1, c.From/5))
		is.True(r.at[i]-last >= int(LowerInterval.Seconds()))
		last = r.at[i]
	}
}

// TestVaryingDemandChangesNoOrder guards against endpoints that start and stop with each wave of load.
func TestVaryingDemandChangesNoOrder(t *testing.T) {
	for _, period := range []int{1, 2, 3, 5, 8, 13, 21, 25} {
		r := newReplay(t, 20*time.Second, map[string]int{"a": 10})
		for i := range 600 {
			r.step(map[string]float64{"a": 30 + 25*float64(i/period%2)})
		}
		for i, c := range r.changes {
			if c.Count < c.From || r.at[i] > 100 {
				t.Errorf("waves of %d s: second %d: %d after %d", period, r.at[i], c.Count, c.From)
			}
		}
	}
}

// TestBootingEndpointsAreNotOrderedAgain guards against orders that grow in each second in which the ordered
// endpoints do not serve yet, or count as capacity before they do.
func TestBootingEndpointsAreNotOrderedAgain(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, 40*time.Second, map[string]int{"a": 4})
	r.run(12, 20)
	r.run(10, 45)
	after := r.counts["a"]
	is.Equal(after, 9) // 45 slots at 0.7
	r.run(60, 45)
	is.Equal(r.counts["a"], after)
	is.Equal(r.serving["a"], after)
}

// TestZoneOutMovesItsDemand guards against the loss of a zone's capacity: the others are to take its demand, and
// it is to fall to the least count.
func TestZoneOutMovesItsDemand(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, 20*time.Second, map[string]int{"a": 4, "b": 4, "c": 4})
	load := map[string]float64{"a": 20, "b": 20, "c": 20}
	for range 40 {
		r.step(load)
	}
	is.Equal(len(r.changes), 0)
	r.out["c"] = true
	r.step(load)
	is.Equal(r.counts, map[string]int{"a": 6, "b": 6, "c": 4}) // 30 slots each at 0.7, at once
	for range 200 {
		r.step(map[string]float64{"a": 30, "b": 30})
	}
	is.Equal(r.counts, map[string]int{"a": 6, "b": 6, "c": 1})

	r.out = map[string]bool{"a": true, "b": true, "c": true}
	before := len(r.changes)
	for range 60 {
		r.step(nil)
	}
	is.Equal(len(r.changes), before) // with all zones out, nothing tells where the demand goes
}

// TestNewLeaderWaitsForSamples guards against counts that a leader without history decides, which would
// stop endpoints that an earlier leader ordered.
func TestNewLeaderWaitsForSamples(t *testing.T) {
	is := is.New(t)
	r := newReplay(t, 20*time.Second, map[string]int{"a": 4})
	r.run(9, 32)
	is.Equal(len(r.scaler.Orders(r.now())), 0)
	r.run(1, 32)
	is.Equal(r.scaler.Orders(r.now()), []ScaleOrder{{Service: "scribe", Zone: "a", Count: 6}})
	is.Equal(r.scaler.Orders(r.now()), []ScaleOrder{{Service: "scribe", Zone: "a", Count: 6}}) // again: the first may be lost
	is.Equal(len(r.scaler.Orders(r.now().Add(time.Minute))), 0)                                // outdated

	r.second += 60 // no samples for a minute
	r.run(9, 0)
	is.Equal(len(r.scaler.Orders(r.now())), 0)
	r.run(20, 0)
	is.Equal(r.counts["a"], 6)

	r.scaler.Retain(nil) // the service is no longer scaled
	is.Equal(len(r.scaler.Orders(r.now())), 0)
}

// TestZonesWithoutEndpoints guards against orders in zones that only have entries, and against a service
// that cannot start from nothing.
func TestZonesWithoutEndpoints(t *testing.T) {
	is := is.New(t)
	s, now := NewScaler(), time.Unix(1_000_000, 0)
	limits := Limits{Max: 10, Slots: slotsPerEndpoint}
	observe := func(zones map[string]Zone) {
		for range 10 {
			now = now.Add(time.Second)
			s.Observe(now, "scribe", limits, zones)
		}
	}
	observe(map[string]Zone{"a": {Demand: Demand{Waiting: 1}}})
	is.Equal(s.Orders(now), []ScaleOrder{{Service: "scribe", Zone: "a", Count: 1}})

	observe(map[string]Zone{"a": {Demand: Demand{Waiting: 1}}, "b": {Serving: 1, Slots: slotsPerEndpoint}})
	observe(map[string]Zone{"a": {Demand: Demand{Waiting: 20}}, "b": {Serving: 1, Slots: slotsPerEndpoint}})
	is.Equal(s.Orders(now), []ScaleOrder{{Service: "scribe", Zone: "a", Count: 4}}) // what was ordered there still starts

	s = NewScaler()
	observe(map[string]Zone{"a": {Demand: Demand{Waiting: 20}}, "b": {Serving: 1, Slots: slotsPerEndpoint}})
	is.Equal(s.Orders(now), []ScaleOrder{{Service: "scribe", Zone: "b", Count: 4}})
}
