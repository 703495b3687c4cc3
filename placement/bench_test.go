package placement

import (
	"fmt"
	"testing"
)

// loadAtOnce is the baseline of BenchmarkDemandShift: it orders all loads that the demand
// requires at once, on the first endpoints of other models, without draining them.
func loadAtOnce(f *fleet, demands []Demand) []Order {
	var orders []Order
	taken := map[string]bool{}
	for i := range demands {
		d := &demands[i]
		missing := int(d.TokensPerSecond/d.EndpointTokensPerSecond/DefaultSettings().HighUtilization+1) - f.serving(d.Model)
		for j := range f.endpoints {
			e := &f.endpoints[j]
			if missing > 0 && e.Model != d.Model && !taken[e.Name] {
				taken[e.Name] = true
				missing--
				orders = append(orders, Order{Endpoint: e.Name, Action: Load, Value: d.Model})
			}
		}
	}
	return orders
}

// shiftCost is the cost of a shift of demand from one model to another.
type shiftCost struct {
	// broken is the number of attempts that an order interrupted.
	broken int
	// unserved is the demand that exceeded the capacity, in endpoint seconds, and
	// minServing the fewest endpoints that accepted work at any time.
	unserved   float64
	minServing int
}

// simulateShift simulates an hour after a shift of demand: 14 of 20 endpoints serve the
// first model, and most of the demand is for the second.
func simulateShift(plan func(step int, f *fleet, demands []Demand) []Order) shiftCost {
	f := newFleet(14, 6)
	demands := newDemands(3, 10)
	out := shiftCost{minServing: len(f.endpoints)}
	for s := range 3600 {
		if s%10 == 0 {
			for _, o := range plan(s, f, demands) {
				f.apply(o, 60*gib)
			}
		}
		f.step(float64(gib))
		serving := 0
		for i := range demands {
			n := f.serving(demands[i].Model)
			serving += n
			out.unserved += max(demands[i].TokensPerSecond/demands[i].EndpointTokensPerSecond-float64(n), 0)
		}
		out.minServing = min(out.minServing, serving)
	}
	out.broken = f.broken
	return out
}

// BenchmarkDemandShift compares the planner with loading everything at once. It reports
// counts from a simulated hour.
func BenchmarkDemandShift(b *testing.B) {
	report := func(b *testing.B, out shiftCost) {
		b.ReportMetric(float64(out.broken), "broken")
		b.ReportMetric(out.unserved, "unserved-endpoint-s")
		b.ReportMetric(float64(out.minServing), "lowest-endpoints")
		b.ReportMetric(0, "ns/op")
	}
	b.Run("at-once", func(b *testing.B) {
		report(b, simulateShift(func(step int, f *fleet, demands []Demand) []Order {
			if step > 0 {
				return nil
			}
			return loadAtOnce(f, demands)
		}))
	})
	b.Run("planner", func(b *testing.B) {
		p := New(DefaultSettings())
		report(b, simulateShift(func(step int, f *fleet, demands []Demand) []Order {
			return p.Plan(at(step), f.endpoints, demands)
		}))
	})
}

// BenchmarkPlan measures a plan for 600 endpoints and 27 models.
func BenchmarkPlan(b *testing.B) {
	f := newFleet()
	var demands []Demand
	for i := range 600 {
		f.endpoints = append(f.endpoints, Endpoint{
			Name: fmt.Sprintf("e%03d", i), Zone: fmt.Sprintf("z%d", i%5), Model: fmt.Sprintf("m%02d", i%27), Version: "1", InService: true,
		})
	}
	for i := range 27 {
		demands = append(demands, Demand{Model: fmt.Sprintf("m%02d", i), TokensPerSecond: 10 + float64(i%5)*3, EndpointTokensPerSecond: 1, Version: "1"})
	}
	p := New(DefaultSettings())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Plan(at(i), f.endpoints, demands)
	}
}
