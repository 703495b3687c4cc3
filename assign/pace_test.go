package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pacedEntry is an entry of a simulation that sends requests to one endpoint.
type pacedEntry struct {
	fleet *Fleet
	// hears reports for each other entry whether its bookings arrive here.
	hears func(from int) bool
	// offset is how much its time of day is ahead.
	offset time.Duration
	// demand is how many requests per second its callers send; each waits until it is sent, and
	// waiting holds when they arrived.
	demand  float64
	waiting []time.Duration
}

// bookingOnTheWay is a booking that another entry will receive.
type bookingOnTheWay struct {
	arrives  time.Duration
	from, to int
}

// pacing is a simulation of entries that share the limit of one endpoint. Bookings take 5 to 15 ms
// from entry to entry, and entries look for requests that may be sent every 10 ms.
type pacing struct {
	entries int
	rate    float64
	// cold has the endpoint bear the rate as a cold one, instead of naming it.
	cold   bool
	adjust func(i int, e *pacedEntry)
}

const pacingSpan = 40 * time.Second

// run returns the times at which requests arrive at the endpoint.
func (s *pacing) run(seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	entries := make([]*pacedEntry, s.entries)
	for i := range entries {
		e := &pacedEntry{fleet: fleetOf(1), hears: func(int) bool { return true }, demand: 4*s.rate + 1}
		if s.adjust != nil {
			s.adjust(i, e)
		}
		connected := true
		for j := range entries {
			connected = connected && (i == j || e.hears(j))
		}
		e.fleet.SetSharing(Sharing{Entries: s.entries, Position: i, Connected: connected})
		if s.cold {
			e.fleet.SetColdRates(map[string]float64{"scribe": s.rate})
		} else {
			e.fleet.ObserveLimit(at(2), at(1), "engine-00", 1, s.rate)
		}
		entries[i] = e
	}
	var arrivals []time.Duration
	var onTheWay []bookingOnTheWay
	id := uint64(0)
	request := prompt(1)
	b := &Booking{Primary: Part{Endpoint: "engine-00"}, Short: true}
	for now := time.Second; now < pacingSpan; now += 5 * time.Millisecond {
		onTheWay = slices.DeleteFunc(onTheWay, func(m bookingOnTheWay) bool {
			if m.arrives > now {
				return false
			}
			e := entries[m.to]
			id++
			e.fleet.Book(at(now+e.offset), fmt.Sprint(m.from), id, b)
			return true
		})
		for _, i := range random.Perm(len(entries)) {
			e := entries[i]
			for arrived := random.ExpFloat64() / e.demand; arrived < 0.005 && len(e.waiting) < 20; arrived += random.ExpFloat64() / e.demand {
				e.waiting = append(e.waiting, now)
			}
			if (int(now/(5*time.Millisecond))+i)%2 == 0 {
				continue
			}
			for len(e.waiting) > 0 {
				request.Waited = now - e.waiting[0]
				if len(e.fleet.eligible(at(now+e.offset), request, true)) == 0 {
					break
				}
				e.waiting = e.waiting[1:]
				id++
				e.fleet.Place(at(now+e.offset), "", id, b)
				arrivals = append(arrivals, now)
				for j := range entries {
					if j != i && entries[j].hears(i) {
						onTheWay = append(onTheWay, bookingOnTheWay{now + 5*time.Millisecond + time.Duration(random.Int64N(int64(10*time.Millisecond))), i, j})
					}
				}
			}
		}
	}
	return arrivals
}

