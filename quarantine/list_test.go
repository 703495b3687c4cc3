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

// failures reports failures of different endpoints, a minute apart, each with the
// given requests in flight.
func failures(l *List, sets ...[]uint64) {
	for i, digests := range sets {
		l.ReportFailure(at(float64(60*i)), FailureReport{
			Endpoint: fmt.Sprintf("e%02d", i), Incarnation: 1, Digests: digests, Alone: len(digests) == 1,
		})
	}
}

func TestStatusAfterFailures(t *testing.T) {
	one := []uint64{crasher}
	two := []uint64{crasher, innocent}
	cases := []struct {
		name     string
		failures [][]uint64
		crasher  Status
		innocent Status
	}{
		{"none", nil, Clear, Clear},
		{"one beside another request", [][]uint64{two}, Suspect, Suspect},
		{"one alone: the endpoint may have failed for another reason", [][]uint64{one}, Suspect, Clear},
		{"two beside the same request", [][]uint64{two, two}, Suspect, Suspect},
		{"beside another, then alone", [][]uint64{two, one}, Convicted, Suspect},
		{"alone, then beside another", [][]uint64{one, two}, Convicted, Suspect},
		{"two beside the same request, then alone", [][]uint64{two, two, one}, Convicted, Suspect},
		{"three beside different requests", [][]uint64{two, {crasher, 8}, {crasher, 9}}, Convicted, Suspect},
		{"both alone once: not decided", [][]uint64{one, {innocent}, two}, Suspect, Suspect},
		{"both alone once, decided by the next run", [][]uint64{one, {innocent}, two, one}, Convicted, Suspect},
		{"three beside the same request: not decided", [][]uint64{two, two, two}, Suspect, Suspect},
		{"beside a convicted request", [][]uint64{one, one, two, two, two}, Convicted, Suspect},
		{"beside a convicted request, and elsewhere", [][]uint64{one, one, two, {innocent, 8}}, Convicted, Suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewList(DefaultLimits())
			failures(l, c.failures...)
			is.Equal(l.Status(crasher), c.crasher)
			is.Equal(l.Status(innocent), c.innocent)
		})
	}
}

func TestWrongConvictionIsRevokedOnceTheCauseIsFound(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	failures(l, []uint64{crasher, innocent}, []uint64{innocent}) // the VM of the endpoint failed
	is.Equal(l.Status(innocent), Convicted)
	failures(l, nil, nil, []uint64{crasher, 8}, []uint64{crasher})
	is.Equal(l.Status(crasher), Convicted)
	is.Equal(l.Status(innocent), Suspect)
	is.Equal(l.Status(8), Suspect)
}

func TestFailureReportedBySeveralProcessesCountsOnce(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range 10 {
		l.ReportFailure(at(float64(i)), FailureReport{Endpoint: "e", Incarnation: 4, Digests: []uint64{crasher, uint64(i)}})
	}
	is.Equal(l.Status(crasher), Suspect)
	is.Equal(l.records[crasher].lostEndpoints(), 1)
	is.Equal(len(l.Digests(Suspect)), 11)
}

func TestLossLimitWithholdsPermitsWithoutConviction(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	two := []uint64{crasher, innocent}
	failures(l, two, two, two)
	for _, digest := range two {
		p := l.Permit(at(200), PermitRequest{Digest: digest, Holder: "h", Endpoint: "z", Incarnation: 1, Deadline: at(300)})
		is.Equal(p, Permit{Status: Suspect, RetryAfter: lossLimitRetryAfter})
	}
}

