package once

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

var start = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

func registered(string, uint64) bool { return true }

func testLimits() Limits {
	return Limits{
		Retention: time.Minute, MaxClockSkew: 10 * time.Second, MaxTimedRecords: 4, MaxUntimedRecords: 2,
		MaxResultBytes: 100, MaxTotalResultBytes: 150,
	}
}

func claimOf(key, command string) Claim {
	return Claim{Account: "parish", Key: key, Digest: 7, Endpoint: "desk-1", Incarnation: 3, Command: command}
}

// keyAt returns a key that contains the time at.
func keyAt(at time.Time, n int) string { return fmt.Sprintf("%d-%d", at.UnixMilli(), n) }

func settle(l *Ledger, key string, fence uint64, v verdict.Verdict, r *Result) {
	l.Settle(Settlement{Account: "parish", Key: key, Fence: fence, Verdict: v, Result: r})
}

func TestRetryOfACallIsAnsweredByItsRecord(t *testing.T) {
	result := &Result{Status: 200, Body: []byte("sealed")}
	tests := map[string]struct {
		settle  func(l *Ledger, key string)
		retry   func(c *Claim)
		current IncarnationCheck
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		"in progress":          {nil, nil, registered, verdict.MayHaveRun, verdict.ReasonInProgress},
		"another body":         {nil, func(c *Claim) { c.Digest++ }, registered, verdict.NotRun, verdict.ReasonKeyReused},
		"endpoint restarted":   {nil, nil, func(string, uint64) bool { return false }, verdict.MayHaveRun, verdict.ReasonEndpointLost},
		"settled as uncertain": {func(l *Ledger, k string) { settle(l, k, 1, verdict.MayHaveRun, nil) }, nil, registered, verdict.MayHaveRun, verdict.ReasonEndpointLost},
		"ran, result too large": {func(l *Ledger, k string) {
			settle(l, k, 1, verdict.Ran, &Result{Body: make([]byte, 101)})
		}, nil, registered, verdict.Ran, verdict.ReasonKeyExpired},
		"settled under another fence": {func(l *Ledger, k string) { settle(l, k, 9, verdict.NotRun, nil) }, nil, registered, verdict.MayHaveRun, verdict.ReasonInProgress},
		"settled as not run after it ran": {func(l *Ledger, k string) {
			settle(l, k, 1, verdict.Ran, nil)
			settle(l, k, 1, verdict.NotRun, nil)
		}, nil, registered, verdict.Ran, verdict.ReasonKeyExpired},
		"stored result": {func(l *Ledger, k string) { settle(l, k, 1, verdict.Ran, result) }, nil, registered, 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(testLimits(), start)
			key := keyAt(start.Add(time.Second), 1)
			first, used := l.Claim(start, claimOf(key, "c1"), 1, registered)
			is.True(used && first.Granted && first.Fence == 1)
			if test.settle != nil {
				test.settle(l, key)
			}
			c := claimOf(key, "c2")
			if test.retry != nil {
				test.retry(&c)
			}
			again, used := l.Claim(start, c, 2, test.current)
			is.True(!used && !again.Granted)
			if test.verdict == 0 {
				is.Equal(again.Stored, result)
				return
			}
			is.Equal(again.Refusal.Verdict, test.verdict)
			is.Equal(again.Refusal.Reason, test.reason)
		})
	}
}

func TestRepeatedCommandGetsTheSameAnswer(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testLimits(), start)
	first, _ := l.Claim(start, claimOf("k", "c1"), 1, registered)
	again, used := l.Claim(start, claimOf("k", "c1"), 2, registered)
	is.Equal(first, again)
	is.True(!used)
}

func TestSealedCallMayBeClaimedAgainUnderANewFence(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testLimits(), start)
	key := keyAt(start.Add(time.Second), 1)
	l.Claim(start, claimOf(key, "c1"), 1, registered)
	settle(l, key, 1, verdict.NotRun, nil)
	again, used := l.Claim(start, claimOf(key, "c2"), 2, registered)
	is.True(used && again.Granted && again.Fence == 2)
	settle(l, key, 1, verdict.NotRun, nil) // a delayed duplicate of the first settlement
	_, used = l.Claim(start, claimOf(key, "c3"), 3, registered)
	is.True(!used)
}

func TestSealedCallCannotBeSettledAsRun(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testLimits(), start)
	l.Claim(start, claimOf("k", "c1"), 1, registered)
	settle(l, "k", 1, verdict.NotRun, nil)
	settle(l, "k", 1, verdict.Ran, &Result{Status: 200})
	again, _ := l.Claim(start, claimOf("k", "c2"), 2, registered)
	is.True(again.Granted)
}

