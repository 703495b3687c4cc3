package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const giga = int64(1) << 30

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

// fleet is a stand-in of endpoints that carry out orders. Loads share the rate of
// the weight store.
type fleet struct {
	endpoints []Endpoint
	drained   map[string]bool
	// left is what an endpoint still has to read, and loads the order it carries out.
	left  map[string]float64
	loads map[string]Order
	// broken counts attempts that an order cut off.
	broken int
}

// newFleet spreads endpoints over three availability zones; counts says how many serve
// the models a, b and so on.
func newFleet(counts ...int) *fleet {
	f := &fleet{drained: map[string]bool{}, left: map[string]float64{}, loads: map[string]Order{}}
	for model, count := range counts {
		for range count {
			i := len(f.endpoints)
			f.endpoints = append(f.endpoints, Endpoint{
				Name: fmt.Sprintf("e%02d", i), Zone: fmt.Sprintf("z%d", i%3),
				Model: string(rune('a' + model)), Version: "1", InService: true, InFlight: 4,
			})
		}
	}
	return f
}

func (f *fleet) get(name string) *Endpoint {
	i := slices.IndexFunc(f.endpoints, func(e Endpoint) bool { return e.Name == name })
	return &f.endpoints[i]
}

// take starts an order of bytes to read.
func (f *fleet) take(o Order, bytes int64) {
	e := f.get(o.Endpoint)
	switch o.Action {
	case Drain:
		f.drained[e.Name] = true
	case Resume:
		delete(f.drained, e.Name)
	case Adapter:
		e.Adapters = append(e.Adapters, o.Value)
	default:
		f.broken += e.InFlight
		e.InFlight = 0
		f.loads[e.Name] = o
		f.left[e.Name] = float64(bytes)
	}
}

// second lets a second pass in which the weight store delivers bytes.
func (f *fleet) second(bytes float64) {
	share := bytes / float64(max(len(f.loads), 1))
	for _, o := range f.loads {
		f.left[o.Endpoint] -= share
		if f.left[o.Endpoint] <= 0 {
			f.finish(o)
		}
	}
	for i := range f.endpoints {
		e := &f.endpoints[i]
		if f.drained[e.Name] && e.InFlight > 0 {
			e.InFlight--
		}
	}
}

func (f *fleet) finish(o Order) {
	e := f.get(o.Endpoint)
	delete(f.loads, e.Name)
	switch o.Action {
	case Load:
		e.Model = o.Value
	case Version:
		e.Version = o.Value
	case Role:
		e.Role = o.Value
	}
}

// able returns how many endpoints take new work for a model.
func (f *fleet) able(model string) int {
	n := 0
	for _, e := range f.endpoints {
		_, loading := f.loads[e.Name]
		if e.Model == model && e.InService && !loading && !f.drained[e.Name] {
			n++
		}
	}
	return n
}

func (f *fleet) shuffled(seed uint64) []Endpoint {
	list := slices.Clone(f.endpoints)
	rng := rand.New(rand.NewPCG(seed, 0))
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// demand returns the demand of models a, b and so on, in endpoints' worth of work.
func demand(worth ...float64) []Demand {
	var list []Demand
	for i, w := range worth {
		list = append(list, Demand{
			Model: string(rune('a' + i)), TokensPerSecond: 1000 * w, EndpointTokensPerSecond: 1000,
			WeightBytes: 60 * giga, Version: "1",
		})
	}
	return list
}

// run lets a planner work for some seconds, one plan each 10 s, and returns all orders.
func run(p *Planner, f *fleet, demands []Demand, from, seconds int) []Order {
	var all []Order
	for s := range seconds {
		if s%10 == 0 {
			for _, o := range p.Plan(at(from+s), f.endpoints, demands) {
				f.take(o, 60*giga)
				all = append(all, o)
			}
		}
		f.second(float64(giga))
	}
	return all
}
