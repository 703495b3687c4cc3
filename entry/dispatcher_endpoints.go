package entry

import (
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/admit"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// announcedLoadAge is the assumed age of an endpoint's load when it arrives from control.
const announcedLoadAge = time.Second

// applyConfig marks each known endpoint as in or out of service, as the configuration says.
func (d *callDispatcher) applyConfig(doc *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.table.Names() {
		if e, ok := d.table.Get(name); ok {
			d.table.SetOutOfService(name, doc.EndpointState(name, e.Zone) != config.In)
		}
	}
	d.serveQueues(d.clock.Now())
}

// updateEndpoints adds and updates endpoints and removes those in removed. If reset is set,
// endpoints is the complete list and all others are removed.
func (d *callDispatcher) updateEndpoints(doc *config.Document, endpoints []wire.Endpoint, removed []string, reset bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range removed {
		d.table.Remove(name)
	}
	if reset {
		for _, name := range missingFrom(d.table.Names(), endpoints) {
			d.table.Remove(name)
		}
	}
	for _, e := range endpoints {
		d.forgetStaleCacheHints(&e)
		// The load came through control, so it may be older than a load that the endpoint sent
		// to this entry directly.
		d.table.Upsert(now.Add(-announcedLoadAge), e)
		d.table.SetOutOfService(e.Name, doc.EndpointState(e.Name, e.Zone) != config.In)
	}
	d.serveQueues(now)
}

// forgetStaleCacheHints drops the cache hints for an endpoint that has restarted. The caller
// holds the lock.
func (d *callDispatcher) forgetStaleCacheHints(e *wire.Endpoint) {
	predicted, ok := d.chooser.(*route.Predicted)
	known, listed := d.table.Get(e.Name)
	if ok && listed && known.Incarnation != e.Incarnation {
		predicted.Hints.Forget(e.Name)
	}
}

// recordPrefix informs the routing policy that the endpoint has processed the call's prompt and
// thus holds the prompt's prefix in its cache.
func (d *callDispatcher) recordPrefix(c *call, e *wire.Endpoint) {
	observer, ok := d.chooser.(route.PrefixObserver)
	if !ok || c.routing.Prefix == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	observer.PrefixServed(d.clock.Now(), e.Zone, e.Name, c.routing.Prefix)
}

// missingFrom returns the names that no endpoint in the list has. It changes names.
func missingFrom(names []string, endpoints []wire.Endpoint) []string {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Name] = true
	}
	return slices.DeleteFunc(names, func(name string) bool { return listed[name] })
}

// setSuspect sets whether the health monitor suspects the endpoint of failing.
func (d *callDispatcher) setSuspect(name string, suspect bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetSuspect(name, suspect)
	d.serveQueues(d.clock.Now())
}

// findEndpoint returns the endpoint with the given name.
func (d *callDispatcher) findEndpoint(name string) (wire.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.table.Get(name)
	return e.Endpoint, ok
}

// queuedTokens returns the tokens of the waiting calls of a class, over all targets.
func (d *callDispatcher) queuedTokens(class route.Class) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var tokens int64
	for _, t := range d.queues {
		tokens += t.waiting.Tokens(class)
	}
	return tokens
}

// estimate returns the estimated length of a prompt of the given bytes on the route.
func (d *callDispatcher) estimate(route string, bytes int) admit.Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.estimates.Estimate(route, bytes)
}

// granted updates the endpoint's load with the one that came with a grant.
func (d *callDispatcher) granted(t *ticket, load wire.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Granted(t.routeAttempt, load, d.clock.Now())
}

// recordCompletion corrects the estimates and the safety factors by a call whose answer is
// complete.
func (d *callDispatcher) recordCompletion(c *call) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.usage.prompt > 0 {
		d.estimates.Observe(c.route.Name, c.promptBytes, c.usage.prompt)
	}
	d.deadlines.Observe(c.routing.Class, c.forecast, now.Sub(c.startedAt))
}
