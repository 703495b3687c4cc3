package assign

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// at returns a time after t0.
func at(d time.Duration) time.Time { return t0.Add(d) }

func TestLimitsThatAnswersName(t *testing.T) {
	type answer struct {
		sent, received time.Duration
		perSecond      float64 // negative if the answer names none
	}
	const none = -1
	tests := map[string]struct {
		answers []answer
		want    float64
	}{
		"none is named":                      {[]answer{{1, 2, none}}, 0},
		"first naming":                       {[]answer{{1, 2, 2.3}}, 2.3},
		"ended by a later request":           {[]answer{{1, 2, 2.3}, {3, 4, none}}, 0},
		"not ended by an earlier request":    {[]answer{{1, 3, 2.3}, {2, 4, none}}, 2.3},
		"raised by a later request":          {[]answer{{1, 2, 2.3}, {3, 4, 40}}, 40},
		"older figure of an earlier request": {[]answer{{2, 3, 2.3}, {1, 4, 40}}, 2.3},
		"late answer after the end":          {[]answer{{1, 3, 2.3}, {4, 5, none}, {2, 6, 2.3}}, 0},
		"named again":                        {[]answer{{1, 2, 2.3}, {3, 4, none}, {5, 6, 1.7}}, 1.7},
		"zero":                               {[]answer{{1, 2, 0}}, minRate},
		"huge":                               {[]answer{{1, 2, 1e300}}, maxRate},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleetOf(1)
			for _, a := range test.answers {
				f.ObserveLimit(at(a.received*time.Second), at(a.sent*time.Second), "engine-00", 1, a.perSecond)
			}
			is.Equal(f.members["engine-00"].limit.perSecond, test.want)
			f.ObserveLimit(at(time.Hour), at(time.Hour), "engine-00", 2, 5)
			is.Equal(f.members["engine-00"].limit.perSecond, test.want) // the answer of another incarnation
			e := f.members["engine-00"].Endpoint
			e.Incarnation++
			f.Update(e)
			is.Equal(f.members["engine-00"].limit.perSecond, 0.0) // a new incarnation has named none
		})
	}
}

func TestEntriesAgreeOnALimit(t *testing.T) {
	is := is.New(t)
	a, b := fleetOf(1), fleetOf(1)
	high, ok := a.ObserveLimit(at(2), at(1), "engine-00", 1, 40)
	is.True(ok)
	low, ok := b.ObserveLimit(at(2), at(1), "engine-00", 1, 1.7)
	is.True(ok)
	is.True(a.MergeLimit(at(3), low)) // of two figures found at the same time the lower one counts
	is.True(!b.MergeLimit(at(3), high))
	is.Equal(a.Limits(), b.Limits())
	ended, ok := a.ObserveLimit(at(5), at(4), "engine-00", 1, -1)
	is.True(ok)
	is.True(b.MergeLimit(at(6), ended))
	is.True(!b.MergeLimit(at(6), low)) // an older message
	is.Equal(b.LimitedCount(), 0)
	_, changed := b.ObserveLimit(at(7), at(5), "engine-00", 1, 1.7)
	is.True(!changed) // sent before this entry knew of the end
}

func TestLimitOfAnIncarnationThatIsNotKnownYet(t *testing.T) {
	is := is.New(t)
	f := fleetOf(1)
	for i := range 2 * maxUnplacedLimits {
		f.MergeLimit(t0, Limit{Endpoint: string(rune('a' + i)), Incarnation: 1, PerSecond: 1, Version: 1})
	}
	is.True(len(f.unplacedLimits) <= maxUnplacedLimits)
	is.True(!f.MergeLimit(t0, Limit{Endpoint: "engine-00", Incarnation: 2, PerSecond: 1.7, Version: 1}))
	is.True(!f.MergeLimit(t0, Limit{Endpoint: "engine-00", Incarnation: 0, PerSecond: 3, Version: 9}))
	is.Equal(f.LimitedCount(), 0)
	e := f.members["engine-00"].Endpoint
	e.Incarnation = 2
	f.Update(e)
	is.Equal(f.members["engine-00"].limit.perSecond, 1.7)
}

