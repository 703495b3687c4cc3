package duty

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/autoscale"
)

var start = time.Unix(1_765_000_000, 0).UTC()

const (
	leaseTTL = 3 * time.Second
	window   = 5 * time.Second
	// first is the window that ends at start.
	first = 1_765_000_000/5 - 1
)

func testSettings(duties ...string) Settings {
	return Settings{
		Duties: duties, Lease: leaseTTL, ThawSlack: 300 * time.Millisecond, Window: window, ReportWithin: 10 * time.Second, PerSecond: 4,
	}
}

// script drives a core through a situation. Control answers at once unless it is down.
type script struct {
	t       *testing.T
	core    *Core
	now     time.Time
	number  uint64
	control bool
	leader  bool
	orders  []autoscale.ScaleOrder
	state   WindowsRead
	effects []Effect // all since the last clear, in order
	call    *Call    // the call without a response
}

func newScript(t *testing.T, duties ...string) *script {
	return &script{t: t, core: NewCore(testSettings(duties...)), now: start, number: 7, control: true, leader: true,
		state: WindowsRead{OldestOpen: first, Closed: map[uint64]map[string]uint64{}}}
}

func (s *script) step(ev Event) {
	for _, e := range s.core.Step(s.now, ev) {
		s.effects = append(s.effects, e)
		s.answer(e)
	}
}

func (s *script) answer(e Effect) {
	switch e := e.(type) {
	case Acquire:
		s.step(Acquired{Duty: e.Duty, Sent: e.Sent, Failed: !s.control, Granted: true, Number: s.number, Left: leaseTTL})
	case Read:
		r := s.state
		r.Closed = maps.Clone(r.Closed)
		r.Number, r.Failed = e.Number, !s.control
		s.step(r)
	case Close:
		counts := map[string]uint64{"hule": e.Window}
		if s.control {
			s.state.OldestOpen, s.state.Closed[e.Window] = e.Window+1, counts
		}
		s.step(WindowClosed{Number: e.Number, Window: e.Window, Failed: !s.control, Counts: counts})
	case Mark:
		if s.control {
			delete(s.state.Closed, e.Window)
		}
		s.step(Marked{Number: e.Number, Window: e.Window, Failed: !s.control})
	case Call:
		s.call = &e
	}
}

// run ticks for d.
func (s *script) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		s.step(Tick{Leader: s.leader, Wall: s.now, Orders: s.orders})
	}
}

// untilCall ticks until there is a call.
func (s *script) untilCall() Call {
	s.t.Helper()
	for range 300 {
		if s.call != nil {
			return *s.call
		}
		s.run(100 * time.Millisecond)
	}
	s.t.Fatal("no call in 30 s")
	return Call{}
}

func (s *script) respond(status int) {
	id := s.call.ID
	s.call = nil
	s.step(Responded{ID: id, Status: status})
}

// count returns the number of effects of a type since the last clear.
func count[E Effect](s *script) (n int) {
	for _, e := range s.effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

// A window that is closed too early misses the counts of entries that were cut off for a moment.
func TestWindowIsClosedThreeSecondsAfterItsEnd(t *testing.T) {
	is := is.New(t)
	s := newScript(t, Usage)
	s.run(2900 * time.Millisecond)
	is.Equal(count[Close](s), 0)
	call := s.untilCall()
	is.Equal(s.now, start.Add(3*time.Second))
	is.Equal(call, Call{ID: 1, Duty: Usage, Number: 7, Window: first, Counts: map[string]uint64{"hule": first}})
	s.respond(200)
	s.run(time.Second)
	is.Equal(count[Mark](s), 1)
	is.Equal(count[Call](s), 1)
}

func TestWindowsAreReportedOldestFirst(t *testing.T) {
	is := is.New(t)
	s := newScript(t, Usage)
	s.state.OldestOpen = first - 2
	s.state.Closed = map[uint64]map[string]uint64{first - 3: {"a": 1}, first - 5: {"b": 2}}
	var got []uint64
	for range 5 {
		got = append(got, s.untilCall().Window)
		s.respond(200)
	}
	is.Equal(got, []uint64{first - 5, first - 3, first - 2, first - 1, first})
}

// A deployment without any closed window must not begin with the windows of 1970.
func TestFirstWindowOfADeployment(t *testing.T) {
	for name, test := range map[string]struct {
		open []uint64
		want uint64
	}{"no counts": {nil, first - 1}, "older counts": {[]uint64{first - 3, first}, first - 3}, "counts from long ago": {[]uint64{4}, first - 256}} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, Usage)
			s.state.OldestOpen, s.state.Open = 0, test.open
			is.New(t).Equal(s.untilCall().Window, test.want)
		})
	}
}

