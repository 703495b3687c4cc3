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

const valid = 3 * time.Second

var limit = Amount{Requests: 100, Tokens: 10_000, Concurrent: 8, HeldBytes: 1 << 20}

func limits(string) Amount { return limit }

// ready returns a ledger whose predecessor's shares have lapsed.
func ready() *Allocator { return NewAllocator(start.Add(-valid), valid) }

func wants(concurrent float64) []Share {
	return []Share{{Account: "parish", Amount: Amount{Requests: 10, Concurrent: concurrent}}}
}

func TestNewLeaderLendsNothingUntilOldSharesHaveLapsed(t *testing.T) {
	is := is.New(t)
	l := NewAllocator(start, valid)
	is.Equal(len(l.Allocate(start.Add(valid-1), "entry-1", 1, wants(2), limits)), 0)
	is.Equal(len(l.Allocate(start.Add(valid), "entry-1", 2, wants(2), limits)), 1)
}

func TestSharesMoveWithDemand(t *testing.T) {
	is := is.New(t)
	l := ready()
	first := l.Allocate(start, "entry-1", 1, wants(8), limits)
	is.Equal(first[0].Amount[Concurrent], 8.0)
	is.Equal(l.Allocate(start, "entry-2", 1, wants(8), limits)[0].Amount[Concurrent], 0.0) // all lent

	w := wants(8)
	w[0].Seq = 1
	is.Equal(l.Allocate(start.Add(time.Second), "entry-1", 2, w, limits)[0].Amount[Concurrent], 4.0)
	w[0].Seq = 2 // the lower share is in force at its holder
	l.Allocate(start.Add(2*time.Second), "entry-1", 3, w, limits)
	is.Equal(l.Allocate(start.Add(2*time.Second), "entry-2", 2, wants(8), limits)[0].Amount[Concurrent], 4.0)
}

func TestShareOfALostHolderComesBackAfterItsLease(t *testing.T) {
	is := is.New(t)
	l := ready()
	l.Allocate(start, "entry-1", 1, wants(8), limits)
	is.Equal(l.Allocate(start.Add(valid-1), "entry-2", 1, wants(8), limits)[0].Amount[Concurrent], 0.0)
	is.True(l.Allocate(start.Add(valid), "entry-2", 2, wants(8), limits)[0].Amount[Concurrent] > 0)
}

func TestReturnedShareIsFreeAtOnceAndVoidAtItsHolder(t *testing.T) {
	is := is.New(t)
	l, h := ready(), NewLimiter()
	is.NoErr(h.Take(start, "parish", limit, Cost{}))
	h.Release(start, "parish", Cost{}, Cost{})
	late := l.Allocate(start, "entry-1", 1, h.Demand(start, 1), limits)
	h.ApplyGrants(start, late)

	idle := start.Add(idleAfter + time.Second)
	is.Equal(len(h.Demand(idle, 2)), 0)
	l.Allocate(idle, "entry-1", 2, nil, limits)
	is.True(l.Granted(idle, "parish").IsZero())
	h.ApplyGrants(idle, late) // a copy that was held up
	_, lent := h.Share("parish")
	is.True(!lent)
}

func TestOvertakenDemandIsIgnored(t *testing.T) {
	is := is.New(t)
	l := ready()
	l.Allocate(start, "entry-1", 5, wants(4), limits)
	is.Equal(len(l.Allocate(start, "entry-1", 4, nil, limits)), 0)
	is.Equal(l.Granted(start, "parish")[Concurrent] > 0, true)
	// After its lease the holder may be a new process that counts from below.
	is.Equal(len(l.Allocate(start.Add(valid), "entry-1", 1, wants(1), limits)), 1)
}

func TestDamagedDemandSpoilsNothing(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), -5} {
		is := is.New(t)
		l := ready()
		l.Allocate(start, "bad", 1, []Share{{Account: "parish", Amount: Amount{v, v, v, v}}}, limits)
		got := l.Allocate(start, "good", 1, wants(4), limits)
		is.True(got[0].Amount[Concurrent] >= 4)
	}
}

