package control

import (
	"math"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/autoscale"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// reportTimeout is how long the last load report of an entry counts. Entries report each second, so
	// two reports may be lost. The requests of an entry that was killed come back at others.
	reportTimeout = 3 * time.Second
	// maxLoadSources and maxServiceLoads bound the memory that load reports take.
	maxLoadSources  = 4096
	maxServiceLoads = 4096
)

// LimitsDecoder decodes the limits of the services with automatic scaling from a publication.
type LimitsDecoder func(content []byte) (map[string]autoscale.Limits, error)

// SetLimitsDecoder sets the decoder, without which no count of endpoints is decided. It is called before
// Provision.
func (p *Plugin) SetLimitsDecoder(d LimitsDecoder) { p.decodeLimits = d }

// Orders returns the decided number of endpoints of each service and availability zone, if this replica is
// the leader. An order is returned again on each call, until it changes.
func (p *Plugin) Orders(now time.Time) []autoscale.ScaleOrder { return p.server.scaleOrders(now) }

// demand holds the latest load reports of entries, and on the leader the history of each service with
// automatic scaling. It is lost with the leader: the next one needs new samples before it
// changes a count.
type demand struct {
	decode LimitsDecoder

	// mu guards the fields below. It is "control.demand" of kernel.LockOrder.
	mu      sync.Mutex
	reports map[string]loadReport
	scaler  *autoscale.Scaler
	// next is when the next sample is due.
	next time.Time
	// version is that of the latest publication given to decode, if decoded is set.
	version uint64
	decoded bool
	limits  map[string]autoscale.Limits
}

// loadReport is the latest report of an entry and when it arrived.
type loadReport struct {
	at    time.Time
	loads []command.ServiceLoad
}

func newDemand(decode LimitsDecoder) *demand {
	return &demand{decode: decode, reports: map[string]loadReport{}, scaler: autoscale.NewScaler()}
}

// recordLoad answers command.NameLoad.
func (s *Server) recordLoad(peer wire.Peer, c *wire.Command) *wire.Answer {
	var r command.LoadReport
	if err := wire.Unmarshal(c.Body, &r); err != nil {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err))
	}
	if len(r.Loads) > maxServiceLoads {
		return refused(verdict.Refuse(verdict.ReasonTooLarge, 0, "the report has %d loads, at most %d are allowed", len(r.Loads), maxServiceLoads))
	}
	for _, l := range r.Loads {
		if !isAmount(l.Busy) || !isAmount(l.Waiting) || !isAmount(l.Refused) {
			return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "the load of service %q in zone %q has a negative or infinite value", l.Service, l.Zone))
		}
	}
	now := s.clock.Now()
	if !s.demand.record(now, peer.Name, r.Loads) {
		return refused(verdict.Refuse(verdict.ReasonOverloaded, electionRetryAfter, "load reports of %d entries are held", maxLoadSources))
	}
	s.sampleDemand(now)
	return &wire.Answer{}
}

// isAmount reports whether a value is finite and not negative.
func isAmount(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// scaleOrders returns the decided orders on the leader, and none on other replicas.
func (s *Server) scaleOrders(now time.Time) []autoscale.ScaleOrder {
	if status := s.node.Status(); status.Leader != status.ID {
		return nil
	}
	s.sampleDemand(now)
	s.demand.mu.Lock()
	defer s.demand.mu.Unlock()
	return s.demand.scaler.Orders(now)
}

// sampleDemand takes a sample of the demand if one is due, and logs the counts that change.
func (s *Server) sampleDemand(now time.Time) {
	if s.demand.decode == nil || !s.demand.takeTurn(now) {
		return
	}
	doc := s.store.document()
	if err := s.demand.configure(doc.Publication); err != nil {
		// Control validates publications before it accepts them, so this is a bug.
		s.log.Error("limits of services not decoded", "version", doc.PublishedVersion(), "error", err)
	}
	for _, c := range s.demand.observe(now, doc, s.table.endpoints()) {
		s.log.Info("number of endpoints decided", "service", c.Service, "zone", c.Zone, "count", c.Count, "before", c.From,
			"required", c.Decision.Required, "forecast", c.Decision.Forecast, "busy", c.Sample.Demand.Busy, "waiting", c.Sample.Demand.Waiting,
			"refused", c.Sample.Demand.Refused, "serving", c.Sample.Serving, "starting", c.Sample.Starting, "zone_out", c.Sample.Out)
	}
}

// record keeps the report of an entry. It returns false if there are too many entries.
func (d *demand) record(now time.Time, source string, loads []command.ServiceLoad) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.reports[source]; !known && len(d.reports) >= maxLoadSources {
		return false
	}
	d.reports[source] = loadReport{at: now, loads: loads}
	return true
}

// takeTurn reports whether a sample is due, and sets the time of the next one.
func (d *demand) takeTurn(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.next) {
		return false
	}
	d.next = d.next.Add(autoscale.Interval)
	if d.next.Before(now) {
		d.next = now.Add(autoscale.Interval)
	}
	return true
}

// configure decodes the limits of a new publication. The limits before stay if that fails.
func (d *demand) configure(p *config.Publication) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p == nil || d.decoded && d.version == p.Version {
		return nil
	}
	limits, err := d.decode(p.Content)
	d.version, d.decoded = p.Version, true
	if err != nil {
		return err
	}
	d.limits = limits
	return nil
}

// observe gives the scaler one sample of all services, and returns the changed orders. Without a current
// report of any entry there is no sample: the demand is not known.
func (d *demand) observe(now time.Time, doc *config.Document, endpoints []wire.Endpoint) []autoscale.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	for source, r := range d.reports {
		if now.Sub(r.at) > reportTimeout {
			delete(d.reports, source)
		}
	}
	d.scaler.Retain(d.limits)
	if len(d.reports) == 0 {
		return nil
	}
	samples := d.sum(endpoints)
	var changes []autoscale.Change
	for service, limits := range d.limits {
		zones := samples[service]
		for name, z := range zones {
			state, known := doc.Zones[name]
			z.Out = known && state.State == config.Out
			zones[name] = z
		}
		changes = append(changes, d.scaler.Observe(now, service, limits, zones)...)
	}
	return changes
}

// sum returns the load that entries report and the endpoints that are listed, by service and availability zone.
// The caller holds d.mu.
func (d *demand) sum(endpoints []wire.Endpoint) map[string]map[string]autoscale.Zone {
	out := map[string]map[string]autoscale.Zone{}
	for service := range d.limits {
		out[service] = map[string]autoscale.Zone{}
	}
	for _, r := range d.reports {
		for _, l := range r.loads {
			if zones := out[l.Service]; zones != nil {
				z := zones[l.Zone]
				z.Demand = z.Demand.Add(autoscale.Demand{Busy: l.Busy, Waiting: l.Waiting, Refused: l.Refused})
				zones[l.Zone] = z
			}
		}
	}
	type place struct{ service, zone string }
	slots := map[place]int{}
	for i := range endpoints {
		e := &endpoints[i]
		zones := out[e.Target]
		if zones == nil || !e.Direct || e.Load.Leaving {
			continue
		}
		z := zones[e.Zone]
		if e.Cold {
			z.Starting++
		} else {
			z.Serving++
		}
		slots[place{e.Target, e.Zone}] += e.Slots
		z.Slots = float64(slots[place{e.Target, e.Zone}]) / float64(z.Serving+z.Starting)
		zones[e.Zone] = z
	}
	return out
}
