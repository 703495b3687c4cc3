package control

import (
	"reflect"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// roleEndpoint marks reports on endpoints that registered themselves: they have no
// session and hold no permission.
const roleEndpoint = "endpoint"

// registration is a direct endpoint that announced itself to this replica.
type registration struct {
	endpoint *wire.Endpoint
	// sequence is the number of the newest announcement within the incarnation.
	sequence uint64
	seen     time.Time
}

// register enters what a direct endpoint says about itself. It reports false for an
// announcement that is older than what is known: one that was held up on its way.
func (t *table) register(now time.Time, e wire.Endpoint, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.registered[e.Name]
	if old != nil && old.endpoint.Incarnation == e.Incarnation && sequence != 0 && sequence <= old.sequence {
		return false
	}
	e, result := t.list.announceDirect(now, e)
	switch result {
	case outdated:
		return false
	case published:
		t.notifyLocked()
	case unchanged:
	}
	r := &registration{endpoint: &e, sequence: sequence, seen: now}
	if old != nil && reflect.DeepEqual(*old.endpoint, e) {
		// Reports to other replicas compare by pointer.
		r.endpoint = old.endpoint
	}
	t.registered[e.Name] = r
	return true
}

// deregister marks an endpoint as leaving for good: it may serve on for a while, and
// a late announcement of it must not bring it back.
func (t *table) deregister(now time.Time, name string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.list.members[name]
	if !ok || incarnation != 0 && incarnation < m.endpoint.Incarnation {
		return
	}
	e := m.endpoint
	e.Load.Leaving = true
	if t.list.announce(now, e) == published {
		t.notifyLocked()
	}
	t.registered[name] = &registration{endpoint: &e, seen: now}
}

// forgetRegistrations drops the registrations that were last heard before deadline.
func (t *table) forgetRegistrations(deadline time.Time) {
	for name, r := range t.registered {
		if r.seen.Before(deadline) {
			delete(t.registered, name)
		}
	}
}

// registrationReports lists the registrations here for another replica.
func (t *table) registrationReports(add func(key string, r sessionReport)) {
	for name, r := range t.registered {
		key := roleEndpoint + "/" + name
		add(key, sessionReport{Key: key, Name: name, Role: roleEndpoint, Zone: r.endpoint.Zone, Endpoint: r.endpoint})
	}
}

// announceDirect notes what a direct endpoint says about itself, here or at another
// replica, and returns it as it is listed. One whose address a newer endpoint has is
// outdated.
func (d *directory) announceDirect(now time.Time, e wire.Endpoint) (wire.Endpoint, announceResult) {
	e = d.keepLeaving(e)
	if d.addressTaken(&e) {
		return e, outdated
	}
	return e, d.announce(now, e)
}

// keepLeaving keeps an endpoint leaving for the rest of its incarnation.
func (d *directory) keepLeaving(e wire.Endpoint) wire.Endpoint {
	old, ok := d.members[e.Name]
	if ok && old.endpoint.Incarnation == e.Incarnation && e.Incarnation != 0 && old.endpoint.Load.Leaving {
		e.Load.Leaving = true
	}
	return e
}

// addressTaken reports whether a newer endpoint has the address. An older one that had
// it is dropped.
func (d *directory) addressTaken(e *wire.Endpoint) bool {
	for name, m := range d.members {
		other := &m.endpoint
		if name == e.Name || !other.Direct || other.Addr != e.Addr {
			continue
		}
		if other.Incarnation > e.Incarnation {
			return true
		}
		delete(d.members, name)
		d.changed(name)
	}
	return false
}