func TestIdleHoldersLeaveScarceSlotsToBusyOnes(t *testing.T) {
	is := is.New(t)
	l := ready()
	for i := range 20 {
		l.Allocate(start, fmt.Sprint("idle-", i), 1, wants(0), limits)
	}
	for i := range 20 {
		l.Allocate(start.Add(valid), fmt.Sprint("idle-", i), 2, wants(0), limits)
	}
	got := l.Allocate(start.Add(2*valid), "busy", 1, wants(6), limits)
	is.Equal(got[0].Amount[Concurrent], 8.0)
}

func TestNoSlotIsLeftOverByRounding(t *testing.T) {
	is := is.New(t)
	l := ready()
	now := start
	for seq := uint64(1); seq <= 5; seq++ {
		for i := range 3 {
			w := wants(6)
			w[0].Seq = seq - 1
			l.Allocate(now, fmt.Sprint("entry-", i), seq, w, limits)
		}
		now = now.Add(valid)
	}
	is.Equal(l.Granted(now.Add(-valid), "parish")[Concurrent], limit[Concurrent])
}

func TestHolderRefusesOverItsShareWithTheTimeToComeBack(t *testing.T) {
	is := is.New(t)
	h := NewLimiter()
	is.NoErr(h.Take(start, "parish", limit, Cost{Tokens: 1}))
	first := verdict.From(h.Take(start, "parish", limit, Cost{Tokens: 1}))
	is.Equal(first.Reason, verdict.ReasonAccountLimit)
	is.Equal(first.Verdict, verdict.NotRun)
	is.Equal(first.RetryAfter, answerWait) // the floor is used up until control answers

	h.Demand(start, 1)
	h.ApplyGrants(start, []Share{{Account: "parish", Seq: 1, Amount: Amount{Requests: 2, Tokens: 100, Concurrent: 2}}})
	is.True(h.Take(start, "parish", limit, Cost{Tokens: 1}) != nil) // the floor is paid for first
	is.NoErr(h.Take(start.Add(time.Second), "parish", limit, Cost{Tokens: 500}))
	h.Release(start.Add(time.Second), "parish", Cost{}, Cost{})
	debt := verdict.From(h.Take(start.Add(time.Second), "parish", limit, Cost{Tokens: 1}))
	is.True(debt.RetryAfter > 3*time.Second) // 400 tokens over at 100 a second
}

func TestOlderGrantDoesNotReplaceANewerOne(t *testing.T) {
	is := is.New(t)
	h := NewLimiter()
	is.NoErr(h.Take(start, "parish", limit, Cost{}))
	h.ApplyGrants(start, []Share{{Account: "parish", Seq: 2, Amount: Amount{Concurrent: 1}}})
	h.ApplyGrants(start, []Share{{Account: "parish", Seq: 1, Amount: Amount{Concurrent: 8}}})
	share, _ := h.Share("parish")
	is.Equal(share[Concurrent], 1.0)
}

func TestHolderCountsRequestsInFlightAndHeldBytes(t *testing.T) {
	is := is.New(t)
	only := Amount{Concurrent: 100, HeldBytes: 1000}
	h := NewLimiter()
	cost := Cost{HeldBytes: 10}
	is.NoErr(h.Take(start, "parish", only, cost))
	h.Demand(start, 1)
	h.ApplyGrants(start, []Share{{Account: "parish", Seq: 1, Amount: Amount{Concurrent: 2, HeldBytes: 15}}})
	is.True(h.Take(start, "parish", only, cost) != nil) // bytes
	is.NoErr(h.Take(start, "parish", only, Cost{HeldBytes: 5}))
	is.True(h.Take(start, "parish", only, Cost{}) != nil) // requests
	h.Release(start, "parish", cost, cost)
	is.NoErr(h.Take(start, "parish", only, cost))
}

func TestAccountWithoutLimitsIsNeverRefused(t *testing.T) {
	is := is.New(t)
	h := NewLimiter()
	for range 1000 {
		is.NoErr(h.Take(start, "open", Amount{}, Cost{Tokens: 1 << 20, HeldBytes: 1 << 20}))
	}
}

