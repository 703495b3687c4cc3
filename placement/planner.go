package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Planner decides on orders. It is deterministic: the same calls in the same order
// lead to the same decisions.
type Planner struct {
	set   Settings
	moves map[string]*move
	// high is since when a model's use has been high.
	high map[string]time.Time
	// asked is when an endpoint was last ordered to take an adapter.
	asked map[adapterOn]time.Time
}

// adapterOn is an adapter on an endpoint.
type adapterOn struct {
	endpoint string
	adapter  string
}

// move is a change of one endpoint that has begun.
type move struct {
	action Action
	value  string
	// model is the one that the endpoint serves after the move, and bytes what it
	// reads from the weight store.
	model string
	bytes int64
	// ordered is when the engine got the order; zero while the endpoint drains.
	ordered time.Time
}

// New returns a planner with no move under way.
func New(set Settings) *Planner {
	return &Planner{set: set, moves: map[string]*move{}, high: map[string]time.Time{}, asked: map[adapterOn]time.Time{}}
}

// Plan returns the orders to give now, in order.
func (p *Planner) Plan(now time.Time, endpoints []Endpoint, demands []Demand) []Order {
	v := newView(endpoints, demands)
	var orders []Order
	orders = p.advance(now, v, orders)
	orders = p.balance(now, v, orders)
	orders = p.renew(v, orders)
	return p.adapters(now, v, orders)
}

// view is the fleet at one moment.
type view struct {
	endpoints []Endpoint
	demands   []Demand
}

func newView(endpoints []Endpoint, demands []Demand) *view {
	v := &view{endpoints: slices.Clone(endpoints), demands: slices.Clone(demands)}
	slices.SortFunc(v.endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(v.demands, func(a, b Demand) int { return cmp.Compare(a.Model, b.Model) })
	return v
}

func (v *view) endpoint(name string) *Endpoint {
	for i := range v.endpoints {
		if v.endpoints[i].Name == name {
			return &v.endpoints[i]
		}
	}
	return nil
}

func (v *view) demand(model string) *Demand {
	for i := range v.demands {
		if v.demands[i].Model == model {
			return &v.demands[i]
		}
	}
	return nil
}

// advance takes the moves under way one step further.
func (p *Planner) advance(now time.Time, v *view, orders []Order) []Order {
	for i := range v.endpoints {
		e := &v.endpoints[i]
		m := p.moves[e.Name]
		if m == nil {
			continue
		}
		switch {
		case m.done(e):
			delete(p.moves, e.Name)
			orders = append(orders, Order{Endpoint: e.Name, Action: Resume, Reason: fmt.Sprintf("%s %s is loaded", m.action, m.value)})
		case m.ordered.IsZero() && !e.InService:
			delete(p.moves, e.Name)
			orders = append(orders, Order{Endpoint: e.Name, Action: Resume, Reason: "taken out of service while it drained"})
		case m.ordered.IsZero() && e.InFlight == 0:
			m.ordered = now
			orders = append(orders, Order{Endpoint: e.Name, Action: m.action, Value: m.value, Reason: "drained"})
		case !m.ordered.IsZero() && now.Sub(m.ordered) >= p.set.RetryInterval:
			m.ordered = now
			orders = append(orders, Order{Endpoint: e.Name, Action: m.action, Value: m.value, Reason: "the first order had no effect"})
		}
	}
	p.forget(v)
	return orders
}

func (m *move) done(e *Endpoint) bool {
	if m.ordered.IsZero() {
		return false
	}
	switch m.action {
	case Load:
		return e.Model == m.value
	case Version:
		return e.Version == m.value
	}
	return e.Role == m.value
}

// forget drops the moves of endpoints that are gone.
func (p *Planner) forget(v *view) {
	for name := range p.moves {
		if v.endpoint(name) == nil {
			delete(p.moves, name)
		}
	}
	for on := range p.asked {
		if v.endpoint(on.endpoint) == nil {
			delete(p.asked, on)
		}
	}
}

// begin starts a move of an endpoint.
func (p *Planner) begin(e *Endpoint, m move, orders []Order, reason string) []Order {
	p.moves[e.Name] = &m
	return append(orders, Order{Endpoint: e.Name, Action: Drain, Reason: reason})
}

// storeHasRoom reports whether the weight store can serve one more load in time.
func (p *Planner) storeHasRoom(bytes int64) bool {
	if bytes == 0 {
		return true
	}
	limit := int64(float64(p.set.StoreBytesPerSecond) * p.set.LoadWindow.Seconds())
	reading := int64(0)
	for _, m := range p.moves {
		reading += m.bytes
	}
	return reading == 0 || reading+bytes <= limit
}

// serving returns how many endpoints serve a model now, and how many will once the
// moves under way are done.
func (p *Planner) serving(v *view, model string) (now, later int) {
	for i := range v.endpoints {
		e := &v.endpoints[i]
		m := p.moves[e.Name]
		switch {
		case !e.InService:
		case m == nil && e.Model == model:
			now++
			later++
		case m != nil && m.model == model:
			later++
		}
	}
	return now, later
}

// inZone returns how many endpoints of a zone serve or will serve a model.
func (p *Planner) inZone(v *view, model, zone string) int {
	n := 0
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.InService || e.Zone != zone {
			continue
		}
		m := p.moves[e.Name]
		if (m == nil && e.Model == model) || (m != nil && m.model == model) {
			n++
		}
	}
	return n
}
