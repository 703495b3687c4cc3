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
	first, ok := table.Acquire(start, "zone", "a", duration)
	is.True(ok)
	again, ok := table.Acquire(start.Add(time.Second), "zone", "a", duration)
	is.True(ok && again.FencingNumber == first.FencingNumber) // the answer was lost
	_, ok = table.Acquire(start.Add(duration), "zone", "b", duration)
	is.True(!ok) // a has renewed its grant
	is.True(!table.Release("zone", first.FencingNumber+1))
	next, ok := table.Acquire(start.Add(2*duration), "zone", "b", duration)
	is.True(ok && next.FencingNumber > first.FencingNumber)
	is.True(!table.Release("zone", first.FencingNumber)) // a delayed release of the expired grant
	restored := Restore(table.LastNumber(), []Grant{next})
	_, ok = restored.Acquire(start.Add(2*duration), "zone", "a", duration)
	is.True(!ok)
	is.Equal(table.Expire(start.Add(3*duration)), 1)
	later, _ := restored.Acquire(start.Add(4*duration), "other", "a", duration)
	is.True(later.FencingNumber > next.FencingNumber)
}

// request is a call of Acquire by one holder, in transit to the table.
type request struct {
	holder int
	sent   time.Time
}

// TestOneHolderAtATime checks that no two holders consider themselves holders at the same
// time, and that fencing numbers increase, while requests are delayed, duplicated and
// lost.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		table := NewTable()
		var inTransit []request
		var heldUntil [3]time.Time
		newest := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				inTransit = append(inTransit, request{holder: rapid.IntRange(0, 2).Draw(t, "holder"), sent: now})
			},
			"carry out": func(t *rapid.T) {
				if len(inTransit) == 0 {
					return
				}
				r := rapid.SampledFrom(inTransit).Draw(t, "request")
				g, ok := table.Acquire(now, "zone", fmt.Sprint(r.holder), duration)
				if !ok || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					return
				}
				if g.FencingNumber < newest {
					t.Fatalf("fencing number %d was granted after %d", g.FencingNumber, newest)
				}
				newest = g.FencingNumber
				if end := r.sent.Add(duration); end.After(heldUntil[r.holder]) {
					heldUntil[r.holder] = end
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
				table.Expire(now)
			},
			"": func(t *rapid.T) {
				holders := 0
				for _, end := range heldUntil {
					if now.Before(end) {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("%d holders at the same time", holders)
				}
			},
		})
	})
}
