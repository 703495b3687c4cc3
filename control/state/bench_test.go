package state

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSnapshot measures how long the replica stands still for a snapshot, and
// its size, by the number of claims kept.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range []int{1000, 10_000, 50_000, 100_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			l := newLog(b)
			l.fence("f", 1)
			for i := range claims {
				l.claim(fmt.Sprint(i), fmt.Sprintf("%d-%d", start.Add(time.Minute).UnixMilli(), i), 1)
			}
			size := 0
			for b.Loop() {
				snapshot, err := l.m.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(snapshot)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
