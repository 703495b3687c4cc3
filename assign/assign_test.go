package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

var t0 = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

func engineModel() *costmodel.Engine {
	return &costmodel.Engine{
		Slots: 16, MemoryTokens: 232_000, StepTime: 1020 * time.Microsecond, PrefillTokensPerSecond: 206_000,
		TimePerMegapair: 138 * time.Microsecond, Chunk: 2048, Stride: 43,
	}
}

// fleetOf returns a fleet of n engines in three availability zones.
func fleetOf(n int) *Fleet {
	f := NewFleet()
	for i := range n {
		f.Update(Endpoint{
			Name: fmt.Sprintf("engine-%02d", i), Service: "scribe", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprintf("zone-%d", i%3), Slots: 16, Incarnation: 1,
		})
	}
	return f
}

func prompt(tokens int) *Request {
	return &Request{Service: "scribe", PromptTokens: tokens, OutputTokens: 1400, Zone: "zone-0", Engine: engineModel(), EventGapTarget: time.Second}
}

// testPlacer chooses and books endpoints for requests one after the other.
type testPlacer struct {
	t  *testing.T
	f  *Fleet
	id uint64
}

func (b *testPlacer) place(now time.Time, r *Request) *Assignment {
	b.t.Helper()
	a, err := b.f.Choose(now, r)
	if err != nil {
		b.t.Fatalf("%d tokens not placed: %v", r.PromptTokens, err)
	}
	b.id++
	b.f.Book(now, "", b.id, &a.Booking)
	return a
}

func TestShortPromptsFillEndpointsInOneOrder(t *testing.T) {
	is := is.New(t)
	f := fleetOf(18)
	b := &testPlacer{t: t, f: f}
	used := map[string]int{}
	for i := range 24 {
		// At this interval, each prompt is prefilled before the next one arrives.
		used[b.place(t0.Add(time.Duration(i)*50*time.Millisecond), prompt(5_000)).Primary.Name]++
	}
	is.Equal(len(used), 2) // two endpoints with 12 or 13 prompts each, not 18 with one or two
}

func TestLongPromptIsPrefilledByHelpers(t *testing.T) {
	is := is.New(t)
	f := fleetOf(18)
	b := &testPlacer{t: t, f: f}
	short := b.place(t0, prompt(5_000))
	long := b.place(t0, prompt(133_000))
	is.True(len(long.Helpers) >= 8)
	is.True(long.Booking.PrefillTime <= 200*time.Millisecond) // one engine alone would take 1.9 s
	reserved := long.Booking.Primary.Tokens
	for i, h := range long.Helpers {
		is.True(h.Name != long.Primary.Name)
		is.True(h.Name != short.Primary.Name) // a prefill would interrupt its stream
		reserved += long.Booking.Helpers[i].Tokens
	}
	is.True(reserved >= 133_000+1400)
	is.True(long.Booking.Primary.Tokens < 20_000) // the memory of the primary is needed for many answers
}

func TestNextLongPromptWaitsForIdleHelpers(t *testing.T) {
	is := is.New(t)
	f := fleetOf(18)
	b := &testPlacer{t: t, f: f}
	first := b.place(t0, prompt(300_000))
	_, err := f.Choose(t0, prompt(300_000))
	is.True(verdict.IsReason(err, verdict.ReasonOverloaded)) // parts in the backlog of an engine may starve
	b.place(t0.Add(first.Booking.PrefillTime), prompt(300_000))
}

func TestOverdueEndpointsAreNotIdle(t *testing.T) {
	is := is.New(t)
	f := fleetOf(18)
	b := &testPlacer{t: t, f: f}
	a := b.place(t0, prompt(300_000))
	overdueAt := t0.Add(a.Booking.PrefillTime + overdueAfter)
	_, err := f.Choose(overdueAt, prompt(300_000))
	is.True(verdict.IsReason(err, verdict.ReasonOverloaded))
	f.MarkAnswered("", b.id)
	b.place(overdueAt, prompt(300_000))
}

func TestPromptLargerThanAnEndpointIsHeldByHelpers(t *testing.T) {
	is := is.New(t)
	a, err := fleetOf(18).Choose(t0, prompt(600_000))
	is.NoErr(err)
	var tokens int64
	for _, p := range append(a.Booking.Helpers, a.Booking.Primary) {
		is.True(p.Tokens <= 232_000)
		tokens += p.Tokens
	}
	is.True(tokens >= 600_000)
}

func TestLongPromptsWaitForMemoryRatherThanDisturbShortOnes(t *testing.T) {
	is := is.New(t)
	f := fleetOf(10)
	b := &testPlacer{t: t, f: f}
	now := t0
	for i := range 90 {
		now = t0.Add(time.Duration(i) * 40 * time.Millisecond)
		b.place(now, prompt(5_000))
	}
	r := prompt(450_000)
	r.Waited, r.RelaxAfter = time.Second, 2*time.Second
	runsShort := map[string]bool{}
	for _, m := range f.members {
		runsShort[m.Name] = m.shortRunning > 0
	}
	a, err := f.Choose(now.Add(time.Second), r)
	if err != nil {
		is.True(verdict.IsReason(err, verdict.ReasonEndpointMemory) || verdict.IsReason(err, verdict.ReasonOverloaded))
		return
	}
	helpersWithShort := 0
	for _, h := range a.Helpers {
		if runsShort[h.Name] {
			helpersWithShort++
		}
	}
	is.True(helpersWithShort <= 10/longPromptDivisor)
}

