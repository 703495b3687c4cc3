package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

var start = time.Unix(1_000_000, 0)

func fitsAlways(*Item) bool { return true }

// sizes holds a typical request size for each class, in tokens.
var sizes = [route.NumClasses]int{route.Short: 3_000, route.Medium: 30_000, route.Long: 400_000}

func item(id int, account string, class route.Class) Item {
	return Item{ID: uint64(id), Account: account, Class: class, Tokens: sizes[class], ExpiresAt: start.Add(time.Hour)}
}

// fifoAndDRR returns an empty FIFO and an empty DRR, by name.
func fifoAndDRR() map[string]Queue {
	return map[string]Queue{"fifo": NewFIFO(1 << 20), "drr": NewDRR(Settings{
		MaxItems: 1 << 20, Weights: DefaultSettings().Weights, Quantum: 8_000, Probes: 8,
	})}
}

// popTokens pops requests until they add up to the given tokens or none is left, and
// returns the popped tokens by key.
func popTokens(q Queue, tokens int, key func(Item) string) map[string]int {
	popped := map[string]int{}
	for tokens > 0 {
		it, ok := q.Pop(start, fitsAlways)
		if !ok {
			break
		}
		popped[key(it)] += it.Tokens
		tokens -= it.Tokens
	}
	return popped
}

func byAccount(it Item) string { return it.Account }
func byClass(it Item) string   { return it.Class.String() }

// TestFloodingAccount checks that a client account which pushes 10 requests after another
// has pushed 1,000 gets about half of the tokens from DRR.
func TestFloodingAccount(t *testing.T) {
	for name, q := range fifoAndDRR() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 1000 {
				is.NoErr(q.Push(start, item(i, "flood", route.Short)))
			}
			for i := range 10 {
				is.NoErr(q.Push(start, item(2000+i, "small", route.Short)))
			}
			served := popTokens(q, 20*sizes[route.Short], byAccount)["small"]
			if name == "fifo" {
				is.Equal(served, 0) // FIFO serves the account "flood" first
				return
			}
			is.True(served >= 9*sizes[route.Short]) // about half of the popped tokens
		})
	}
}

// TestNoClassStarves checks that each class gets its share by weight, within 0.03, while
// all classes have requests waiting.
func TestNoClassStarves(t *testing.T) {
	is := is.New(t)
	q := fifoAndDRR()["drr"]
	id := 0
	for class, n := range map[route.Class]int{route.Short: 10_000, route.Medium: 1_000, route.Long: 100} {
		for range n {
			id++
			is.NoErr(q.Push(start, item(id, "a", class)))
		}
	}
	popped := popTokens(q, 20_000_000, byClass)
	for class, want := range map[route.Class]float64{route.Short: 0.5, route.Medium: 0.25, route.Long: 0.25} {
		got := float64(popped[class.String()]) / 20_000_000
		is.True(got > want-0.03 && got < want+0.03)
	}
}

// TestLongDoesNotBlockShort checks that DRR serves a short request while the long one
// pushed before it does not fit.
func TestLongDoesNotBlockShort(t *testing.T) {
	for name, q := range fifoAndDRR() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(q.Push(start, item(1, "a", route.Long)))
			is.NoErr(q.Push(start, item(2, "a", route.Short)))
			it, ok := q.Pop(start, func(it *Item) bool { return it.Class != route.Long })
			is.Equal(ok, name == "drr") // in FIFO the head blocks the rest
			if ok {
				is.Equal(it.ID, uint64(2))
			}
		})
	}
}

// TestBlockedClassSavesNoDeficit checks that a class whose requests did not fit for a
// long time does not lock out the others once they fit: the class must not accumulate
// deficit while it is blocked.
func TestBlockedClassSavesNoDeficit(t *testing.T) {
	is := is.New(t)
	q := fifoAndDRR()["drr"]
	for i := range 5000 {
		is.NoErr(q.Push(start, item(i, "a", route.Short)))
	}
	for i := range 100 {
		is.NoErr(q.Push(start, item(10_000+i, "b", route.Long)))
	}
	for range 3000 {
		_, ok := q.Pop(start, func(it *Item) bool { return it.Class != route.Long })
		is.True(ok)
	}
	popped := popTokens(q, 3_000_000, byClass)
	is.True(popped["short"] >= 1_000_000)
	is.True(popped["long"] >= 400_000)
}

// TestNegativeDeficitOutlivesAnEmptyFlow checks that an account does not lose its negative
// deficit when it has no request waiting for a while.
func TestNegativeDeficitOutlivesAnEmptyFlow(t *testing.T) {
	is := is.New(t)
	q := fifoAndDRR()["drr"]
	served := map[string]int{}
	id := 0
	for range 200 { // "large" has one long request waiting at each Pop, never two
		id++
		is.NoErr(q.Push(start, item(id, "large", route.Long)))
		for range 2 {
			id++
			it := item(id, "small", route.Long)
			it.Tokens = 100_000
			is.NoErr(q.Push(start, it))
		}
		it, ok := q.Pop(start, fitsAlways)
		is.True(ok)
		served[it.Account] += it.Tokens
		for _, waitingID := range q.(*DRR).waitingOf("large") {
			q.Remove(waitingID)
		}
	}
	is.True(served["large"] < 2*served["small"])
}

