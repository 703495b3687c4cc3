package placement

import (
	"fmt"
	"slices"
	"time"
)

// renew changes versions and roles, one endpoint of a model at a time.
func (p *Planner) renew(v *view, orders []Order) []Order {
	for i := range v.demands {
		d := &v.demands[i]
		serving, later := p.serving(v, d.Model)
		if serving < 2 || serving != later {
			continue // the last endpoint stays in service, and so does all but one
		}
		for j := range v.endpoints {
			e := &v.endpoints[j]
			if e.Model != d.Model || !e.InService || p.moves[e.Name] != nil {
				continue
			}
			m, reason, ok := renewal(d, e)
			if ok && p.storeHasRoom(m.bytes) {
				orders = p.begin(e, m, orders, reason)
				break
			}
		}
	}
	return orders
}

// renewal returns the move that an endpoint needs to serve its model as wanted.
func renewal(d *Demand, e *Endpoint) (move, string, bool) {
	switch {
	case d.Version != "" && e.Version != d.Version:
		m := move{action: Version, value: d.Version, model: d.Model, bytes: d.WeightBytes}
		return m, fmt.Sprintf("version %s of %s is wanted, not %s", d.Version, d.Model, e.Version), true
	case d.Role != "" && e.Role != d.Role:
		m := move{action: Role, value: d.Role, model: d.Model}
		return m, fmt.Sprintf("role %s of %s is wanted, not %s", d.Role, d.Model, e.Role), true
	}
	return move{}, "", false
}

// adapters loads adapters on as many endpoints as shall hold them, without a drain:
// an engine takes an adapter while it serves.
func (p *Planner) adapters(now time.Time, v *view, orders []Order) []Order {
	for i := range v.demands {
		d := &v.demands[i]
		for _, adapter := range d.Adapters {
			for {
				e := p.adapterPlace(now, v, d.Model, adapter)
				if e == nil {
					break
				}
				p.asked[adapterOn{e.Name, adapter}] = now
				orders = append(orders, Order{Endpoint: e.Name, Action: Adapter, Value: adapter,
					Reason: fmt.Sprintf("fewer than %d endpoints of %s hold it", p.set.AdapterCopies, d.Model)})
			}
		}
	}
	return orders
}

// adapterPlace returns the endpoint to load an adapter on next: one in a zone where
// no other holds it, if there is one, with the fewest adapters. It returns nil when
// enough endpoints hold it or were asked to of late.
func (p *Planner) adapterPlace(now time.Time, v *view, model, adapter string) *Endpoint {
	zones := map[string]bool{}
	copies := 0
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if e.InService && e.Model == model && p.holds(now, e, adapter) {
			zones[e.Zone] = true
			copies++
		}
	}
	if copies >= p.set.AdapterCopies {
		return nil
	}
	var best *Endpoint
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.InService || e.Model != model || p.moves[e.Name] != nil || p.holds(now, e, adapter) {
			continue
		}
		if best == nil || betterPlace(e, best, zones) {
			best = e
		}
	}
	return best
}

// holds reports whether an endpoint has an adapter or was asked to take it of late.
func (p *Planner) holds(now time.Time, e *Endpoint, adapter string) bool {
	asked, ok := p.asked[adapterOn{e.Name, adapter}]
	return slices.Contains(e.Adapters, adapter) || (ok && now.Sub(asked) < p.set.RetryInterval)
}

func betterPlace(e, best *Endpoint, zones map[string]bool) bool {
	if zones[e.Zone] != zones[best.Zone] {
		return !zones[e.Zone]
	}
	return len(e.Adapters) < len(best.Adapters)
}
