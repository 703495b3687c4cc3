package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

var start = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

const leaseDuration = 3 * time.Second

var limit = Amount{Requests: 100, Tokens: 10_000, Concurrent: 8, HeldBytes: 1 << 20}

func limitOf(string) Amount { return limit }

// newReadyAllocator returns an allocator that grants shares from start on, because the
// leases of a previous leader have ended.
func newReadyAllocator() *Allocator { return NewAllocator(start.Add(-leaseDuration), leaseDuration) }

func demandOf(concurrent float64) []Share {
	return []Share{{Account: "parish", Amount: Amount{Requests: 10, Concurrent: concurrent}}}
}

func TestNewLeaderGrantsNothingUntilOldLeasesEnd(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(start, leaseDuration)
	is.Equal(len(a.Allocate(start.Add(leaseDuration-1), "entry-1", 1, demandOf(2), limitOf)), 0)
	is.Equal(len(a.Allocate(start.Add(leaseDuration), "entry-1", 2, demandOf(2), limitOf)), 1)
}

func TestSharesMoveWithDemand(t *testing.T) {
	is := is.New(t)
	a := newReadyAllocator()
	first := a.Allocate(start, "entry-1", 1, demandOf(8), limitOf)
	is.Equal(first[0].Amount[Concurrent], 8.0)
	is.Equal(a.Allocate(start, "entry-2", 1, demandOf(8), limitOf)[0].Amount[Concurrent], 0.0) // all slots are granted to entry-1

	demand := demandOf(8)
	demand[0].Seq = 1
	is.Equal(a.Allocate(start.Add(time.Second), "entry-1", 2, demand, limitOf)[0].Amount[Concurrent], 4.0)
	demand[0].Seq = 2 // the lower share is in force at entry-1
	a.Allocate(start.Add(2*time.Second), "entry-1", 3, demand, limitOf)
	is.Equal(a.Allocate(start.Add(2*time.Second), "entry-2", 2, demandOf(8), limitOf)[0].Amount[Concurrent], 4.0)
}

func TestShareOfALostHolderIsGrantedAgainAfterItsLease(t *testing.T) {
	is := is.New(t)
	a := newReadyAllocator()
	a.Allocate(start, "entry-1", 1, demandOf(8), limitOf)
	is.Equal(a.Allocate(start.Add(leaseDuration-1), "entry-2", 1, demandOf(8), limitOf)[0].Amount[Concurrent], 0.0)
	is.True(a.Allocate(start.Add(leaseDuration), "entry-2", 2, demandOf(8), limitOf)[0].Amount[Concurrent] > 0)
}

// TestReturnedShareIsReleasedAndNotUsed checks that a share which a limiter returns counts
// as granted no longer, and that a delayed copy of its grant does not put it into force.
func TestReturnedShareIsReleasedAndNotUsed(t *testing.T) {
	is := is.New(t)
	a, l := newReadyAllocator(), NewLimiter()
	is.NoErr(l.Take(start, "parish", limit, Cost{}))
	l.Release(start, "parish", Cost{}, Cost{})
	grants := a.Allocate(start, "entry-1", 1, l.Demand(start, 1), limitOf)
	l.ApplyGrants(start, grants)

	idle := start.Add(idleAfter + time.Second)
	is.Equal(len(l.Demand(idle, 2)), 0)
	a.Allocate(idle, "entry-1", 2, nil, limitOf)
	is.True(a.Granted(idle, "parish").IsZero())
	l.ApplyGrants(idle, grants) // a delayed copy of the grant
	_, granted := l.Share("parish")
	is.True(!granted)
}

func TestOutdatedDemandIsIgnored(t *testing.T) {
	is := is.New(t)
	a := newReadyAllocator()
	a.Allocate(start, "entry-1", 5, demandOf(4), limitOf)
	is.Equal(len(a.Allocate(start, "entry-1", 4, nil, limitOf)), 0)
	is.Equal(a.Granted(start, "parish")[Concurrent] > 0, true)
	// After a lease, entry-1 may be a new process that counts from a lower number.
	is.Equal(len(a.Allocate(start.Add(leaseDuration), "entry-1", 1, demandOf(1), limitOf)), 1)
}

func TestInvalidDemandDoesNotAffectOthers(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -5} {
		is := is.New(t)
		a := newReadyAllocator()
		a.Allocate(start, "bad", 1, []Share{{Account: "parish", Amount: Amount{v, v, v, v}}}, limitOf)
		got := a.Allocate(start, "good", 1, demandOf(4), limitOf)
		is.True(got[0].Amount[Concurrent] >= 4)
	}
}

