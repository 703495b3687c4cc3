package assign

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose measures a choice in a busy fleet, alone and as one of several cells.
func BenchmarkChoose(b *testing.B) {
	for _, cells := range []bool{false, true} {
		for _, tokens := range []int{5_000, 190_000} {
			b.Run(fmt.Sprintf("600 endpoints, cells %v, %d tokens", cells, tokens), func(b *testing.B) {
				f := fleetOf(600)
				if cells {
					entries := deployed(340, 3)
					f.SetCells(DivideEntries(entries, entries[0].Addr))
				}
				f.SetColdRates(map[string]float64{"scribe": 14})
				for id := range uint64(300) {
					if a, err := f.Choose(at(time.Minute), prompt(5_000)); err == nil {
						f.Restore(at(time.Minute), "", id, &a.Booking)
					}
				}
				r := prompt(tokens)
				b.ReportAllocs()
				for b.Loop() {
					_, _ = f.Choose(at(time.Minute), r)
				}
			})
		}
	}
}