// mostIn returns the largest number of ascending times in a window.
func mostIn(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestEntriesKeepToALimitTogether(t *testing.T) {
	one := func(i int, e *pacedEntry) {
		if i > 0 {
			e.demand = 0
		}
	}
	deaf := func(i int, e *pacedEntry) { e.hears = func(int) bool { return false } }
	oneWay := func(i int, e *pacedEntry) { e.hears = func(from int) bool { return from != 0 } }
	halves := func(i int, e *pacedEntry) { e.hears = func(from int) bool { return from%2 == i%2 } }
	skewed := func(i int, e *pacedEntry) { e.offset = time.Duration(i*7%40) * time.Millisecond }
	together := func(demand float64) func(int, *pacedEntry) { // requests that just arrive, of all 21 entries
		return func(_ int, e *pacedEntry) { e.demand = demand / 21 }
	}
	planned := func(_ int, e *pacedEntry) { e.demand = 14 } // the requests of an entry at the planned size
	tests := map[string]struct {
		pacing
		// least is the share of the limit that must be used at least.
		least float64
	}{
		"one entry":                              {pacing{entries: 1, rate: 2.3}, 0.9},
		"four entries":                           {pacing{entries: 4, rate: 1.7}, 0.9},
		"eight entries":                          {pacing{entries: 8, rate: 2.3}, 0.9},
		"eight entries, a low limit":             {pacing{entries: 8, rate: 0.4}, 0.9},
		"eight entries, a high limit":            {pacing{entries: 8, rate: 40}, 0.9},
		"forty entries":                          {pacing{entries: 40, rate: 1.7}, 0.9},
		"forty entries, a high limit":            {pacing{entries: 40, rate: 40}, 0.9},
		"one of eight has requests":              {pacing{entries: 8, rate: 2.3, adjust: one}, 0.8},
		"one of eight, a high limit":             {pacing{entries: 8, rate: 40, adjust: one}, 0.8},
		"none hear another":                      {pacing{entries: 8, rate: 2.3, adjust: deaf}, 0.8},
		"none hear another, forty, a high limit": {pacing{entries: 40, rate: 40, adjust: deaf}, 0.8},
		"none hear another, a low limit":         {pacing{entries: 40, rate: 0.4, adjust: deaf}, 0},
		"one is not heard":                       {pacing{entries: 8, rate: 2.3, adjust: oneWay}, 0},
		"two halves":                             {pacing{entries: 8, rate: 2.3, adjust: halves}, 0.8},
		"clocks differ":                          {pacing{entries: 8, rate: 2.3, adjust: skewed}, 0.9},
		"clocks differ, none hear another":       {pacing{entries: 8, rate: 2.3, adjust: func(i int, e *pacedEntry) { skewed(i, e); deaf(i, e) }}, 0.8},
		"cold endpoint":                          {pacing{entries: 8, rate: 26, cold: true}, 0.9},
		"cold endpoint, usual load of a cell":    {pacing{entries: 21, rate: 14, cold: true, adjust: together(7)}, 0},
		"cold endpoint, its whole rate":          {pacing{entries: 21, rate: 14, cold: true, adjust: together(14)}, 0.8},
		"cold endpoint, all requests of a burst": {pacing{entries: 21, rate: 14, cold: true, adjust: together(100)}, 0.9},
		"cold endpoint, all of forty entries":    {pacing{entries: 40, rate: 14, cold: true, adjust: planned}, 0.9},
		"cold endpoint, none hear another":       {pacing{entries: 8, rate: 26, cold: true, adjust: deaf}, 0.8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				arrivals := test.run(seed)
				used := float64(len(arrivals)) / (test.rate * (pacingSpan - time.Second).Seconds())
				for _, window := range []time.Duration{time.Second, 4 * time.Second} {
					// The bound of the pacer; that of the platform, 1.5 times the rate and 5, is not lower.
					allowed := test.rate*(window+500*time.Millisecond).Seconds() + 5
					most := mostIn(arrivals, window)
					t.Logf("seed %d: at most %d in %v, %.1f allowed; %.2f of the limit", seed, most, window, allowed, used)
					is.True(float64(most) <= allowed)
				}
				is.True(used >= test.least)
			}
		})
	}
}

// A single entry has no bookings that cross.
func TestOneEntryKeepsToARateExactly(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{0.4, 4, 36} {
		arrivals := (&pacing{entries: 1, rate: rate, cold: true}).run(1)
		for _, window := range []time.Duration{time.Second, 4 * time.Second} {
			is.True(float64(mostIn(arrivals, window)) <= rate*(window+paceTolerance).Seconds()+1)
		}
	}
}

