package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var bounds = Bounds{Revoke: 5 * time.Second, Drain: 2 * time.Second, Release: 4 * time.Second, Apply: 2 * time.Second, Reconnect: 3 * time.Second, Evacuate: 5 * time.Second,
	Retries: RetryBounds{Ratio: 0.2, Extra: 2, Window: 10 * time.Second}}

// call is a request that must run at most once, and arrival is the same request at an
// endpoint.
var (
	call    = Request{ID: "a", Path: "/p", Body: []byte("b"), Account: "parish", Key: "k", AtMostOnce: true, Services: map[string]bool{"desk": true}, Entry: "e"}
	arrival = Arrival{ID: "a", Path: "/p", Body: []byte("b"), Account: "parish", Service: "desk", Endpoint: "i-1", Zone: "hall"}
)

// arrivalWith returns a changed copy of arrival.
func arrivalWith(change func(*Arrival)) Arrival {
	a := arrival
	change(&a)
	return a
}

// TestEachBrokenPromiseIsFound breaks one promise at a time and expects exactly one
// finding, of this promise.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	tests := []struct {
		name    string
		promise string
		inject  func(c *Checker)
	}{
		{"a call runs twice", PromiseAtMostOnce, func(c *Checker) { c.Ran(at(0), arrival); c.Ran(at(1), arrival) }},
		{"refused after it ran", PromiseNotRun, func(c *Checker) { c.Ran(at(0), arrival); c.Refused(at(1), "a", 503) }},
		{"runs after it was refused", PromiseNotRun, func(c *Checker) { c.Refused(at(0), "a", 503); c.Ran(at(1), arrival) }},
		{"answer of another request", PromiseAnswer, func(c *Checker) { c.AnswerSent("a", "s", []byte("x")); c.Served(at(0), "a", "z", "s", []byte("x")) }},
		{"a seal that no endpoint gave", PromiseAnswer, func(c *Checker) { c.Served(at(0), "a", "a", "s", []byte("x")) }},
		{"half of a body", PromiseAnswer, func(c *Checker) { c.AnswerSent("a", "s", []byte("xy")); c.Served(at(0), "a", "a", "s", []byte("x")) }},
		{"stream of another request", PromiseAnswer, func(c *Checker) { c.Streamed(at(0), "a", "z", []int{1, 2}, 2) }},
		{"an event is missing", PromiseOrder, func(c *Checker) { c.Streamed(at(0), "a", "a", []int{1, 3}, 3) }},
		{"an event comes twice", PromiseOrder, func(c *Checker) { c.Streamed(at(0), "a", "a", []int{1, 2, 2, 3}, 3) }},
		{"events change places", PromiseOrder, func(c *Checker) { c.Streamed(at(0), "a", "a", []int{2, 1}, 2) }},
		{"a stream ends early", PromiseOrder, func(c *Checker) { c.Streamed(at(0), "a", "a", []int{1}, 2) }},
		{"a request that no caller sent", PromiseUnaltered, func(c *Checker) { c.Ran(at(0), arrivalWith(func(a *Arrival) { a.ID = "z" })) }},
		{"another path", PromiseUnaltered, func(c *Checker) { c.Ran(at(0), arrivalWith(func(a *Arrival) { a.Path = "/q" })) }},
		{"other parts", PromiseUnaltered, func(c *Checker) { c.Ran(at(0), arrivalWith(func(a *Arrival) { a.Prefix = "a:1,b:2" })) }},
		{"another body", PromiseUnaltered, func(c *Checker) { c.Ran(at(0), arrivalWith(func(a *Arrival) { a.Body = nil })) }},
		{"another account", PromiseUnaltered, func(c *Checker) { c.Ran(at(0), arrivalWith(func(a *Arrival) { a.Account = "notary" })) }},
		{"the key is passed on", PromiseUnaltered, func(c *Checker) { c.Ran(at(0), arrivalWith(func(a *Arrival) { a.KeyPassed = true })) }},
		{"a service of no configuration", PromiseRoute, func(c *Checker) { c.Ran(at(0), arrivalWith(func(a *Arrival) { a.Service = "scribe" })) }},
		{"an older configuration", PromiseNoRollback, func(c *Checker) { c.Acked(at(0), 5, nil); c.ReadBack(at(4*time.Second), at(3*time.Second), "vm", 4) }},
		{"a revoked key", PromiseRevoked, func(c *Checker) {
			c.Acked(at(0), 5, []string{"k"})
			c.Sent(at(6*time.Second), call)
			c.Ran(at(6*time.Second), arrival)
		}},
		{"an endpoint that left", PromiseDrained, func(c *Checker) { c.Drained(at(0), "endpoint i-1"); c.Ran(at(3*time.Second), arrival) }},
		{"a zone that is out", PromiseDrained, func(c *Checker) { c.Drained(at(0), "zone hall"); c.Ran(at(3*time.Second), arrival) }},
		{"a zone that is out, from a process that is cut off", PromiseEvacuated, func(c *Checker) {
			c.SuspendBounds(at(10 * time.Second))
			c.Drained(at(0), "zone hall")
			c.Ran(at(6*time.Second), arrival)
		}},
		{"older configuration at the end", PromiseDurable, func(c *Checker) { c.Acked(at(0), 5, nil); c.FinalVersion(at(1), 4, c.AckedVersion()) }},
		{"no configuration at the end", PromiseDurable, func(c *Checker) { c.Acked(at(0), 5, nil); c.FinalVersion(at(1), 0, c.AckedVersion()) }},
		{"no service afterwards", PromiseRecovered, func(c *Checker) { c.CheckRecovery(at(0), 100, 24) }},
		{"an answer is broken off", PromiseAnswered, func(c *Checker) { c.Ran(at(0), arrival); c.Unanswered(at(1), "a", "closed") }},
		{"an unread request ends late", PromiseAnswered, func(c *Checker) { c.Unanswered(at(closeRace), "a", "closed") }},
		{"a request ends unread long after an endpoint ended", PromiseAnswered, func(c *Checker) {
			c.EndpointEnded(at(-bounds.Reconnect), "i-1")
			c.Unanswered(at(time.Second), "a", "answered 502")
		}},
		{"a stop cuts a request in its grace time", PromiseAnswered, func(c *Checker) {
			c.Ran(at(0), arrival)
			c.Stopping(at(0), "e", 6*time.Second)
			c.Unanswered(at(5*time.Second-1), "a", "closed")
		}},
		{"a stop cuts a request at the end that no endpoint works on", PromiseAnswered, func(c *Checker) {
			c.Ran(at(0), arrival)
			c.Stopping(at(0), "e", 6*time.Second)
			c.WorkEnded(at(5*time.Second-1), "a")
			c.Unanswered(at(5*time.Second), "a", "closed")
		}},
		{"a stop cuts a request at the end that was sent late", PromiseAnswered, func(c *Checker) {
			c.Stopping(at(0), "e", 6*time.Second)
			c.Whole(at(maxSentInStop+1), "a")
			c.Ran(at(4*time.Second), arrival)
			c.Unanswered(at(5*time.Second), "a", "closed")
		}},
		{"a stop cuts a request at the end that it has not passed on", PromiseAnswered, func(c *Checker) {
			c.Stopping(at(0), "e", 6*time.Second)
			c.Unanswered(at(5*time.Second), "a", "closed")
		}},
		{"a request whose body came late ends unread", PromiseAnswered, func(c *Checker) {
			c.Whole(at(time.Second), "a")
			c.Unanswered(at(time.Second+closeRace), "a", "closed")
		}},
		{"a request runs and ends before its last byte is known to be sent", PromiseAnswered, func(c *Checker) {
			r := call
			r.Late = true
			c.Sent(at(0), r)
			c.Ran(at(1), arrival)
			c.Unanswered(at(time.Second), "a", "closed")
		}},
		{"a stopped process is killed", PromiseEnds, func(c *Checker) { c.CheckEnd(at(4*time.Second), "e", 4*time.Second, false) }},
		{"a request ends during a fault that ends none", PromiseAnswered, func(c *Checker) {
			c.SuspendBoundsOnly(at(time.Second))
			c.Ran(at(1), arrival)
			c.Unanswered(at(2), "a", "closed")
		}},
		{"a request that crashed three endpoints is sent on", PromiseCrashing, func(c *Checker) {
			sendCrashing(c, 0, 3)
			sendCrashing(c, 4*time.Second, maxLateArrivals+1)
		}},
		{"a part that crashed five endpoints is sent on", PromiseCrashing, func(c *Checker) {
			sendCrashingPart(c, 0, 5)
			sendCrashingPart(c, 4*time.Second, maxLateArrivals+1)
		}},
		{"sound requests beside a crashing part are refused", PromiseSoundPart, func(c *Checker) {
			sendSound(c, -time.Second, minShareRequests, 0)
			sendCrashingPart(c, 0, 5)
			sendSound(c, 7*time.Second, minShareRequests, minShareRequests/2+1)
			c.CheckSoundShare(at(8*time.Second), "content")
		}},
		{"an innocent request is refused for crashes", PromiseInnocent, func(c *Checker) { c.Quarantined(at(0), "a") }},
		{"retries over the budget", PromiseRetries, func(c *Checker) { arriveRepeatedly(c, 1+2+1) }},
	}
	found := map[string]bool{}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := NewChecker(start, bounds)
			c.Sent(at(0), call)
			test.inject(c)
			is.Equal(len(c.Findings()), 1)
			is.Equal(c.Findings()[0].Promise, test.promise)
			found[test.promise] = true
		})
	}
	// PromiseCold, PromiseMemory, PromiseLimit and PromisePause are checked by the endpoints of a deployment.
	for _, p := range Promises {
		if p != PromiseCold && p != PromiseMemory && p != PromiseLimit && p != PromisePause && !found[p] {
			t.Errorf("no test case breaks the promise %q", p)
		}
	}
}

