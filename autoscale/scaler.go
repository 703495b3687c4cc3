package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxGap is the longest time between two samples. After a longer one the history begins anew, because
// neither the trend nor the time for which a count has sufficed is known.
const maxGap = 3 * time.Second

// maxZones bounds the availability zones that are kept for a service.
const maxZones = 256

// ScaleOrder is the number of endpoints that a service shall have in an availability zone.
type ScaleOrder struct {
	Service, Zone string
	Count         int
}

// Zone is what is known of a service in an availability zone in one second.
type Zone struct {
	Demand Demand
	// Serving and Starting are the numbers of registered endpoints that serve and that are cold.
	Serving, Starting int
	// Slots is the mean number of requests that these endpoints run at once, 0 if it is not known.
	Slots float64
	// Out is set while the availability zone is out of service.
	Out bool
}

// Change is a changed order and its reason.
type Change struct {
	ScaleOrder
	// From is the count before.
	From int
	// Decision is the reason, and Sample the load that it was last computed from.
	Decision Decision
	Sample   Zone
}

// Scaler keeps the history of each service and availability zone and the counts that it has decided.
type Scaler struct {
	services map[string]*service
}

// service is the history of a service.
type service struct {
	limits Limits
	latest time.Time
	zones  map[string]*zone
}

// zone is the history of a service in an availability zone.
type zone struct {
	Zone
	// hosts is set once an endpoint has been registered or ordered in the zone.
	hosts  bool
	demand []Demand
	// required holds Decision.Required of the last HoldTime.
	required []int
	// count is the latest order, or until the first one the most endpoints registered; ordered tells
	// which.
	count     int
	ordered   bool
	loweredAt time.Time
	// slots is the latest known value of Zone.Slots.
	slots float64
}

// NewScaler returns a scaler without history.
func NewScaler() *Scaler { return &Scaler{services: map[string]*service{}} }

// Retain forgets all services that are not in limits.
func (s *Scaler) Retain(limits map[string]Limits) {
	maps.DeleteFunc(s.services, func(name string, _ *service) bool {
		_, ok := limits[name]
		return !ok
	})
}

// Observe adds the sample of one second for a service, by availability zone, and returns the orders that
// change. A zone that is missing has no demand and no endpoints.
func (s *Scaler) Observe(now time.Time, name string, limits Limits, zones map[string]Zone) []Change {
	v := s.services[name]
	if v == nil || now.Sub(v.latest) > maxGap {
		v = &service{zones: map[string]*zone{}}
		s.services[name] = v
	}
	v.limits, v.latest = limits, now
	for _, at := range slices.Sorted(maps.Keys(zones)) {
		if v.zones[at] == nil && len(v.zones) < maxZones {
			v.zones[at] = &zone{}
		}
	}
	for at, z := range v.zones {
		z.add(zones[at])
	}
	return v.decide(now, name)
}

// add appends a sample.
func (z *zone) add(sample Zone) {
	z.Zone = sample
	z.demand = appendBounded(z.demand, sample.Demand, samples(HistoryTime))
	registered := sample.Serving + sample.Starting
	z.hosts = z.hosts || registered > 0
	if !z.ordered {
		// The order of an earlier leader cannot be read. Its endpoints that were starting then
		// register later.
		z.count = max(z.count, registered)
	}
	if sample.Slots > 0 {
		z.slots = sample.Slots
	}
}

// decide decides the count in each zone that is a subject of orders.
func (v *service) decide(now time.Time, name string) []Change {
	subjects := v.subjects()
	moved, inService := v.moved(subjects)
	var changes []Change
	for _, at := range subjects {
		z := v.zones[at]
		demand := make([]Demand, len(z.demand))
		if !z.Out {
			for i, d := range z.demand {
				demand[i] = d
				// Histories that are shorter end with the same second.
				if j := len(moved) - len(z.demand) + i; j >= 0 {
					demand[i] = d.Add(moved[j].scale(1 / float64(inService)))
				}
			}
		}
		if v.age() < samples(TrendTime) {
			continue
		}
		demand = append(make([]Demand, max(0, samples(TrendTime)-len(demand))), demand...)
		if z.Out && inService == 0 {
			// All zones are out: nothing tells where requests will be served next.
			z.required = nil
			continue
		}
		d := Decide(Input{
			Demand: demand, Serving: z.Serving, Slots: v.slots(z), Limits: v.limits, Current: z.count,
			Required: z.required, SinceLowered: now.Sub(z.loweredAt),
		})
		z.required = appendBounded(z.required, d.Required, samples(HoldTime))
		if d.Count == z.count {
			continue
		}
		changes = append(changes, Change{ScaleOrder: ScaleOrder{Service: name, Zone: at, Count: d.Count}, From: z.count, Decision: d, Sample: z.Zone})
		if d.Count < z.count {
			z.loweredAt = now
		}
		z.count, z.ordered, z.hosts = d.Count, true, true
	}
	return changes
}

// age returns the number of samples of the service.
func (v *service) age() int {
	age := 0
	for _, z := range v.zones {
		age = max(age, len(z.demand))
	}
	return age
}

// subjects returns the zones that endpoints may be ordered in, sorted: those for which any have been registered or
// ordered, or, if there are none, those in which requests arrive.
func (v *service) subjects() []string {
	all := slices.Sorted(maps.Keys(v.zones))
	hosts := slices.DeleteFunc(slices.Clone(all), func(at string) bool { return !v.zones[at].hosts })
	if len(hosts) > 0 {
		return hosts
	}
	return all
}

// moved returns the demand of the zones that are out of service, and of those that are no subjects, by
// second, and the number of subjects in service, which share it equally. The whole history moves with the
// zone: otherwise the others would see the demand as it arrives, after requests had been refused there.
func (v *service) moved(subjects []string) (demand []Demand, inService int) {
	demand = make([]Demand, v.age())
	for at, z := range v.zones {
		isSubject := slices.Contains(subjects, at)
		if isSubject && !z.Out {
			inService++
			continue
		}
		for i, d := range z.demand {
			j := len(demand) - len(z.demand) + i
			demand[j] = demand[j].Add(d)
		}
	}
	return demand, inService
}

// slots returns the slots of an endpoint in the zone: what endpoints there have said, else those of other
// zones, else what the configuration says.
func (v *service) slots(z *zone) float64 {
	if z.slots > 0 {
		return z.slots
	}
	for _, at := range slices.Sorted(maps.Keys(v.zones)) {
		if other := v.zones[at]; other.slots > 0 {
			return other.slots
		}
	}
	return float64(v.limits.Slots)
}

// Orders returns the counts that have been decided, sorted, also those that have not changed: an order that
// got no response is sent again, and the sender knows which ones were accepted. It returns none
// of a service whose last sample is older than maxGap.
func (s *Scaler) Orders(now time.Time) []ScaleOrder {
	var out []ScaleOrder
	for name, v := range s.services {
		if now.Sub(v.latest) > maxGap {
			continue
		}
		for at, z := range v.zones {
			if z.ordered {
				out = append(out, ScaleOrder{Service: name, Zone: at, Count: z.count})
			}
		}
	}
	slices.SortFunc(out, func(a, b ScaleOrder) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return out
}

// appendBounded appends to a list and drops its oldest elements beyond a length.
func appendBounded[T any](list []T, element T, length int) []T {
	list = append(list, element)
	return slices.Delete(list, 0, max(0, len(list)-length))
}
