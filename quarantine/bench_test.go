package quarantine

import (
	"fmt"
	"testing"
)

// BenchmarkStatus looks up what an entry knows of a request that is clear, which
// every dispatch does.
func BenchmarkStatus(b *testing.B) {
	l := NewLocalView()
	suspects := make([]uint64, 1000)
	for i := range suspects {
		suspects[i] = uint64(i)
	}
	l.Update(suspects, nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Status(start, uint64(1_000_000+i))
	}
}

// BenchmarkFall reports falls of 20 requests each to a full list.
func BenchmarkFall(b *testing.B) {
	l := NewList(DefaultLimits())
	digests := make([]uint64, 20)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for j := range digests {
			digests[j] = uint64(i*len(digests) + j)
		}
		l.ReportFailure(at(float64(60*i)), FailureReport{Endpoint: fmt.Sprint(i), Incarnation: 1, Digests: digests})
	}
}
