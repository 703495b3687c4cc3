package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// directFailure reports the failure of a direct endpoint.
func directFailure(l *List, seconds float64, endpoint string, digests ...uint64) {
	l.ReportFailure(at(seconds), FailureReport{Endpoint: endpoint, Incarnation: 1, Digests: digests, Direct: true})
}

func TestStatusAfterFailuresOfDirectEndpoints(t *testing.T) {
	cases := []struct {
		name     string
		failures [][]uint64
		crasher  Status
		innocent Status
	}{
		{"one", [][]uint64{{crasher, innocent}}, Clear, Clear},
		{"two beside different requests", [][]uint64{{crasher, innocent}, {crasher, 8}}, Suspect, Clear},
		{"two beside the same request", [][]uint64{{crasher, innocent}, {crasher, innocent}}, Suspect, Suspect},
		{"three beside different requests", [][]uint64{{crasher, innocent}, {crasher, 8}, {crasher, 9}}, Convicted, Clear},
		{"three, two of them beside the same request", [][]uint64{{crasher, innocent}, {crasher, innocent}, {crasher, 9}}, Convicted, Suspect},
		{"three beside the same request: not decided", [][]uint64{{crasher, innocent}, {crasher, innocent}, {crasher, innocent}}, Suspect, Suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewList(DefaultLimits())
			for i, digests := range c.failures {
				directFailure(l, float64(60*i), fmt.Sprint("e", i), digests...)
			}
			is.Equal(l.Status(crasher), c.crasher)
			is.Equal(l.Status(innocent), c.innocent)
			data, err := cbor.Marshal(l.Image())
			is.NoErr(err)
			var img Image
			is.NoErr(cbor.Unmarshal(data, &img))
			restored, err := Restore(DefaultLimits(), img)
			is.NoErr(err)
			is.Equal(restored.Status(crasher), c.crasher)
			is.Equal(restored.Status(innocent), c.innocent)
		})
	}
}

func TestFingerprintChangesWithTheStatuses(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	seen := map[uint64]bool{l.Fingerprint(): true}
	directFailure(l, 0, "a", crasher, innocent)
	is.True(seen[l.Fingerprint()]) // both are clear
	directFailure(l, 60, "b", crasher, 8)
	is.True(!seen[l.Fingerprint()])
	seen[l.Fingerprint()] = true
	directFailure(l, 120, "c", crasher, 9)
	is.Equal(l.Status(crasher), Convicted)
	is.True(!seen[l.Fingerprint()])
}

// Six copies that were sent at once through different entries looked like an outage.
func TestCopiesSentAtOnceAreNoOutage(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	directFailure(l, 0, "other", innocent)
	for i := range 6 {
		directFailure(l, 0.1*float64(i+1), fmt.Sprint("e", i), crasher, uint64(100+i))
	}
	is.Equal(l.Status(crasher), Convicted)
	is.Equal(l.Status(innocent), Clear)
	is.Equal(l.Status(100), Clear)
}

// loseZone reports the failure of ten direct endpoints within a second; the requests were in
// flight at three of them.
func loseZone(l *List, seconds float64, name string, requests ...uint64) {
	for i := range 10 {
		digests := []uint64{uint64(1000 + i)}
		if i < 3 {
			digests = append(digests, requests...)
		}
		directFailure(l, seconds+float64(i)/10, fmt.Sprint(name, i), digests...)
	}
}