func TestRequestsOverALimitGoToOtherEndpoints(t *testing.T) {
	is := is.New(t)
	f := fleetOf(2)
	b := &testPlacer{t: t, f: f}
	first := b.place(t0, prompt(1_000)).Primary.Name
	f.ObserveLimit(at(1), t0, first, 1, 0.5)
	is.Equal(b.place(at(time.Second), prompt(1_000)).Primary.Name, first) // its limit's worth
	for i := range 3 {
		is.True(b.place(at(time.Second+time.Duration(i)*100*time.Millisecond), prompt(1_000)).Primary.Name != first)
	}
	is.Equal(b.place(at(3*time.Second), prompt(1_000)).Primary.Name, first)
}

func TestHelpersAreEndpointsWithoutALimit(t *testing.T) {
	is := is.New(t)
	f := fleetOf(18)
	limited := map[string]bool{}
	for name := range f.members {
		if len(limited) < 3 {
			limited[name] = true
			f.ObserveLimit(at(1), t0, name, 1, 40)
		}
	}
	a, err := f.Choose(at(time.Second), prompt(60_000))
	is.NoErr(err)
	is.True(len(a.Helpers) >= 3)
	for _, h := range a.Helpers {
		is.True(!limited[h.Name])
	}
}

func TestPartsOfPromptsAndOrdersCount(t *testing.T) {
	is := is.New(t)
	f := fleetOf(3)
	for name := range f.members {
		f.ObserveLimit(at(1), t0, name, 1, 10)
	}
	a, err := f.Choose(at(time.Second), prompt(133_000))
	is.NoErr(err)
	is.Equal(len(a.Helpers), 2)
	f.Place(at(time.Second), "", 1, &a.Booking)
	for i, p := range a.Booking.allParts() {
		sends := 1
		if i > 0 && p.Tokens > 0 {
			sends = 3 // the part, the order that reserves memory, the one that releases it
		}
		is.Equal(f.members[p.Endpoint].pace.next, at(time.Second-paceTolerance+time.Duration(sends)*time.Second/10))
	}
	cold := fleetOf(3)
	cold.SetColdRates(map[string]float64{"scribe": 1})
	cold.Place(at(time.Second), "", 1, &a.Booking)
	for i, p := range a.Booking.allParts() {
		is.Equal(cold.members[p.Endpoint].pace.next.IsZero(), i > 0) // the load of a cold endpoint is its own requests
	}
}

func TestLongPromptsUseFewRequestsOfLimitedEndpoints(t *testing.T) {
	is := is.New(t)
	f := fleetOf(6)
	for name := range f.members {
		f.ObserveLimit(at(1), t0, name, 1, 1.7)
	}
	a, err := f.Choose(at(time.Second), prompt(133_000))
	is.NoErr(err)
	is.Equal(len(a.Helpers), 0)
	a, err = f.Choose(at(time.Second), prompt(400_000)) // larger than the memory of one
	is.NoErr(err)
	is.True(len(a.Helpers) > 0)
}

func TestWaitForLimits(t *testing.T) {
	is := is.New(t)
	f := fleetOf(2)
	b := &testPlacer{t: t, f: f}
	for name := range f.members {
		f.ObserveLimit(at(1), t0, name, 1, 0.5)
	}
	now := at(time.Second)
	is.Equal(f.LimitWait(now, prompt(1_000), 0), time.Duration(0))
	b.place(now, prompt(1_000))
	is.Equal(f.LimitWait(now, prompt(1_000), 0), time.Duration(0)) // the other endpoint takes it
	b.place(now, prompt(1_000))
	_, err := f.Choose(now, prompt(1_000))
	is.Equal(verdict.From(err).Reason, verdict.ReasonOverloaded) // a reason for which requests wait
	is.Equal(verdict.From(err).RetryAfter, 2*time.Second-paceTolerance)
	is.Equal(f.LimitWait(now, prompt(1_000), 0), 2*time.Second-paceTolerance)
	is.Equal(f.LimitWait(now, prompt(1_000), 3), 5*time.Second-paceTolerance) // two endpoints, one request a second
	f.Book(now, "entry-2", 1, &Booking{Primary: Part{Endpoint: "engine-00"}, Short: true})
	is.True(f.LimitWait(now, prompt(1_000), 3) >= 8*time.Second-paceTolerance) // shared with another entry
}

