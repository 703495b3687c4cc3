package placement

import (
	"fmt"
	"testing"
)

// naive orders every change at once: as many loads as the demand asks for, on the
// first endpoints that others serve, without a drain.
func naive(f *fleet, demands []Demand) []Order {
	var orders []Order
	taken := map[string]bool{}
	for i := range demands {
		d := &demands[i]
		missing := int(d.TokensPerSecond/d.EndpointTokensPerSecond/DefaultSettings().HighUtilization+1) - f.able(d.Model)
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

// outcome is what a shift of demand cost.
type outcome struct {
	broken int
	// unserved is the work that found no capacity, in endpoint seconds, and lowest
	// the fewest endpoints that took work at any time.
	unserved float64
	lowest   int
}

// shift lets the demand of 20 endpoints go over from one model to another.
func shift(plan func(second int, f *fleet, demands []Demand) []Order) outcome {
	f := newFleet(14, 6)
	demands := demand(3, 10)
	out := outcome{lowest: len(f.endpoints)}
	for s := range 3600 {
		if s%10 == 0 {
			for _, o := range plan(s, f, demands) {
				f.take(o, 60*giga)
			}
		}
		f.second(float64(giga))
		able := 0
		for i := range demands {
			n := f.able(demands[i].Model)
			able += n
			out.unserved += max(demands[i].TokensPerSecond/demands[i].EndpointTokensPerSecond-float64(n), 0)
		}
		out.lowest = min(out.lowest, able)
	}
	out.broken = f.broken
	return out
}

// BenchmarkShift compares the planner with loading everything at once. It reports
// counts of a simulated hour.
func BenchmarkShift(b *testing.B) {
	report := func(b *testing.B, out outcome) {
		b.ReportMetric(float64(out.broken), "broken")
		b.ReportMetric(out.unserved, "unserved-endpoint-s")
		b.ReportMetric(float64(out.lowest), "lowest-endpoints")
		b.ReportMetric(0, "ns/op")
	}
	b.Run("at-once", func(b *testing.B) {
		report(b, shift(func(second int, f *fleet, demands []Demand) []Order {
			if second > 0 {
				return nil
			}
			return naive(f, demands)
		}))
	})
	b.Run("planner", func(b *testing.B) {
		p := New(DefaultSettings())
		report(b, shift(func(second int, f *fleet, demands []Demand) []Order {
			return p.Plan(at(second), f.endpoints, demands)
		}))
	})
}

// BenchmarkPlan plans for 600 endpoints of 27 models.
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