func TestIdleHoldersGetNoSlotsWhileSlotsAreScarce(t *testing.T) {
	is := is.New(t)
	a := newReadyAllocator()
	for i := range 20 {
		a.Allocate(start, fmt.Sprint("idle-", i), 1, demandOf(0), limitOf)
	}
	for i := range 20 {
		a.Allocate(start.Add(leaseDuration), fmt.Sprint("idle-", i), 2, demandOf(0), limitOf)
	}
	got := a.Allocate(start.Add(2*leaseDuration), "busy", 1, demandOf(6), limitOf)
	is.Equal(got[0].Amount[Concurrent], 8.0)
}

func TestRoundingLeavesNoSlotUnused(t *testing.T) {
	is := is.New(t)
	a := newReadyAllocator()
	now := start
	for seq := uint64(1); seq <= 5; seq++ {
		for i := range 3 {
			demand := demandOf(6)
			demand[0].Seq = seq - 1
			a.Allocate(now, fmt.Sprint("entry-", i), seq, demand, limitOf)
		}
		now = now.Add(leaseDuration)
	}
	is.Equal(a.Granted(now.Add(-leaseDuration), "parish")[Concurrent], limit[Concurrent])
}

func TestLimiterRefusesOverItsShareWithRetryAfter(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	is.NoErr(l.Take(start, "parish", limit, Cost{Tokens: 1}))
	first := verdict.From(l.Take(start, "parish", limit, Cost{Tokens: 1}))
	is.Equal(first.Reason, verdict.ReasonAccountLimit)
	is.Equal(first.Verdict, verdict.NotRun)
	is.Equal(first.RetryAfter, grantDelay) // the initial allowance is used up

	l.Demand(start, 1)
	l.ApplyGrants(start, []Share{{Account: "parish", Seq: 1, Amount: Amount{Requests: 2, Tokens: 100, Concurrent: 2}}})
	is.True(l.Take(start, "parish", limit, Cost{Tokens: 1}) != nil) // the initial allowance is deducted first
	is.NoErr(l.Take(start.Add(time.Second), "parish", limit, Cost{Tokens: 500}))
	l.Release(start.Add(time.Second), "parish", Cost{}, Cost{})
	overdrawn := verdict.From(l.Take(start.Add(time.Second), "parish", limit, Cost{Tokens: 1}))
	is.True(overdrawn.RetryAfter > 3*time.Second) // 400 tokens over, refilled at 100 per second
}

func TestOlderGrantDoesNotReplaceNewerOne(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	is.NoErr(l.Take(start, "parish", limit, Cost{}))
	l.ApplyGrants(start, []Share{{Account: "parish", Seq: 2, Amount: Amount{Concurrent: 1}}})
	l.ApplyGrants(start, []Share{{Account: "parish", Seq: 1, Amount: Amount{Concurrent: 8}}})
	share, _ := l.Share("parish")
	is.Equal(share[Concurrent], 1.0)
}

func TestLimiterCountsRequestsInFlightAndHeldBytes(t *testing.T) {
	is := is.New(t)
	accountLimit := Amount{Concurrent: 100, HeldBytes: 1000}
	l := NewLimiter()
	cost := Cost{HeldBytes: 10}
	is.NoErr(l.Take(start, "parish", accountLimit, cost))
	l.Demand(start, 1)
	l.ApplyGrants(start, []Share{{Account: "parish", Seq: 1, Amount: Amount{Concurrent: 2, HeldBytes: 15}}})
	is.True(l.Take(start, "parish", accountLimit, cost) != nil) // over HeldBytes
	is.NoErr(l.Take(start, "parish", accountLimit, Cost{HeldBytes: 5}))
	is.True(l.Take(start, "parish", accountLimit, Cost{}) != nil) // over Concurrent
	l.Release(start, "parish", cost, cost)
	is.NoErr(l.Take(start, "parish", accountLimit, cost))
}

func TestAccountWithoutLimitsIsNeverRefused(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	for range 1000 {
		is.NoErr(l.Take(start, "open", Amount{}, Cost{Tokens: 1 << 20, HeldBytes: 1 << 20}))
	}
}

// simulation is one allocator, limiters, and a network that delays and loses messages.
type simulation struct {
	now       time.Time
	allocator *Allocator
	limiters  []*Limiter
	// leaseEnds holds when the lease of the share in force at each limiter ends.
	leaseEnds []time.Time
	// sentAt holds when each demand was sent, by its number.
	sentAt map[uint64]time.Time
	seq    uint64
	// inTransit holds the messages in transit.
	inTransit []message
}