func TestCallWithEvictedRecordNeverRunsAgain(t *testing.T) {
	tests := map[string]func(l *Ledger, key string) time.Time{
		"by age": func(l *Ledger, key string) time.Time {
			later := start.Add(2 * time.Minute)
			l.Claim(later, claimOf(keyAt(later, 9), "x"), 50, registered)
			return later
		},
		"by count": func(l *Ledger, key string) time.Time {
			for i := range 4 {
				l.Claim(start, claimOf(keyAt(start.Add(2*time.Second), i), fmt.Sprint(i)), uint64(50+i), registered)
			}
			return start
		},
		"by a restore": func(l *Ledger, key string) time.Time {
			later := start.Add(2 * time.Minute)
			l.Claim(later, claimOf(keyAt(later, 9), "x"), 50, registered)
			restored, err := restoreCopy(l)
			if err != nil {
				panic(err)
			}
			*l = *restored
			return later
		},
	}
	for name, evict := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(testLimits(), start)
			key := keyAt(start.Add(time.Second), 1)
			l.Claim(start, claimOf(key, "c1"), 1, registered)
			settle(l, key, 1, verdict.Ran, &Result{Body: []byte("sealed")})
			now := evict(l, key)
			again, used := l.Claim(now, claimOf(key, "c2"), 99, registered)
			is.True(!used)
			is.Equal(again.Refusal.Verdict, verdict.MayHaveRun)
			is.Equal(again.Refusal.Reason, verdict.ReasonKeyExpired)
			_, bytes := l.Usage()
			is.Equal(bytes, 0) // the result was dropped with its record
		})
	}
}

func TestClaimsThatCannotBeRecordedAreRefused(t *testing.T) {
	tests := map[string]struct {
		key     string
		current IncarnationCheck
		reason  verdict.Reason
		verdict verdict.Verdict
	}{
		"key from before the ledger":   {keyAt(start.Add(-time.Hour), 1), registered, verdict.ReasonKeyExpired, verdict.MayHaveRun},
		"key from the future":          {keyAt(start.Add(time.Hour), 1), registered, verdict.ReasonBadRequest, verdict.NotRun},
		"too many keys without a time": {"k3", registered, verdict.ReasonBadRequest, verdict.NotRun},
		"endpoint not registered":      {keyAt(start.Add(time.Second), 1), func(string, uint64) bool { return false }, verdict.ReasonEndpointRestarted, verdict.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(testLimits(), start)
			l.Claim(start, claimOf("k1", "c1"), 1, registered)
			l.Claim(start, claimOf("k2", "c2"), 2, registered)
			a, used := l.Claim(start, claimOf(test.key, "c3"), 3, test.current)
			is.True(!used)
			is.Equal(a.Refusal.Reason, test.reason)
			is.Equal(a.Refusal.Verdict, test.verdict)
		})
	}
}

func TestResultsAreKeptWithinTheirBound(t *testing.T) {
	is := is.New(t)
	l := NewLedger(testLimits(), start)
	for i := range 3 {
		key := keyAt(start.Add(time.Second), i)
		l.Claim(start, claimOf(key, key), uint64(i+1), registered)
		settle(l, key, uint64(i+1), verdict.Ran, &Result{Body: make([]byte, 60)})
	}
	_, bytes := l.Usage()
	is.Equal(bytes, 120)
	a, _ := l.Claim(start, claimOf(keyAt(start.Add(time.Second), 0), "again"), 9, registered)
	is.Equal(a.Refusal.Verdict, verdict.Ran) // the oldest result was dropped, its verdict stays
}

// restoreCopy returns the ledger as a replica restores it from a snapshot.
func restoreCopy(l *Ledger) (*Ledger, error) {
	img, err := l.Image()
	if err != nil {
		return nil, err
	}
	return Restore(testLimits(), img)
}

func TestRestoreRefusesDamage(t *testing.T) {
	tests := map[string]func(*RecordImage, *Image){
		"short key":             func(r *RecordImage, _ *Image) { r.Key = nil },
		"short command":         func(r *RecordImage, _ *Image) { r.Command = []byte{1} },
		"unknown state":         func(r *RecordImage, _ *Image) { r.State = 99 },
		"short key of a result": func(_ *RecordImage, i *Image) { i.ResultOrder = []ResultRef{{Account: "parish"}} },
	}
	for name, damage := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(testLimits(), start)
			l.Claim(start, claimOf("k", "c"), 1, registered)
			img, err := l.Image()
			is.NoErr(err)
			var records []RecordImage
			is.NoErr(cbor.Unmarshal(img.Accounts[0].Segments[0], &records))
			damage(&records[0], &img)
			img.Accounts[0].Segments[0], err = cbor.Marshal(records)
			is.NoErr(err)
			_, err = Restore(testLimits(), img)
			is.True(err != nil)
		})
	}
}