// sendCrashing has n requests with the same content crash an endpoint each.
func sendCrashing(c *Checker, after time.Duration, n int) { crash(c, after, n, false) }

// sendCrashingPart has n requests with the same part crash an endpoint each.
func sendCrashingPart(c *Checker, after time.Duration, n int) { crash(c, after, n, true) }

// sendSound sends n sound requests beside crashing ones, of which some do not begin.
func sendSound(c *Checker, after time.Duration, n, refused int) {
	for i := range n {
		r, now := call, at(after+time.Duration(i))
		r.ID, r.Key, r.Beside = fmt.Sprint("sound ", now), "", "content"
		c.Sent(now, r)
		if i >= refused {
			c.Ran(now, arrivalWith(func(a *Arrival) { a.ID, a.Endpoint = r.ID, "i-3" }))
		}
	}
}

func crash(c *Checker, after time.Duration, n int, part bool) {
	for i := range n {
		r, now := call, at(after+time.Duration(i))
		r.ID, r.Key, r.AtMostOnce, r.Crashes, r.PartCrashes, r.Content = fmt.Sprint("crash ", now), "", false, true, part, "content"
		c.Sent(now, r)
		c.Ran(now, arrivalWith(func(a *Arrival) { a.ID, a.Endpoint = r.ID, "i-2" }))
		c.Crashed(now, r.ID)
	}
}

