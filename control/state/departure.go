package state

import (
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// maxDepartures is the largest number of departures that are kept. One more drops the oldest.
const maxDepartures = 4096

// departures holds the incarnations of endpoints that leave or have left, oldest first.
type departures struct {
	list  []command.Departure
	known map[command.Departure]bool
	// total counts the departures ever recorded.
	total uint64
}

func newDepartures() *departures { return &departures{known: map[command.Departure]bool{}} }

// restoreDepartures returns the departures of a snapshot.
func restoreDepartures(list []command.Departure, total uint64) *departures {
	d := newDepartures()
	for _, one := range list {
		d.record(one)
	}
	d.total = max(total, d.total)
	return d
}

// record records a departure that is not known.
func (d *departures) record(one command.Departure) {
	if d.known[one] {
		return
	}
	if len(d.list) == maxDepartures {
		delete(d.known, d.list[0])
	}
	d.list = appendBounded(d.list, one, maxDepartures)
	d.known[one] = true
	d.total++
}

// depart carries out a command.Depart.
func (m *Machine) depart(e *Entry) *wire.Answer {
	var c command.Depart
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	for _, one := range c.Departures {
		m.departures.record(one)
	}
	return &wire.Answer{}
}

// Departed reports whether a departure is recorded.
func (m *Machine) Departed(d command.Departure) bool { return m.departures.known[d] }

// DeparturesSince returns the departures after the first n that were ever recorded, oldest first, and how
// many were. Some may no longer be kept. The caller must not modify them.
func (m *Machine) DeparturesSince(n uint64) ([]command.Departure, uint64) {
	d := m.departures
	missing := min(d.total-min(n, d.total), uint64(len(d.list)))
	return d.list[uint64(len(d.list))-missing:], d.total
}
