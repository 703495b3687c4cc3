package reserve

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const memoryTokens = 1_000_000

var start = time.Unix(1_000_000, 0)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func load(free int64) engine.Load {
	return engine.Load{Boot: 1, TotalTokens: memoryTokens, FreeTokens: free}
}

func newReported(free int64) *Reservations {
	r := NewReservations(DefaultSettings())
	r.ApplyReport(start, load(free))
	return r
}

func reserve(r *Reservations, seconds float64, id string, tokens int64) error {
	return r.Reserve(after(seconds), id, "entry-1", tokens, after(seconds+30))
}

func TestNothingIsGrantedBeforeTheFirstReport(t *testing.T) {
	is := is.New(t)
	r := NewReservations(DefaultSettings())
	is.True(reserve(r, 0, "a", 1) != nil)
}

func TestOnlyOneOfTwoEntriesGetsTheLastMemory(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	is.NoErr(reserve(r, 0, "old", 500_000))
	first := r.Reserve(start, "a", "entry-1", 400_000, after(30))
	second := r.Reserve(start, "b", "entry-2", 400_000, after(30))
	is.NoErr(first)
	refusal := verdict.From(second)
	is.Equal(refusal.Reason, verdict.ReasonEndpointMemory)
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.True(r.Reserved() <= r.Limit(start))
}

// TestLaggingReportAloneWouldExceedTheMemory shows why reservations are needed: requests
// admitted by the engine's lagging report alone exceed the engine's memory.
func TestLaggingReportAloneWouldExceedTheMemory(t *testing.T) {
	is := is.New(t)
	lagging := load(memoryTokens)
	admittedByReport := int64(0)
	r := newReported(memoryTokens)
	for i := range 5 {
		if lagging.FreeTokens >= 400_000 {
			admittedByReport += 400_000
		}
		_ = reserve(r, 0, fmt.Sprint(i), 400_000)
		r.ApplyReport(after(float64(i)/10), lagging)
	}
	is.True(admittedByReport > memoryTokens)
	is.True(r.Reserved() <= memoryTokens)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		free   int64
		tokens int64
		want   verdict.Reason
		retry  bool
	}{
		{"over all memory", memoryTokens, 2_000_000, verdict.ReasonPromptTooLong, false},
		{"into the margin", memoryTokens, 990_000, verdict.ReasonPromptTooLong, false},
		{"used by others", 100_000, 200_000, verdict.ReasonEndpointMemory, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := verdict.From(reserve(newReported(c.free), 0, "a", c.tokens))
			is.Equal(r.Verdict, verdict.NotRun)
			is.Equal(r.Reason, c.want)
			is.Equal(r.RetryAfter > 0, c.retry)
		})
	}
}

func TestEmptyEngineGrantsMaxRequestTokens(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	is.NoErr(reserve(r, 0, "a", r.MaxRequestTokens()))
	r.Release(start, "a")
	is.Equal(verdict.From(reserve(r, 0, "b", r.MaxRequestTokens()+1)).RetryAfter, time.Duration(0))
}

func TestSecondReserveChangesNothing(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	is.NoErr(reserve(r, 0, "a", 400_000))
	is.NoErr(reserve(r, 0, "a", 400_000))
	is.Equal(r.Reserved(), int64(400_000))
	is.True(r.Release(start, "a"))
	is.True(!r.Release(start, "a"))
	is.Equal(r.Reserved(), int64(0))
}

func TestExcessAfterTheMemoryShrinks(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	for i := range 3 {
		is.NoErr(reserve(r, 0, fmt.Sprint(i), 300_000))
	}
	r.ApplyReport(after(1), engine.Load{Boot: 1, TotalTokens: 500_000, FreeTokens: 0})
	is.True(reserve(r, 1, "new", 1) != nil)
	excess := r.Excess(after(1))
	is.Equal(len(excess), 2)
	is.Equal(excess[0].ID, "2") // the newest first
	for _, o := range excess {
		r.Release(after(1), o.ID)
	}
	is.True(r.Reserved() <= r.Limit(after(1)))
	is.Equal(len(r.Excess(after(1))), 0)
}

func TestRestartRemovesAllReservations(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	is.NoErr(reserve(r, 0, "a", 800_000))
	is.True(r.ApplyReport(after(1), engine.Load{Boot: 2, TotalTokens: memoryTokens, FreeTokens: memoryTokens}))
	is.Equal(r.Reserved(), int64(0))
	is.NoErr(reserve(r, 1, "b", 800_000))
}

func TestOlderReportIsIgnored(t *testing.T) {
	is := is.New(t)
	r := NewReservations(DefaultSettings())
	r.ApplyReport(after(2), engine.Load{Boot: 1, TotalTokens: 500_000, FreeTokens: 500_000})
	r.ApplyReport(after(1), load(memoryTokens))
	is.Equal(r.Capacity(), int64(500_000))
}

func TestResizeCorrectsTheEstimatedPromptLength(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	is.NoErr(reserve(r, 0, "a", 400_000))
	is.NoErr(reserve(r, 0, "b", 400_000))
	r.Resize("a", 700_000)
	is.Equal(r.Reserved(), int64(1_100_000))
	excess := r.Excess(start)
	is.Equal(len(excess), 1)
	is.Equal(excess[0].ID, "b")
	r.Resize("a", 100_000)
	is.Equal(len(r.Excess(start)), 0)
}

