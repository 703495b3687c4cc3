package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

func fleet(units int) *Detector {
	d := NewDetector(DefaultSettings())
	for i := range units {
		d.Add(fmt.Sprintf("e%02d", i), "scribe")
	}
	return d
}

// feed gives every endpoint one sample in each round of a minute.
func feed(d *Detector, from, rounds int, sample func(name string) Sample) {
	for round := range rounds {
		for _, u := range d.order {
			d.Observe(at(60*(from+round)), u.name, sample(u.name))
		}
	}
}

func only(name string, bad Sample) func(string) Sample {
	return func(n string) Sample {
		if n == name {
			return bad
		}
		return Sample{Ratio: 1}
	}
}

func TestSamples(t *testing.T) {
	cases := []struct {
		name   string
		sample func(string) Sample
		want   []string
	}{
		{"all sound", only("", Sample{}), nil},
		{"one at half speed", only("e03", Sample{Ratio: 2}), []string{"e03"}},
		{"one a little slow", only("e03", Sample{Ratio: 1.1}), nil},
		{"one fails", only("e03", Sample{Failed: true}), []string{"e03"}},
		{"one faster", only("e03", Sample{Ratio: 0.3}), nil},
		{"all slower together", func(string) Sample { return Sample{Ratio: 1.3} }, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := fleet(12)
			feed(d, 1, 50, only("", Sample{}))
			feed(d, 100, 30, c.sample)
			is.Equal(d.Suspects(), c.want)
		})
	}
}

func TestLevelOfATargetIsLearned(t *testing.T) {
	for _, level := range []float64{0.2, 1, 5} {
		is := is.New(t)
		d := fleet(12)
		feed(d, 1, 50, func(string) Sample { return Sample{Ratio: level} })
		is.Equal(d.Suspects(), nil)
		feed(d, 100, 30, func(name string) Sample {
			if name == "e03" {
				return Sample{Ratio: 2 * level}
			}
			return Sample{Ratio: level}
		})
		is.Equal(d.Suspects(), []string{"e03"})
	}
}

func TestSuspectReturnsWhenSound(t *testing.T) {
	is := is.New(t)
	d := fleet(12)
	feed(d, 1, 30, only("e03", Sample{Ratio: 3}))
	is.True(d.Suspect("e03"))
	feed(d, 100, 60, only("e03", Sample{Ratio: 3}))
	is.True(d.Suspect("e03"))
	feed(d, 200, 60, only("", Sample{}))
	is.True(!d.Suspect("e03"))
	feed(d, 300, 30, only("e03", Sample{Ratio: 3}))
	is.True(d.Suspect("e03"))
	d.Add("e03", "scribe") // started anew
	is.Equal(d.Suspects(), nil)
}

func TestSamplesCloseTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	d := fleet(12)
	for range 1000 {
		d.Observe(at(60), "e03", Sample{Failed: true})
	}
	is.Equal(d.Suspects(), nil)
	is.True(!d.Observe(at(60), "unknown", Sample{Failed: true}))
}

func TestProbesFollowAPositiveStatistic(t *testing.T) {
	is := is.New(t)
	d := fleet(4)
	feed(d, 1, 50, only("", Sample{}))
	is.Equal(d.SelectProbes(at(4100), 1, nil), []string{"e00"})
	d.Observe(at(4100), "e00", Sample{Ratio: 2})
	is.Equal(d.SelectProbes(at(4101), 1, nil), []string{"e01"}) // e00 is too fresh
	d.Observe(at(4101), "e01", Sample{Ratio: 1})
	is.Equal(d.SelectProbes(at(4110), 1, nil), []string{"e00"})
	d.Observe(at(4110), "e00", Sample{Ratio: 0.5})
	is.Equal(d.SelectProbes(at(4120), 1, nil), []string{"e02"})
	is.Equal(len(d.SelectProbes(at(4200), 9, nil)), 4)
	is.Equal(d.SelectProbes(at(4201), 9, nil), nil)
}

// TestSuspectsStayBounded holds for any samples, arrivals and departures that no
// more than the share of a target is suspect, that probes stay within the budget,
// and that suspects get theirs.
func TestSuspectsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDetector(DefaultSettings())
		now := 0
		name := rapid.Map(rapid.IntRange(0, 15), func(i int) string { return fmt.Sprintf("e%02d", i) })
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				d.Add(name.Draw(t, "name"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"))
			},
			"leave": func(t *rapid.T) { d.Remove(name.Draw(t, "name")) },
			"bad": func(t *rapid.T) {
				n := name.Draw(t, "name")
				for range 10 {
					now += 10
					d.Observe(at(now), n, Sample{Failed: true})
				}
			},
			"observe": func(t *rapid.T) {
				d.Observe(at(now), name.Draw(t, "name"), Sample{Ratio: rapid.Float64Range(0, 10).Draw(t, "ratio")})
			},
			"probe": func(t *rapid.T) {
				now += 10
				suspects := d.Suspects()
				budget := rapid.IntRange(0, 5).Draw(t, "budget")
				names := d.SelectProbes(at(now), budget, nil)
				if len(names) > budget || (budget > 0 && len(suspects) > 0 && !d.Suspect(names[0])) {
					t.Fatalf("probes %v of %d with suspects %v", names, budget, suspects)
				}
			},
			"": func(t *rapid.T) {
				count := map[*target]int{}
				for _, u := range d.order {
					if u.suspect {
						count[u.target]++
					}
				}
				for _, target := range d.targets {
					if count[target] != target.suspects || target.units < 0 {
						t.Fatalf("%d suspects counted as %d of %d", count[target], target.suspects, target.units)
					}
					if float64(target.suspects) > d.set.MaxSuspectShare*float64(target.units) {
						t.Fatalf("%d suspects of %d", target.suspects, target.units)
					}
				}
			},
		})
	})
}

// TestRoundRobinCUSUMFindsSlowEndpointsSooner compares simulated times.
func TestRoundRobinCUSUMFindsSlowEndpointsSooner(t *testing.T) {
	is := is.New(t)
	threshold := DefaultSettings().Threshold
	// The round robin has the lower threshold that gives it about as many false alarms.
	plain := delay(roundRobin, 0, 1, 13, 2)
	active := delay(followed, 0, 1, threshold, 2)
	t.Logf("round robin %.0f s, round robin CUSUM %.0f s", plain, active)
	is.True(active < plain/2)
}
