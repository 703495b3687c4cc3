package placement

import (
	"fmt"
	"math"
	"time"
)

// use returns the use of a model by n endpoints, as a share of their capacity.
func (d *Demand) use(n int) float64 {
	switch {
	case d.TokensPerSecond <= 0:
		return 0
	case n == 0 || d.EndpointTokensPerSecond <= 0:
		return math.Inf(1)
	}
	return d.TokensPerSecond / (float64(n) * d.EndpointTokensPerSecond)
}

// balance moves endpoints to the models that are short of them, the shortest first.
func (p *Planner) balance(now time.Time, v *view, orders []Order) []Order {
	for range v.endpoints {
		short := p.shortest(now, v)
		if short == nil || !p.storeHasRoom(short.WeightBytes) {
			return orders
		}
		donor := p.donor(v, short)
		if donor == nil {
			return orders
		}
		_, later := p.serving(v, short.Model)
		from := donor.Model
		if from == "" {
			from = "none"
		}
		orders = p.begin(donor, move{action: Load, value: short.Model, model: short.Model, bytes: short.WeightBytes}, orders,
			fmt.Sprintf("%s is used to %.2f by %d endpoints; %s can spare one", short.Model, short.use(later), later, from))
	}
	return orders
}

// shortest returns the demand with the highest use among those that have been short
// of endpoints for long enough. A model that nobody serves does not wait.
func (p *Planner) shortest(now time.Time, v *view) *Demand {
	var worst *Demand
	worstUse := 0.0
	for i := range v.demands {
		d := &v.demands[i]
		_, later := p.serving(v, d.Model)
		use := d.use(later)
		if use <= p.set.HighUtilization {
			delete(p.high, d.Model)
			continue
		}
		since, ok := p.high[d.Model]
		if !ok {
			since = now
			p.high[d.Model] = now
		}
		if later > 0 && now.Sub(since) < p.set.HighUtilizationDelay {
			continue
		}
		if worst == nil || use > worstUse {
			worst, worstUse = d, use
		}
	}
	return worst
}

// donor returns the endpoint to load a model on: spare ones first, then those of the
// model with the least use, in the zone where the model has the fewest and the
// giver the most, and with the least in flight.
func (p *Planner) donor(v *view, short *Demand) *Endpoint {
	var best *Endpoint
	var bestCost cost
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if !e.InService || p.moves[e.Name] != nil || e.Model == short.Model {
			continue
		}
		left, ok := p.useWithout(v, e, short)
		if !ok {
			continue
		}
		c := cost{
			short:   p.inZone(v, short.Model, e.Zone),
			use:     left,
			giver:   -p.inZone(v, e.Model, e.Zone),
			running: e.InFlight,
		}
		if best == nil || c.less(bestCost) {
			best, bestCost = e, c
		}
	}
	return best
}

// cost orders the endpoints that could be moved.
type cost struct {
	short   int
	use     float64
	giver   int
	running int
}

func (c cost) less(o cost) bool {
	switch {
	case c.short != o.short:
		return c.short < o.short
	case c.use != o.use:
		return c.use < o.use
	case c.giver != o.giver:
		return c.giver < o.giver
	}
	return c.running < o.running
}

// useWithout returns the use of an endpoint's model without it, and whether it can be
// spared. The last endpoint in service never is. For a model that nobody serves
// the giver may come near its own limit.
func (p *Planner) useWithout(v *view, e *Endpoint, short *Demand) (float64, bool) {
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
	limit := p.set.LowUtilization
	if _, later := p.serving(v, short.Model); later == 0 {
		limit = p.set.HighUtilization
	}
	use := d.use(serving - 1)
	return use, use <= limit
}