// market is one ledger, holders, and a network that delays and loses.
type market struct {
	now     time.Time
	ledger  *Allocator
	holders []*Limiter
	// lapse is, for each holder, when the share in force lapses.
	lapse  []time.Time
	sentAt map[uint64]time.Time
	seq    uint64
	wire   []letter
}

type letter struct {
	holder int
	seq    uint64
	wanted []Share
	grant  bool
	shares []Share
}

func (m *market) take(t *rapid.T) {
	h := rapid.SampledFrom(m.holders).Draw(t, "holder")
	for range rapid.IntRange(1, 20).Draw(t, "requests") {
		_ = h.Take(m.now, "parish", limit, Cost{Tokens: 50, HeldBytes: 1000})
	}
}

func (m *market) release(t *rapid.T) {
	h := rapid.SampledFrom(m.holders).Draw(t, "holder")
	h.Release(m.now, "parish", Cost{HeldBytes: 1000}, Cost{})
}

func (m *market) demand(t *rapid.T) {
	m.send(rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder"))
}

func (m *market) send(i int) {
	m.seq++
	m.sentAt[m.seq] = m.now
	m.wire = append(m.wire, letter{holder: i, seq: m.seq, wanted: m.holders[i].Demand(m.now, m.seq)})
}

func (m *market) deliver(t *rapid.T) {
	if len(m.wire) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.wire)-1).Draw(t, "letter")
	l := m.wire[at]
	m.wire = append(m.wire[:at], m.wire[at+1:]...)
	if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
		m.arrive(l)
	}
}

// round is a busy holder's demand that is answered without delay.
func (m *market) round(t *rapid.T) {
	i := rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")
	for range rapid.IntRange(0, 20).Draw(t, "requests") {
		_ = m.holders[i].Take(m.now, "parish", limit, Cost{Tokens: 50, HeldBytes: 1000})
	}
	m.send(i)
	for range 2 {
		last := m.wire[len(m.wire)-1]
		m.wire = m.wire[:len(m.wire)-1]
		m.arrive(last)
	}
}

func (m *market) arrive(l letter) {
	switch {
	case !l.grant:
		shares := m.ledger.Allocate(m.now, fmt.Sprint(l.holder), l.seq, l.wanted, limits)
		m.wire = append(m.wire, letter{holder: l.holder, seq: l.seq, grant: true, shares: shares})
	default:
		m.holders[l.holder].ApplyGrants(m.now, l.shares)
		if a := m.holders[l.holder].accounts["parish"]; a != nil && a.ack == l.seq {
			m.lapse[l.holder] = m.sentAt[l.seq].Add(valid)
		}
	}
}

// TestSharesInForceNeverAddUpToMoreThanTheLimit lets demands and grants be late,
// lost and crossed, and leaders change. Shares of holders that are cut off are
// counted until they lapse.
func TestSharesInForceNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &market{now: start, ledger: ready(), sentAt: map[uint64]time.Time{}}
		for range 4 {
			m.holders = append(m.holders, NewLimiter())
		}
		m.lapse = make([]time.Time, len(m.holders))
		t.Repeat(map[string]func(*rapid.T){
			"take":    m.take,
			"release": m.release,
			"demand":  m.demand,
			"deliver": m.deliver,
			"round":   m.round,
			"new leader": func(*rapid.T) {
				// Letters to the old leader are lost with it; those from it arrive.
				m.ledger = NewAllocator(m.now, valid)
				kept := m.wire[:0]
				for _, l := range m.wire {
					if l.grant {
						kept = append(kept, l)
					}
				}
				m.wire = kept
			},
			"pass time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				m.ledger.Expire(m.now)
			},
			"": func(t *rapid.T) { m.check(t) },
		})
	})
}

func (m *market) check(t *rapid.T) {
	var sum Amount
	for i, h := range m.holders {
		share, lent := h.Share("parish")
		if !lent || !m.now.Before(m.lapse[i]) {
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
