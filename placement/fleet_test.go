package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const gib = int64(1) << 30

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

// fleet simulates endpoints that carry out orders. Concurrent loads share the rate of
// the weight store.
type fleet struct {
	endpoints []Endpoint
	drained   map[string]bool
	// bytesLeft is what an endpoint still has to read, and loads the order that it carries
	// out.
	bytesLeft map[string]float64
	loads     map[string]Order
	// broken counts the attempts that an order interrupted.
	broken int
}

// newFleet returns endpoints spread over three availability zones. counts are the
// numbers of endpoints that serve the models a, b and so on.
func newFleet(counts ...int) *fleet {
	f := &fleet{drained: map[string]bool{}, bytesLeft: map[string]float64{}, loads: map[string]Order{}}
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

// apply starts an order, which reads bytes from the weight store.
func (f *fleet) apply(o Order, bytes int64) {
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
		f.bytesLeft[e.Name] = float64(bytes)
	}
}

// step simulates one second, in which the weight store delivers bytes.
func (f *fleet) step(bytes float64) {
	share := bytes / float64(max(len(f.loads), 1))
	for _, o := range f.loads {
		f.bytesLeft[o.Endpoint] -= share
		if f.bytesLeft[o.Endpoint] <= 0 {
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

// finish completes an order to load.
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

// serving returns how many endpoints accept new work for a model.
func (f *fleet) serving(model string) int {
	n := 0
	for _, e := range f.endpoints {
		_, loading := f.loads[e.Name]
		if e.Model == model && e.InService && !loading && !f.drained[e.Name] {
			n++
		}
	}
	return n
}

// shuffled returns the endpoints in a random order.
func (f *fleet) shuffled(seed uint64) []Endpoint {
	list := slices.Clone(f.endpoints)
	rng := rand.New(rand.NewPCG(seed, 0))
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// newDemands returns the demands for the models a, b and so on, as multiples of the
// capacity of one endpoint.
func newDemands(worth ...float64) []Demand {
	var list []Demand
	for i, w := range worth {
		list = append(list, Demand{
			Model: string(rune('a' + i)), TokensPerSecond: 1000 * w, EndpointTokensPerSecond: 1000,
			WeightBytes: 60 * gib, Version: "1",
		})
	}
	return list
}

// simulate lets a planner plan every 10 s for some seconds, and returns all orders.
func simulate(p *Planner, f *fleet, demands []Demand, from, seconds int) []Order {
	var all []Order
	for s := range seconds {
		if s%10 == 0 {
			for _, o := range p.Plan(at(from+s), f.endpoints, demands) {
				f.apply(o, 60*gib)
				all = append(all, o)
			}
		}
		f.step(float64(gib))
	}
	return all
}