// arriveRepeatedly has one request arrive n times at a service.
func arriveRepeatedly(c *Checker, n int) {
	for range n {
		c.Arrived(at(0), "a", "desk")
	}
}

func TestAllowedBehaviorYieldsNoFinding(t *testing.T) {
	is := is.New(t)
	c := NewChecker(start, bounds)
	c.Sent(at(0), call)
	c.Ran(at(0), arrival)
	c.AnswerSent("a", "s", []byte("x"))
	c.Served(at(0), "a", "a", "s", []byte("x"))
	c.Streamed(at(0), "a", "a", []int{1, 2}, 2)
	c.Acked(at(0), 5, []string{"k"})
	c.ReadBack(at(time.Second), at(time.Second), "vm", 4) // within Bounds.Apply
	c.Drained(at(0), "endpoint i-1")
	c.SuspendBounds(at(time.Second))
	again := call
	again.ID = "again"
	c.Sent(at(3*time.Second), again)
	c.Ran(at(3*time.Second), arrivalWith(func(a *Arrival) { a.ID = "again" })) // within Bounds.Reconnect after the fault
	c.Unanswered(at(3*time.Second), "again", "closed")
	broken := call
	broken.ID, broken.Key = "broken", ""
	c.Sent(at(8*time.Second), broken)
	c.Ran(at(8*time.Second), arrivalWith(func(a *Arrival) { a.ID, a.Endpoint = "broken", "i-3" }))
	lost := call
	lost.ID, lost.Key = "lost", ""
	c.EndpointEnded(at(8*time.Second-bounds.Reconnect+1), "i-2")
	c.Sent(at(8*time.Second), lost)
	c.Unanswered(at(9*time.Second), "lost", "answered 502") // on its way to an endpoint that had ended
	c.EndpointEnded(at(8*time.Second), "i-3")
	c.Unanswered(at(8*time.Second), "broken", "closed")
	late := call
	late.ID, late.Key, late.Deadline = "late", "", 2*time.Second
	c.Sent(at(9*time.Second), late)
	c.Unanswered(at(9*time.Second+closeRace-1), "late", "closed") // crosses the close of its connection
	c.Ran(at(9*time.Second), arrivalWith(func(a *Arrival) { a.ID, a.Endpoint = "late", "i-4" }))
	c.Unanswered(at(11*time.Second-deadlineMargin), "late", "answered 504")
	c.Stopping(at(5*time.Second), "e", 6*time.Second)
	c.Whole(at(8*time.Second), "late")
	c.Unanswered(at(10*time.Second), "late", "closed") // its endpoint is at work in the last sixth of the grace time
	cut := call
	cut.ID, cut.Key, cut.Late = "cut", "", true
	c.Sent(at(4*time.Second), cut)
	c.Unanswered(at(7*time.Second), "cut", "closed") // its last byte was not sent
	c.CheckEnd(at(9*time.Second), "e", 4*time.Second, true)
	c.FinalVersion(at(4*time.Second), 6, 5) // newer than acknowledged: a change without an answer may have been applied
	c.CheckRecovery(at(5*time.Second), 100, 25)
	sendCrashing(c, 5*time.Second, 5) // before all entries must know of the third crash
	sendCrashing(c, 9*time.Second, maxLateArrivals)
	arriveRepeatedly(c, 1+2)
	is.Equal(len(c.Findings()), 0)
}

func TestPlanIsDeterministic(t *testing.T) {
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
