package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkLedger measures the time of a claim, the memory of a record and the time
// of Image, for ledgers of different sizes.
func BenchmarkLedger(b *testing.B) {
	for _, records := range []int{1000, 10_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			limits := DefaultLimits()
			limits.MaxTimedRecords, limits.Retention = records, 24*time.Hour
			before := heapBytes()
			l := NewLedger(limits, start)
			for i := range records {
				l.Claim(start, claimOf(keyAt(start.Add(time.Second), i), "c"), uint64(i), registered)
			}
			perRecord := (heapBytes() - before) / float64(records)
			imageStart := time.Now()
			image, err := l.Image()
			if err != nil {
				b.Fatal(err)
			}
			imageTime := time.Since(imageStart)
			b.ResetTimer()
			for i := range b.N {
				l.Claim(start, claimOf(keyAt(start.Add(2*time.Second), records+i), "c"), uint64(i), registered)
			}
			b.ReportMetric(perRecord, "B/record")
			b.ReportMetric(imageTime.Seconds()*1000, "image-ms")
			runtime.KeepAlive(image)
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