func TestResponses(t *testing.T) {
	tests := map[string]struct {
		status  int
		repeat  time.Duration // until the same window is called again; zero: never
		lost    bool
		marked  bool
		acquire time.Duration // until the duty is acquired again after it was lost
	}{
		"accepted":                {status: 200, marked: true},
		"refused for good":        {status: 400, marked: true},
		"unknown path":            {status: 404, marked: true},
		"too many calls":          {status: 429, repeat: time.Second},
		"fault of the platform":   {status: 500, repeat: 500 * time.Millisecond},
		"platform is unavailable": {status: 503, repeat: 500 * time.Millisecond},
		"redirect":                {status: 302, repeat: 500 * time.Millisecond},
		"no response":             {status: 0, repeat: 500 * time.Millisecond},
		"a higher number":         {status: 409, lost: true, acquire: 2 * leaseTTL},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScript(t, Usage)
			before := s.untilCall()
			at := s.now
			s.effects = nil
			s.respond(test.status)
			is.Equal(count[Mark](s) == 1, test.marked)
			is.Equal(count[Lost](s) == 1, test.lost)
			if test.repeat > 0 {
				again := s.untilCall()
				is.Equal(s.now.Sub(at), test.repeat)
				is.Equal(again.Counts, before.Counts)
				is.Equal(again.Window, before.Window)
			}
			if test.lost {
				s.run(test.acquire - 100*time.Millisecond)
				is.Equal(count[Acquire](s)+count[Call](s), 0)
				s.run(100 * time.Millisecond)
				is.Equal(count[Acquire](s), 1)
			}
		})
	}
}

// The holder must leave the duty to another VM when the platform cannot be reached from its location. Under
// a number that it has given up it calls nothing, also when control has renewed the grant late.
func TestHolderGivesUpWithoutResponses(t *testing.T) {
	is := is.New(t)
	s := newScript(t, Usage)
	s.untilCall()
	at, renewed := s.now, s.now
	for count[Lost](s) == 0 {
		if s.call != nil {
			s.respond(0)
		}
		s.effects = nil
		s.run(100 * time.Millisecond)
		if count[Acquire](s) > 0 {
			renewed = s.now
		}
	}
	is.True(s.now.Sub(at) > answerWithin-200*time.Millisecond && s.now.Sub(at) <= answerWithin)
	is.True(renewed.Sub(at) <= time.Second) // or the grant would block the next holder for too long
	s.effects, s.call = nil, nil
	s.run(2*leaseTTL - 100*time.Millisecond)
	is.Equal(len(s.effects), 0)
	s.run(time.Minute) // control still grants the old number
	is.True(count[Acquire](s) > 0 && count[Acquire](s) <= 20)
	is.Equal(count[Call](s)+count[Held](s), 0)
	s.number = 8
	is.Equal(s.untilCall().Number, uint64(8))
}

// A call that waits while its process is paused must not be written after the lease.
func TestNothingIsCalledAfterTheLease(t *testing.T) {
	tests := map[string]struct {
		after time.Duration // since the grant was renewed last, at most 0.1 s before the call
		may   bool
	}{"at once": {0, true}, "just in time": {2400 * time.Millisecond, true}, "within the slack": {2600 * time.Millisecond, false}, "after the lease": {10 * time.Second, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScript(t, Usage)
			call := s.untilCall()
			s.control, s.effects = false, nil
			s.now = s.core.rights[0].until.Add(-leaseTTL * 19 / 20).Add(test.after)
			is.Equal(s.core.MayCall(s.now, call), test.may)
			if !test.may {
				s.call = nil
				s.step(Responded{ID: call.ID, NotSent: true})
				s.run(leaseTTL)
				is.Equal(count[Call](s), 0)
				is.Equal(count[Lost](s), 1)
			}
		})
	}
}

// The answer to a call of an earlier grant, or of a call that is not the one in flight, decides nothing.
func TestLateResponsesAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newScript(t, Usage)
	call := s.untilCall()
	s.now = s.now.Add(time.Minute) // suspended
	s.effects, s.number = nil, 9
	s.run(100 * time.Millisecond)
	is.Equal(count[Lost](s), 1)
	is.Equal(count[Held](s), 1)
	is.Equal(count[Call](s), 0) // one at a time
	s.step(Responded{ID: call.ID + 1, Status: 409})
	s.respond(409) // the platform has seen number 9 from nobody else, but 7 is no longer ours
	is.True(s.core.Holds(s.now, Usage))
	is.Equal(s.untilCall().Number, uint64(9))
}

