package placement

import (
	"fmt"
	"slices"
	"time"
)

// updateVersionsAndRoles starts moves that change the version or role of endpoints, one
// endpoint of a model at a time.
func (p *Planner) updateVersionsAndRoles(v *fleetState, orders []Order) []Order {
	for i := range v.demands {
		d := &v.demands[i]
		serving, later := p.serving(v, d.Model)
		if serving < 2 || serving != later {
			continue // keep the last endpoint in service, and change one at a time
		}
		for j := range v.endpoints {
			e := &v.endpoints[j]
			if e.Model != d.Model || !e.InService || p.moves[e.Name] != nil {
				continue
			}
			m, reason, ok := requiredUpdate(d, e)
			if ok && p.storeCanServe(m.bytes) {
				orders = p.startMove(e, m, orders, reason)
				break
			}
		}
	}
	return orders
}

// requiredUpdate returns the move that gives an endpoint the wanted version or role of
// its model, with a reason for the log, and whether one is needed.
func requiredUpdate(d *Demand, e *Endpoint) (move, string, bool) {
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

// placeAdapters orders adapters onto AdapterCopies endpoints each. It drains no endpoint,
// because an engine can load an adapter while it serves.
func (p *Planner) placeAdapters(now time.Time, v *fleetState, orders []Order) []Order {
	for i := range v.demands {
		d := &v.demands[i]
		for _, adapter := range d.Adapters {
			for {
				e := p.nextForAdapter(now, v, d.Model, adapter)
				if e == nil {
					break
				}
				p.adapterOrdered[adapterPlacement{e.Name, adapter}] = now
				orders = append(orders, Order{Endpoint: e.Name, Action: Adapter, Value: adapter,
					Reason: fmt.Sprintf("fewer than %d endpoints of %s have the adapter", p.settings.AdapterCopies, d.Model)})
			}
		}
	}
	return orders
}

// nextForAdapter returns the endpoint that should load an adapter next. It prefers a
// zone in which no endpoint has the adapter, and then the endpoint with the fewest
// adapters. It returns nil if enough endpoints have the adapter or were recently
// ordered to load it, or if no endpoint is left.
func (p *Planner) nextForAdapter(now time.Time, v *fleetState, model, adapter string) *Endpoint {
	zones := map[string]bool{}
	copies := 0
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if e.InService && e.Model == model && p.hasAdapter(now, e, adapter) {
			zones[e.Zone] = true
			copies++
		}
	}
	if copies >= p.settings.AdapterCopies {
		return nil
	}
	var best *Endpoint
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.InService || e.Model != model || p.moves[e.Name] != nil || p.hasAdapter(now, e, adapter) {
			continue
		}
		if best == nil || betterForAdapter(e, best, zones) {
			best = e
		}
	}
	return best
}

// hasAdapter reports whether an endpoint has an adapter or was ordered to load it within
// RetryInterval.
func (p *Planner) hasAdapter(now time.Time, e *Endpoint, adapter string) bool {
	adapterOrdered, ok := p.adapterOrdered[adapterPlacement{e.Name, adapter}]
	return slices.Contains(e.Adapters, adapter) || (ok && now.Sub(adapterOrdered) < p.settings.RetryInterval)
}

// betterForAdapter reports whether e should load an adapter rather than best. zones are
// the zones in which an endpoint has the adapter.
func betterForAdapter(e, best *Endpoint, zones map[string]bool) bool {
	if zones[e.Zone] != zones[best.Zone] {
		return !zones[e.Zone]
	}
	return len(e.Adapters) < len(best.Adapters)
}
