package entry

import (
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// announcementAge is about how old an endpoint's load is when it comes from control.
const announcementAge = time.Second

// configure takes over which endpoints are out.
func (d *dispatcher) configure(doc *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.table.Names() {
		if e, ok := d.table.Get(name); ok {
			d.table.SetOutOfService(name, doc.EndpointState(name, e.Zone) != config.In)
		}
	}
	d.drain(d.clock.Now())
}

// announce takes over new and changed endpoints. With reset they are all.
func (d *dispatcher) announce(doc *config.Document, endpoints []wire.Endpoint, gone []string, reset bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range gone {
		d.table.Remove(name)
	}
	if reset {
		for _, name := range unlisted(d.table.Names(), endpoints) {
			d.table.Remove(name)
		}
	}
	for _, e := range endpoints {
		d.forgetCache(&e)
		// The load came through control and is older than what the endpoint itself
		// may have told us since.
		d.table.Upsert(now.Add(-announcementAge), e)
		d.table.SetOutOfService(e.Name, doc.EndpointState(e.Name, e.Zone) != config.In)
	}
	d.drain(now)
}

// forgetCache drops what is known of the cache of an endpoint that started anew.
func (d *dispatcher) forgetCache(e *wire.Endpoint) {
	predicted, ok := d.chooser.(*route.Predicted)
	known, listed := d.table.Get(e.Name)
	if ok && listed && known.Incarnation != e.Incarnation {
		predicted.Hints.Forget(e.Name)
	}
}

// served notes that an endpoint has processed the call's prompt, whose prefix it
// holds in its cache from then on.
func (d *dispatcher) served(c *call, e *wire.Endpoint) {
	observer, ok := d.chooser.(route.PrefixObserver)
	if !ok || c.want.Prefix == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	observer.PrefixServed(d.clock.Now(), e.Zone, e.Name, c.want.Prefix)
}

// unlisted returns the names that are not among the endpoints.
func unlisted(names []string, endpoints []wire.Endpoint) []string {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Name] = true
	}
	return slices.DeleteFunc(names, func(name string) bool { return listed[name] })
}

// setSuspect takes over whether the endpoint is taken for failing.
func (d *dispatcher) setSuspect(name string, suspect bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetSuspect(name, suspect)
	d.drain(d.clock.Now())
}

// find returns the endpoint called name.
func (d *dispatcher) find(name string) (wire.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.table.Get(name)
	return e.Endpoint, ok
}

// queued returns the work that waits in a class, in tokens.
func (d *dispatcher) queued(class route.Class) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var tokens int64
	for _, t := range d.targets {
		tokens += t.waiting.Tokens(class)
	}
	return tokens
}

// estimate returns the estimate for a prompt of the route.
func (d *dispatcher) estimate(route string, bytes int) admit.Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.estimates.Estimate(route, bytes)
}

// granted takes over the load that came with a grant.
func (d *dispatcher) granted(t *ticket, load wire.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Granted(t.flight, load, d.clock.Now())
}

// completed learns from a call whose answer is whole.
func (d *dispatcher) completed(c *call) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.usage.prompt > 0 {
		d.estimates.Observe(c.route.Name, c.promptBytes, c.usage.prompt)
	}
	d.deadlines.Observe(c.want.Class, c.forecast, now.Sub(c.started))
}