// The answer to a command that outlasts the lease arrives when the state of the windows is not read yet.
func TestCommandOutlastsTheLease(t *testing.T) {
	s := newScript(t, Usage)
	s.run(2900 * time.Millisecond)
	s.core.Step(start.Add(3*time.Second), Tick{Leader: true, Wall: start.Add(3 * time.Second)}) // closes, without an answer
	s.now = s.now.Add(time.Minute)
	s.run(100 * time.Millisecond) // the same number again
	s.state.OldestOpen, s.state.Closed[first] = first+1, map[string]uint64{"hule": 1}
	s.step(WindowClosed{Number: 7, Window: first, Counts: s.state.Closed[first]})
	is.New(t).Equal(s.untilCall().Window, uint64(first))
}

// Control counts a lease from when it executes the request, so the holder must count from before it was sent.
func TestLeaseCountsFromBeforeTheRequest(t *testing.T) {
	is := is.New(t)
	c := NewCore(testSettings(Scaling))
	c.Step(start, Tick{Leader: true, Wall: start})
	c.Step(start.Add(time.Second), Acquired{Duty: Scaling, Sent: start, Granted: true, Number: 1, Left: leaseTTL})
	is.True(c.Holds(start.Add(2840*time.Millisecond), Scaling))
	is.True(!c.Holds(start.Add(2860*time.Millisecond), Scaling))
}

func TestWhoAcquires(t *testing.T) {
	is := is.New(t)
	s := newScript(t, Usage)
	s.state.OldestOpen = first + 100 // nothing is to be called
	s.leader = false
	s.run(leaseTTL - 100*time.Millisecond)
	is.Equal(count[Acquire](s), 0) // the leader has had the time
	s.run(200 * time.Millisecond)
	is.Equal(count[Acquire](s), 1)
	s.run(leaseTTL)
	is.True(count[Acquire](s) >= 3) // it renews though it does not lead
	s.effects = nil
	s.step(Acquired{Duty: Usage, Sent: s.now, Left: leaseTTL}) // another VM holds it
	is.Equal(count[Lost](s), 1)
	s.run(leaseTTL + 200*time.Millisecond)
	is.Equal(count[Acquire](s), 0)
	s.run(200 * time.Millisecond)
	is.Equal(count[Acquire](s), 1)
}

// A holder that no longer led control kept the duty and ordered nothing, since the load is known to the leader.
func TestOnlyTheLeaderScales(t *testing.T) {
	is := is.New(t)
	s := newScript(t, Scaling)
	s.run(100 * time.Millisecond)
	is.True(s.core.Holds(s.now, Scaling))
	s.leader = false
	s.run(2 * leaseTTL)
	is.True(!s.core.Holds(s.now, Scaling))
}

// While control has no leader nothing is closed, and the windows follow in order.
func TestControlIsDown(t *testing.T) {
	is := is.New(t)
	s := newScript(t, Usage)
	s.run(time.Second)
	s.control = false
	s.run(30 * time.Second)
	is.Equal(count[Call](s), 0)
	s.control = true
	for k := uint64(first); k < first+4; k++ {
		is.Equal(s.untilCall().Window, k)
		s.respond(200)
	}
}

// The platform limits the calls of all VMs together, and a holder uses half of that.
func TestCallsKeepTheLimit(t *testing.T) {
	is := is.New(t)
	s := newScript(t, Usage, Scaling)
	s.state.OldestOpen = first - 50
	s.orders = []autoscale.ScaleOrder{{Service: "a", Zone: "x", Count: 1}, {Service: "b", Zone: "x", Count: 2}, {Service: "c", Zone: "x", Count: 3}}
	duties := map[string]int{}
	for range 100 {
		s.run(100 * time.Millisecond)
		if s.call != nil {
			duties[s.call.Duty]++
			s.respond(200)
		}
	}
	is.Equal(duties, map[string]int{Usage: 17, Scaling: 3}) // 10 s at 2 a second
}

func TestOrders(t *testing.T) {
	is := is.New(t)
	s := newScript(t, Scaling)
	s.orders = []autoscale.ScaleOrder{{Service: "a", Zone: "x", Count: 4}, {Service: "b", Zone: "x", Count: 5}}
	is.Equal(s.untilCall().Order, s.orders[0])
	s.respond(0)
	is.Equal(s.untilCall().Order, s.orders[1]) // one without a response does not hold up the others
	s.respond(200)
	is.Equal(s.untilCall().Order, s.orders[0])
	s.respond(200)
	s.run(5 * time.Second)
	is.Equal(s.call, nil) // nothing has changed
	s.orders = []autoscale.ScaleOrder{{Service: "a", Zone: "x", Count: 6}, {Service: "b", Zone: "x", Count: 5}}
	is.Equal(s.untilCall().Order, s.orders[0])
	s.respond(200)
	is.Equal(s.untilCall().Order, s.orders[0]) // the order of 4 may have been executed after that of 6
	s.respond(200)
	s.run(time.Minute)
	is.Equal(s.call, nil)
}
