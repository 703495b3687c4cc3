package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var bounds = Bounds{Revoke: 5 * time.Second, Drain: 2 * time.Second, Release: 4 * time.Second, Apply: 2 * time.Second, Reconnect: 3 * time.Second}

// call is a request that runs at most once, and arrival the same at an endpoint.
var (
	call    = Request{ID: "a", Path: "/p", Body: []byte("b"), Account: "parish", Key: "k", AtMostOnce: true, Services: map[string]bool{"desk": true}, Entry: "e"}
	arrival = Arrival{ID: "a", Path: "/p", Body: []byte("b"), Account: "parish", Service: "desk", Endpoint: "i-1", Zone: "hall"}
)

// arrived returns the arrival with a change.
func arrived(change func(*Arrival)) Arrival {
	a := arrival
	change(&a)
	return a
}

// TestEachCheckFindsItsPlantedFault breaks one promise at a time.
func TestEachCheckFindsItsPlantedFault(t *testing.T) {
	tests := []struct {
		name    string
		promise string
		plant   func(l *Checker)
	}{
		{"a call runs twice", PromiseAtMostOnce, func(l *Checker) { l.Ran(at(0), arrival); l.Ran(at(1), arrival) }},
		{"refused after it ran", PromiseNotRun, func(l *Checker) { l.Ran(at(0), arrival); l.Refused(at(1), "a", 503) }},
		{"runs after it was refused", PromiseNotRun, func(l *Checker) { l.Refused(at(0), "a", 503); l.Ran(at(1), arrival) }},
		{"answer of another request", PromiseAnswer, func(l *Checker) { l.AnswerSent("a", "s", []byte("x")); l.Served(at(0), "a", "z", "s", []byte("x")) }},
		{"a seal that no endpoint gave", PromiseAnswer, func(l *Checker) { l.Served(at(0), "a", "a", "s", []byte("x")) }},
		{"half of a body", PromiseAnswer, func(l *Checker) { l.AnswerSent("a", "s", []byte("xy")); l.Served(at(0), "a", "a", "s", []byte("x")) }},
		{"stream of another request", PromiseAnswer, func(l *Checker) { l.Streamed(at(0), "a", "z", []int{1, 2}, 2) }},
		{"an event is missing", PromiseOrder, func(l *Checker) { l.Streamed(at(0), "a", "a", []int{1, 3}, 3) }},
		{"an event comes twice", PromiseOrder, func(l *Checker) { l.Streamed(at(0), "a", "a", []int{1, 2, 2, 3}, 3) }},
		{"events change places", PromiseOrder, func(l *Checker) { l.Streamed(at(0), "a", "a", []int{2, 1}, 2) }},
		{"a stream ends early", PromiseOrder, func(l *Checker) { l.Streamed(at(0), "a", "a", []int{1}, 2) }},
		{"nobody asked", PromiseUnaltered, func(l *Checker) { l.Ran(at(0), arrived(func(a *Arrival) { a.ID = "z" })) }},
		{"another path", PromiseUnaltered, func(l *Checker) { l.Ran(at(0), arrived(func(a *Arrival) { a.Path = "/q" })) }},
		{"another body", PromiseUnaltered, func(l *Checker) { l.Ran(at(0), arrived(func(a *Arrival) { a.Body = nil })) }},
		{"another account", PromiseUnaltered, func(l *Checker) { l.Ran(at(0), arrived(func(a *Arrival) { a.Account = "notary" })) }},
		{"the key is passed on", PromiseUnaltered, func(l *Checker) { l.Ran(at(0), arrived(func(a *Arrival) { a.KeyPassed = true })) }},
		{"a service of no configuration", PromiseRoute, func(l *Checker) { l.Ran(at(0), arrived(func(a *Arrival) { a.Service = "scribe" })) }},
		{"an older configuration", PromiseNoRollback, func(l *Checker) { l.Acked(at(0), 5, nil); l.ReadBack(at(4*time.Second), at(3*time.Second), "vm", 4) }},
		{"a key that is gone", PromiseRevoked, func(l *Checker) {
			l.Acked(at(0), 5, []string{"k"})
			l.Sent(at(6*time.Second), call)
			l.Ran(at(6*time.Second), arrival)
		}},
		{"an endpoint that left", PromiseDrained, func(l *Checker) { l.Drained(at(0), "endpoint i-1"); l.Ran(at(3*time.Second), arrival) }},
		{"a zone that is out", PromiseDrained, func(l *Checker) { l.Drained(at(0), "zone hall"); l.Ran(at(3*time.Second), arrival) }},
		{"lost at the end", PromiseDurable, func(l *Checker) { l.Acked(at(0), 5, nil); l.FinalVersion(at(1), 4) }},
		{"nothing comes at the end", PromiseDurable, func(l *Checker) { l.Acked(at(0), 5, nil); l.FinalVersion(at(1), 0) }},
		{"no service afterwards", PromiseRecovered, func(l *Checker) { l.CheckRecovery(at(0), 100, 24) }},
		{"a planned stop cuts", PromiseGracefulStop, func(l *Checker) { l.Ran(at(0), arrival); l.ConnectionClosed(at(1), "a") }},
	}
	found := map[string]bool{}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := NewChecker(start, bounds)
			l.Sent(at(0), call)
			test.plant(l)
			is.Equal(len(l.Findings()), 1)
			is.Equal(l.Findings()[0].Promise, test.promise)
			found[test.promise] = true
		})
	}
	// The endpoints of a deployment find these two themselves.
	for _, p := range Promises {
		if p != PromiseCold && p != PromiseMemory && !found[p] {
			t.Errorf("no fault is planted against %q", p)
		}
	}
}

func TestWhatIsAllowedIsNoFinding(t *testing.T) {
	is := is.New(t)
	l := NewChecker(start, bounds)
	l.Sent(at(0), call)
	l.Ran(at(0), arrival)
	l.AnswerSent("a", "s", []byte("x"))
	l.Served(at(0), "a", "a", "s", []byte("x"))
	l.Streamed(at(0), "a", "a", []int{1, 2}, 2)
	l.Acked(at(0), 5, []string{"k"})
	l.ReadBack(at(time.Second), at(time.Second), "vm", 4) // not yet in force everywhere
	l.Drained(at(0), "endpoint i-1")
	l.SuspendBounds(at(time.Second))
	again := call
	again.ID = "again"
	l.Sent(at(3*time.Second), again)
	l.Ran(at(3*time.Second), arrived(func(a *Arrival) { a.ID = "again" })) // the fault is just over
	l.ConnectionClosed(at(3*time.Second), "again")
	l.FinalVersion(at(4*time.Second), 6) // a change without a clear answer may be in force
	l.CheckRecovery(at(5*time.Second), 100, 25)
	is.Equal(len(l.Findings()), 0)
}

func TestPlansOfASeedAreTheSame(t *testing.T) {
	is := is.New(t)
	kinds := []string{"a", "b", "c"}
	is.Equal(Plan(7, kinds, 20*time.Second), Plan(7, kinds, 20*time.Second))
	series, overlaps := false, false
	plan := Plan(7, kinds, 20*time.Second)
	for i := 1; i < len(plan); i++ {
		series = series || plan[i].Kind == plan[i-1].Kind
		overlaps = overlaps || plan[i].At < plan[i-1].At+plan[i-1].For
	}
	is.True(series)
	is.True(overlaps)
}
