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

func anything(*Item) bool { return true }

// sizes are typical works by class, in tokens.
var sizes = [route.NumClasses]int{route.Short: 3_000, route.Medium: 30_000, route.Long: 400_000}

func item(id int, account string, class route.Class) Item {
	return Item{ID: uint64(id), Account: account, Class: class, Tokens: sizes[class], ExpiresAt: start.Add(time.Hour)}
}

// both returns the baseline and the fair queue.
func both() map[string]Queue {
	return map[string]Queue{"fifo": NewFIFO(1 << 20), "drr": NewDRR(Settings{
		MaxItems: 1 << 20, Weights: DefaultSettings().Weights, Quantum: 8_000, Probes: 8,
	})}
}

// share pops until work tokens are taken and returns the work taken by key.
func share(q Queue, work int, key func(Item) string) map[string]int {
	taken := map[string]int{}
	for work > 0 {
		it, ok := q.Pop(start, anything)
		if !ok {
			break
		}
		taken[key(it)] += it.Tokens
		work -= it.Tokens
	}
	return taken
}

func byAccount(it Item) string { return it.Account }
func byClass(it Item) string   { return it.Class.String() }

// TestFloodingAccount: one account pushes 1,000 requests before another pushes 10.
func TestFloodingAccount(t *testing.T) {
	for name, q := range both() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 1000 {
				is.NoErr(q.Push(start, item(i, "flood", route.Short)))
			}
			for i := range 10 {
				is.NoErr(q.Push(start, item(2000+i, "small", route.Short)))
			}
			served := share(q, 20*sizes[route.Short], byAccount)["small"]
			if name == "fifo" {
				is.Equal(served, 0) // the baseline serves the flood first
				return
			}
			is.True(served >= 9*sizes[route.Short]) // half of the work
		})
	}
}

// TestNoClassStarves: all classes wait without end; each gets its share of the work.
func TestNoClassStarves(t *testing.T) {
	is := is.New(t)
	q := both()["drr"]
	id := 0
	for class, n := range map[route.Class]int{route.Short: 10_000, route.Medium: 1_000, route.Long: 100} {
		for range n {
			id++
			is.NoErr(q.Push(start, item(id, "a", class)))
		}
	}
	taken := share(q, 20_000_000, byClass)
	for class, part := range map[route.Class]float64{route.Short: 0.5, route.Medium: 0.25, route.Long: 0.25} {
		got := float64(taken[class.String()]) / 20_000_000
		is.True(got > part-0.03 && got < part+0.03)
	}
}

// TestLongDoesNotBlockShort: a long request at the head does not fit anywhere.
func TestLongDoesNotBlockShort(t *testing.T) {
	for name, q := range both() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(q.Push(start, item(1, "a", route.Long)))
			is.NoErr(q.Push(start, item(2, "a", route.Short)))
			it, ok := q.Pop(start, func(it *Item) bool { return it.Class != route.Long })
			is.Equal(ok, name == "drr") // the baseline waits behind its head
			if ok {
				is.Equal(it.ID, uint64(2))
			}
		})
	}
}

// TestBlockedClassIsNotOwedForEver: while long requests do not fit, short ones run;
// afterwards the long ones do not shut the short ones out.
func TestBlockedClassIsNotOwedForEver(t *testing.T) {
	is := is.New(t)
	q := both()["drr"]
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
	taken := share(q, 3_000_000, byClass)
	is.True(taken["short"] >= 1_000_000)
	is.True(taken["long"] >= 400_000)
}

func TestDebtOutlivesAnEmptyQueue(t *testing.T) {
	is := is.New(t)
	q := both()["drr"]
	served := map[string]int{}
	id := 0
	for range 200 { // "large" always has one long request waiting, never two
		id++
		is.NoErr(q.Push(start, item(id, "large", route.Long)))
		for range 2 {
			id++
			it := item(id, "small", route.Long)
			it.Tokens = 100_000
			is.NoErr(q.Push(start, it))
		}
		it, ok := q.Pop(start, anything)
		is.True(ok)
		served[it.Account] += it.Tokens
		for _, left := range q.(*DRR).waitingOf("large") {
			q.Remove(left)
		}
	}
	is.True(served["large"] < 2*served["small"])
}

