package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake measures Take and Release of one request in an entry.
func BenchmarkTake(b *testing.B) {
	l := NewLimiter()
	now := start
	_ = l.Take(now, "parish", limit, Cost{})
	l.Demand(now, 1)
	l.ApplyGrants(now, []Share{{Account: "parish", Seq: 1, Amount: Amount{Requests: 1e9, Tokens: 1e12, Concurrent: 1e9}}})
	accountLimit := Amount{Requests: 1e9, Tokens: 1e12, Concurrent: 1e9}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if l.Take(now, "parish", accountLimit, Cost{Tokens: 10}) == nil {
			l.Release(now, "parish", Cost{Tokens: 10}, Cost{Tokens: 10})
		}
	}
}

// BenchmarkAllocate measures how long the leader takes to answer one heartbeat of an entry
// with 14 active accounts, by the number of entries that use the same accounts.
func BenchmarkAllocate(b *testing.B) {
	for _, entries := range []int{10, 40, 100, 340} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			a := newReadyAllocator()
			var demand []Share
			for i := range 14 {
				demand = append(demand, Share{Account: fmt.Sprint("a", i), Amount: Amount{Requests: 5, Tokens: 2000, Concurrent: 3}})
			}
			seq := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				for i := range demand {
					demand[i].Seq = seq / uint64(entries)
				}
				a.Allocate(start, fmt.Sprint("e", seq%uint64(entries)), 1+seq/uint64(entries), demand, limitOf)
			}
		})
	}
}
