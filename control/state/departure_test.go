package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
)

func TestDeparturesAreBoundedAndKeptInSnapshots(t *testing.T) {
	is := is.New(t)
	departure := func(n int) command.Departure {
		return command.Departure{Endpoint: fmt.Sprint("i-", n), Incarnation: 1}
	}
	m := New()
	for n := range maxDepartures + 10 {
		m.departures.record(departure(n))
		m.departures.record(departure(n)) // repeated
	}
	for range 2 {
		is.True(!m.Departed(departure(9)))
		is.True(m.Departed(departure(10)))
		is.True(!m.Departed(command.Departure{Endpoint: "i-10", Incarnation: 2}))
		all, total := m.DeparturesSince(0)
		is.Equal(len(all), maxDepartures)
		is.Equal(total, uint64(maxDepartures+10))
		newest, _ := m.DeparturesSince(total - 2)
		is.Equal(newest, []command.Departure{departure(maxDepartures + 8), departure(maxDepartures + 9)})
		none, _ := m.DeparturesSince(total)
		is.Equal(len(none), 0)
		raw, err := m.Snapshot()
		is.NoErr(err)
		restored := New()
		is.NoErr(restored.Restore(raw))
		m = restored
	}
}
