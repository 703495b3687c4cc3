package assign

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCellEntries bounds the entries of a cell, and with it the bookings that an entry hears. Up to
// so many entries form a single cell.
const maxCellEntries = 40

// Entry is a process that chooses endpoints.
type Entry struct {
	// Addr is the address at which other entries reach it, and Zone its availability zone.
	Addr string
	Zone string
}

// Cells divide the entries of a large deployment, and the endpoints among them. Entries choose only
// endpoints of their own cell and tell their bookings only one another, so that the work of an
// entry does not grow with the deployment. An entry of another cell places what finds no room in
// the own one.
//
// A cell holds entries of one availability zone and endpoints of the same zone. Endpoints of a
// zone without entries are spread over all cells.
type Cells struct {
	// own is the name of the cell of this entry.
	own string
	// names holds the names of the cells of each zone that has entries, and all those of all zones,
	// sorted.
	names map[string][]string
	all   []string
	// entries are the addresses of the entries of each cell, sorted.
	entries map[string][]string
}

// DivideEntries returns the cells of all entries as the entry at addr sees them. It depends on the
// list only, so entries with the same list agree.
func DivideEntries(entries []Entry, addr string) *Cells {
	c := &Cells{names: map[string][]string{}, entries: map[string][]string{}}
	byZone := map[string][]string{}
	for _, e := range entries {
		zone := e.Zone
		if len(entries) <= maxCellEntries {
			zone = "" // one cell for all zones
		}
		byZone[zone] = append(byZone[zone], e.Addr)
	}
	for zone, addrs := range byZone {
		count := (len(addrs) + maxCellEntries - 1) / maxCellEntries
		for i := range count {
			c.names[zone] = append(c.names[zone], fmt.Sprintf("%s/%d", zone, i))
		}
		c.all = append(c.all, c.names[zone]...)
		for _, a := range addrs {
			cell := rendezvous(c.names[zone], a)
			c.entries[cell] = append(c.entries[cell], a)
			if a == addr {
				c.own = cell
			}
		}
	}
	slices.Sort(c.all)
	for _, addrs := range c.entries {
		slices.Sort(addrs)
	}
	return c
}

// rendezvous returns the choice with the highest hash for a key. When one choice goes, only its
// own keys change.
func rendezvous(choices []string, key string) string {
	best, most := "", uint64(0)
	for _, c := range choices {
		if h := xxhash.Sum64String(c + " " + key); best == "" || h > most {
			best, most = c, h
		}
	}
	return best
}

// Own returns the name of the cell of this entry.
func (c *Cells) Own() string { return c.own }

// Others returns the names of the other cells that have entries, sorted.
func (c *Cells) Others() []string {
	return slices.DeleteFunc(slices.Clone(c.all), func(name string) bool { return name == c.own || len(c.entries[name]) == 0 })
}

// Entries returns the addresses of the entries of a cell, sorted.
func (c *Cells) Entries(cell string) []string { return c.entries[cell] }

// Contact returns the entry of a cell that the entry at addr asks to place short requests. Those who
// ask are spread over the entries of the cell. It leaves out the entries for which skip is true, and
// returns "" if none is left.
func (c *Cells) Contact(cell, addr string, skip func(string) bool) string {
	return rendezvous(slices.DeleteFunc(slices.Clone(c.entries[cell]), skip), addr)
}

// Owner returns the name of the cell whose entries choose the endpoint.
func (c *Cells) Owner(e *Endpoint) string {
	names := c.names[e.Zone]
	if len(names) == 0 {
		names = c.all
	}
	return rendezvous(names, e.Name)
}

// SetCells replaces the division of the deployment into cells.
func (f *Fleet) SetCells(c *Cells) {
	f.cells = c
	clear(f.choices)
	for _, m := range f.members {
		m.elsewhere = f.isElsewhere(&m.Endpoint)
	}
}

// isElsewhere reports whether entries of another cell choose the endpoint.
func (f *Fleet) isElsewhere(e *Endpoint) bool {
	return f.cells != nil && f.cells.Owner(e) != f.cells.Own()
}
