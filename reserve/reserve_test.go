package reserve

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const memory = 1_000_000

var start = time.Unix(1_000_000, 0)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func report(free int64) engine.Load {
	return engine.Load{Boot: 1, TotalTokens: memory, FreeTokens: free}
}

func reported(free int64) *Reservations {
	b := NewReservations(DefaultSettings())
	b.ApplyReport(start, report(free))
	return b
}

func reserve(b *Reservations, seconds float64, id string, tokens int64) error {
	return b.Reserve(after(seconds), id, "entry-1", tokens, after(seconds+30))
}

func TestNothingIsGrantedBeforeTheFirstReport(t *testing.T) {
	is := is.New(t)
	b := NewReservations(DefaultSettings())
	is.True(reserve(b, 0, "a", 1) != nil)
}

func TestTwoEntriesRaceForTheLastRoom(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	is.NoErr(reserve(b, 0, "old", 500_000))
	first := b.Reserve(start, "a", "entry-1", 400_000, after(30))
	second := b.Reserve(start, "b", "entry-2", 400_000, after(30))
	is.NoErr(first)
	refusal := verdict.From(second)
	is.Equal(refusal.Reason, verdict.ReasonEndpointMemory)
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.True(b.Reserved() <= b.Limit(start))
}

// TestReportsAloneWouldOverfill shows why the book is kept: the same race, decided
// by the engine's lagging report alone, books more than the engine holds.
func TestReportsAloneWouldOverfill(t *testing.T) {
	is := is.New(t)
	stale := report(memory)
	byReport := int64(0)
	b := reported(memory)
	for i := range 5 {
		if stale.FreeTokens >= 400_000 {
			byReport += 400_000
		}
		_ = reserve(b, 0, fmt.Sprint(i), 400_000)
		b.ApplyReport(after(float64(i)/10), stale)
	}
	is.True(byReport > memory)
	is.True(b.Reserved() <= memory)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		free   int64
		tokens int64
		want   verdict.Reason
		retry  bool
	}{
		{"over all memory", memory, 2_000_000, verdict.ReasonPromptTooLong, false},
		{"into the margin", memory, 990_000, verdict.ReasonPromptTooLong, false},
		{"used by others", 100_000, 200_000, verdict.ReasonEndpointMemory, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := verdict.From(reserve(reported(c.free), 0, "a", c.tokens))
			is.Equal(r.Verdict, verdict.NotRun)
			is.Equal(r.Reason, c.want)
			is.Equal(r.RetryAfter > 0, c.retry)
		})
	}
}

func TestLargestIsGrantedByAnEmptyEngine(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	is.NoErr(reserve(b, 0, "a", b.MaxRequestTokens()))
	b.Release(start, "a")
	is.Equal(verdict.From(reserve(b, 0, "b", b.MaxRequestTokens()+1)).RetryAfter, time.Duration(0))
}

func TestReserveTwiceIsOnce(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	is.NoErr(reserve(b, 0, "a", 400_000))
	is.NoErr(reserve(b, 0, "a", 400_000))
	is.Equal(b.Reserved(), int64(400_000))
	is.True(b.Release(start, "a"))
	is.True(!b.Release(start, "a"))
	is.Equal(b.Reserved(), int64(0))
}

func TestEngineShrinks(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	for i := range 3 {
		is.NoErr(reserve(b, 0, fmt.Sprint(i), 300_000))
	}
	b.ApplyReport(after(1), engine.Load{Boot: 1, TotalTokens: 500_000, FreeTokens: 0})
	is.True(reserve(b, 1, "new", 1) != nil)
	shed := b.Excess(after(1))
	is.Equal(len(shed), 2)
	is.Equal(shed[0].ID, "2") // the newest goes first
	for _, o := range shed {
		b.Release(after(1), o.ID)
	}
	is.True(b.Reserved() <= b.Limit(after(1)))
	is.Equal(len(b.Excess(after(1))), 0)
}

func TestRestartEmptiesTheBook(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	is.NoErr(reserve(b, 0, "a", 800_000))
	is.True(b.ApplyReport(after(1), engine.Load{Boot: 2, TotalTokens: memory, FreeTokens: memory}))
	is.Equal(b.Reserved(), int64(0))
	is.NoErr(reserve(b, 1, "b", 800_000))
}

func TestCrossedReportIsIgnored(t *testing.T) {
	is := is.New(t)
	b := NewReservations(DefaultSettings())
	b.ApplyReport(after(2), engine.Load{Boot: 1, TotalTokens: 500_000, FreeTokens: 500_000})
	b.ApplyReport(after(1), report(memory))
	is.Equal(b.Capacity(), int64(500_000))
}

func TestWrongEstimateIsSurvived(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	is.NoErr(reserve(b, 0, "a", 400_000))
	is.NoErr(reserve(b, 0, "b", 400_000))
	b.Resize("a", 700_000)
	is.Equal(b.Reserved(), int64(1_100_000))
	shed := b.Excess(start)
	is.Equal(len(shed), 1)
	is.Equal(shed[0].ID, "b")
	b.Resize("a", 100_000)
	is.Equal(len(b.Excess(start)), 0)
}

