package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// afterStart returns the time the given number of seconds after start.
func afterStart(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// singleEndpoint returns a table with the warm endpoint "a" in zone "z".
func singleEndpoint() *Table {
	t := NewTable()
	t.Upsert(start, warmEndpoint("a", "z"))
	return t
}

func get(t *Table, name string) *Endpoint {
	e, _ := t.Get(name)
	return &e
}

func TestNewIncarnationIsCold(t *testing.T) {
	cases := []struct {
		name        string
		incarnation uint64
		cold        bool
		inFlight    int
	}{
		{"same", 1, false, 1},
		{"newer", 2, true, 0},
		{"older", 0, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := singleEndpoint()
			f := table.Started(start, "a", 1_000, 100)
			e := warmEndpoint("a", "z")
			e.Incarnation = c.incarnation
			table.Upsert(afterStart(1), e)
			is.Equal(get(table, "a").Load.RampTokens >= 0, c.cold)
			is.Equal(get(table, "a").InFlight, c.inFlight)
			table.Finished(f) // of the first incarnation
			is.Equal(get(table, "a").InFlight, 0)
			is.Equal(get(table, "a").InFlightTokens, int64(0))
		})
	}
}

func TestNewIncarnationStaysOutOfService(t *testing.T) {
	is := is.New(t)
	table := singleEndpoint()
	table.SetOutOfService("a", true)
	e := warmEndpoint("a", "z")
	e.Incarnation = 2
	table.Upsert(afterStart(1), e)
	is.True(get(table, "a").OutOfService)
}

func TestOutOfOrderReportIsIgnored(t *testing.T) {
	is := is.New(t)
	table := singleEndpoint()
	newer, older := warmLoad(), warmLoad()
	newer.PendingPrefill = 7
	older.PendingPrefill = 9
	table.SetLoad("a", newer, afterStart(2))
	table.SetLoad("a", older, afterStart(1))
	is.Equal(get(table, "a").Load.PendingPrefill, int64(7))
}

func TestLateAnnouncementKeepsTheLoad(t *testing.T) {
	is := is.New(t)
	table := singleEndpoint()
	newer := warmLoad()
	newer.PendingPrefill = 7
	table.SetLoad("a", newer, afterStart(2))
	table.Upsert(afterStart(1), warmEndpoint("a", "z"))
	is.Equal(get(table, "a").Load.PendingPrefill, int64(7))
	withoutLoad := warmEndpoint("a", "z")
	withoutLoad.Load = wire.Load{}
	withoutLoad.Version = "2"
	table.Upsert(afterStart(3), withoutLoad)
	is.Equal(get(table, "a").Load.PendingPrefill, int64(7))
	is.Equal(get(table, "a").Version, "2")
}

// TestOwnAttemptsCountUntilReported checks that an attempt counts as soon as it is sent
// and is not counted twice once a load report includes it.
func TestOwnAttemptsCountUntilReported(t *testing.T) {
	is := is.New(t)
	table := singleEndpoint()
	table.Started(afterStart(1), "a", 20_000, 500)
	second := table.Started(afterStart(3), "a", 10_000, 500)
	is.Equal(get(table, "a").PendingTokens(afterStart(3)), 30_000.0)
	load := warmLoad()
	load.PendingPrefill = 20_000
	table.SetLoad("a", load, afterStart(2)) // includes the first attempt only
	is.Equal(get(table, "a").UnreportedPromptTokens, int64(10_000))
	is.Equal(get(table, "a").UnreportedTokens, int64(10_500))
	is.Equal(get(table, "a").AvailableTokens(), load.FreeTokens-10_500)
	load.PendingPrefill = 25_000
	table.Granted(second, load, afterStart(3)) // includes both attempts
	is.Equal(get(table, "a").Unreported, 0)
	is.Equal(get(table, "a").PendingTokens(afterStart(3)), 25_000.0)
	is.Equal(get(table, "a").InFlight, 2)
}

