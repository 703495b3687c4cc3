package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestGrants(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	first, ok := table.Acquire(start, "zone", "a", span)
	is.True(ok)
	again, ok := table.Acquire(start.Add(time.Second), "zone", "a", span)
	is.True(ok && again.FencingNumber == first.FencingNumber) // the answer was lost
	_, ok = table.Acquire(start.Add(span), "zone", "b", span)
	is.True(!ok) // renewed by the second asking
	is.True(!table.Release("zone", first.FencingNumber+1))
	next, ok := table.Acquire(start.Add(2*span), "zone", "b", span)
	is.True(ok && next.FencingNumber > first.FencingNumber)
	is.True(!table.Release("zone", first.FencingNumber)) // a late release of the lapsed grant
	restored := Restore(table.LastNumber(), []Grant{next})
	_, ok = restored.Acquire(start.Add(2*span), "zone", "a", span)
	is.True(!ok)
	is.Equal(table.Expire(start.Add(3*span)), 1)
	later, _ := restored.Acquire(start.Add(4*span), "other", "a", span)
	is.True(later.FencingNumber > next.FencingNumber)
}

// request is one holder's asking on its way to the table and back.
type request struct {
	holder int
	sent   time.Time
}

// TestOneHolderAtATime lets requests be late, repeated and lost: no two holders
// take the right for theirs at the same time, and numbers rise with time.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		table := NewTable()
		var wire []request
		var until [3]time.Time
		newest := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				wire = append(wire, request{holder: rapid.IntRange(0, 2).Draw(t, "holder"), sent: now})
			},
			"carry out": func(t *rapid.T) {
				if len(wire) == 0 {
					return
				}
				r := rapid.SampledFrom(wire).Draw(t, "request")
				g, ok := table.Acquire(now, "zone", fmt.Sprint(r.holder), span)
				if !ok || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					return
				}
				if g.FencingNumber < newest {
					t.Fatalf("number %d came after %d", g.FencingNumber, newest)
				}
				newest = g.FencingNumber
				if end := r.sent.Add(span); end.After(until[r.holder]) {
					until[r.holder] = end
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
				table.Expire(now)
			},
			"": func(t *rapid.T) {
				holding := 0
				for _, end := range until {
					if now.Before(end) {
						holding++
					}
				}
				if holding > 1 {
					t.Fatalf("%d holders at once", holding)
				}
			},
		})
	})
}