func TestAloneReportIsOverriddenByAnotherRequest(t *testing.T) {
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

func TestCompleteAnswerClears(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	failures(l, []uint64{crasher, innocent}, []uint64{crasher, innocent})
	is.True(l.Completed(at(61), innocent))
	is.Equal(l.Status(innocent), Clear)
	l.ReportFailure(at(62), FailureReport{Endpoint: "e00", Incarnation: 1, Digests: []uint64{innocent}})
	is.Equal(l.Status(innocent), Clear) // a late report of the same failure
	l.ReportFailure(at(63), FailureReport{Endpoint: "e05", Incarnation: 1, Digests: []uint64{innocent}, Alone: true})
	is.Equal(l.Status(innocent), Suspect) // earlier failures don't count
	is.True(!l.Completed(at(64), 12345))
}

func TestOutageConvictsNobody(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	// An availability zone fails within 4 s. Requests from the first endpoints are
	// retried alone on endpoints that fail too.
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
	l.Completed(at(3700), 1)
	is.Equal(l.Status(innocent), Clear)
}

func TestListStaysWithinLimits(t *testing.T) {
	is := is.New(t)
	limits := Limits{
		SuspectTTL: time.Hour, OutageTTL: time.Minute, ConvictedTTL: 2 * time.Hour,
		Digests: 20, Failures: 6, DigestsPerFailure: 5, BurstFailures: 1000, BurstWindow: time.Second,
	}
	l := NewList(limits)
	failures(l, []uint64{crasher, innocent}, []uint64{crasher})
	for i := range 1000 {
		r := FailureReport{Endpoint: fmt.Sprint("f", i), Incarnation: 1}
		for j := range 10 {
			r.Digests = append(r.Digests, uint64(10_000+10*i+j))
		}
		l.ReportFailure(at(120+float64(i)), r)
		is.True(len(l.records) <= limits.Digests)
		is.True(len(l.failures) <= limits.Failures)
	}
	is.Equal(l.Status(crasher), Convicted)
	l.Completed(at(2*3600+59), 1)
	is.Equal(l.Status(crasher), Convicted)
	l.Completed(at(2*3600+61), 1)
	is.Equal(l.Status(crasher), Clear)
	is.Equal(len(l.records), 0)
	is.Equal(len(l.failures), 0)
}

func TestPermits(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	ask := func(seconds float64, holder string) Permit {
		return l.Permit(at(seconds), PermitRequest{Digest: crasher, Holder: holder, Endpoint: holder, Incarnation: 1, Deadline: at(seconds + 100)})
	}
	is.Equal(ask(0, "x"), Permit{Status: Clear, Granted: true})
	l.ReportFailure(at(1), FailureReport{Endpoint: "a", Incarnation: 1, Digests: []uint64{crasher, innocent}})
	is.Equal(ask(2, "b"), Permit{Status: Suspect, Granted: true})
	is.Equal(ask(3, "b"), Permit{Status: Suspect, Granted: true}) // a retry, because the answer was lost
	is.Equal(ask(3, "c"), Permit{Status: Suspect, RetryAfter: permitHeldRetryAfter})
	l.ReleasePermit(at(4), crasher, "c") // c doesn't hold the permit
	is.True(!ask(4, "c").Granted)
	l.ReleasePermit(at(5), crasher, "b")
	is.True(ask(5, "c").Granted)
	is.True(!ask(104, "d").Granted)
	is.True(ask(106, "d").Granted) // the permit of c expired and counts as a lost endpoint
	l.ReportFailure(at(107), FailureReport{Endpoint: "other", Incarnation: 1, Digests: []uint64{crasher, 9}})
	is.True(!ask(108, "e").Granted) // d is still in flight
	is.Equal(ask(300, "e"), Permit{Status: Suspect, RetryAfter: lossLimitRetryAfter})
	l.Completed(at(301), crasher)
	is.Equal(ask(302, "e"), Permit{Status: Clear, Granted: true})
}

func TestOnlySuspectAmongClearRequestsIsConvicted(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	failures(l, []uint64{crasher, innocent})
	ask := PermitRequest{Digest: crasher, Holder: "h", Endpoint: "z", Incarnation: 3, Deadline: at(90)}
	is.Equal(l.Permit(at(1), ask), Permit{Status: Suspect, Granted: true})
	other := PermitRequest{Digest: innocent, Holder: "i", Endpoint: "z", Incarnation: 3, Deadline: at(90)}
	is.Equal(l.Permit(at(2), other), Permit{Status: Suspect, RetryAfter: instanceTakenRetryAfter})
	l.ReportFailure(at(3), FailureReport{Endpoint: "z", Incarnation: 3, Digests: []uint64{8, 9}})
	is.Equal(l.Status(crasher), Suspect) // the request may not have reached the endpoint
	l.ReportFailure(at(4), FailureReport{Endpoint: "z", Incarnation: 3, Digests: []uint64{crasher}})
	is.Equal(l.Status(crasher), Convicted)
	is.Equal(l.Status(8), Suspect)
}

// TestSecondCopyInFlightCostsNoFourthEndpoint guards against the loss of a fourth
// endpoint, which happened when a second copy of the request was in flight on another
// endpoint while the first endpoint failed.
func TestSecondCopyInFlightCostsNoFourthEndpoint(t *testing.T) {
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

func TestFailureCountsAgainstThePermittedRequest(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	failures(l, []uint64{crasher, innocent})
	is.True(l.Permit(at(1), PermitRequest{Digest: crasher, Holder: "h", Endpoint: "z", Incarnation: 3, Deadline: at(50)}).Granted)
	l.ReportFailure(at(2), FailureReport{Endpoint: "z", Incarnation: 3}) // the entry failed too, so no report names the request
	is.Equal(l.records[crasher].lostEndpoints(), 2)
	is.Equal(l.Permit(at(60), PermitRequest{Digest: crasher, Holder: "k", Deadline: at(90)}), Permit{Status: Suspect, Granted: true, Alone: true})
}

func TestImageRoundTrip(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	failures(l, []uint64{crasher, innocent}, []uint64{crasher}, []uint64{innocent, 8, 9}, []uint64{8, 10})
	l.Completed(at(200), 9)
	l.Permit(at(201.25), PermitRequest{Digest: 8, Holder: "h", Endpoint: "z", Incarnation: 3, Deadline: at(250.000001)})
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
	is.True(!restored.Permit(at(240), PermitRequest{Digest: 8, Holder: "i", Deadline: at(300)}).Granted)

	_, err = Restore(DefaultLimits(), Image{Records: []RecordImage{{Digest: 1}}})
	is.True(err != nil)
	_, err = Restore(DefaultLimits(), Image{Failures: []FailureImage{{Digests: []uint64{1}}}})
	is.True(err != nil)
}

func TestLocalViewAppliesOwnLossesFirst(t *testing.T) {
	is := is.New(t)
	l := NewLocalView()
	is.Equal(l.Status(at(0), crasher), Clear)
	l.RecordLoss(at(0), crasher)
	is.Equal(l.Status(at(1), crasher), Suspect)
	l.Update(start, nil, nil) // sent before control processed the loss
	is.Equal(l.Status(at(2), crasher), Suspect)
	l.SetStatus(at(3), crasher, Convicted)
	is.Equal(l.Status(at(3), crasher), Convicted)
	l.Update(start, []uint64{crasher}, nil)
	is.Equal(l.Status(at(4), crasher), Suspect)
	l.SetStatus(at(5), crasher, Clear)
	is.Equal(l.Status(at(5), crasher), Clear)
	l.Update(start, nil, []uint64{crasher})
	is.Equal(l.Status(at(999), crasher), Convicted)
	l.Update(start, nil, nil)
	is.Equal(l.Status(at(999), crasher), Clear)
	for i := range 2 * maxLocalLosses {
		l.RecordLoss(at(1000), uint64(i))
	}
	is.Equal(len(l.losses), maxLocalLosses)
}
