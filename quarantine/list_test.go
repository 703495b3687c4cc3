package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

const (
	crasher  uint64 = 666
	innocent uint64 = 7
)

// at returns the time some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// falls reports falls of different endpoints, a minute apart.
func falls(l *List, sets ...[]uint64) {
	for i, digests := range sets {
		l.ReportFailure(at(float64(60*i)), FailureReport{
			Endpoint: fmt.Sprintf("e%02d", i), Incarnation: 1, Digests: digests, Alone: len(digests) == 1,
		})
	}
}

func TestFalls(t *testing.T) {
	one := []uint64{crasher}
	two := []uint64{crasher, innocent}
	cases := []struct {
		name     string
		falls    [][]uint64
		crasher  Status
		innocent Status
	}{
		{"none", nil, Clear, Clear},
		{"one in company", [][]uint64{two}, Suspect, Suspect},
		{"one alone: the endpoint may have died for any reason", [][]uint64{one}, Suspect, Clear},
		{"two in company", [][]uint64{two, two}, Suspect, Suspect},
		{"company, then alone", [][]uint64{two, one}, Convicted, Suspect},
		{"alone, then company", [][]uint64{one, two}, Convicted, Suspect},
		{"twice near the same", [][]uint64{two, two, one}, Convicted, Suspect},
		{"three in changing company", [][]uint64{two, {crasher, 8}, {crasher, 9}}, Convicted, Suspect},
		{"each was alone once: the next run tells", [][]uint64{one, {innocent}, two}, Suspect, Suspect},
		{"each was alone once, then the next run", [][]uint64{one, {innocent}, two, one}, Convicted, Suspect},
		{"three in the same company: both are held", [][]uint64{two, two, two}, Suspect, Suspect},
		{"near one that is convicted", [][]uint64{one, one, two, two, two}, Convicted, Suspect},
		{"near one that is convicted, and elsewhere", [][]uint64{one, one, two, {innocent, 8}}, Convicted, Suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewList(DefaultLimits())
			falls(l, c.falls...)
			is.Equal(l.Status(crasher), c.crasher)
			is.Equal(l.Status(innocent), c.innocent)
		})
	}
}

func TestInnocentIsReleasedOnceTheCauseIsFound(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	falls(l, []uint64{crasher, innocent}, []uint64{innocent}) // its endpoint's VM died
	is.Equal(l.Status(innocent), Convicted)
	falls(l, nil, nil, []uint64{crasher, 8}, []uint64{crasher})
	is.Equal(l.Status(crasher), Convicted)
	is.Equal(l.Status(innocent), Suspect)
	is.Equal(l.Status(8), Suspect)
}

func TestOneFallReportedByManyCountsOnce(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range 10 {
		l.ReportFailure(at(float64(i)), FailureReport{Endpoint: "e", Incarnation: 4, Digests: []uint64{crasher, uint64(i)}})
	}
	is.Equal(l.Status(crasher), Suspect)
	is.Equal(l.records[crasher].lost(), 1)
	is.Equal(len(l.Digests(Suspect)), 11)
}

func TestHeldWithoutConviction(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	two := []uint64{crasher, innocent}
	falls(l, two, two, two)
	for _, digest := range two {
		p := l.RequestPermit(at(200), PermitRequest{Digest: digest, Holder: "h", Endpoint: "z", Incarnation: 1, Deadline: at(300)})
		is.Equal(p, Permit{Status: Suspect, RetryAfter: retryHeld})
	}
}

func TestAloneHoldsOnlyWhileNobodyKnowsOfMore(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	l.ReportFailure(at(0), FailureReport{Endpoint: "a", Incarnation: 1, Digests: []uint64{crasher, innocent}})
	l.ReportFailure(at(1), FailureReport{Endpoint: "b", Incarnation: 1, Digests: []uint64{innocent}})
	is.Equal(l.Status(innocent), Suspect)
	l.ReportFailure(at(2), FailureReport{Endpoint: "b", Incarnation: 1, Digests: []uint64{crasher}, Alone: true})
	is.Equal(l.Status(crasher), Suspect)
	l.ReportFailure(at(3), FailureReport{Endpoint: "c", Incarnation: 1, Digests: []uint64{crasher}, Alone: true})
	is.Equal(l.Status(crasher), Convicted)
	is.Equal(l.Status(innocent), Suspect)
}

