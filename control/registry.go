package control

import (
	"reflect"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// maxSequenceStep is the most announcements of an incarnation that a replica may miss. A larger step is
// another writer's: the endpoint's own announcements would be older from then on.
const maxSequenceStep = 1 << 20

// roleEndpoint is the role in reports on direct endpoints, which register themselves. They
// have no session and no permission.
const roleEndpoint = "endpoint"

// registration is a direct endpoint that has announced itself to this replica.
type registration struct {
	endpoint *wire.Endpoint
	// sequence is the number of the newest announcement of the incarnation.
	sequence uint64
	// seen is when the newest announcement arrived.
	seen time.Time
}

// register records the announcement of a direct endpoint. It returns false for an
// announcement that was delayed and is older than a recorded one, or that cannot be the endpoint's own.
func (t *table) register(now time.Time, e wire.Endpoint, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.registered[e.Name]
	// An endpoint that numbers its announcements numbers all of them.
	if old != nil && old.endpoint.Incarnation == e.Incarnation && old.sequence != 0 {
		switch {
		case sequence == 0 || sequence > old.sequence && sequence-old.sequence > maxSequenceStep:
			return false
		case sequence <= old.sequence:
			return t.registerLeaving(now, &e)
		}
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
		// Keep the pointer, by which sameReport compares endpoints.
		r.endpoint = old.endpoint
	}
	t.registered[e.Name] = r
	return true
}

// registerLeaving records that an incarnation leaves, by an announcement that seems to be older than a
// recorded one. An incarnation that leaves never becomes available again, so this holds however late the
// announcement is, and if another writer gave the recorded one a higher number. It returns false if the
// announcement does not say so or cannot be the endpoint's own. The caller holds t.mu.
func (t *table) registerLeaving(now time.Time, e *wire.Endpoint) bool {
	if !e.Load.Leaving || e.CheckDirect() != nil || t.list.contradicts(e) {
		return false
	}
	before := t.list.version
	t.depart(now, incarnationOf(e))
	if t.list.version != before {
		t.notifyLocked()
	}
	return true
}

// deregister marks an endpoint as leaving instead of removing it. The endpoint may serve its
// last requests for a while, and a delayed announcement must not list it as available again. It returns
// the incarnations that leave or have left, and false for an endpoint that is not known here; another replica
// may know it.
func (t *table) deregister(now time.Time, name string, number uint64) (left []incarnation, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.list.members[name]
	if !ok {
		left = t.list.departuresOf(name)
		return left, len(left) > 0
	}
	if number != 0 && number < m.endpoint.Incarnation {
		return nil, true
	}
	e := m.endpoint
	e.Load.Leaving = true
	if e.Direct {
		t.list.recordDeparture(now, incarnationOf(&e))
	}
	if t.list.announce(now, e) == published {
		t.notifyLocked()
	}
	t.registered[name] = &registration{endpoint: &e, seen: now}
	return []incarnation{incarnationOf(&e)}, true
}

// forgetRegistrations drops the registrations whose last announcement arrived before deadline.
// The caller holds t.mu.
func (t *table) forgetRegistrations(deadline time.Time) {
	for name, r := range t.registered {
		if r.seen.Before(deadline) {
			delete(t.registered, name)
		}
	}
}

// registrationReports calls add with a report on each registration at this replica. The caller
// holds t.mu.
func (t *table) registrationReports(add func(key string, r sessionReport)) {
	for name, r := range t.registered {
		key := roleEndpoint + "/" + name
		add(key, sessionReport{Key: key, Name: name, Role: roleEndpoint, Zone: r.endpoint.Zone, Endpoint: r.endpoint})
	}
}

// announceDirect records the announcement of a direct endpoint, which arrived at this or at
// another replica, and returns the endpoint as it is listed. The announcement is outdated if
// a newer endpoint has the same address, or if it cannot be the endpoint's own.
func (d *directory) announceDirect(now time.Time, e wire.Endpoint) (wire.Endpoint, announceResult) {
	e = d.keepLeaving(e)
	if e.CheckDirect() != nil || d.contradicts(&e) || d.addressTaken(&e) {
		return e, outdated
	}
	result := d.announce(now, e)
	if result != outdated && e.Load.Leaving {
		d.recordDeparture(now, incarnationOf(&e))
	}
	return e, result
}

// contradicts reports whether the incarnation is listed with another address, service or availability
// zone, none of which changes while an endpoint runs.
func (d *directory) contradicts(e *wire.Endpoint) bool {
	m, ok := d.members[e.Name]
	if !ok || e.Incarnation == 0 || m.endpoint.Incarnation != e.Incarnation {
		return false
	}
	return m.endpoint.Addr != e.Addr || m.endpoint.Target != e.Target || m.endpoint.Zone != e.Zone
}

// addressTaken reports whether a newer direct endpoint has the address of e. It also removes
// other direct endpoints with this address that are not newer from the list, because e has
// replaced them.
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
