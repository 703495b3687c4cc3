package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake measures what a request costs at the entry.
func BenchmarkTake(b *testing.B) {
	h := NewLimiter()
	now := start
	_ = h.Take(now, "parish", limit, Cost{})
	h.Demand(now, 1)
	h.ApplyGrants(now, []Share{{Account: "parish", Seq: 1, Amount: Amount{Requests: 1e9, Tokens: 1e12, Concurrent: 1e9}}})
	big := Amount{Requests: 1e9, Tokens: 1e12, Concurrent: 1e9}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if h.Take(now, "parish", big, Cost{Tokens: 10}) == nil {
			h.Release(now, "parish", Cost{Tokens: 10}, Cost{Tokens: 10})
		}
	}
}

// BenchmarkDemand measures what one heartbeat of an entry with 14 active accounts
// costs at the leader, by the number of entries that use the same accounts.
func BenchmarkDemand(b *testing.B) {
	for _, entries := range []int{10, 40, 100, 340} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			l := ready()
			var wanted []Share
			for i := range 14 {
				wanted = append(wanted, Share{Account: fmt.Sprint("a", i), Amount: Amount{Requests: 5, Tokens: 2000, Concurrent: 3}})
			}
			seq := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				for i := range wanted {
					wanted[i].Seq = seq / uint64(entries)
				}
				l.Allocate(start, fmt.Sprint("e", seq%uint64(entries)), 1+seq/uint64(entries), wanted, limits)
			}
		})
	}
}
