package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

// fleet returns a detector with the given number of endpoints of one target.
func fleet(endpoints int) *Detector {
	d := NewDetector(DefaultSettings())
	for i := range endpoints {
		d.Add(fmt.Sprintf("e%02d", i), "scribe")
	}
	return d
}

// feedRounds observes one sample of every endpoint in each round. Rounds are a minute
// apart; from is the minute of the first one.
func feedRounds(d *Detector, from, rounds int, sample func(name string) Sample) {
	for round := range rounds {
		for _, e := range d.sorted {
			d.Observe(at(60*(from+round)), e.name, sample(e.name))
		}
	}
}

// except returns samples that are bad for the named endpoint and normal for all others.
func except(name string, bad Sample) func(string) Sample {
	return func(n string) Sample {
		if n == name {
			return bad
		}
		return Sample{Ratio: 1}
	}
}

func TestSuspectsFollowSamples(t *testing.T) {
	cases := []struct {
		name   string
		sample func(string) Sample
		want   []string
	}{
		{"all healthy", except("", Sample{}), nil},
		{"one at half speed", except("e03", Sample{Ratio: 2}), []string{"e03"}},
		{"one a little slow", except("e03", Sample{Ratio: 1.1}), nil},
		{"one fails", except("e03", Sample{Failed: true}), []string{"e03"}},
		{"one faster", except("e03", Sample{Ratio: 0.3}), nil},
		{"all slower together", func(string) Sample { return Sample{Ratio: 1.3} }, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := fleet(12)
			feedRounds(d, 1, 50, except("", Sample{}))
			feedRounds(d, 100, 30, c.sample)
			is.Equal(d.Suspects(), c.want)
		})
	}
}

func TestSharedOffsetIsLearned(t *testing.T) {
	for _, level := range []float64{0.2, 1, 5} {
		is := is.New(t)
		d := fleet(12)
		feedRounds(d, 1, 50, func(string) Sample { return Sample{Ratio: level} })
		is.Equal(d.Suspects(), nil)
		feedRounds(d, 100, 30, func(name string) Sample {
			if name == "e03" {
				return Sample{Ratio: 2 * level}
			}
			return Sample{Ratio: level}
		})
		is.Equal(d.Suspects(), []string{"e03"})
	}
}

func TestSuspectRecovers(t *testing.T) {
	is := is.New(t)
	d := fleet(12)
	feedRounds(d, 1, 30, except("e03", Sample{Ratio: 3}))
	is.True(d.Suspect("e03"))
	feedRounds(d, 100, 60, except("e03", Sample{Ratio: 3}))
	is.True(d.Suspect("e03"))
	feedRounds(d, 200, 60, except("", Sample{}))
	is.True(!d.Suspect("e03"))
	feedRounds(d, 300, 30, except("e03", Sample{Ratio: 3}))
	is.True(d.Suspect("e03"))
	d.Add("e03", "scribe") // as after a restart
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

func TestEndpointWithPositiveStatisticIsProbedAgain(t *testing.T) {
	is := is.New(t)
	d := fleet(4)
	feedRounds(d, 1, 50, except("", Sample{}))
	is.Equal(d.SelectProbes(at(4100), 1, nil), []string{"e00"})
	d.Observe(at(4100), "e00", Sample{Ratio: 2})
	is.Equal(d.SelectProbes(at(4101), 1, nil), []string{"e01"}) // e00 was probed less than MinInterval ago
	d.Observe(at(4101), "e01", Sample{Ratio: 1})
	is.Equal(d.SelectProbes(at(4110), 1, nil), []string{"e00"})
	d.Observe(at(4110), "e00", Sample{Ratio: 0.5})
	is.Equal(d.SelectProbes(at(4120), 1, nil), []string{"e02"})
	is.Equal(len(d.SelectProbes(at(4200), 9, nil)), 4)
	is.Equal(d.SelectProbes(at(4201), 9, nil), nil)
}

// TestSuspectsStayBounded checks for random samples, additions and removals that at
// most MaxSuspectShare of a target is suspect, that probes stay within the budget, and
// that the first probe goes to a suspect if there is one.
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
					t.Fatalf("probes of %v with a budget of %d and suspects %v", names, budget, suspects)
				}
			},
			"": func(t *rapid.T) {
				count := map[*target]int{}
				for _, e := range d.sorted {
					if e.suspect {
						count[e.target]++
					}
				}
				for _, target := range d.targets {
					if count[target] != target.suspects || target.endpoints < 0 {
						t.Fatalf("%d endpoints are suspect, target counts %d of %d", count[target], target.suspects, target.endpoints)
					}
					if float64(target.suspects) > d.settings.MaxSuspectShare*float64(target.endpoints) {
						t.Fatalf("%d of %d endpoints of a target are suspect", target.suspects, target.endpoints)
					}
				}
			},
		})
	})
}

// TestRoundRobinCUSUMFindsSlowEndpointsSooner compares the simulated detection delays
// of plain round-robin probing and of the Round Robin CUSUM.
func TestRoundRobinCUSUMFindsSlowEndpointsSooner(t *testing.T) {
	is := is.New(t)
	threshold := DefaultSettings().Threshold
	// The threshold of 13 for plain round robin gives about as many false alarms as the
	// default threshold gives the Round Robin CUSUM.
	plain := detectionDelay(roundRobin, 0, 1, 13, 2)
	active := detectionDelay(roundRobinCUSUM, 0, 1, threshold, 2)
	t.Logf("round robin %.0f s, round robin CUSUM %.0f s", plain, active)
	is.True(active < plain/2)
}
