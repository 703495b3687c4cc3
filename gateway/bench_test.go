package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// BenchmarkQuarantine measures what the quarantine costs a clear request, beside the bookkeeping of
// the retry budget, which each request had before.
func BenchmarkQuarantine(b *testing.B) {
	suspects := session.NewSuspects(&fakeControlClient{}, kernel.SystemClock{})
	suspects.Update(&wire.Update{HasQuarantine: true, Suspects: []uint64{1, 2, 3}, Quarantine: []uint64{4}})
	for _, size := range []int{1 << 10, 1 << 20} {
		body := make([]byte, size)
		b.Run(fmt.Sprintf("content of %d KiB", size>>10), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				contentDigest("parish", "POST", "/read/1", body)
			}
		})
	}
	b.Run("two checks and the completion", func(b *testing.B) {
		b.ReportAllocs()
		for i := uint64(0); b.Loop(); i++ {
			suspects.Status(i)
			suspects.Status(i)
			suspects.RecordCompletion(i)
		}
	})
	b.Run("three checks and the completion with four parts", func(b *testing.B) {
		ids := []string{"5c1e07a2", "91bd3f06", "e4402b7d", "77aa0012"}
		b.ReportAllocs()
		for i := uint64(0); b.Loop(); i++ {
			parts := partDigests(ids)
			for range 3 {
				suspects.WorstStatus(i, parts)
			}
			suspects.RecordCompletion(i)
			suspects.RecordPartCompletions(parts)
		}
	})
	b.Run("retry budget", func(b *testing.B) {
		budget := newRetryBudget(RetryLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, time.Time{})
		b.ReportAllocs()
		for b.Loop() {
			budget.recordRequest(time.Now(), "desk")
		}
	})
}