func TestRequestLostInAnOutageIsTriedAgain(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	loseZone(l, 0, "z", crasher, innocent)
	is.Equal(l.Status(1000), Clear)
	ask := func(digest uint64, seconds float64, endpoint string) Permit {
		return l.Permit(at(seconds), PermitRequest{Digest: digest, Holder: endpoint, Endpoint: endpoint, Incarnation: 1, Deadline: at(seconds + 10)})
	}
	early := ask(innocent, 5, "a")
	is.True(!early.Granted)
	is.True(early.RetryAfter <= 6*time.Second)
	is.True(ask(innocent, 12, "a").Granted)
	is.True(l.Completed(at(12.1), innocent))
	is.Equal(l.Status(innocent), Clear)
	is.True(ask(crasher, 12, "b").Granted)
	directFailure(l, 12.2, "b", crasher, 8)
	is.Equal(l.Status(crasher), Suspect)
	is.True(!ask(crasher, 13, "c").Granted)
	is.True(ask(crasher, 23, "c").Granted)
	directFailure(l, 23.2, "c", crasher, 9)
	is.Equal(l.Status(crasher), Convicted)
}

func TestNoTrialAfterALossInAnotherOutage(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	loseZone(l, 0, "z", crasher)
	p := PermitRequest{Digest: crasher, Holder: "h", Endpoint: "y3", Incarnation: 1, Deadline: at(30)}
	is.True(l.Permit(at(12), p).Granted)
	loseZone(l, 13, "y")
	directFailure(l, 14, "y3", crasher)
	p.Holder = "i"
	is.Equal(l.Permit(at(100), p), Permit{Status: Suspect, RetryAfter: lossLimitRetryAfter})
}

func TestCompleteAnswerRevokesAConvictionByCoincidence(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range 3 {
		directFailure(l, float64(60*i), fmt.Sprint("e", i), innocent, uint64(100+i))
	}
	is.Equal(l.Status(innocent), Convicted)
	is.True(l.Completed(at(200), innocent)) // by a copy that was in flight at the conviction
	is.Equal(l.Status(innocent), Clear)
	is.Equal(l.Digests(Convicted), nil)

	directFailure(l, 300, "a", crasher)
	directFailure(l, 360, "b", crasher, 8)
	is.True(l.Permit(at(361), PermitRequest{Digest: crasher, Holder: "h", Endpoint: "c", Incarnation: 1, Deadline: at(400)}).Granted)
	directFailure(l, 362, "c", crasher)
	is.Equal(l.Status(crasher), Convicted)
	is.True(!l.Completed(at(363), crasher)) // it was the only suspect
}

func TestLocalViewCountsDirectLosses(t *testing.T) {
	is := is.New(t)
	l := NewLocalView()
	l.RecordDirectLoss(at(0), crasher)
	is.Equal(l.Status(at(1), crasher), Clear)
	l.RecordDirectLoss(at(1), crasher)
	is.Equal(l.Status(at(2), crasher), Suspect)
	is.Equal(l.Status(at(62), crasher), Clear)
	l.SetStatus(at(70), crasher, Suspect)
	l.RecordDirectLoss(at(71), crasher)
	is.Equal(l.Status(at(72), crasher), Suspect) // control's answer counts
	is.True(l.RecordCompletion(at(73), crasher))
	is.True(!l.RecordCompletion(at(73), innocent))
	is.True(l.CompletedLately(at(80), innocent))
	is.True(!l.CompletedLately(at(84), innocent))
	for i := range uint64(5 * maxCompletions / 2) {
		l.RecordCompletion(at(100), i)
	}
	is.True(len(l.completions)+len(l.olderCompletions) <= 2*maxCompletions)
	is.True(l.CompletedLately(at(101), 5*maxCompletions/2-1))
	is.True(l.CompletedLately(at(101), 3*maxCompletions/2))
	is.True(!l.CompletedLately(at(101), 0))
}

