package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/prefix"
)

// Each case guards against a choice by the cache that makes the request wait, or that the endpoint cannot serve.
func TestHolderIsChosenOnlyWhereItSavesTime(t *testing.T) {
	const holder, tokens = "engine-07", 20_000
	load := func(b Booking) func(*Fleet) {
		return func(f *Fleet) { b.Primary.Endpoint = holder; f.Restore(t0, "", 100, &b) }
	}
	tests := map[string]struct {
		prepare func(*Fleet)
		kept    int
		chosen  bool
	}{
		"idle":                       {nil, 15_000, true},
		"holds nothing":              {nil, 0, false},
		"backlog below the saving":   {load(Booking{Short: true, PrefillTime: 30 * time.Millisecond}), 15_000, true},
		"backlog above the saving":   {load(Booking{Short: true, PrefillTime: 120 * time.Millisecond}), 15_000, false},
		"saves less than it spreads": {nil, 1_000, false},
		"no memory":                  {load(Booking{Short: true, Primary: Part{Tokens: 210_000}}), 15_000, false},
		"memory refused":             {func(f *Fleet) { f.MarkMemoryFull(t0, holder) }, 15_000, false},
		"long answer is decoded":     {load(Booking{}), 15_000, false},
		"leaving":                    {func(f *Fleet) { f.members[holder].Leaving = true }, 15_000, false},
		"zone out":                   {func(f *Fleet) { f.SetZonesOut(map[string]bool{"zone-1": true}) }, 15_000, false},
		"distrusted":                 {func(f *Fleet) { f.MarkFailed(t0, holder) }, 15_000, false},
		"cold":                       {func(f *Fleet) { f.members[holder].Cold = true }, 15_000, false},
		"slow":                       {func(f *Fleet) { f.members[holder].slowUntil = t0.Add(time.Second) }, 15_000, false},
		"more than the prompt":       {nil, 1 << 40, true},
		"all slots taken": {func(f *Fleet) {
			for i := range 16 {
				f.Restore(t0, "", uint64(200+i), &Booking{Primary: Part{Endpoint: holder}, Short: true})
			}
		}, 15_000, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleetOf(18)
			if test.prepare != nil {
				test.prepare(f)
			}
			r := prompt(tokens)
			byLoad, err := f.Choose(t0, r)
			is.NoErr(err)
			is.True(byLoad.Primary.Name != holder)
			r.Kept = map[string]int{holder: test.kept}
			a, err := f.Choose(t0, r)
			is.NoErr(err)
			is.Equal(a.Primary.Name == holder, test.chosen)
			if !test.chosen {
				is.Equal(a, byLoad)
			}
			is.True(a.Booking.PrefillTime >= 0 && (a.Booking.PrefillTime < byLoad.Booking.PrefillTime) == test.chosen)
		})
	}
}

// A prompt that a group reads is placed as without a cache.
func TestKeptTokensDoNotChangeGroups(t *testing.T) {
	f := fleetOf(18)
	r := prompt(133_000)
	want, err := f.Choose(t0, r)
	is.New(t).NoErr(err)
	r.Kept = map[string]int{"engine-07": 100_000}
	got, err := f.Choose(t0, r)
	is.New(t).NoErr(err)
	is.New(t).Equal(got, want)
}

// replayPrefixes replays 40 s of short prompts, most with one of six shared prefixes, at engines that keep prefixes for
// 30 s and start again after a while. It returns the tokens that the engines really read anew, and the mean wait.
func replayPrefixes(seed uint64, usesCache bool) (readAnew int, meanWait time.Duration) {
	const requests = 1600
	policy := prefix.Policy{Hold: 30 * time.Second, Tokens: 200_000}
	random := rand.New(rand.NewPCG(seed, 1))
	f, record, truth := fleetOf(18), prefix.New(), map[string]time.Time{}
	incarnations := map[string]uint64{}
	var waits time.Duration
	for i := range requests {
		now := t0.Add(time.Duration(i) * 25 * time.Millisecond)
		if i%100 == 99 { // an endpoint starts again without its cache
			e := f.members[fmt.Sprintf("engine-%02d", random.IntN(18))].Endpoint
			e.Incarnation++
			incarnations[e.Name] = e.Incarnation
			f.Update(e)
		}
		group := min(random.IntN(8), random.IntN(8)) // some are more popular
		segments := []prefix.Segment{{ID: fmt.Sprint("shared", group), Tokens: 14_000}, {ID: fmt.Sprint("own", i), Tokens: 2_000}}
		if group >= 6 {
			segments = segments[1:]
		}
		r := prompt(16_000)
		if usesCache {
			r.Kept = record.Kept(now, r.Service, segments, r.PromptTokens, policy, f.Incarnation)
		}
		a, err := f.Choose(now, r)
		if err != nil {
			waits += maxBacklog // it waits at the entry
			continue
		}
		waits += a.PredictedPrefill - a.Booking.PrefillTime
		id := uint64(i)
		f.Place(now, "", id, &a.Booking)
		f.MarkAnswered("", id)
		if i >= 60 {
			f.EndBooking("", id-60, false)
		}
		e := prefix.Endpoint{Name: a.Primary.Name, Incarnation: a.Primary.Incarnation}
		record.Read(now, r.Service, e, segments, r.PromptTokens)
		key := fmt.Sprint(e, segments[0].ID)
		if read, ok := truth[key]; !ok || now.Sub(read) > policy.Hold || group >= 6 {
			readAnew += 16_000
		} else {
			readAnew += 2_000
		}
		truth[key] = now
	}
	return readAnew, waits / requests
}

// The record must save work under a load with popular prefixes, and must not pay for that with waits at the holders.
func TestReplayOfSharedPrefixes(t *testing.T) {
	for seed := range uint64(6) {
		anewByLoad, waitByLoad := replayPrefixes(seed, false)
		anew, wait := replayPrefixes(seed, true)
		t.Logf("seed %d: %d tokens read anew, wait %v; by load alone %d, wait %v", seed, anew, wait, anewByLoad, waitByLoad)
		is.New(t).True(anew < anewByLoad)
		is.New(t).True(wait <= waitByLoad+engineModel().PrefillTime(14_000))
	}
}
