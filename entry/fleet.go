package entry

import (
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// announcedLoadAge is about how old an endpoint's load is when it comes from control.
const announcedLoadAge = time.Second

// applyConfig takes over which endpoints are out.
func (d *dispatcher) applyConfig(doc *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.table.Names() {
		if e, ok := d.table.Get(name); ok {
			d.table.SetOutOfService(name, doc.EndpointState(name, e.Zone) != config.In)
		}
	}
	d.serveQueues(d.clock.Now())
}

// updateEndpoints takes over new and changed endpoints. With reset they are all.
func (d *dispatcher) updateEndpoints(doc *config.Document, endpoints []wire.Endpoint, gone []string, reset bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range gone {
		d.table.Remove(name)
	}
	if reset {
		for _, name := range missingFrom(d.table.Names(), endpoints) {
			d.table.Remove(name)
		}
	}
	for _, e := range endpoints {
		d.forgetStaleCacheHints(&e)
		// The load came through control and is older than what the endpoint itself
		// may have told us since.
		d.table.Upsert(now.Add(-announcedLoadAge), e)
		d.table.SetOutOfService(e.Name, doc.EndpointState(e.Name, e.Zone) != config.In)
	}
	d.serveQueues(now)
}

// forgetStaleCacheHints drops what is known of the cache of an endpoint that started anew.
func (d *dispatcher) forgetStaleCacheHints(e *wire.Endpoint) {
	predicted, ok := d.chooser.(*route.Predicted)
	known, listed := d.table.Get(e.Name)
	if ok && listed && known.Incarnation != e.Incarnation {
		predicted.Hints.Forget(e.Name)
	}
}

// recordPrefix notes that an endpoint has processed the call's prompt, whose prefix it
// holds in its cache from then on.
func (d *dispatcher) recordPrefix(c *call, e *wire.Endpoint) {
	observer, ok := d.chooser.(route.PrefixObserver)
	if !ok || c.routing.Prefix == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	observer.PrefixServed(d.clock.Now(), e.Zone, e.Name, c.routing.Prefix)
}

// missingFrom returns the names that are not among the endpoints.
func missingFrom(names []string, endpoints []wire.Endpoint) []string {
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
	d.serveQueues(d.clock.Now())
}

// endpoint returns the endpoint called name.
func (d *dispatcher) endpoint(name string) (wire.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.table.Get(name)
	return e.Endpoint, ok
}

// queuedTokens returns the work that waits in a class, in tokens.
func (d *dispatcher) queuedTokens(class route.Class) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var tokens int64
	for _, t := range d.queues {
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

// recordGrant takes over the load that came with a grant.
func (d *dispatcher) recordGrant(t *ticket, load wire.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Granted(t.flight, load, d.clock.Now())
}

// recordCompletion learns from a call whose answer is whole.
func (d *dispatcher) recordCompletion(c *call) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.usage.prompt > 0 {
		d.estimates.Observe(c.route.Name, c.promptBytes, c.usage.prompt)
	}
	d.deadlines.Observe(c.routing.Class, c.forecast, now.Sub(c.startedAt))
}
