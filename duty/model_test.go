package duty

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/lease"
)

// message is an effect of a core on its way.
type message struct {
	from   int
	effect Effect
	// answer is set once the message was executed, and lost once the core no longer waits for it.
	answer Event
	lost   bool
	// written is set once a call has left the process.
	written bool
}

// model is control and the platform, with several processes that may hold a duty.
type model struct {
	t         *rapid.T
	now       time.Time
	cores     []*Core
	suspended []bool
	leader    int
	messages  []*message

	grants     *lease.Table
	granted    []lease.Grant // each change of the holder, in order; Until is when it was granted
	oldestOpen uint64
	open       map[uint64]map[string]uint64
	closed     map[uint64]map[string]uint64

	accepted map[uint64]map[string]uint64
	token    uint64
	writes   []write
	// abandoned are the processes and numbers that were given up.
	abandoned map[string]bool
}

// write is a run of calls by one holder.
type write struct {
	holder      int
	first, last time.Time
}

func newModel(t *rapid.T, n int) *model {
	m := &model{t: t, now: start, grants: lease.NewTable(), suspended: make([]bool, n),
		open: map[uint64]map[string]uint64{}, closed: map[uint64]map[string]uint64{}, accepted: map[uint64]map[string]uint64{},
		abandoned: map[string]bool{}}
	for range n {
		m.cores = append(m.cores, NewCore(testSettings(Usage)))
	}
	return m
}

func (m *model) step(i int, ev Event) {
	for _, e := range m.cores[i].Step(m.now, ev) {
		switch e := e.(type) {
		case Held:
		case Lost:
			if e.Reason == ReasonSilent || e.Reason == ReasonFenced {
				m.abandoned[fmt.Sprint(i, e.Number)] = true
			}
		default:
			m.messages = append(m.messages, &message{from: i, effect: e})
		}
	}
}

// pass lets time pass in steps of a tick.
func (m *model) pass(ticks int) {
	for range ticks {
		m.now = m.now.Add(100 * time.Millisecond)
		m.grants.Expire(m.now)
		for i := range m.cores {
			if !m.suspended[i] {
				m.step(i, Tick{Leader: m.leader == i, Wall: m.now})
			}
		}
	}
}

// advance takes the message at index one step further: a call is written, the message is executed, and the
// answer arrives.
func (m *model) advance(index int) {
	msg := m.messages[index]
	call, isCall := msg.effect.(Call)
	switch {
	case m.suspended[msg.from] && (isCall && !msg.written || msg.answer != nil):
	case isCall && !msg.written && msg.answer == nil:
		msg.written = m.cores[msg.from].MayCall(m.now, call)
		if !msg.written {
			msg.answer = Responded{ID: call.ID, NotSent: true}
			return
		}
		if !m.valid(call.Number) || m.abandoned[fmt.Sprint(msg.from, call.Number)] {
			m.t.Fatalf("process %d calls under number %d, which has expired or was given up", msg.from, call.Number)
		}
		m.recordWrite(msg.from)
	case msg.answer == nil:
		msg.answer = m.execute(msg)
	default:
		m.messages = append(m.messages[:index:index], m.messages[index+1:]...)
		if !msg.lost {
			m.step(msg.from, msg.answer)
		}
	}
}

// lose ends the wait for a message, which may be executed later all the same.
func (m *model) lose(index int) {
	msg := m.messages[index]
	if msg.lost || m.suspended[msg.from] {
		return
	}
	msg.lost = true
	switch e := msg.effect.(type) {
	case Acquire:
		m.step(msg.from, Acquired{Duty: e.Duty, Sent: e.Sent, Failed: true})
	case Read:
		m.step(msg.from, WindowsRead{Number: e.Number, Failed: true})
	case Close:
		m.step(msg.from, WindowClosed{Number: e.Number, Window: e.Window, Failed: true})
	case Mark:
		m.step(msg.from, Marked{Number: e.Number, Window: e.Window, Failed: true})
	case Call:
		if !msg.written {
			msg.lost = false // the host waits until it has tried to write
			return
		}
		m.step(msg.from, Responded{ID: e.ID})
	}
}

func (m *model) execute(msg *message) Event {
	switch e := msg.effect.(type) {
	case Acquire:
		g, ok := m.grants.Acquire(m.now, e.Duty, fmt.Sprint(msg.from), leaseTTL)
		if n := len(m.granted); ok && (n == 0 || m.granted[n-1].FencingNumber != g.FencingNumber) {
			m.recordGrant(g)
		}
		return Acquired{Duty: e.Duty, Sent: e.Sent, Granted: ok, Number: g.FencingNumber, Left: g.Until.Sub(m.now)}
	case Read:
		r := WindowsRead{Number: e.Number, OldestOpen: m.oldestOpen, Closed: maps.Clone(m.closed)}
		for k := range m.open {
			r.Open = append(r.Open, k)
		}
		return r
	case Close:
		return m.close(e)
	case Mark:
		if !m.valid(e.Number) {
			return Marked{Number: e.Number, Window: e.Window, Failed: true}
		}
		if m.accepted[e.Window] == nil {
			m.t.Fatalf("window %d was marked and never accepted", e.Window)
		}
		delete(m.closed, e.Window)
		return Marked{Number: e.Number, Window: e.Window}
	case Call:
		return Responded{ID: e.ID, Status: m.platform(e)}
	}
	return nil
}

