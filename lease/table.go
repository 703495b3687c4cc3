package lease

import "time"

// Grant is the right to a name until a moment, under a number that was never given
// out before.
type Grant struct {
	Name   string
	Holder string
	// FencingNumber fences: whatever the right is used on refuses lower numbers, because a
	// holder that was frozen may act on a right that lapsed meanwhile.
	FencingNumber uint64
	// Until is when the table takes the grant for lapsed, on the table's clock.
	Until time.Time
}

// Table gives out grants. It is the state behind a replicated command: the same
// calls in the same order lead to the same grants everywhere, and now never goes
// back from call to call. It does no locking.
//
// A holder counts its grant from the moment it sent the request, the table from
// the moment it carried the request out, which is later. So the holder stops
// before the table gives the name to another, as long as their clocks run at about
// the same speed; the number covers the rest.
type Table struct {
	last   uint64
	grants map[string]Grant
}

// NewTable returns a table that has granted nothing.
func NewTable() *Table { return &Table{grants: map[string]Grant{}} }

// Acquire grants the name to the holder for span, or returns the grant that stands
// and false. A holder that asks again, because the answer was lost or to renew,
// keeps its number.
func (t *Table) Acquire(now time.Time, name, holder string, span time.Duration) (Grant, bool) {
	g, ok := t.grants[name]
	if ok && now.Before(g.Until) {
		if g.Holder != holder {
			return g, false
		}
		if until := now.Add(span); until.After(g.Until) {
			g.Until = until
			t.grants[name] = g
		}
		return g, true
	}
	t.last++
	g = Grant{Name: name, Holder: holder, FencingNumber: t.last, Until: now.Add(span)}
	t.grants[name] = g
	return g, true
}

// Release ends the grant before its time. A release under another number, which
// was held up, changes nothing.
func (t *Table) Release(name string, number uint64) bool {
	g, ok := t.grants[name]
	if !ok || g.FencingNumber != number {
		return false
	}
	delete(t.grants, name)
	return true
}

// Expire forgets the grants that have lapsed and returns how many.
func (t *Table) Expire(now time.Time) int {
	before := len(t.grants)
	for name, g := range t.grants {
		if !now.Before(g.Until) {
			delete(t.grants, name)
		}
	}
	return before - len(t.grants)
}

// Lookup returns the grant that stands at now.
func (t *Table) Lookup(now time.Time, name string) (Grant, bool) {
	g, ok := t.grants[name]
	return g, ok && now.Before(g.Until)
}

// LastNumber returns the highest number given out, and Restore continues from it.
func (t *Table) LastNumber() uint64 { return t.last }

// Restore returns the table whose grants and highest number are given.
func Restore(last uint64, grants []Grant) *Table {
	t := NewTable()
	t.last = last
	for _, g := range grants {
		t.grants[g.Name] = g
		t.last = max(t.last, g.FencingNumber)
	}
	return t
}