func TestKeyTime(t *testing.T) {
	want := time.Date(2026, 12, 3, 20, 34, 0, 0, time.UTC)
	v7 := uuid.Must(uuid.NewV7())
	sec, nsec := v7.Time().UnixTime()
	tests := map[string]struct {
		key  string
		want time.Time
		ok   bool
	}{
		"UUID version 7":       {v7.String(), time.Unix(sec, nsec).UTC().Truncate(time.Millisecond), true},
		"UUID version 4":       {uuid.NewString(), time.Time{}, false},
		"ULID":                 {"01KBJXQX805A6RAH2QF3HEV1PK", time.UnixMilli(0x019AE5DBF500).UTC(), true},
		"Unix seconds":         {fmt.Sprintf("%d-bay-7", want.Unix()), want, true},
		"Unix milliseconds":    {fmt.Sprintf("%d_bay", want.UnixMilli()), want, true},
		"RFC 3339":             {"2026-12-03T20:34:00Z:seal", want, true},
		"RFC 3339 with offset": {"2026-12-03T21:34:00+01:00-seal", want, true},
		"time alone":           {fmt.Sprint(want.Unix()), time.Time{}, false},
		"implausible year":     {"1234567890-x", time.Time{}, false},
		"words":                {"seal capsule 7", time.Time{}, false},
		"empty":                {"", time.Time{}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			at, ok := KeyTime(test.key)
			is.Equal(ok, test.ok)
			is.Equal(at, test.want)
		})
	}
}

func FuzzKeyTimeIsStable(f *testing.F) {
	f.Add("01KBJXQX805A6RAH2QF3HEV1PK")
	f.Add("1764794040-x")
	f.Fuzz(func(t *testing.T, key string) {
		a, okA := KeyTime(key)
		b, okB := KeyTime(strings.Clone(key))
		if okA != okB || !a.Equal(b) {
			t.Fatal("KeyTime returned different times for the same key")
		}
	})
}

func TestGateAdmitsEachFenceOnce(t *testing.T) {
	const incarnation = 3
	tests := map[string]struct {
		before  func(g *Gate)
		fence   uint64
		inc     uint64
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		"gate not opened":           {func(g *Gate) { *g = *NewGate(incarnation) }, 11, incarnation, verdict.NotRun, verdict.ReasonNoQuorum},
		"admitted before":           {func(g *Gate) { _ = g.Admit(11, incarnation) }, 11, incarnation, verdict.MayHaveRun, verdict.ReasonInProgress},
		"completed before":          {func(g *Gate) { _ = g.Admit(11, incarnation); g.MarkCompleted(11) }, 11, incarnation, verdict.Ran, verdict.ReasonFenced},
		"sealed before":             {func(g *Gate) { g.Seal(11, incarnation) }, 11, incarnation, verdict.NotRun, verdict.ReasonFenced},
		"marked unsent":             {func(g *Gate) { _ = g.Admit(11, incarnation); g.MarkUnsent(11) }, 11, incarnation, verdict.NotRun, verdict.ReasonFenced},
		"of an earlier incarnation": {func(*Gate) {}, 11, incarnation - 1, verdict.MayHaveRun, verdict.ReasonEndpointRestarted},
		"issued before opening":     {func(*Gate) {}, 10, incarnation, verdict.MayHaveRun, verdict.ReasonFenced},
		"new":                       {func(*Gate) {}, 11, incarnation, 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(incarnation)
			g.Open(10)
			test.before(g)
			err := g.Admit(test.fence, test.inc)
			if test.verdict == 0 {
				is.NoErr(err)
				return
			}
			is.Equal(verdict.From(err).Verdict, test.verdict)
			is.Equal(verdict.From(err).Reason, test.reason)
		})
	}
}

func TestRefusalBeforeTheGateOpensSealsTheFence(t *testing.T) {
	is := is.New(t)
	g := NewGate(3)
	is.True(g.Admit(11, 3) != nil)
	g.Open(10)
	is.True(g.Admit(11, 3) != nil) // the first refusal said NotRun, so the call must never run
}

func TestGateDropsOldestStatesAndRaisesFloor(t *testing.T) {
	is := is.New(t)
	g := NewGate(3)
	g.Open(0)
	for n := uint64(1); n <= maxFences+10; n++ {
		is.NoErr(g.Admit(n, 3))
	}
	for n := uint64(1); n <= 10; n++ {
		is.True(g.Admit(n, 3) != nil)
		is.Equal(g.Seal(n, 3), verdict.MayHaveRun)
	}
	is.Equal(len(g.states), maxFences)
}