func TestReservationsOfADeadEntryExpire(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	is.NoErr(r.Reserve(start, "dead", "entry-1", 500_000, after(10)))
	is.NoErr(r.Reserve(start, "live", "entry-2", 400_000, after(10)))
	r.Renew("entry-2", after(20))
	expired := r.Expired(after(11))
	is.Equal(expired, []Reclaimable{{ID: "dead", Kind: Attempt, Owner: "entry-1", Tokens: 500_000}})
	is.Equal(r.Expired(after(12)), expired)   // listed until released
	is.Equal(r.Reserved(), int64(900_000))    // the engine still uses the memory
	is.True(r.Release(after(12), "dead"))     // the engine has confirmed
	is.Equal(r.Reserved(), int64(400_000))    // the memory is free again
	is.Equal(len(r.Expired(after(13))), 0)    // no longer listed
	is.NoErr(reserve(r, 13, "next", 500_000)) // fits into the freed memory
}

func TestHandlesAreReconciled(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	r.Track(start, Reservation{ID: "mine", Kind: Exported, Owner: "task", Tokens: 10, Expires: after(60)})
	list := engine.KVList{Held: []engine.KVHandle{{Handle: "left", Tokens: 70_000}}}
	r.Reconcile(start, list, after(5))
	is.Equal(r.Reserved(), int64(70_000)) // "mine" is not at the engine any more
	is.Equal(len(r.Expired(after(4))), 0)
	is.Equal(r.Expired(after(5)), []Reclaimable{{ID: "left", Kind: Exported, Owner: UnknownOwner, Tokens: 70_000}})
}

// TestSmallRequestsDoNotStarveALargeOne checks that a large request is granted while small
// ones keep coming, and that without claims it is not.
func TestSmallRequestsDoNotStarveALargeOne(t *testing.T) {
	for _, withClaims := range []bool{false, true} {
		t.Run(fmt.Sprintf("claims=%v", withClaims), func(t *testing.T) {
			is := is.New(t)
			settings := DefaultSettings()
			if !withClaims {
				settings.ClaimShare = 2 // larger than any request, so that none makes a claim
			}
			r := NewReservations(settings)
			r.ApplyReport(start, load(memoryTokens))
			is.Equal(largeRequestIsGranted(r), withClaims)
		})
	}
}

// largeRequestIsGranted keeps the memory full with small requests, each followed at once
// by the next, and reports whether a large request that retries is granted within 200
// tries.
func largeRequestIsGranted(r *Reservations) bool {
	const small = 50_000
	fill := func(now float64, i int) { _ = reserve(r, now, fmt.Sprint("small-", i), small) }
	for i := range 19 {
		fill(0, i)
	}
	for i := range 200 {
		now := float64(i) / 10
		r.Release(after(now), fmt.Sprint("small-", i))
		fill(now, i+19)
		if reserve(r, now, "large", 600_000) == nil {
			return true
		}
	}
	return false
}

func TestClaimExpires(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	is.NoErr(reserve(r, 0, "a", 600_000))
	is.True(reserve(r, 0, "large", 500_000) != nil)
	is.True(reserve(r, 1, "small", 1_000) != nil)
	is.NoErr(reserve(r, 3, "small", 1_000)) // the large request did not retry
}

func TestMarginFollowsTheGrowthOfOtherUse(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	initial := r.Margin(start)
	r.ApplyReport(after(1), load(900_000)) // 100,000 tokens in use without a reservation
	is.Equal(r.Margin(after(1)), initial+100_000)
	is.True(r.Margin(after(30)) > r.Margin(after(1))) // reports are missing
	for i := range 600 {
		r.ApplyReport(after(2+float64(i)), load(900_000))
	}
	is.True(r.Margin(after(602)) < initial+1_000) // the growth has decayed
}

// TestReportAtTheTimeOfTheFirstToken checks that a report with the same timestamp as the
// first token, which does not yet include the prompt, does not lower the estimated use by
// others.
func TestReportAtTheTimeOfTheFirstToken(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens - 60_000)
	is.NoErr(reserve(r, 1, "a", 300_000))
	r.RecordUsage(after(1), "a", 300_000)
	r.ApplyReport(after(1), load(memoryTokens-60_000))
	is.True(r.Free(after(1)) <= memoryTokens-360_000)
}

// TestReservedUseIsNotOtherUse checks that the memory of an attempt does not count as use
// by others, at whatever point between dispatch and release it appears in reports.
func TestReservedUseIsNotOtherUse(t *testing.T) {
	is := is.New(t)
	r := newReported(memoryTokens)
	is.NoErr(reserve(r, 0, "a", 400_000))
	r.ApplyReport(after(1), load(memoryTokens))           // not started at the engine
	r.ApplyReport(after(2), load(memoryTokens-390_000))   // in prefill
	r.RecordUsage(after(3), "a", 390_000)                 // the first token
	r.ApplyReport(after(2.5), load(memoryTokens-390_000)) // older than the first token
	r.Release(after(4), "a")
	r.ApplyReport(after(3.5), load(memoryTokens-400_000)) // older than the release
	is.Equal(r.Limit(after(4)), int64(memoryTokens)-r.minMargin())
}