// message is a demand or, if grant is set, its answer.
type message struct {
	limiter int
	seq     uint64
	demand  []Share
	grant   bool
	shares  []Share
}

func (s *simulation) take(t *rapid.T) {
	l := rapid.SampledFrom(s.limiters).Draw(t, "limiter")
	for range rapid.IntRange(1, 20).Draw(t, "requests") {
		_ = l.Take(s.now, "parish", limit, Cost{Tokens: 50, HeldBytes: 1000})
	}
}

func (s *simulation) release(t *rapid.T) {
	l := rapid.SampledFrom(s.limiters).Draw(t, "limiter")
	l.Release(s.now, "parish", Cost{HeldBytes: 1000}, Cost{})
}

func (s *simulation) demand(t *rapid.T) {
	s.send(rapid.IntRange(0, len(s.limiters)-1).Draw(t, "limiter"))
}

func (s *simulation) send(i int) {
	s.seq++
	s.sentAt[s.seq] = s.now
	s.inTransit = append(s.inTransit, message{limiter: i, seq: s.seq, demand: s.limiters[i].Demand(s.now, s.seq)})
}

func (s *simulation) deliver(t *rapid.T) {
	if len(s.inTransit) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.inTransit)-1).Draw(t, "message")
	msg := s.inTransit[at]
	s.inTransit = append(s.inTransit[:at], s.inTransit[at+1:]...)
	if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
		s.receive(msg)
	}
}

// round lets a limiter admit requests and exchanges its demand and the answer without
// delay.
func (s *simulation) round(t *rapid.T) {
	i := rapid.IntRange(0, len(s.limiters)-1).Draw(t, "limiter")
	for range rapid.IntRange(0, 20).Draw(t, "requests") {
		_ = s.limiters[i].Take(s.now, "parish", limit, Cost{Tokens: 50, HeldBytes: 1000})
	}
	s.send(i)
	for range 2 {
		last := s.inTransit[len(s.inTransit)-1]
		s.inTransit = s.inTransit[:len(s.inTransit)-1]
		s.receive(last)
	}
}

func (s *simulation) receive(msg message) {
	switch {
	case !msg.grant:
		shares := s.allocator.Allocate(s.now, fmt.Sprint(msg.limiter), msg.seq, msg.demand, limitOf)
		s.inTransit = append(s.inTransit, message{limiter: msg.limiter, seq: msg.seq, grant: true, shares: shares})
	default:
		s.limiters[msg.limiter].ApplyGrants(s.now, msg.shares)
		if a := s.limiters[msg.limiter].accounts["parish"]; a != nil && a.grantSeq == msg.seq {
			s.leaseEnds[msg.limiter] = s.sentAt[msg.seq].Add(leaseDuration)
		}
	}
}

// TestSharesInForceNeverAddUpToMoreThanTheLimit checks the sum of the shares in force at
// all limiters while demands and grants are delayed, lost and reordered and leaders
// change. The share of a limiter without connection counts until its lease ends.
func TestSharesInForceNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start, allocator: newReadyAllocator(), sentAt: map[uint64]time.Time{}}
		for range 4 {
			s.limiters = append(s.limiters, NewLimiter())
		}
		s.leaseEnds = make([]time.Time, len(s.limiters))
		t.Repeat(map[string]func(*rapid.T){
			"take":    s.take,
			"release": s.release,
			"demand":  s.demand,
			"deliver": s.deliver,
			"round":   s.round,
			"new leader": func(*rapid.T) {
				// Messages to the old leader are lost; messages from the old leader may
				// still arrive.
				s.allocator = NewAllocator(s.now, leaseDuration)
				remaining := s.inTransit[:0]
				for _, msg := range s.inTransit {
					if msg.grant {
						remaining = append(remaining, msg)
					}
				}
				s.inTransit = remaining
			},
			"pass time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				s.allocator.Expire(s.now)
			},
			"": func(t *rapid.T) { s.check(t) },
		})
	})
}

func (s *simulation) check(t *rapid.T) {
	var sum Amount
	for i, l := range s.limiters {
		share, granted := l.Share("parish")
		if !granted || !s.now.Before(s.leaseEnds[i]) {
			continue
		}
		for k := range Kinds {
			sum[k] += share[k]
		}
	}
	for k := range Kinds {
		if sum[k] > limit[k]*(1+1e-9) {
			t.Fatalf("shares of kind %d add up to %v, over the limit of %v", k, sum[k], limit[k])
		}
	}
}