// waitingOf returns the IDs of the waiting requests of an account.
func (q *DRR) waitingOf(account string) []uint64 {
	var ids []uint64
	for id, n := range q.index.byID {
		if n.item.Account == account {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestDRRWithZeroSettingsAdvances(t *testing.T) {
	is := is.New(t)
	q := NewDRR(Settings{MaxItems: 10})
	is.NoErr(q.Push(start, item(1, "a", route.Long)))
	is.NoErr(q.Push(start, item(2, "a", route.Long)))
	is.Equal(len(popTokens(q, 2*sizes[route.Long], byAccount)), 1)
	is.Equal(q.Len(), 0)
}

func TestShare(t *testing.T) {
	is := is.New(t)
	for name, q := range fifoAndDRR() {
		is.Equal(q.Share(route.Long), 1.0)
		is.NoErr(q.Push(start, item(1, "a", route.Short)))
		is.NoErr(q.Push(start, item(2, "a", route.Medium)))
		want := map[string]float64{"drr": 2.0 / 3, "fifo": 1.0 / 11}
		is.Equal(q.Share(route.Short), want[name])
	}
}

func TestExpiredRequestsAreDropped(t *testing.T) {
	for name, q := range fifoAndDRR() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			expiring := item(1, "a", route.Short)
			expiring.ExpiresAt = start.Add(time.Second)
			is.NoErr(q.Push(start, expiring))
			is.NoErr(q.Push(start, item(2, "a", route.Short)))
			is.Equal(len(q.Expire(start, nil)), 0)
			dropped := q.Expire(start.Add(time.Second), nil)
			is.Equal(len(dropped), 1)
			is.Equal(dropped[0].Item.ID, uint64(1))
			is.Equal(dropped[0].Refusal.Verdict, verdict.NotRun)
			is.Equal(dropped[0].Refusal.Reason, verdict.ReasonDeadline)
			is.True(dropped[0].Refusal.RetryAfter > 0)
			is.Equal(q.Len(), 1)
		})
	}
}

func TestFullQueueDropsFromTheLargestAccount(t *testing.T) {
	is := is.New(t)
	q := NewDRR(Settings{MaxItems: 10, Weights: DefaultSettings().Weights, Quantum: 8_000, Probes: 8})
	for i := range 10 {
		is.NoErr(q.Push(start, item(i, "flood", route.Short)))
	}
	err := q.Push(start, item(10, "flood", route.Short))
	is.Equal(verdict.From(err).Reason, verdict.ReasonOverloaded)
	is.NoErr(q.Push(start, item(11, "small", route.Short)))
	dropped := q.Expire(start, nil)
	is.Equal(len(dropped), 1)
	is.Equal(dropped[0].Item.ID, uint64(9)) // the newest of "flood"
	is.Equal(dropped[0].Refusal.Reason, verdict.ReasonOverloaded)
	is.Equal(q.Len(), 10)
}

func TestFullFIFORefuses(t *testing.T) {
	is := is.New(t)
	q := NewFIFO(1)
	is.NoErr(q.Push(start, item(1, "flood", route.Short)))
	is.True(q.Push(start, item(2, "small", route.Short)) != nil)
}

// TestEveryRequestLeavesOnce checks that under any order of calls each request leaves the
// queue exactly once, and that Len agrees with the requests that have not left.
func TestEveryRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewDRR(Settings{MaxItems: 12, Weights: DefaultSettings().Weights, Quantum: 8_000, Probes: 3})
		now := start
		inQueue := map[uint64]bool{}
		markLeft := func(id uint64) {
			if !inQueue[id] {
				t.Fatalf("request %d left twice or was never pushed", id)
			}
			delete(inQueue, id)
		}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				class := route.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				it := item(next, fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "account")), class)
				it.ExpiresAt = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "time")) * time.Second)
				if q.Push(now, it) == nil {
					inQueue[it.ID] = true
				}
			},
			"pop": func(t *rapid.T) {
				blocked := route.Class(rapid.IntRange(0, 3).Draw(t, "blocked"))
				if it, ok := q.Pop(now, func(it *Item) bool { return it.Class != blocked }); ok {
					markLeft(it.ID)
				}
			},
			"remove": func(t *rapid.T) {
				if it, ok := q.Remove(uint64(rapid.IntRange(0, next).Draw(t, "id"))); ok {
					markLeft(it.ID)
				}
			},
			"expire": func(*rapid.T) {
				now = now.Add(time.Second)
				for _, d := range q.Expire(now, nil) {
					markLeft(d.Item.ID)
				}
			},
			"": func(t *rapid.T) {
				if q.Len()+len(q.index.dropped) != len(inQueue) || q.Len() > 12 {
					t.Fatalf("%d waiting and %d dropped, but %d have not left", q.Len(), len(q.index.dropped), len(inQueue))
				}
			},
		})
		for q.Len() > 0 { // every remaining request can still be popped
			it, ok := q.Pop(now, fitsAlways)
			if !ok {
				t.Fatal("Pop returned no request from a queue that is not empty")
			}
			markLeft(it.ID)
		}
	})
}

// BenchmarkPushPop measures one Push and one Pop while 1,000 accounts have requests
// waiting.
func BenchmarkPushPop(b *testing.B) {
	for name, q := range fifoAndDRR() {
		b.Run(name, func(b *testing.B) {
			accounts := make([]string, 1000)
			for i := range accounts {
				accounts[i] = fmt.Sprint("account-", i)
				_ = q.Push(start, item(i, accounts[i], route.Short))
			}
			b.ReportAllocs()
			for i := 1000; b.Loop(); i++ {
				_ = q.Push(start, item(i, accounts[i%1000], route.Short))
				q.Pop(start, fitsAlways)
			}
		})
	}
}
