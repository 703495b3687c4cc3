package control

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// departureMemory is for how long after the grace time a replica remembers that an incarnation leaves. No
// announcement from before is on its way for longer.
const departureMemory = 10 * time.Minute

// maxDepartures bounds the departures that a replica remembers. One more drops the oldest.
const maxDepartures = 4096

// incarnation identifies one start of a direct endpoint.
type incarnation struct {
	name   string
	number uint64
}

// departureReport tells another replica that an incarnation leaves or has left.
type departureReport struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Age is the time since a replica first learned of the departure.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// incarnationOf returns the incarnation of e.
func incarnationOf(e *wire.Endpoint) incarnation { return incarnation{e.Name, e.Incarnation} }

// recordDeparture records that an incarnation leaves, which a replica learned at the time at. Endpoints that
// name no incarnation may become available again.
func (d *directory) recordDeparture(at time.Time, i incarnation) {
	if i.number == 0 {
		return
	}
	known, ok := d.departed[i]
	if ok && !at.Before(known) {
		return
	}
	if !ok && len(d.departed) >= maxDepartures {
		d.dropOldestDeparture()
	}
	d.departed[i] = at
}

// dropOldestDeparture drops the departure that was learned first.
func (d *directory) dropOldestDeparture() {
	var oldest incarnation
	var first time.Time
	for i, at := range d.departed {
		if first.IsZero() || at.Before(first) {
			oldest, first = i, at
		}
	}
	delete(d.departed, oldest)
}

// hasDeparted reports whether an incarnation of an endpoint is known to have left.
func (d *directory) hasDeparted(name string) bool {
	for i := range d.departed {
		if i.name == name {
			return true
		}
	}
	return false
}

// keepLeaving returns e, with Leaving set if the incarnation is known to leave. A leaving endpoint becomes
// available again only as a new incarnation.
func (d *directory) keepLeaving(e wire.Endpoint) wire.Endpoint {
	if _, ok := d.departed[incarnationOf(&e)]; ok {
		e.Load.Leaving = true
	}
	return e
}

// forgetDepartures drops the departures that were learned before deadline, unless the endpoint is still listed.
func (d *directory) forgetDepartures(deadline time.Time) {
	for i, at := range d.departed {
		if m, ok := d.members[i.name]; ok && m.endpoint.Incarnation == i.number {
			continue
		}
		if at.Before(deadline) {
			delete(d.departed, i)
		}
	}
}

// depart records a departure of which another replica or the endpoint informs this one. An announcement of the
// incarnation that is listed or registered here is older, and other replicas must not get it as available. The
// caller holds t.mu.
func (t *table) depart(at time.Time, i incarnation) {
	t.list.recordDeparture(at, i)
	if m, ok := t.list.members[i.name]; ok && m.endpoint.Direct {
		t.list.announce(m.seen, t.list.keepLeaving(m.endpoint))
	}
	r := t.registered[i.name]
	if r == nil || r.endpoint.Load.Leaving {
		return
	}
	if e := t.list.keepLeaving(*r.endpoint); e.Load.Leaving {
		r.endpoint = &e
	}
}

// departureReports returns the departures that sent lacks, and records them there. The caller holds t.mu.
func (t *table) departureReports(now time.Time, sent map[incarnation]bool) []departureReport {
	for i := range sent {
		if _, ok := t.list.departed[i]; !ok {
			delete(sent, i)
		}
	}
	var out []departureReport
	for i, at := range t.list.departed {
		if !sent[i] {
			out = append(out, departureReport{Name: i.name, Incarnation: i.number, Age: max(0, now.Sub(at))})
			sent[i] = true
		}
	}
	return out
}
