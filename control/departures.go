package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
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

// departuresOf returns the incarnations of an endpoint that are known to leave or to have left.
func (d *directory) departuresOf(name string) (left []incarnation) {
	for i := range d.departed {
		if i.name == name {
			left = append(left, i)
		}
	}
	return left
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

// keepDepartures returns once the group certainly keeps that the incarnations leave, also through a restart of
// all replicas. An endpoint that names no incarnation may become available again, so nothing is kept of it.
func (s *Server) keepDepartures(ctx context.Context, left []incarnation) error {
	var c command.Depart
	s.store.read(func(m *state.Machine) {
		for _, i := range left {
			if d := (command.Departure{Endpoint: i.name, Incarnation: i.number}); i.number != 0 && !m.Departed(d) {
				c.Departures = append(c.Departures, d)
			}
		}
	})
	if len(c.Departures) == 0 {
		return nil
	}
	return errors.Wrap(s.submitCommand(ctx, "", command.NameDepart, &c, nil), "keep the departure")
}

// followState passes changes of the replicated state on to the endpoint list and to the sessions. The replica
// calls it after each of them, one at a time.
func (s *Server) followState() {
	var left []command.Departure
	s.store.read(func(m *state.Machine) { left, s.departuresFollowed = m.DeparturesSince(s.departuresFollowed) })
	if len(left) > 0 {
		s.table.departAll(s.clock.Now(), left)
	}
	s.table.notifyAll()
}

// departAll records departures that the group keeps.
func (t *table) departAll(now time.Time, left []command.Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range left {
		t.depart(now, incarnation{d.Endpoint, d.Incarnation})
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
