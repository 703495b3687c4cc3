package assign

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// deployed returns n entries in some availability zones.
func deployed(n, zones int) []Entry {
	out := make([]Entry, n)
	for i := range out {
		out[i] = Entry{Addr: fmt.Sprintf("10.%d.0.%d:7355", i%zones, i), Zone: fmt.Sprintf("zone-%d", i%zones)}
	}
	return out
}

// Each placement was told to all other entries, so an entry's work grew with the deployment.
func TestEntriesHeardDoNotGrowWithTheDeployment(t *testing.T) {
	for _, n := range []int{1, 8, 31, 40, 41, 105, 340, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			entries := deployed(n, 5)
			heard := map[string]int{}
			for _, e := range entries {
				c := DivideEntries(entries, e.Addr)
				own := c.Entries(c.Own())
				// Rendezvous hashing fills the cells of a zone unevenly.
				is.True(len(own) <= 2*maxCellEntries)
				for _, a := range own {
					heard[a]++
				}
				is.Equal(len(c.Others()) == 0, n <= maxCellEntries)
			}
			for _, e := range entries {
				is.True(heard[e.Addr] <= 2*maxCellEntries)
			}
		})
	}
}

// An endpoint that two cells chose would get more requests than it takes; one that none chose, none.
func TestEachEndpointBelongsToOneCell(t *testing.T) {
	tests := map[string]struct {
		entries []Entry
		zones   int // of the endpoints
	}{
		"one zone each":             {deployed(105, 5), 5},
		"several cells in a zone":   {deployed(340, 2), 2},
		"zones without entries":     {deployed(105, 3), 5},
		"zones without endpoints":   {deployed(105, 5), 2},
		"zones are not known":       {deployed(105, 1), 5},
		"a zone with a single cell": {append(deployed(60, 2), Entry{Addr: "10.9.0.1:7355", Zone: "zone-9"}), 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			choosers := map[string]map[string]bool{}
			for _, e := range test.entries {
				f := fleetOf(60)
				for _, m := range f.members {
					moved := m.Endpoint
					moved.Zone = fmt.Sprintf("zone-%d", m.rank%uint64(test.zones))
					f.Update(moved)
				}
				c := DivideEntries(test.entries, e.Addr)
				f.SetCells(c)
				r := prompt(1_000)
				for _, m := range f.eligible(t0, r, true) {
					if choosers[m.Name] == nil {
						choosers[m.Name] = map[string]bool{}
					}
					choosers[m.Name][c.Own()] = true
				}
			}
			is.Equal(len(choosers), 60)
			for _, cells := range choosers {
				is.Equal(len(cells), 1)
			}
		})
	}
}

// Requests that all cells send to one entry of another cell would overload it.
func TestContactsInOtherCellsAreSpread(t *testing.T) {
	is := is.New(t)
	entries := deployed(105, 5)
	asked := map[string]int{}
	for _, e := range entries {
		c := DivideEntries(entries, e.Addr)
		for _, cell := range c.Others() {
			addr := c.Contact(cell, e.Addr, func(string) bool { return false })
			asked[addr]++
			next := c.Contact(cell, e.Addr, func(a string) bool { return a == addr })
			is.True(next != "" && next != addr)
			is.Equal(c.Contact(cell, e.Addr, func(string) bool { return true }), "")
		}
	}
	for addr, n := range asked {
		if n > 16 { // four times the mean
			t.Errorf("entry %s is the contact of %d entries", addr, n)
		}
	}
}

// An entry asked engines of other cells for their speed, and told its own cell, which does not choose them.
func TestEnginesOfOtherCellsAreNotAskedForTheirSpeed(t *testing.T) {
	is := is.New(t)
	f := fleetOf(1)
	name := f.choicesOf("scribe")[0].Name
	_, ok := f.MayAskSlowdown(t0, name, false)
	is.True(ok)
	f.members[name].elsewhere = true
	_, ok = f.MayAskSlowdown(t0, name, false)
	is.True(!ok)
}