func TestDeadEntryIsSwept(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	is.NoErr(b.Reserve(start, "dead", "entry-1", 500_000, after(10)))
	is.NoErr(b.Reserve(start, "live", "entry-2", 400_000, after(10)))
	b.Renew("entry-2", after(20))
	orphans := b.Expired(after(11))
	is.Equal(orphans, []Reclaimable{{ID: "dead", Kind: Attempt, Owner: "entry-1", Tokens: 500_000}})
	is.Equal(b.Expired(after(12)), orphans)   // until released: a cancel can fail
	is.Equal(b.Reserved(), int64(900_000))    // the engine still holds it
	is.True(b.Release(after(12), "dead"))     // the engine has confirmed the cancel
	is.Equal(b.Reserved(), int64(400_000))    // the memory is back
	is.Equal(len(b.Expired(after(13))), 0)    // nothing is left of it
	is.NoErr(reserve(b, 13, "next", 500_000)) // and serves another request
}

func TestHandlesAreReconciled(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	b.Track(start, Reservation{ID: "mine", Kind: Exported, Owner: "task", Tokens: 10, Expires: after(60)})
	list := engine.KVList{Held: []engine.KVHandle{{Handle: "left", Tokens: 70_000}}}
	b.Reconcile(start, list, after(5))
	is.Equal(b.Reserved(), int64(70_000)) // "mine" is gone at the engine
	is.Equal(len(b.Expired(after(4))), 0)
	is.Equal(b.Expired(after(5)), []Reclaimable{{ID: "left", Kind: Exported, Owner: UnknownOwner, Tokens: 70_000}})
}

func TestSmallRequestsDoNotStarveALargeOne(t *testing.T) {
	for _, claims := range []bool{false, true} {
		t.Run(fmt.Sprintf("claims=%v", claims), func(t *testing.T) {
			is := is.New(t)
			set := DefaultSettings()
			if !claims {
				set.ClaimShare = 2 // no request is as large as that
			}
			b := NewReservations(set)
			b.ApplyReport(start, report(memory))
			is.Equal(largeGetsRoom(b), claims)
		})
	}
}

// largeGetsRoom keeps the book full with small requests, each followed at once by
// the next, and reports whether a large one that retries is ever granted.
func largeGetsRoom(b *Reservations) bool {
	const small = 50_000
	fill := func(now float64, i int) { _ = reserve(b, now, fmt.Sprint("small-", i), small) }
	for i := range 19 {
		fill(0, i)
	}
	for i := range 200 {
		now := float64(i) / 10
		b.Release(after(now), fmt.Sprint("small-", i))
		fill(now, i+19)
		if reserve(b, now, "large", 600_000) == nil {
			return true
		}
	}
	return false
}

func TestClaimLapses(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	is.NoErr(reserve(b, 0, "a", 600_000))
	is.True(reserve(b, 0, "large", 500_000) != nil)
	is.True(reserve(b, 1, "small", 1_000) != nil)
	is.NoErr(reserve(b, 3, "small", 1_000)) // the large one did not come again
}

func TestMarginLearns(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	before := b.Margin(start)
	b.ApplyReport(after(1), report(900_000)) // 100,000 tokens appear that nobody booked
	is.Equal(b.Margin(after(1)), before+100_000)
	is.True(b.Margin(after(30)) > b.Margin(after(1))) // reports are missing
	for i := range 600 {
		b.ApplyReport(after(2+float64(i)), report(900_000))
	}
	is.True(b.Margin(after(602)) < before+1_000) // and forgets
}

// TestReportOfTheSameInstant: the engine has allocated a prompt and reports at the very
// time of the first token, without the prompt. Others' use may not be hidden by it.
func TestReportOfTheSameInstant(t *testing.T) {
	is := is.New(t)
	b := reported(memory - 60_000)
	is.NoErr(reserve(b, 1, "a", 300_000))
	b.RecordUsage(after(1), "a", 300_000)
	b.ApplyReport(after(1), report(memory-60_000))
	is.True(b.Free(after(1)) <= memory-360_000)
}

// TestOwnUseIsNoSurprise holds that attempts whose memory shows up in reports at any
// point between dispatch and release are not taken for others' use.
func TestOwnUseIsNoSurprise(t *testing.T) {
	is := is.New(t)
	b := reported(memory)
	is.NoErr(reserve(b, 0, "a", 400_000))
	b.ApplyReport(after(1), report(memory))           // not started at the engine
	b.ApplyReport(after(2), report(memory-390_000))   // in prefill
	b.RecordUsage(after(3), "a", 390_000)             // the first token
	b.ApplyReport(after(2.5), report(memory-390_000)) // lags behind the first token
	b.Release(after(4), "a")
	b.ApplyReport(after(3.5), report(memory-400_000)) // lags behind the release
	is.Equal(b.Limit(after(4)), int64(memory)-b.floor())
}
