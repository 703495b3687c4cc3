package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// loadReportInterval is the time between two load reports, and loadSampleInterval the time between
	// two samples of the load, of which a report holds the means.
	loadReportInterval = time.Second
	loadSampleInterval = 100 * time.Millisecond
	// loadReportTimeout bounds the sending of a report. The next one replaces it.
	loadReportTimeout = time.Second
)

// place is a service in an availability zone.
type place struct{ service, zone string }

// loadMeter measures the load of services with automatic scaling between two reports. Its lock is
// "gateway.load" of kernel.LockOrder. The zero value measures from now on.
type loadMeter struct {
	mu      sync.Mutex
	samples int
	// busy and waiting are sums over the samples.
	busy, waiting, refused map[place]float64
}

// add adds a sample of the slots in use and of the waiting requests.
func (m *loadMeter) add(busy, waiting map[place]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	m.busy, m.waiting = addCounts(m.busy, busy), addCounts(m.waiting, waiting)
}

// addCounts adds counts to sums, which may be nil.
func addCounts(sums map[place]float64, counts map[place]int) map[place]float64 {
	if sums == nil {
		sums = map[place]float64{}
	}
	for p, n := range counts {
		sums[p] += float64(n)
	}
	return sums
}

// refuse counts a request that was refused for lack of capacity.
func (m *loadMeter) refuse(p place) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refused == nil {
		m.refused = map[place]float64{}
	}
	m.refused[p]++
}

// report returns the load since the last report and begins anew.
func (m *loadMeter) report() []command.ServiceLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := map[place]*command.ServiceLoad{}
	at := func(p place) *command.ServiceLoad {
		if loads[p] == nil {
			loads[p] = &command.ServiceLoad{Service: p.service, Zone: p.zone}
		}
		return loads[p]
	}
	for p, sum := range m.busy {
		at(p).Busy = sum / float64(m.samples)
	}
	for p, sum := range m.waiting {
		at(p).Waiting = sum / float64(m.samples)
	}
	for p, n := range m.refused {
		at(p).Refused = n
	}
	m.samples, m.busy, m.waiting, m.refused = 0, nil, nil, nil
	out := make([]command.ServiceLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, *l)
	}
	return out
}

// scaled reports whether the deployment has a service with automatic scaling.
func (d *Deployment) scaled() bool {
	if d == nil {
		return false
	}
	for _, s := range d.Services {
		if s.Autoscale != nil {
			return true
		}
	}
	return false
}

// reportLoads measures the load and reports it to control until ctx ends. One report is sent at a time; a
// slow one does not stop the measurement.
func (g *Gateway) reportLoads(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	idle := make(chan struct{}, 1)
	idle <- struct{}{}
	reported := g.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(loadSampleInterval):
		}
		d := g.deployment.Load()
		if !d.scaled() {
			g.load.report()
			continue
		}
		g.sampleLoad(d)
		if g.clock.Now().Sub(reported) < loadReportInterval {
			continue
		}
		select {
		case <-idle:
		default:
			continue
		}
		reported = g.clock.Now()
		loads := g.load.report()
		sending.Go(func() {
			g.sendLoads(ctx, loads)
			idle <- struct{}{}
		})
	}
}

// sampleLoad adds a sample of the slots that this entry's requests use, by the availability zone of the
// endpoint, and of the requests that wait here, in the zone of this entry. Requests that this entry
// places for others wait here too, and not there.
func (g *Gateway) sampleLoad(d *Deployment) {
	primaries := g.bookings.primaries()
	busy, waiting := map[place]int{}, map[place]int{}
	g.mu.Lock()
	for name, s := range d.Services {
		if s.Autoscale == nil {
			continue
		}
		for zone := range g.fleet.ZonesOf(name) {
			busy[place{name, zone}] = 0
		}
		if short, long := g.waiting.Len(name); short+long > 0 {
			waiting[place{name, g.node.Zone}] = short + long
		}
	}
	for _, endpoint := range primaries {
		service, zone, known := g.fleet.Locate(endpoint)
		if s := d.Services[service]; known && s != nil && s.Autoscale != nil {
			busy[place{service, zone}]++
		}
	}
	g.mu.Unlock()
	g.load.add(busy, waiting)
}

// primaries returns the endpoint that decodes the answer, for each booking.
func (b *bookings) primaries() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, 0, len(b.current))
	for _, booking := range b.current {
		out = append(out, booking.Primary.Endpoint)
	}
	return out
}

// sendLoads sends a load report. A lost one is not repeated, because the next one is due.
func (g *Gateway) sendLoads(ctx context.Context, loads []command.ServiceLoad) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	err := g.client.Do(ctx, command.NameLoad, "", command.LoadReport{Source: g.node.Name, Loads: loads}, nil)
	if err != nil && g.background.Err() == nil {
		g.log.Warn("load not reported", "services", len(loads), "error", err)
	}
}

// recordRefusal counts a refused request of a service with automatic scaling if capacity was lacking.
func (c *call) recordRefusal(r *verdict.Refusal) {
	if c.service == nil || c.service.Autoscale == nil {
		return
	}
	switch r.Reason {
	case verdict.ReasonOverloaded, verdict.ReasonEndpointMemory, verdict.ReasonEndpointBusy, verdict.ReasonEndpointCold, verdict.ReasonNoEndpoint:
		c.g.load.refuse(place{c.service.Name, c.g.node.Zone})
	}
}