func TestReportedBacklogShrinksWithAge(t *testing.T) {
	is := is.New(t)
	table := singleEndpoint()
	load := warmLoad()
	load.PendingPrefill = 30_000
	table.SetLoad("a", load, afterStart(1))
	is.Equal(get(table, "a").PendingTokens(afterStart(2)), 20_000.0) // prefilled 10,000 tokens per second
	is.Equal(get(table, "a").PendingTokens(afterStart(9)), 0.0)
	is.Equal(get(table, "a").PredictTTFT(afterStart(2), 5_000), 2500*time.Millisecond)
}

func TestRemoveAndMove(t *testing.T) {
	is := is.New(t)
	table := fleet(10)
	table.Remove("e003")
	table.Remove("e003")
	is.Equal(len(table.View("m")), 9)
	moved := warmEndpoint("e004", "z9")
	moved.Target = "other"
	table.Upsert(afterStart(1), moved)
	is.Equal(len(table.View("m")), 8)
	is.Equal(table.View("other")[0].Name, "e004")
	table.Finished(Attempt{Name: "gone"})
	is.Equal(len(table.Names()), 9)
	table.Remove("e004")
	is.Equal(len(table.View("other")), 0)
}

// TestRanksAgree checks that entries that added the endpoints in a different order
// compute the same ranks, and that the first lanes are spread over the zones.
func TestRanksAgree(t *testing.T) {
	is := is.New(t)
	forward, backward := fleet(50), NewTable()
	for i := 49; i >= 0; i-- {
		e := forward.View("m")[i]
		backward.Upsert(start, e.Endpoint)
	}
	lanes := map[string]int{}
	for i, e := range forward.View("m") {
		is.Equal(e.Rank, backward.View("m")[i].Rank)
		if e.Rank < 10 {
			lanes[e.Zone]++
		}
	}
	for _, zone := range []string{"z0", "z1", "z2", "z3", "z4"} {
		is.Equal(lanes[zone], 2)
	}
}

func TestLanesSkipEndpointsOutOfService(t *testing.T) {
	is := is.New(t)
	table := fleet(20)
	for _, e := range table.View("m") {
		if e.Zone == "z0" {
			table.SetOutOfService(e.Name, true)
		}
	}
	ranks := map[int]bool{}
	for _, e := range table.View("m") {
		if !e.OutOfService {
			is.True(!ranks[e.Rank])
			ranks[e.Rank] = true
			is.Equal(e.RankCount, 16)
		}
	}
	is.True(ranks[0] && ranks[15])
}

func TestTableDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	table := fleet(600)
	load := warmLoad()
	is.Equal(testing.AllocsPerRun(100, func() {
		table.View("m")
		table.SetLoad("e300", load, afterStart(1))
		f := table.Started(afterStart(2), "e300", 1_000, 100)
		table.Finished(f)
	}), 0.0)
}

func TestChooseDoesNotAllocate(t *testing.T) {
	for policy, chooser := range choosers() {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			view := fleet(600).View("m")
			req := &Request{}
			i := 0
			is.Equal(testing.AllocsPerRun(1000, func() {
				i++
				tokens := []int{2_000, 30_000, 400_000}[i%3]
				*req = Request{Target: "m", Class: ClassOf(tokens), PromptTokens: tokens, Zone: "z2", Prefix: uint64(i % 50)}
				_, _ = chooser.Choose(afterStart(1), req, view)
			}), 0.0)
		})
	}
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget()
	taken := 0
	for i := range 10_000 { // every request within one second fails and needs a retry
		now := start.Add(time.Duration(i) * 100 * time.Microsecond)
		b.RecordFirstAttempt(now)
		if b.Take(now) {
			taken++
		}
	}
	is.True(taken <= 10_000/10+DefaultRetryBurst+1)
	is.True(taken >= 10_000/10)
	for b.Take(afterStart(1)) {
		taken++
	}
	is.True(b.Take(afterStart(4))) // the minimum per second applies without traffic
}
