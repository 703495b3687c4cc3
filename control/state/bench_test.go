package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/once"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// claimInterval is the interval between claims at a rate of 480 per second.
const claimInterval = time.Second / 480

// claimKey returns the key of the i-th claim, which contains the time of the call.
func claimKey(i int) string {
	return fmt.Sprintf("%d-%d", start.Add(time.Minute+time.Duration(i)*claimInterval).UnixMilli(), i)
}

// BenchmarkSnapshot measures the time for which a snapshot blocks the replica, and the size of
// the snapshot, by the number of stored claims. Between two snapshots the newest 20,000 claims
// change, which corresponds to 50,000 commands.
func BenchmarkSnapshot(b *testing.B) {
	const changing = 20_000
	for _, claims := range []int{20_000, 50_000, 100_000, 200_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			l := newLog(b)
			l.now = start.Add(15 * time.Minute)
			l.fence("f", 1)
			for i := range claims {
				l.claim(fmt.Sprint(i), claimKey(i), 1)
			}
			startedAt := time.Now()
			if _, err := l.m.Snapshot(); err != nil {
				b.Fatal(err)
			}
			first := time.Since(startedAt)
			size := 0
			for b.Loop() {
				for i := claims - changing; i < claims; i++ {
					l.m.claims.Settle(once.Settlement{Account: "parish", Key: claimKey(i), Fence: uint64(i + 2), Verdict: verdict.MayHaveRun})
				}
				snapshot, err := l.m.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(snapshot)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(first.Seconds()*1000, "first-ms")
		})
	}
}
