package route

import (
	"testing"
	"time"
)

// BenchmarkChoose measures one choice among 600 endpoints in five availability zones.
func BenchmarkChoose(b *testing.B) {
	lengths := map[string]int{"short": 2_000, "medium": 30_000, "long": 400_000}
	for policy, chooser := range choosers() {
		for length, tokens := range lengths {
			b.Run(policy+"/"+length, func(b *testing.B) {
				table := fleet(600)
				view := table.View("m")
				req := &Request{}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					*req = Request{Target: "m", Class: ClassOf(tokens), PromptTokens: tokens, Zone: "z2", Prefix: uint64(i % 5000)}
					if _, err := chooser.Choose(start.Add(time.Duration(i)*time.Microsecond), req, view); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkTableAttempt measures the table updates of one attempt among 600 endpoints.
func BenchmarkTableAttempt(b *testing.B) {
	table := fleet(600)
	load := warmLoad()
	b.ReportAllocs()
	for b.Loop() {
		f := table.Started(start, "e300", 2_000, 500)
		table.Granted(f, load, start)
		table.Finished(f)
	}
}