func TestPacerSurvivesAClockThatWasSetBack(t *testing.T) {
	is := is.New(t)
	f := fleetOf(1)
	f.SetSharing(Sharing{Entries: 4, Position: 1})
	f.SetColdRates(map[string]float64{"scribe": 2})
	b := &Booking{Primary: Part{Endpoint: "engine-00"}, Short: true}
	now := at(time.Hour)
	for f.rateWait(now, f.members["engine-00"], prompt(1)) > 0 {
		now = now.Add(10 * time.Millisecond)
	}
	f.Place(now, "", 1, b)
	f.members["engine-00"].pace.next = time.Time{} // by the monotonic clock it is not in the future
	is.True(f.rateWait(t0, f.members["engine-00"], prompt(1)) <= 2*time.Second)
}

func BenchmarkRateWait(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprint("limited=", limited), func(b *testing.B) {
			f := fleetOf(18)
			f.SetSharing(Sharing{Entries: 8, Position: 3, Connected: true})
			if limited {
				f.SetColdRates(map[string]float64{"scribe": 36})
			}
			r := prompt(1_000)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = f.Choose(t0, r)
			}
		})
	}
}

// The entry that places long prompts saw one endpoint in 14, so long prompts were read by few engines.
func TestLongPromptsAreReadByManyEnginesInALargeFleet(t *testing.T) {
	for _, cold := range []float64{0, 14} {
		is := is.New(t)
		f := fleetOf(150)
		f.SetSharing(Sharing{Entries: 105, Position: 3, Connected: true})
		f.SetColdRates(map[string]float64{"scribe": cold})
		b := &testPlacer{t: t, f: f}
		for i := range 8 { // one second's worth, a slot of claims apart
			a := b.place(at(time.Minute+time.Duration(i)*125*time.Millisecond), prompt(190_000))
			is.Equal(len(a.Helpers), MaxHelpers)
		}
	}
}

// The claims of two slots cross: forty entries sent eight requests in a second to an endpoint that takes
// 1.7 (seed 51), and six where 5.6 were allowed at a limit of 0.4.
func TestFortyEntriesKeepToALowNamedLimit(t *testing.T) {
	for rate, seeds := range map[float64][]uint64{1.7: {0, 1, 51}, 0.4: {0, 1, 2, 3, 4, 5, 6, 7}} {
		p := &pacing{entries: 40, rate: rate}
		for _, seed := range seeds {
			if most, allowed := mostIn(p.run(seed), time.Second), p.rate*1.5+5; float64(most) > allowed {
				t.Errorf("rate %v, seed %d: %d requests in a second, %.1f allowed", rate, seed, most, allowed)
			}
		}
	}
}

// Without claims, requests that all entries receive in the same moment cross at a cold endpoint: 28 in a
// second where 26 are allowed.
func TestFortyEntriesKeepToAColdRateWhenAllStartAtOnce(t *testing.T) {
	p := &pacing{entries: 40, rate: 14, cold: true}
	for seed := range uint64(5) {
		if most, allowed := mostIn(p.run(seed), time.Second), p.rate*1.5+5; float64(most) > allowed {
			t.Errorf("seed %d: %d requests in a second, %.1f allowed", seed, most, allowed)
		}
	}
}

// Requests that waited at all entries when an endpoint came back were sent at once: each entry used all rights to send of an
// idle endpoint before it heard of the others' bookings, and five sent 38 in a second where 35 are allowed.
func TestRequestsThatWaitedForAColdEndpointKeepToItsRate(t *testing.T) {
	for entries, rate := range map[int]float64{3: 20, 5: 20, 8: 26, 21: 14, 40: 14} {
		p := &pacing{entries: entries, rate: rate, cold: true, adjust: func(_ int, e *pacedEntry) { e.waiting = make([]time.Duration, 20) }}
		highest, allowed := 0, p.rate*1.5+5
		for seed := range uint64(20) {
			arrivals := p.run(seed)
			most := mostIn(arrivals, time.Second)
			if highest = max(highest, most); float64(most) > allowed {
				t.Errorf("%d entries, seed %d: %d requests in a second, %.1f allowed", entries, seed, most, allowed)
			}
			if used := float64(len(arrivals)) / (rate * (pacingSpan - time.Second).Seconds()); used < 0.9 {
				t.Errorf("%d entries, seed %d: %.2f of the rate is used", entries, seed, used)
			}
		}
		t.Logf("%d entries: at most %d requests in a second, %.1f allowed", entries, highest, allowed)
	}
}