func TestColdRatesOutOfRange(t *testing.T) {
	is := is.New(t)
	f := fleetOf(1)
	m := f.members["engine-00"]
	for rate, want := range map[float64]float64{-1: 0, 0: 0, 1e-12: minRate, 1e12: maxRate} {
		f.SetColdRates(map[string]float64{"scribe": rate})
		is.Equal(m.rate(), want)
		for _, connected := range []bool{true, false} {
			f.SetSharing(Sharing{Entries: 1000, Connected: connected})
			m.pace = pacer{}
			is.True(f.rateWait(t0, m, prompt(1)) <= 10_000*time.Second) // 1,000 entries at the lowest rate
			f.Place(t0, "", 1, &Booking{Primary: Part{Endpoint: "engine-00"}})
			f.EndBooking("", 1, false)
			is.True(f.rateWait(t0, m, prompt(1)) <= 10_000*time.Second)
		}
	}
}

// What an incarnation says of leaving holds for that incarnation, whoever heard it and whatever is
// older.
func TestLeavingThatAnswersName(t *testing.T) {
	observe := func(f *Fleet) {
		_, changed := f.ObserveLeaving(at(2), "engine-00", 1)
		is.New(t).True(changed)
	}
	tests := map[string]struct {
		steps  func(f *Fleet, e Endpoint)
		leaves bool
	}{
		"said":                                   {func(f *Fleet, _ Endpoint) { observe(f) }, true},
		"said by another incarnation":            {func(f *Fleet, _ Endpoint) { f.ObserveLeaving(at(2), "engine-00", 2) }, false},
		"asked before the incarnation was known": {func(f *Fleet, _ Endpoint) { f.ObserveLeaving(t0.Add(-time.Hour), "engine-00", 1) }, false},
		"registered as ready later":              {func(f *Fleet, e Endpoint) { observe(f); f.Update(e) }, true},
		"a new incarnation":                      {func(f *Fleet, e Endpoint) { observe(f); e.Incarnation++; f.Update(e) }, false},
		"missing in a list, then listed again":   {func(f *Fleet, e Endpoint) { observe(f); f.RetainOnly(nil); f.Update(e) }, true},
		"missing, then a new incarnation":        {func(f *Fleet, e Endpoint) { observe(f); f.Remove(e.Name); e.Incarnation++; f.Update(e) }, false},
		"a limit named after":                    {func(f *Fleet, _ Endpoint) { observe(f); f.ObserveLimit(at(4), at(3), "engine-00", 1, 2) }, true},
		"told by another entry": {func(f *Fleet, _ Endpoint) {
			f.MergeLimit(at(2), Limit{Endpoint: "engine-00", Incarnation: 1, Leaving: true})
		}, true},
		"told of another incarnation": {func(f *Fleet, _ Endpoint) {
			f.MergeLimit(at(2), Limit{Endpoint: "engine-00", Incarnation: 0, Leaving: true})
		}, false},
		"told before the incarnation was known": {func(f *Fleet, e Endpoint) {
			f.MergeLimit(at(2), Limit{Endpoint: "engine-00", Incarnation: 2, Leaving: true})
			e.Incarnation++
			f.Update(e)
		}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleetOf(1)
			f.members["engine-00"].LearnedAt = t0
			test.steps(f, f.members["engine-00"].Endpoint)
			is.Equal(f.Leaving("engine-00"), test.leaves)
			_, err := f.Choose(at(time.Second), &Request{Service: f.members["engine-00"].Service})
			is.Equal(err != nil, test.leaves)
		})
	}
}