func (m *model) valid(number uint64) bool {
	g, ok := m.grants.Lookup(m.now, Usage)
	return ok && g.FencingNumber == number
}

func (m *model) close(e Close) Event {
	if !m.valid(e.Number) {
		return WindowClosed{Number: e.Number, Window: e.Window, Failed: true}
	}
	if e.Window >= m.oldestOpen {
		if m.closed[e.Window] = m.open[e.Window]; m.open[e.Window] == nil {
			m.closed[e.Window] = map[string]uint64{}
		}
		for k, counts := range m.open {
			if k < e.Window {
				m.closed[k] = counts
			}
			if k <= e.Window {
				delete(m.open, k)
			}
		}
		m.oldestOpen = e.Window + 1
	}
	return WindowClosed{Number: e.Number, Window: e.Window, Counts: m.closed[e.Window]}
}

// platform executes a report and checks the contract.
func (m *model) platform(e Call) int {
	if e.Number < m.token {
		return 409
	}
	m.token = e.Number
	if before, ok := m.accepted[e.Window]; ok && !reflect.DeepEqual(before, e.Counts) {
		m.t.Fatalf("window %d was reported with %v and with %v", e.Window, before, e.Counts)
	}
	m.accepted[e.Window] = maps.Clone(e.Counts)
	return 200
}

// recordGrant checks that no holder gets its duty back within a lease.
func (m *model) recordGrant(g lease.Grant) {
	g.Until = m.now
	if n := len(m.granted); n >= 2 && m.granted[n-2].Holder == g.Holder && m.granted[n-1].Holder != g.Holder && m.now.Sub(m.granted[n-1].Until) < leaseTTL {
		m.t.Fatalf("holder %s, %s, %s within %v", g.Holder, m.granted[n-1].Holder, g.Holder, m.now.Sub(m.granted[n-1].Until))
	}
	m.granted = append(m.granted, g)
}

// recordWrite checks the same of the calls that the holders write.
func (m *model) recordWrite(holder int) {
	n := len(m.writes)
	if n > 0 && m.writes[n-1].holder == holder {
		m.writes[n-1].last = m.now
		return
	}
	if n >= 2 && m.writes[n-2].holder == holder && m.now.Sub(m.writes[n-2].last) < leaseTTL {
		m.t.Fatalf("calls of holders %d, %d, %d within %v", holder, m.writes[n-1].holder, holder, m.now.Sub(m.writes[n-2].last))
	}
	m.writes = append(m.writes, write{holder: holder, first: m.now, last: m.now})
}

// disturb loses, holds up or advances a message. A silent platform executes calls and responds to none.
func (m *model) disturb(index int, silent bool, fault int) {
	msg := m.messages[index]
	_, isCall := msg.effect.(Call)
	switch {
	case fault == 0 || silent && isCall && msg.answer != nil && fault < 4:
		m.lose(index)
	case fault < 4 || silent && isCall && msg.answer != nil && !msg.lost:
	default:
		m.advance(index)
	}
}

// settle resumes all processes and loses nothing any more, for d.
func (m *model) settle(d time.Duration) {
	clear(m.suspended)
	for end := m.now.Add(d); m.now.Before(end); m.pass(1) {
		for range 4 {
			for i := len(m.messages) - 1; i >= 0; i-- {
				m.advance(i)
			}
		}
	}
}

// TestContractWithThePlatform checks, while processes are suspended, messages are late or lost and calls are
// executed in any order: no window is accepted with two different counts, no call is written under a number
// that has expired or was given up, and no duty goes back to a holder within a lease. Tokens of accepted calls never decrease because the platform refuses lower ones.
// Once all processes and connections work again, every window that was closed is accepted, as a number that
// is renewed but never used would prevent.
func TestContractWithThePlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3)
		round := func(t *rapid.T) {
			silent := rapid.IntRange(0, 2).Draw(t, "silent platform") == 0
			for range rapid.IntRange(1, 30).Draw(t, "ticks") {
				m.pass(1)
				for i := len(m.messages) - 1; i >= 0; i-- {
					m.disturb(i, silent, rapid.IntRange(0, 9).Draw(t, "fault"))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"round": round, "another round": round, "one more round": round,
			"calm":  func(t *rapid.T) { m.settle(time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second) },
			"elect": func(t *rapid.T) { m.leader = rapid.IntRange(-1, 2).Draw(t, "leader") },
			"pause": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "process")
				m.suspended[i] = !m.suspended[i]
			},
			"count": func(t *rapid.T) {
				// An entry reports counts of a window from a while ago up to now.
				k := uint64(m.now.Unix()/5) - uint64(rapid.IntRange(0, 3).Draw(t, "late"))
				if k < m.oldestOpen {
					return
				}
				if m.open[k] == nil {
					m.open[k] = map[string]uint64{}
				}
				m.open[k]["hule"]++
			},
		})
		m.leader = 0
		m.settle(40 * time.Second)
		if len(m.accepted) == 0 {
			t.Fatal("no window was accepted")
		}
		for k := range m.closed {
			if m.now.Sub(time.Unix(int64(k+1)*5, 0)) > 10*time.Second {
				t.Fatalf("window %d is still not reported after 40 s without faults", k)
			}
		}
	})
}