func TestEligibleEndpoints(t *testing.T) {
	tests := map[string]struct {
		change func(f *Fleet, r *Request)
		served bool
	}{
		"all available":               {func(*Fleet, *Request) {}, true},
		"no endpoint of the service":  {func(_ *Fleet, r *Request) { r.Service = "desk" }, false},
		"every zone out":              {func(f *Fleet, _ *Request) { f.SetZonesOut(map[string]bool{"zone-0": true, "zone-1": true}) }, false},
		"one zone out":                {func(f *Fleet, _ *Request) { f.SetZonesOut(map[string]bool{"zone-0": true}) }, true},
		"all tried":                   {func(_ *Fleet, r *Request) { r.Tried = []string{"engine-00", "engine-01"} }, false},
		"all distrusted":              {func(f *Fleet, _ *Request) { f.MarkFailed(t0, "engine-00"); f.MarkFailed(t0, "engine-01") }, true}, // used if there are no others
		"all leaving":                 {func(f *Fleet, _ *Request) { setLeaving(f, "engine-00"); setLeaving(f, "engine-01") }, false},
		"gone":                        {func(f *Fleet, _ *Request) { f.Remove("engine-00"); f.Remove("engine-01") }, false},
		"not in the newest full list": {func(f *Fleet, _ *Request) { f.RetainOnly(map[string]bool{}) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, r := fleetOf(2), prompt(5_000)
			test.change(f, r)
			_, err := f.Choose(t0, r)
			is.Equal(err == nil, test.served)
			if err != nil {
				is.Equal(verdict.From(err).Verdict, verdict.NotRun)
			}
		})
	}
}

func setLeaving(f *Fleet, name string) {
	e := f.members[name].Endpoint
	e.Leaving = true
	f.Update(e)
}

func TestDistrustDoublesAndEndsWithActivity(t *testing.T) {
	is := is.New(t)
	f := fleetOf(2)
	distrust := f.MarkFailed(t0, "engine-00")
	is.Equal(f.MarkFailed(t0, "engine-00"), 2*distrust) // consecutive failures
	for range 10 {
		a, err := f.Choose(t0, prompt(5_000))
		is.NoErr(err)
		is.Equal(a.Primary.Name, "engine-01")
	}
	f.MarkAlive(t0, "engine-00")
	is.Equal(f.MarkFailed(t0, "engine-00"), distrust) // activity resets the count
}

// TestBurstOfShortPromptsGoesToNextEndpoint sends three prompts at once. The third
// would wait until the first two are prefilled, so it goes to the next endpoint.
func TestBurstOfShortPromptsGoesToNextEndpoint(t *testing.T) {
	is := is.New(t)
	f := fleetOf(3)
	b := &testPlacer{t: t, f: f}
	first := b.place(t0, prompt(5_000)).Primary.Name
	is.Equal(b.place(t0, prompt(5_000)).Primary.Name, first)
	is.True(b.place(t0, prompt(5_000)).Primary.Name != first)
}

func TestBookingsOfOtherEntriesCount(t *testing.T) {
	is := is.New(t)
	f := fleetOf(1)
	a, err := f.Choose(t0, prompt(20_000))
	is.NoErr(err)
	m := f.members["engine-00"]
	f.Book(t0, "entry-2", 7, &a.Booking)
	f.Book(t0, "entry-2", 7, &a.Booking) // received twice
	is.Equal(m.running, 1)
	is.Equal(m.backlog(t0), a.Booking.PrefillTime)
	f.EndBooking("entry-2", 7, true)
	f.EndBooking("entry-2", 7, true)
	is.Equal(m.running, 0)
	is.Equal(m.bookedTokens, int64(0))
	is.Equal(m.backlog(t0), time.Duration(0)) // the cancelled prefill has left the backlog
	f.Book(t0, "entry-2", 8, &a.Booking)
	f.EndAll("entry-2")
	is.Equal(m.running, 0)
}

func TestRestartedEndpointHasNoLoad(t *testing.T) {
	is := is.New(t)
	f := fleetOf(3)
	b := &testPlacer{t: t, f: f}
	a := b.place(t0, prompt(133_000))
	is.Equal(len(a.Helpers), 2)
	e := f.members[a.Helpers[0].Name].Endpoint
	e.Incarnation++
	f.Update(e)
	is.Equal(f.members[e.Name].helping, 0)
	f.EndBooking("", b.id, false)
	for _, m := range f.members {
		is.Equal(m.running+m.helping, 0)
		is.Equal(m.bookedTokens, int64(0))
	}
}
