package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Planner decides on orders. It is deterministic: the same calls in the same order
// lead to the same decisions. A Planner isn't safe for concurrent use.
type Planner struct {
	settings Settings
	// moves maps an endpoint to its move in progress.
	moves map[string]*move
	// highSince maps a model to the time since when its utilization has been high.
	highSince map[string]time.Time
	// adapterOrdered is the time of the last order to load an adapter on an endpoint.
	adapterOrdered map[adapterPlacement]time.Time
}

// adapterPlacement is an adapter on an endpoint.
type adapterPlacement struct {
	endpoint string
	adapter  string
}

// move is a change of one endpoint that is in progress.
type move struct {
	action Action
	value  string
	// model is the model that the endpoint serves after the move. bytes is the number of
	// bytes that the endpoint reads from the weight store.
	model string
	bytes int64
	// ordered is the time at which the engine got the order, or zero while the endpoint
	// drains.
	ordered time.Time
}

// New returns a planner with no move in progress.
func New(settings Settings) *Planner {
	return &Planner{settings: settings, moves: map[string]*move{}, highSince: map[string]time.Time{}, adapterOrdered: map[adapterPlacement]time.Time{}}
}

// Plan returns the orders to give now, in this order.
func (p *Planner) Plan(now time.Time, endpoints []Endpoint, demands []Demand) []Order {
	v := newFleetState(endpoints, demands)
	var orders []Order
	orders = p.advanceMoves(now, v, orders)
	orders = p.balance(now, v, orders)
	orders = p.updateVersionsAndRoles(v, orders)
	return p.placeAdapters(now, v, orders)
}

// fleetState is the state of all endpoints and demands at one moment, each sorted by
// name.
type fleetState struct {
	endpoints []Endpoint
	demands   []Demand
}

func newFleetState(endpoints []Endpoint, demands []Demand) *fleetState {
	v := &fleetState{endpoints: slices.Clone(endpoints), demands: slices.Clone(demands)}
	slices.SortFunc(v.endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(v.demands, func(a, b Demand) int { return cmp.Compare(a.Model, b.Model) })
	return v
}

func (v *fleetState) endpoint(name string) *Endpoint {
	for i := range v.endpoints {
		if v.endpoints[i].Name == name {
			return &v.endpoints[i]
		}
	}
	return nil
}

func (v *fleetState) demand(model string) *Demand {
	for i := range v.demands {
		if v.demands[i].Model == model {
			return &v.demands[i]
		}
	}
	return nil
}

// advanceMoves gives the next order of each move in progress, and ends the moves that
// are done.
func (p *Planner) advanceMoves(now time.Time, v *fleetState, orders []Order) []Order {
	for i := range v.endpoints {
		e := &v.endpoints[i]
		m := p.moves[e.Name]
		if m == nil {
			continue
		}
		switch {
		case m.done(e):
			delete(p.moves, e.Name)
			orders = append(orders, Order{Endpoint: e.Name, Action: Resume, Reason: fmt.Sprintf("%s %s is complete", m.action, m.value)})
		case m.ordered.IsZero() && !e.InService:
			delete(p.moves, e.Name)
			orders = append(orders, Order{Endpoint: e.Name, Action: Resume, Reason: "endpoint was taken out of service while it drained"})
		case m.ordered.IsZero() && e.InFlight == 0:
			m.ordered = now
			orders = append(orders, Order{Endpoint: e.Name, Action: m.action, Value: m.value, Reason: "drained"})
		case !m.ordered.IsZero() && now.Sub(m.ordered) >= p.settings.RetryInterval:
			m.ordered = now
			orders = append(orders, Order{Endpoint: e.Name, Action: m.action, Value: m.value, Reason: "the previous order had no effect"})
		}
	}
	p.dropMissing(v)
	return orders
}

// done reports whether the endpoint has loaded what it was ordered to load.
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

// dropMissing forgets moves and adapter orders of endpoints that no longer exist.
func (p *Planner) dropMissing(v *fleetState) {
	for name := range p.moves {
		if v.endpoint(name) == nil {
			delete(p.moves, name)
		}
	}
	for placement := range p.adapterOrdered {
		if v.endpoint(placement.endpoint) == nil {
			delete(p.adapterOrdered, placement)
		}
	}
}

// startMove starts a move with an order to drain the endpoint.
func (p *Planner) startMove(e *Endpoint, m move, orders []Order, reason string) []Order {
	p.moves[e.Name] = &m
	return append(orders, Order{Endpoint: e.Name, Action: Drain, Reason: reason})
}

// storeCanServe reports whether the weight store can serve another load of this size
// within LoadWindow, beside the moves in progress.
func (p *Planner) storeCanServe(bytes int64) bool {
	if bytes == 0 {
		return true
	}
	limit := int64(float64(p.settings.StoreBytesPerSecond) * p.settings.LoadWindow.Seconds())
	reading := int64(0)
	for _, m := range p.moves {
		reading += m.bytes
	}
	return reading == 0 || reading+bytes <= limit
}

// serving returns how many endpoints serve a model now, and how many will do so after
// the moves in progress.
func (p *Planner) serving(v *fleetState, model string) (now, later int) {
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

// inZone returns how many endpoints of a zone serve a model, or will do so after the
// moves in progress.
func (p *Planner) inZone(v *fleetState, model, zone string) int {
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