func TestWholeAnswerClears(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	falls(l, []uint64{crasher, innocent}, []uint64{crasher, innocent})
	is.True(l.MarkCompleted(at(61), innocent))
	is.Equal(l.Status(innocent), Clear)
	l.ReportFailure(at(62), FailureReport{Endpoint: "e00", Incarnation: 1, Digests: []uint64{innocent}})
	is.Equal(l.Status(innocent), Clear) // a late report of the same fall
	l.ReportFailure(at(63), FailureReport{Endpoint: "e05", Incarnation: 1, Digests: []uint64{innocent}, Alone: true})
	is.Equal(l.Status(innocent), Suspect) // counted from the start again
	is.True(!l.MarkCompleted(at(64), 12345))
}

func TestOutageConvictsNobody(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	// An availability zone dies within 4 s: requests of the first endpoints run
	// alone on others that die too.
	l.ReportFailure(at(0), FailureReport{Endpoint: "a", Incarnation: 1, Digests: []uint64{innocent, 8, 9}})
	l.ReportFailure(at(1), FailureReport{Endpoint: "b", Incarnation: 1, Digests: []uint64{innocent}, Alone: true})
	is.Equal(l.Status(innocent), Convicted)
	for i := range 40 {
		l.ReportFailure(at(1.5+float64(i)/16), FailureReport{Endpoint: fmt.Sprint("c", i), Incarnation: 1, Digests: []uint64{uint64(100 + i)}})
	}
	is.Equal(l.Status(innocent), Suspect)
	is.Equal(l.Status(8), Clear)
	is.Equal(l.Status(120), Clear)
	is.Equal(l.Digests(Convicted), nil)
	is.Equal(l.Digests(Suspect), []uint64{innocent})
	l.MarkCompleted(at(3700), 1)
	is.Equal(l.Status(innocent), Clear)
}

func TestBounds(t *testing.T) {
	is := is.New(t)
	limits := Limits{
		SuspectTTL: time.Hour, OutageTTL: time.Minute, ConvictedTTL: 2 * time.Hour,
		MaxRequests: 20, MaxFailures: 6, MaxRequestsPerFailure: 5, BurstFailures: 1000, BurstWindow: time.Second,
	}
	l := NewList(limits)
	falls(l, []uint64{crasher, innocent}, []uint64{crasher})
	for i := range 1000 {
		r := FailureReport{Endpoint: fmt.Sprint("f", i), Incarnation: 1}
		for j := range 10 {
			r.Digests = append(r.Digests, uint64(10_000+10*i+j))
		}
		l.ReportFailure(at(120+float64(i)), r)
		is.True(len(l.records) <= limits.MaxRequests)
		is.True(len(l.falls) <= limits.MaxFailures)
	}
	is.Equal(l.Status(crasher), Convicted)
	l.MarkCompleted(at(2*3600+59), 1)
	is.Equal(l.Status(crasher), Convicted)
	l.MarkCompleted(at(2*3600+61), 1)
	is.Equal(l.Status(crasher), Clear)
	is.Equal(len(l.records), 0)
	is.Equal(len(l.falls), 0)
}

func TestPermits(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	ask := func(seconds float64, holder string) Permit {
		return l.RequestPermit(at(seconds), PermitRequest{Digest: crasher, Holder: holder, Endpoint: holder, Incarnation: 1, Deadline: at(seconds + 100)})
	}
	is.Equal(ask(0, "x"), Permit{Status: Clear, Granted: true})
	l.ReportFailure(at(1), FailureReport{Endpoint: "a", Incarnation: 1, Digests: []uint64{crasher, innocent}})
	is.Equal(ask(2, "b"), Permit{Status: Suspect, Granted: true})
	is.Equal(ask(3, "b"), Permit{Status: Suspect, Granted: true}) // its answer was lost
	is.Equal(ask(3, "c"), Permit{Status: Suspect, RetryAfter: retryPermit})
	l.ReleasePermit(at(4), crasher, "c") // not the holder
	is.True(!ask(4, "c").Granted)
	l.ReleasePermit(at(5), crasher, "b")
	is.True(ask(5, "c").Granted)
	is.True(!ask(104, "d").Granted)
	is.True(ask(106, "d").Granted) // lapsed: it counts as lost
	l.ReportFailure(at(107), FailureReport{Endpoint: "other", Incarnation: 1, Digests: []uint64{crasher, 9}})
	is.True(!ask(108, "e").Granted) // d is in flight still
	is.Equal(ask(300, "e"), Permit{Status: Suspect, RetryAfter: retryHeld})
	l.MarkCompleted(at(301), crasher)
	is.Equal(ask(302, "e"), Permit{Status: Clear, Granted: true})
}

