package placement

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestPlacementFollowsDemand(t *testing.T) {
	cases := []struct {
		name   string
		counts []int
		worth  []float64
		want   []int
	}{
		{"balanced load", []int{6, 6}, []float64{3, 3}, []int{6, 6}},
		{"one overloaded model", []int{9, 3}, []float64{2, 6}, []int{4, 8}},
		{"utilization between the thresholds moves nothing", []int{6, 6}, []float64{4.7, 3.5}, []int{6, 6}},
		{"no model has spare capacity", []int{4, 4}, []float64{3.9, 3.9}, []int{4, 4}},
		{"a model keeps its last endpoint", []int{1, 3}, []float64{0, 9}, []int{1, 3}},
		{"a model without an endpoint", []int{4, 0}, []float64{2, 0.5}, []int{3, 1}},
		{"no demand, no move", []int{4, 2}, []float64{0, 0}, []int{4, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.counts...)
			simulate(New(DefaultSettings()), f, newDemands(c.worth...), 0, 3600)
			var got []int
			for i := range c.counts {
				got = append(got, f.serving(string(rune('a'+i))))
			}
			is.Equal(got, c.want)
			is.Equal(f.broken, 0)
		})
	}
}

func TestDrainsBeforeLoading(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 2)
	orders := simulate(New(DefaultSettings()), f, newDemands(1, 2.3), 0, 600)
	is.Equal(len(orders), 3)
	is.Equal(orders[0].Action, Drain)
	is.Equal(orders[1].Action, Load)
	is.Equal(orders[2].Action, Resume)
	is.Equal(orders[1].Value, "b")
	is.Equal(orders[0].Reason, "b has utilization 1.15 on 2 endpoints; donor model: a")
	is.Equal(f.get(orders[0].Endpoint).Zone, "z2") // b already has endpoints in z0 and z1
}

func TestShortPeakMovesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 2)
	p := New(DefaultSettings())
	for i := range 20 {
		is.Equal(simulate(p, f, newDemands(1, 2.3), 300*i, 60), nil)
		is.Equal(simulate(p, f, newDemands(1, 1), 300*i+60, 240), nil)
	}
}

func TestVersionsUpdateOneEndpointAtATime(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 1)
	demands := newDemands(1, 0.5)
	demands[0].Version, demands[1].Version = "2", "2"
	p := New(DefaultSettings())
	for s := range 1800 {
		simulate(p, f, demands, s*10, 10)
		is.True(f.serving("a") >= 3)
		is.True(f.serving("b") == 1)
	}
	for _, e := range f.endpoints {
		is.Equal(e.Version == "2", e.Model == "a") // the only endpoint of b isn't updated
	}
}

func TestRolesAndAdapters(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	demands := newDemands(1)
	demands[0].Role = "decode"
	demands[0].Adapters = []string{"breton"}
	simulate(New(DefaultSettings()), f, demands, 0, 1800)
	var zones []string
	for _, e := range f.endpoints {
		is.Equal(e.Role, "decode")
		if slices.Contains(e.Adapters, "breton") {
			zones = append(zones, e.Zone)
		}
	}
	is.Equal(len(zones), 2)
	is.True(zones[0] != zones[1])
}

func TestOrderWithoutEffectIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 2)
	f.endpoints[2].InFlight = 0
	p := New(DefaultSettings())
	var loads []int
	for s := 0; s < 3000; s += 10 {
		for _, o := range p.Plan(at(s), f.endpoints, newDemands(1, 2.3)) {
			if o.Action == Load {
				loads = append(loads, s)
			}
			f.get(o.Endpoint).InFlight = 0
		}
	}
	is.Equal(loads, []int{130, 730, 1330, 1930, 2530})
}

// TestPlansKeepInvariants checks for any demand and any operator actions: an endpoint
// is drained before it loads, at most two loads share the weight store, no model
// loses its last endpoint in service, and the order of the inputs does not matter.
func TestPlansKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := DefaultSettings()
		set.HighUtilizationDelay = 0
		f := newFleet(4, 3, 2)
		p, twin := New(set), New(set)
		demands := newDemands(1, 1, 1)
		s := 0
		t.Repeat(map[string]func(*rapid.T){
			"demand": func(t *rapid.T) {
				worth := rapid.SliceOfN(rapid.Float64Range(0, 6), 3, 3).Draw(t, "worth")
				demands = newDemands(worth...)
				demands[0].Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
			},
			"operator": func(t *rapid.T) {
				e := &f.endpoints[rapid.IntRange(0, len(f.endpoints)-1).Draw(t, "endpoint")]
				e.InService = !e.InService
			},
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 200).Draw(t, "seconds") {
					s++
					f.step(float64(gib))
				}
			},
			"": func(t *rapid.T) {
				before := []int{f.serving("a"), f.serving("b"), f.serving("c")}
				orders := p.Plan(at(s), f.endpoints, demands)
				same := twin.Plan(at(s), f.shuffled(uint64(s)), demands)
				if !slices.Equal(orders, same) {
					t.Fatalf("plan depends on the order of the inputs: %v and %v", orders, same)
				}
				for _, o := range orders {
					if o.Action != Drain && o.Action != Resume && (!f.drained[o.Endpoint] || f.get(o.Endpoint).InFlight > 0) {
						t.Fatalf("order %v before the endpoint is drained", o)
					}
					f.apply(o, 60*gib)
				}
				if len(f.loads) > 2 {
					t.Fatalf("%d concurrent loads", len(f.loads))
				}
				for i, n := range before {
					if model := string(rune('a' + i)); n > 0 && f.serving(model) == 0 {
						t.Fatalf("no endpoint serves %s after %v", model, orders)
					}
				}
			},
		})
	})
}