// waitingOf lists the waiting requests of an account.
func (q *DRR) waitingOf(account string) []uint64 {
	var ids []uint64
	for id, n := range q.book.byID {
		if n.item.Account == account {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestQueueWithoutSettingsAdvances(t *testing.T) {
	is := is.New(t)
	q := NewDRR(Settings{MaxItems: 10})
	is.NoErr(q.Push(start, item(1, "a", route.Long)))
	is.NoErr(q.Push(start, item(2, "a", route.Long)))
	is.Equal(len(share(q, 2*sizes[route.Long], byAccount)), 1)
	is.Equal(q.Len(), 0)
}

func TestShare(t *testing.T) {
	is := is.New(t)
	for name, q := range both() {
		is.Equal(q.Share(route.Long), 1.0)
		is.NoErr(q.Push(start, item(1, "a", route.Short)))
		is.NoErr(q.Push(start, item(2, "a", route.Medium)))
		want := map[string]float64{"drr": 2.0 / 3, "fifo": 1.0 / 11}
		is.Equal(q.Share(route.Short), want[name])
	}
}

func TestExpiredLeaveAtOnce(t *testing.T) {
	for name, q := range both() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			late := item(1, "a", route.Short)
			late.ExpiresAt = start.Add(time.Second)
			is.NoErr(q.Push(start, late))
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
	is.Equal(dropped[0].Item.ID, uint64(9)) // its newest
	is.Equal(dropped[0].Refusal.Reason, verdict.ReasonOverloaded)
	is.Equal(q.Len(), 10)
}

func TestFullFIFORefuses(t *testing.T) {
	is := is.New(t)
	q := NewFIFO(1)
	is.NoErr(q.Push(start, item(1, "flood", route.Short)))
	is.True(q.Push(start, item(2, "small", route.Short)) != nil)
}

// TestEveryRequestLeavesOnce holds that under any order of calls each request leaves
// the queue exactly once, and that the counts agree.
func TestEveryRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewDRR(Settings{MaxItems: 12, Weights: DefaultSettings().Weights, Quantum: 8_000, Probes: 3})
		now := start
		in := map[uint64]bool{}
		leave := func(id uint64) {
			if !in[id] {
				t.Fatalf("%d left twice or never came", id)
			}
			delete(in, id)
		}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				class := route.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				it := item(next, fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "account")), class)
				it.ExpiresAt = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "time")) * time.Second)
				if q.Push(now, it) == nil {
					in[it.ID] = true
				}
			},
			"pop": func(t *rapid.T) {
				blocked := route.Class(rapid.IntRange(0, 3).Draw(t, "blocked"))
				if it, ok := q.Pop(now, func(it *Item) bool { return it.Class != blocked }); ok {
					leave(it.ID)
				}
			},
			"remove": func(t *rapid.T) {
				if it, ok := q.Remove(uint64(rapid.IntRange(0, next).Draw(t, "id"))); ok {
					leave(it.ID)
				}
			},
			"expire": func(*rapid.T) {
				now = now.Add(time.Second)
				for _, d := range q.Expire(now, nil) {
					leave(d.Item.ID)
				}
			},
			"": func(t *rapid.T) {
				if q.Len()+len(q.book.dropped) != len(in) || q.Len() > 12 {
					t.Fatalf("%d waiting, %d dropped, %d in", q.Len(), len(q.book.dropped), len(in))
				}
			},
		})
		for q.Len() > 0 { // whatever fits leaves: nothing is stuck
			it, ok := q.Pop(now, anything)
			if !ok {
				t.Fatal("Pop found nothing in a queue that is not empty")
			}
			leave(it.ID)
		}
	})
}

// BenchmarkPushPop measures one request through a queue with 1,000 accounts waiting.
func BenchmarkPushPop(b *testing.B) {
	for name, q := range both() {
		b.Run(name, func(b *testing.B) {
			accounts := make([]string, 1000)
			for i := range accounts {
				accounts[i] = fmt.Sprint("account-", i)
				_ = q.Push(start, item(i, accounts[i], route.Short))
			}
			b.ReportAllocs()
			for i := 1000; b.Loop(); i++ {
				_ = q.Push(start, item(i, accounts[i%1000], route.Short))
				q.Pop(start, anything)
			}
		})
	}
}