func TestOnlySuspectAmongClearRequestsIsConvicted(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	falls(l, []uint64{crasher, innocent})
	ask := PermitRequest{Digest: crasher, Holder: "h", Endpoint: "z", Incarnation: 3, Deadline: at(90)}
	is.Equal(l.RequestPermit(at(1), ask), Permit{Status: Suspect, Granted: true})
	other := PermitRequest{Digest: innocent, Holder: "i", Endpoint: "z", Incarnation: 3, Deadline: at(90)}
	is.Equal(l.RequestPermit(at(2), other), Permit{Status: Suspect, RetryAfter: retryPlace})
	l.ReportFailure(at(3), FailureReport{Endpoint: "z", Incarnation: 3, Digests: []uint64{8, 9}})
	is.Equal(l.Status(crasher), Suspect) // it may have been on its way still
	l.ReportFailure(at(4), FailureReport{Endpoint: "z", Incarnation: 3, Digests: []uint64{crasher}})
	is.Equal(l.Status(crasher), Convicted)
	is.Equal(l.Status(8), Suspect)
}

// TestSecondCopyOnItsWayCostsNoFourthEndpoint is a run that once cost four: a copy
// was in flight elsewhere when the first endpoint fell.
func TestSecondCopyOnItsWayCostsNoFourthEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFleet(false)
	f.send(0, 4, 1)
	f.send(0, 5, 2)
	is.True(f.send(0, 0, crasher))
	is.True(f.send(0, 4, crasher))
	f.crash(4)
	is.True(f.send(0, 5, crasher)) // under a permit, beside request 2
	f.crash(5)
	is.True(!f.send(0, 7, crasher))
	f.crash(0)
	is.Equal(f.lost[crasher], 3)
	is.Equal(f.list.Status(1), Suspect)
}

func TestFallOfAPermitsPlaceCountsAgainstItsHolder(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	falls(l, []uint64{crasher, innocent})
	is.True(l.RequestPermit(at(1), PermitRequest{Digest: crasher, Holder: "h", Endpoint: "z", Incarnation: 3, Deadline: at(50)}).Granted)
	l.ReportFailure(at(2), FailureReport{Endpoint: "z", Incarnation: 3}) // its entry went down too
	is.Equal(l.records[crasher].lost(), 2)
	is.Equal(l.RequestPermit(at(60), PermitRequest{Digest: crasher, Holder: "k", Deadline: at(90)}), Permit{Status: Suspect, Granted: true, Alone: true})
}

func TestImageKeepsEverything(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	falls(l, []uint64{crasher, innocent}, []uint64{crasher}, []uint64{innocent, 8, 9}, []uint64{8, 10})
	l.MarkCompleted(at(200), 9)
	l.RequestPermit(at(201.25), PermitRequest{Digest: 8, Holder: "h", Endpoint: "z", Incarnation: 3, Deadline: at(250.000001)})
	data, err := cbor.Marshal(l.Image())
	is.NoErr(err)
	var img Image
	is.NoErr(cbor.Unmarshal(data, &img))
	restored, err := Restore(DefaultLimits(), img)
	is.NoErr(err)
	again, err := cbor.Marshal(restored.Image())
	is.NoErr(err)
	is.Equal(again, data)
	for _, digest := range []uint64{crasher, innocent, 8, 9, 10} {
		is.Equal(restored.Status(digest), l.Status(digest))
	}
	is.Equal(restored.records[8], l.records[8])
	is.True(!restored.RequestPermit(at(240), PermitRequest{Digest: 8, Holder: "i", Deadline: at(300)}).Granted)

	_, err = Restore(DefaultLimits(), Image{Records: []RecordImage{{Digest: 1}}})
	is.True(err != nil)
	_, err = Restore(DefaultLimits(), Image{Failures: []FailureImage{{Digests: []uint64{1}}}})
	is.True(err != nil)
}

func TestLocalGoesByItsOwnLossesFirst(t *testing.T) {
	is := is.New(t)
	l := NewLocalView()
	is.Equal(l.Status(at(0), crasher), Clear)
	l.RecordLoss(at(0), crasher)
	is.Equal(l.Status(at(1), crasher), Suspect)
	l.Update(nil, nil) // sent before control heard of the loss
	is.Equal(l.Status(at(2), crasher), Suspect)
	l.SetStatus(at(3), crasher, Convicted)
	is.Equal(l.Status(at(3), crasher), Convicted)
	l.Update([]uint64{crasher}, nil)
	is.Equal(l.Status(at(4), crasher), Suspect)
	l.SetStatus(at(5), crasher, Clear)
	is.Equal(l.Status(at(5), crasher), Clear)
	l.Update(nil, []uint64{crasher})
	is.Equal(l.Status(at(999), crasher), Convicted)
	l.Update(nil, nil)
	is.Equal(l.Status(at(999), crasher), Clear)
	for i := range 2 * maxOwn {
		l.RecordLoss(at(1000), uint64(i))
	}
	is.Equal(len(l.own), maxOwn)
}
