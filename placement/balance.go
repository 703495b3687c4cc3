package placement

import (
	"fmt"
	"math"
	"time"
)

// utilization returns the demand as a share of the capacity of n endpoints. It is
// infinite if there is demand but no capacity.
func (d *Demand) utilization(n int) float64 {
	switch {
	case d.TokensPerSecond <= 0:
		return 0
	case n == 0 || d.EndpointTokensPerSecond <= 0:
		return math.Inf(1)
	}
	return d.TokensPerSecond / (float64(n) * d.EndpointTokensPerSecond)
}

// balance moves endpoints to overloaded models, starting with the most overloaded one.
func (p *Planner) balance(now time.Time, v *fleetState, orders []Order) []Order {
	for range v.endpoints {
		target := p.mostOverloaded(now, v)
		if target == nil || !p.storeCanServe(target.WeightBytes) {
			return orders
		}
		donor := p.donor(v, target)
		if donor == nil {
			return orders
		}
		_, later := p.serving(v, target.Model)
		from := donor.Model
		if from == "" {
			from = "none"
		}
		orders = p.startMove(donor, move{action: Load, value: target.Model, model: target.Model, bytes: target.WeightBytes}, orders,
			fmt.Sprintf("%s has utilization %.2f on %d endpoints; donor model: %s", target.Model, target.utilization(later), later, from))
	}
	return orders
}

// mostOverloaded returns the demand of the model with the highest utilization, among
// the models whose utilization has been high for HighUtilizationDelay. A model without
// an endpoint does not wait.
func (p *Planner) mostOverloaded(now time.Time, v *fleetState) *Demand {
	var worst *Demand
	worstUtilization := 0.0
	for i := range v.demands {
		d := &v.demands[i]
		_, later := p.serving(v, d.Model)
		utilization := d.utilization(later)
		if utilization <= p.settings.HighUtilization {
			delete(p.highSince, d.Model)
			continue
		}
		since, ok := p.highSince[d.Model]
		if !ok {
			since = now
			p.highSince[d.Model] = now
		}
		if later > 0 && now.Sub(since) < p.settings.HighUtilizationDelay {
			continue
		}
		if worst == nil || utilization > worstUtilization {
			worst, worstUtilization = d, utilization
		}
	}
	return worst
}

// donor returns the endpoint on which to load the model of target. It prefers, in this
// order, endpoints in a zone with few endpoints of that model, endpoints of models with
// low utilization (spare endpoints come first), endpoints in a zone with many endpoints
// of the donor's model, and endpoints with little work in flight.
func (p *Planner) donor(v *fleetState, target *Demand) *Endpoint {
	var best *Endpoint
	var bestCost donorCost
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.InService || p.moves[e.Name] != nil || e.Model == target.Model {
			continue
		}
		left, ok := p.utilizationWithout(v, e, target)
		if !ok {
			continue
		}
		c := donorCost{
			target:      p.inZone(v, target.Model, e.Zone),
			utilization: left,
			donorInZone: -p.inZone(v, e.Model, e.Zone),
			inFlight:    e.InFlight,
		}
		if best == nil || c.less(bestCost) {
			best, bestCost = e, c
		}
	}
	return best
}

// donorCost ranks the endpoints that could be moved. The lowest is moved; the fields are
// compared in the order in which they are declared.
type donorCost struct {
	// target is the number of endpoints in the zone that serve the overloaded model.
	target int
	// utilization is the utilization of the endpoint's present model without it.
	utilization float64
	// donorInZone is the negated number of endpoints in the zone that serve the
	// endpoint's present model.
	donorInZone int
	inFlight    int
}

// less reports whether c ranks before o.
func (c donorCost) less(o donorCost) bool {
	switch {
	case c.target != o.target:
		return c.target < o.target
	case c.utilization != o.utilization:
		return c.utilization < o.utilization
	case c.donorInZone != o.donorInZone:
		return c.donorInZone < o.donorInZone
	}
	return c.inFlight < o.inFlight
}

// utilizationWithout returns the utilization that the model of e would have without e,
// and whether e may be moved. The last endpoint of a model in service is never moved.
// For a target that no endpoint serves, the remaining utilization may be up to
// HighUtilization instead of LowUtilization. Spare endpoints have utilization -1.
func (p *Planner) utilizationWithout(v *fleetState, e *Endpoint, target *Demand) (float64, bool) {
	if e.Model == "" {
		return -1, true
	}
	d := v.demand(e.Model)
	if d == nil {
		return 0, false
	}
	serving, _ := p.serving(v, e.Model)
	if serving < 2 {
		return 0, false
	}
	limit := p.settings.LowUtilization
	if _, later := p.serving(v, target.Model); later == 0 {
		limit = p.settings.HighUtilization
	}
	utilization := d.utilization(serving - 1)
	return utilization, utilization <= limit
}