func TestTrackerFindsRequestsUnderWhichEndpointsEnded(t *testing.T) {
	a := Instance{Endpoint: "a", Addr: "1", Incarnation: 5}
	interrupt := func(tr *Tracker) { tr.Interrupt(at(0), a, &Attempt{Digest: crasher, Holder: "h"}, false) }
	tests := map[string]struct {
		events func(*Tracker)
		want   []uint64
	}{
		"nothing is known":                {func(*Tracker) {}, nil},
		"address refuses connections":     {func(tr *Tracker) { tr.End(a) }, []uint64{crasher}},
		"later start under the name":      {func(tr *Tracker) { tr.Started(Instance{"a", "2", 6}) }, []uint64{crasher}},
		"later start at the address":      {func(tr *Tracker) { tr.Started(Instance{"b", "1", 6}) }, []uint64{crasher}},
		"the same incarnation announces":  {func(tr *Tracker) { tr.Started(a) }, nil},
		"earlier incarnation announces":   {func(tr *Tracker) { tr.Started(Instance{"b", "1", 4}) }, nil},
		"another endpoint starts":         {func(tr *Tracker) { tr.Started(Instance{"b", "2", 6}) }, nil},
		"active later, then ended":        {func(tr *Tracker) { tr.Active(at(1), a); tr.End(a) }, nil},
		"answers in transit, then ended":  {func(tr *Tracker) { tr.Active(at(0.1), a); tr.End(a) }, []uint64{crasher}},
		"leaving, then ended":             {func(tr *Tracker) { tr.Leaving("a"); tr.Started(Instance{"b", "1", 6}) }, nil},
		"interrupted while it leaves":     {func(tr *Tracker) { tr.Interrupt(at(1), a, &Attempt{Digest: 8}, true); tr.End(a) }, []uint64{crasher}},
		"two copies count once":           {func(tr *Tracker) { interrupt(tr); tr.End(a) }, []uint64{crasher}},
		"ended too long after":            {func(tr *Tracker) { tr.Expire(at(61)); tr.End(a) }, nil},
		"interrupted after the end shows": {func(tr *Tracker) { tr.End(a); tr.TakeEnded(); tr.Interrupt(at(1), a, &Attempt{Digest: 8}, false) }, []uint64{8}},
		"a copy after the end shows":      {func(tr *Tracker) { tr.End(a); tr.TakeEnded(); interrupt(tr) }, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr := NewTracker()
			interrupt(tr)
			test.events(tr)
			var got []uint64
			for _, e := range tr.TakeEnded() {
				is.Equal(e.Instance, a)
				got = append(got, e.Digests...)
			}
			is.Equal(got, test.want)
			is.Equal(len(tr.TakeEnded()), 0)
		})
	}
}

// A long prompt became suspect when its endpoint and two of its helpers ended at once.
func TestAttemptCountsAtOneOfItsEndpoints(t *testing.T) {
	is := is.New(t)
	tr, a := NewTracker(), &Attempt{Digest: innocent}
	for _, name := range []string{"primary", "helper-1", "helper-2"} {
		tr.Interrupt(at(0), Instance{Endpoint: name}, a, false)
		tr.End(Instance{Endpoint: name})
	}
	ended := tr.TakeEnded()
	is.Equal(len(ended), 1)
	is.Equal(ended[0].Digests, []uint64{innocent})
	tr.Interrupt(at(1), Instance{Endpoint: "next"}, &Attempt{Digest: innocent}, false)
	tr.End(Instance{Endpoint: "next"})
	is.Equal(len(tr.TakeEnded()), 1)
}

func TestTrackerReturnsPermitsOfRunningEndpoints(t *testing.T) {
	is := is.New(t)
	tr, a := NewTracker(), Instance{Endpoint: "a", Addr: "1", Incarnation: 5}
	tr.Interrupt(at(0), a, &Attempt{Digest: crasher, Holder: "h"}, false)
	tr.Interrupt(at(0), a, &Attempt{Digest: innocent}, false)
	is.Equal(len(tr.Active(at(0.2), a)), 0)
	released := tr.Active(at(1), a)
	is.Equal(len(released), 1)
	is.Equal(released[0].Holder, "h")
	is.Equal(len(tr.instances), 0)
}

