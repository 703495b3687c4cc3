package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Grant is the exclusive right to a name until it expires.
type Grant struct {
	Name   string
	Holder string
	// FencingNumber is higher than that of any earlier grant. The resource to which the
	// holder sends its requests refuses lower numbers, because a holder that was suspended
	// may still act on a grant that has expired in the meantime.
	FencingNumber uint64
	// Until is when the grant expires, on the table's clock.
	Until time.Time
}

// Table keeps the grants. It is meant as the state of a replicated state machine: the same
// calls in the same order lead to the same grants on all replicas. The caller passes times
// that never decrease. Table does no locking.
//
// A holder counts the duration of its grant from the time it sent the request, and the
// table from the time it executed the request, which is later. The holder therefore stops
// before the table grants the name to another holder, as long as their clocks run at about
// the same speed. FencingNumber covers the other cases, such as a holder that
// was suspended just before it sent a request.
type Table struct {
	lastNumber uint64
	grants     map[string]Grant
}

// NewTable returns a table without grants.
func NewTable() *Table { return &Table{grants: map[string]Grant{}} }

// Acquire grants the name to the holder for duration. If another holder has a valid grant
// of the name, it returns that grant and false. A holder that calls Acquire again, to renew
// or because the answer was lost, keeps its fencing number.
func (t *Table) Acquire(now time.Time, name, holder string, duration time.Duration) (Grant, bool) {
	g, ok := t.grants[name]
	if ok && now.Before(g.Until) {
		if g.Holder != holder {
			return g, false
		}
		if until := now.Add(duration); until.After(g.Until) {
			g.Until = until
			t.grants[name] = g
		}
		return g, true
	}
	t.lastNumber++
	g = Grant{Name: name, Holder: holder, FencingNumber: t.lastNumber, Until: now.Add(duration)}
	t.grants[name] = g
	return g, true
}

// Release ends the grant of a name before it expires and reports whether there was one. A
// delayed release with the number of an earlier grant changes nothing.
func (t *Table) Release(name string, number uint64) bool {
	g, ok := t.grants[name]
	if !ok || g.FencingNumber != number {
		return false
	}
	delete(t.grants, name)
	return true
}

// Expire removes the expired grants and returns their number.
func (t *Table) Expire(now time.Time) int {
	before := len(t.grants)
	for name, g := range t.grants {
		if !now.Before(g.Until) {
			delete(t.grants, name)
		}
	}
	return before - len(t.grants)
}

// Lookup returns the grant of a name, and whether it is valid at now.
func (t *Table) Lookup(now time.Time, name string) (Grant, bool) {
	g, ok := t.grants[name]
	return g, ok && now.Before(g.Until)
}

// LastNumber returns the highest fencing number granted so far. Restore continues from it.
func (t *Table) LastNumber() uint64 { return t.lastNumber }

// Grants returns all grants in the order of their names, including expired ones that Expire has not
// removed.
func (t *Table) Grants() []Grant {
	return slices.SortedFunc(maps.Values(t.grants), func(a, b Grant) int { return cmp.Compare(a.Name, b.Name) })
}

// Restore returns a table with the given grants and highest fencing number.
func Restore(lastNumber uint64, grants []Grant) *Table {
	t := NewTable()
	t.lastNumber = lastNumber
	for _, g := range grants {
		t.grants[g.Name] = g
		t.lastNumber = max(t.lastNumber, g.FencingNumber)
	}
	return t
}