func TestTrackerStaysWithinItsLimits(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	for i := range 2 * maxTrackedInstances {
		tr.Interrupt(at(0), Instance{Endpoint: fmt.Sprint(i)}, &Attempt{Digest: crasher}, false)
	}
	is.Equal(len(tr.instances), maxTrackedInstances)
	for i := range 2 * maxInterruptions {
		tr.Interrupt(at(0), Instance{Endpoint: "0"}, &Attempt{Digest: uint64(i)}, false)
	}
	is.Equal(len(tr.instances[Instance{Endpoint: "0"}].interruptions), maxInterruptions)
	tr.Interrupt(at(100), Instance{Endpoint: "new"}, &Attempt{Digest: crasher}, false)
	is.Equal(len(tr.instances), 1)
}

func TestTrackerChecksAnEndpointOnceInAnInterval(t *testing.T) {
	is := is.New(t)
	tr, a := NewTracker(), Instance{Endpoint: "a", Addr: "1", Incarnation: 5}
	is.True(!tr.BeginCheck(at(0), a))
	tr.Interrupt(at(0), a, &Attempt{Digest: crasher}, false)
	is.True(tr.BeginCheck(at(0), a))
	is.True(!tr.BeginCheck(at(0.5), a))
	is.True(tr.BeginCheck(at(1), a))
	tr.End(a)
	is.True(!tr.BeginCheck(at(5), a))
}

// TestCrashingRequestAtDirectEndpointsIsSoonRefused checks that at most MaxLostEndpoints runs of
// a crashing request begin once control knows of MaxLostEndpoints losses, whatever fails beside
// it, and that no request is convicted that was in flight at one or two failures.
func TestCrashingRequestAtDirectEndpointsIsSoonRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, serial, late := NewList(DefaultLimits()), 0.0, 0, 0
		losses := map[uint64]int{}
		fail := func(digests ...uint64) {
			serial++
			directFailure(l, now, fmt.Sprint("e", serial), digests...)
			for _, digest := range digests {
				losses[digest]++
			}
		}
		innocents := func(t *rapid.T) []uint64 {
			return rapid.SliceOfNDistinct(rapid.Uint64Range(1, 12), 0, 4, rapid.ID[uint64]).Draw(t, "innocents")
		}
		t.Repeat(map[string]func(*rapid.T){
			"copies at once": func(t *rapid.T) {
				if losses[crasher] >= MaxLostEndpoints || l.Status(crasher) != Clear {
					return
				}
				for range rapid.IntRange(1, 6).Draw(t, "copies") {
					fail(append(innocents(t), crasher)...)
				}
			},
			"run under a permit": func(t *rapid.T) {
				holder := fmt.Sprint("e", serial+1)
				p := l.Permit(at(now), PermitRequest{Digest: crasher, Holder: holder, Endpoint: holder, Incarnation: 1, Deadline: at(now + 10)})
				if !p.Granted || p.Status != Suspect {
					return
				}
				if losses[crasher] >= MaxLostEndpoints {
					late++
				}
				now += 0.2
				fail(append(innocents(t), crasher)...)
			},
			"other failures": func(t *rapid.T) {
				for range rapid.IntRange(1, 7).Draw(t, "endpoints") {
					fail(innocents(t)...)
				}
			},
			"completed": func(t *rapid.T) {
				digest := rapid.Uint64Range(1, 12).Draw(t, "digest")
				l.Completed(at(now), digest)
				losses[digest] = 0
			},
			"": func(t *rapid.T) {
				now += rapid.Float64Range(0, 12).Draw(t, "pause")
				if late > MaxLostEndpoints {
					t.Fatalf("%d runs after the third loss", late)
				}
				for _, digest := range l.Digests(Convicted) {
					if digest != crasher && losses[digest] < MaxLostEndpoints {
						t.Fatalf("innocent %d convicted after %d losses", digest, losses[digest])
					}
				}
				if slices.Contains(l.Digests(Suspect), crasher) && losses[crasher] < MinDirectLosses {
					t.Fatalf("suspect after %d losses", losses[crasher])
				}
			},
		})
	})
}
