package state

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const dutyTTL = 3 * time.Second

type counts = map[string]uint64

// dutyBody returns the decoded body of the answer to a command that must be accepted.
func dutyBody[T any](l *testLog, name string, body any) T {
	var out T
	if err := wire.Unmarshal(l.mustApply(name, "", body).Body, &out); err != nil {
		l.t.Fatal(err)
	}
	return out
}

func (l *testLog) acquire(holder string) command.DutyGrant {
	return dutyBody[command.DutyGrant](l, command.NameDuty, command.AcquireDuty{Duty: command.DutyUsage, Holder: holder, TTL: dutyTTL})
}

// count reports usage of a source in a window and returns the oldest open window.
func (l *testLog) count(source string, window uint64, c counts) uint64 {
	return dutyBody[command.UsageRecorded](l, command.NameUsage, command.Usage{
		Source: source, Windows: []command.WindowCounts{{Window: window, Counts: c}},
	}).OldestOpen
}

func (l *testLog) closeWindow(number, window uint64) command.ClosedWindow {
	return dutyBody[command.ClosedWindow](l, command.NameCloseWindow, command.CloseWindow{Number: number, Window: window})
}

// reasonOf returns the reason of a refusal, or an empty one if the command was accepted.
func reasonOf(a *wire.Answer) verdict.Reason {
	if a.Refused == nil {
		return ""
	}
	return a.Refused.Reason
}

// restore replaces the machine by one restored from its snapshot.
func (l *testLog) restore() {
	raw, err := l.m.Snapshot()
	if err != nil {
		l.t.Fatal(err)
	}
	l.m = New()
	if err := l.m.Restore(raw); err != nil {
		l.t.Fatal(err)
	}
}

// TestCountsAreMergedByMaximum guards against counts that grow or shrink because a report arrives again,
// late or in another order, and against sources that replace each other's counts.
func TestCountsAreMergedByMaximum(t *testing.T) {
	type report struct {
		source string
		counts counts
	}
	tests := map[string]struct {
		reports []report
		want    counts
	}{
		"one report":            {[]report{{"a/1", counts{"x": 2}}}, counts{"x": 2}},
		"repeated":              {[]report{{"a/1", counts{"x": 2}}, {"a/1", counts{"x": 2}}}, counts{"x": 2}},
		"increased":             {[]report{{"a/1", counts{"x": 2}}, {"a/1", counts{"x": 5}}}, counts{"x": 5}},
		"reordered":             {[]report{{"a/1", counts{"x": 5}}, {"a/1", counts{"x": 2, "y": 1}}}, counts{"x": 5, "y": 1}},
		"two sources":           {[]report{{"a/1", counts{"x": 5}}, {"b/1", counts{"x": 2}}}, counts{"x": 7}},
		"restarted source":      {[]report{{"a/1", counts{"x": 5}}, {"a/2", counts{"x": 1}}}, counts{"x": 6}},
		"account not repeated":  {[]report{{"a/1", counts{"x": 5}}, {"a/1", counts{"y": 1}}}, counts{"x": 5, "y": 1}},
		"no counts, no window":  {[]report{{"a/1", nil}}, counts{}},
		"late report after one": {[]report{{"a/1", counts{"x": 1}}, {"b/1", counts{"y": 3}}, {"a/1", counts{"x": 1}}}, counts{"x": 1, "y": 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLog(t)
			for _, r := range test.reports {
				l.count(r.source, 7, r.counts)
			}
			is.Equal(len(l.m.Usage().Open) == 0, len(test.want) == 0)
			is.Equal(l.closeWindow(l.acquire("one").Number, 7).Counts, test.want)
		})
	}
}

// TestClosedWindowNeverChanges guards against two reports of one window with different counts: late counts,
// repeated closes and later holders must not change what was committed.
func TestClosedWindowNeverChanges(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	first := l.acquire("one")
	l.count("a/1", 7, counts{"x": 2})
	l.count("a/1", 8, counts{"x": 1})
	closed := l.closeWindow(first.Number, 7)
	is.Equal(l.count("a/1", 7, counts{"x": 9, "y": 1}), uint64(8)) // the answer says that 7 is closed
	is.Equal(l.closeWindow(first.Number, 7), closed)

	l.now = l.now.Add(dutyTTL)
	second := l.acquire("two")
	l.restore()
	is.Equal(l.closeWindow(second.Number, 7), closed)
	is.Equal(l.m.Usage(), command.UsageState{OldestOpen: 8, Open: []uint64{8}, Closed: []command.ClosedWindow{closed}})

	report := command.ReportedWindow{Number: second.Number, Window: 7}
	l.mustApply(command.NameReportedWindow, "", report)
	l.mustApply(command.NameReportedWindow, "", report) // a repeat
	is.Equal(reasonOf(l.apply(command.NameCloseWindow, "", command.CloseWindow{Number: second.Number, Window: 7})), verdict.ReasonBadRequest)
	is.Equal(l.count("a/1", 7, counts{"x": 9}), uint64(8))
	is.Equal(l.m.Usage(), command.UsageState{OldestOpen: 8, Open: []uint64{8}})
}

// TestWindowsAreClosedInOrder guards against counts that are lost or reported out of order when a holder
// closes a later window first.
func TestWindowsAreClosedInOrder(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	number := l.acquire("one").Number
	for _, window := range []uint64{9, 4, 6, 12} {
		l.count("a/1", window, counts{"x": window})
	}
	is.Equal(l.closeWindow(number, 10).Counts, counts{}) // without counts, but closed
	usage := l.m.Usage()
	is.Equal(usage.OldestOpen, uint64(11))
	is.Equal(usage.Open, []uint64{12})
	var windows []uint64
	for _, c := range usage.Closed {
		windows = append(windows, c.Window)
		is.True(c.Window == 10 || c.Counts["x"] == c.Window)
	}
	is.Equal(windows, []uint64{4, 6, 9, 10})
	is.Equal(l.closeWindow(number, 6).Counts, counts{"x": 6}) // closed by the close of a later one
	is.Equal(reasonOf(l.apply(command.NameReportedWindow, "", command.ReportedWindow{Number: number, Window: 12})), verdict.ReasonBadRequest)
	is.Equal(l.m.Usage().Open, []uint64{12}) // an open window cannot be dropped as reported
}

// TestOldGrantIsFenced guards against a holder that was suspended and then closes or drops windows.
func TestOldGrantIsFenced(t *testing.T) {
	tests := map[string]struct {
		before func(l *testLog)
		number uint64 // the first grant has 1
		fenced bool
	}{
		"valid":                 {func(l *testLog) { l.now = l.now.Add(dutyTTL - 1) }, 1, false},
		"expired":               {func(l *testLog) { l.now = l.now.Add(dutyTTL) }, 1, true},
		"renewed":               {func(l *testLog) { l.now = l.now.Add(dutyTTL / 2); l.acquire("one"); l.now = l.now.Add(dutyTTL - 1) }, 1, false},
		"refused to another":    {func(l *testLog) { l.acquire("two") }, 1, false},
		"taken over":            {func(l *testLog) { l.now = l.now.Add(dutyTTL); l.acquire("two") }, 1, true},
		"acquired again":        {func(l *testLog) { l.now = l.now.Add(dutyTTL); l.acquire("one") }, 1, true},
		"later number":          {func(*testLog) {}, 2, true},
		"no number":             {func(*testLog) {}, 0, true},
		"grant of another duty": {func(l *testLog) { l.now = l.now.Add(dutyTTL); l.acquireScaling() }, 2, true},
		"clock set back":        {func(l *testLog) { l.now = l.now.Add(dutyTTL); l.acquire("two"); l.now = start }, 1, true},
		"restored, expired":     {func(l *testLog) { l.restore(); l.now = l.now.Add(dutyTTL) }, 1, true},
		"restored, valid":       {func(l *testLog) { l.restore(); l.now = l.now.Add(dutyTTL - 1) }, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLog(t)
			l.count("a/1", 6, counts{"x": 1})
			is.Equal(l.acquire("one").Number, uint64(1))
			l.closeWindow(1, 6)
			l.count("a/1", 7, counts{"x": 1})
			test.before(l)
			usage := l.m.Usage()
			for name, body := range map[string]any{
				command.NameCloseWindow:    command.CloseWindow{Number: test.number, Window: 7},
				command.NameReportedWindow: command.ReportedWindow{Number: test.number, Window: 6},
			} {
				a := l.apply(name, "", body)
				is.Equal(a.Refused != nil, test.fenced)
				if test.fenced {
					is.Equal(reasonOf(a), verdict.ReasonFenced)
					is.Equal(a.Refused.Verdict, verdict.NotRun)
				}
			}
			is.True(!test.fenced || fmt.Sprint(l.m.Usage()) == fmt.Sprint(usage))
		})
	}
}

func (l *testLog) acquireScaling() {
	l.mustApply(command.NameDuty, "", command.AcquireDuty{Duty: command.DutyScaling, Holder: "one", TTL: dutyTTL})
}

// TestGrantIsNotAnsweredFromStoredAnswers guards against a repeated command that gets an old answer, which
// would show a grant that has passed to another holder.
func TestGrantIsNotAnsweredFromStoredAnswers(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	ask := command.AcquireDuty{Duty: command.DutyUsage, Holder: "one", TTL: dutyTTL}
	l.mustApply(command.NameDuty, "id", ask)
	l.now = l.now.Add(dutyTTL)
	next := l.acquire("two")
	var again command.DutyGrant
	is.NoErr(wire.Unmarshal(l.mustApply(command.NameDuty, "id", ask).Body, &again))
	is.Equal(again, command.DutyGrant{Holder: "two", Number: next.Number, Left: dutyTTL})
}

// TestInvalidDutyCommandsAreRefused guards against state without a bound and grants that never expire.
func TestInvalidDutyCommandsAreRefused(t *testing.T) {
	long := string(make([]byte, maxNameBytes+1))
	tests := map[string]struct {
		name string
		body any
	}{
		"unknown duty":         {command.NameDuty, command.AcquireDuty{Duty: "laundry", Holder: "one", TTL: dutyTTL}},
		"no holder":            {command.NameDuty, command.AcquireDuty{Duty: command.DutyUsage, TTL: dutyTTL}},
		"long holder":          {command.NameDuty, command.AcquireDuty{Duty: command.DutyUsage, Holder: long, TTL: dutyTTL}},
		"no time":              {command.NameDuty, command.AcquireDuty{Duty: command.DutyUsage, Holder: "one"}},
		"negative time":        {command.NameDuty, command.AcquireDuty{Duty: command.DutyUsage, Holder: "one", TTL: -1}},
		"long time":            {command.NameDuty, command.AcquireDuty{Duty: command.DutyUsage, Holder: "one", TTL: time.Hour}},
		"no source":            {command.NameUsage, command.Usage{Windows: []command.WindowCounts{{Window: 1, Counts: counts{"x": 1}}}}},
		"long source":          {command.NameUsage, command.Usage{Source: long}},
		"too many windows":     {command.NameUsage, command.Usage{Source: "a/1", Windows: make([]command.WindowCounts, maxWindows+1)}},
		"last possible window": {command.NameCloseWindow, command.CloseWindow{Number: 1, Window: math.MaxUint64}},
		"duty of another type": {command.NameDuty, "text"}, "usage of another type": {command.NameUsage, "text"},
		"close of another type": {command.NameCloseWindow, "text"}, "report of another type": {command.NameReportedWindow, "text"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLog(t)
			l.acquire("one")
			before, err := l.m.Snapshot()
			is.NoErr(err)
			is.Equal(reasonOf(l.apply(test.name, "", test.body)), verdict.ReasonBadRequest)
			after, err := l.m.Snapshot()
			is.NoErr(err)
			is.True(bytes.Equal(before, after))
		})
	}
}

// TestUsageIsBounded guards against memory that grows while nothing is reported, and against replicas that
// drop different windows or accounts.
func TestUsageIsBounded(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	for window := uint64(1); window <= maxWindows+2; window++ {
		l.count("a/1", window, counts{"x": window})
	}
	is.Equal(len(l.m.Usage().Open), maxWindows) // without a holder, the oldest open windows are dropped
	is.Equal(l.m.DroppedUsage(), DroppedUsage{Windows: 2, LastWindow: 2})
	is.Equal(l.count("a/1", 2, counts{"x": 9}), uint64(3)) // a dropped window does not open again

	number := l.acquire("one").Number
	l.closeWindow(number, 10)
	l.count("a/1", maxWindows+3, counts{"x": 1})
	usage := l.m.Usage()
	is.Equal(usage.Closed[0].Window, uint64(4)) // the oldest closed window is dropped first
	is.Equal(len(usage.Closed)+len(usage.Open), maxWindows)
	is.Equal(l.m.DroppedUsage(), DroppedUsage{Windows: 3, LastWindow: 3})

	many := counts{}
	for i := range maxWindowAccounts - 1 {
		many[fmt.Sprintf("k%04d", i)] = 1
	}
	l.count("a/1", 900, many)
	l.count("b/1", 900, counts{"k0000": 5, "z1": 1, "z2": 1, "z3": 1, "z4": 1, "z5": 1, "z6": 1}) // five too many
	l.restore()
	is.Equal(l.m.DroppedUsage().Counts, uint64(5))
	closed := l.closeWindow(number, 900).Counts
	is.Equal(len(closed), maxWindowAccounts)
	is.Equal(closed["k0000"], uint64(6))
	is.Equal(closed["z1"], uint64(1)) // the first in sorted order, on all replicas

	for i := range maxWindowSources + 1 {
		l.count(fmt.Sprint("s/", i), 901, counts{"x": 1})
	}
	is.Equal(l.closeWindow(number, 901).Counts, counts{"x": maxWindowSources})
}

// TestSourceWithAClockAheadDisplacesNoCounts guards against a source whose windows lie in the far future and
// fill the bound, so that the counts of all other sources are dropped.
func TestSourceWithAClockAheadDisplacesNoCounts(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	number := l.acquire("one").Number
	const present, ahead = 1000, 1 << 40
	l.count("a/1", present, counts{"x": 1})
	for i := range uint64(maxWindows) {
		for j := range uint64(4) {
			l.count("ahead/1", ahead+4*i+j, counts{"x": 1})
		}
		l.count("a/1", present+i, counts{"x": 1})
		is.Equal(l.closeWindow(number, present+i).Counts, counts{"x": 1})
		l.mustApply(command.NameReportedWindow, "", command.ReportedWindow{Number: number, Window: present + i})
	}
	is.Equal(l.m.Usage().OldestOpen, uint64(present+maxWindows))
	is.Equal(len(l.m.Usage().Open), maxFutureWindows)
}

// TestSnapshotKeepsDuties guards against grants and counts that a replica loses when it restores a
// snapshot, and against snapshots of an older version that cannot be read.
func TestSnapshotKeepsDuties(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	number := l.acquire("one").Number
	l.acquireScaling()
	l.count("a/1", 5, counts{"x": 2})
	l.count("b/1", 6, counts{"x": 3, "y": 1})
	l.closeWindow(number, 5)
	l.closeWindow(number, 6)
	l.closeWindow(number, 7)
	l.count("b/1", 8, counts{"x": 4})
	l.mustApply(command.NameReportedWindow, "", command.ReportedWindow{Number: number, Window: 5})
	before, err := l.m.Snapshot()
	is.NoErr(err)
	usage := l.m.Usage()
	l.restore()
	after, err := l.m.Snapshot()
	is.NoErr(err)
	is.True(bytes.Equal(before, after))
	is.Equal(l.m.Usage(), usage)
	is.Equal(l.m.duties.newestReported, uint64(5))
	is.True(!l.acquire("two").Granted)
	l.now = l.now.Add(dutyTTL)
	is.Equal(l.acquire("two").Number, number+2) // the number of the other duty counts, too

	var fields map[int]any
	is.NoErr(wire.Unmarshal(before, &fields))
	delete(fields, 13) // older versions have no duties
	old, err := wire.Marshal(fields)
	is.NoErr(err)
	l.m = New()
	is.NoErr(l.m.Restore(old))
	is.Equal(l.m.Usage(), command.UsageState{})
	is.Equal(l.m.Document().Revision, uint64(1))
	is.Equal(l.acquire("two"), command.DutyGrant{Granted: true, Holder: "two", Number: 1, Left: dutyTTL})
	l.count("a/1", 5, counts{"x": 2})
	is.Equal(l.closeWindow(1, 5).Counts, counts{"x": 2})
}

// dutyHolder is a VM that holds or wants the duty in a model test.
type dutyHolder struct {
	name string
	// number is the number of the last grant that the holder learned of. It uses it even after the grant
	// has expired, as a holder that was suspended between a check and a call does.
	number    uint64
	suspended bool
}

// dutyMessage is a command in transit.
type dutyMessage struct {
	from *dutyHolder
	name string
	body any
}

// dutyModel is the state machine with holders and sources, and what the test expects of them.
type dutyModel struct {
	log       *testLog
	holders   []*dutyHolder
	inTransit []dutyMessage
	// holderOf holds the holder of each number. number, holder and until are the last grant.
	holderOf map[uint64]string
	number   uint64
	until    time.Time
	// open holds the counts that the machine should have, and closed the counts at the first close.
	open       map[uint64]map[string]counts
	closed     map[uint64]counts
	reported   map[uint64]bool
	oldestOpen uint64
	starts     int
}

// deliver carries out one message and checks the answer.
func (m *dutyModel) deliver(t *rapid.T, msg dutyMessage, answerLost bool) {
	valid := m.log.now.Before(m.until)
	a := m.log.apply(msg.name, "", msg.body)
	switch c := msg.body.(type) {
	case command.AcquireDuty:
		var g command.DutyGrant
		if err := wire.Unmarshal(a.Body, &g); err != nil || a.Refused != nil {
			t.Fatalf("acquire: %v, %v", err, a.Refused)
		}
		m.granted(t, c, g, valid)
		if g.Granted && !answerLost {
			msg.from.number = g.Number
		}
	case command.CloseWindow:
		if fenced := !valid || c.Number != m.number; fenced || m.reported[c.Window] {
			m.mustRefuse(t, a, fenced)
			return
		}
		m.closeUpTo(c.Window)
		var closed command.ClosedWindow
		if err := wire.Unmarshal(a.Body, &closed); err != nil || a.Refused != nil {
			if m.closed[c.Window] == nil && a.Refused != nil {
				return // passed over by the close of a later window without having had counts
			}
			t.Fatalf("close of %d: %v, %v", c.Window, err, a.Refused)
		}
		if !maps.Equal(closed.Counts, m.closed[c.Window]) {
			t.Fatalf("window %d was closed with %v and is now %v", c.Window, m.closed[c.Window], closed.Counts)
		}
	case command.ReportedWindow:
		if fenced := !valid || c.Number != m.number; fenced || c.Window >= m.oldestOpen {
			m.mustRefuse(t, a, fenced)
			return
		}
		m.reported[c.Window] = true
	}
}

func (m *dutyModel) mustRefuse(t *rapid.T, a *wire.Answer, fenced bool) {
	if a.Refused == nil || fenced && a.Refused.Reason != verdict.ReasonFenced {
		t.Fatalf("accepted, or refused for another reason: %v", a.Refused)
	}
}

// granted checks and records the answer to an acquisition.
func (m *dutyModel) granted(t *rapid.T, c command.AcquireDuty, g command.DutyGrant, valid bool) {
	if known, ok := m.holderOf[g.Number]; ok && known != g.Holder {
		t.Fatalf("number %d was granted to %s and to %s", g.Number, known, g.Holder)
	}
	holds := !valid || m.holderOf[m.number] == c.Holder
	if g.Granted != holds || g.Number < m.number || !valid && g.Number == m.number {
		t.Fatalf("grant %+v after number %d of %s, valid %v", g, m.number, m.holderOf[m.number], valid)
	}
	m.holderOf[g.Number], m.number = g.Holder, g.Number
	if g.Granted {
		m.until = m.log.now.Add(c.TTL)
	}
}

// closeUpTo records the counts of the windows that a close fixes.
func (m *dutyModel) closeUpTo(last uint64) {
	if last < m.oldestOpen {
		return
	}
	for window := m.oldestOpen; window <= last; window++ {
		if m.open[window] == nil && window != last {
			continue
		}
		sum := counts{}
		for _, c := range m.open[window] {
			for account, n := range c {
				sum[account] += n
			}
		}
		m.closed[window] = sum
	}
	m.oldestOpen = last + 1
}

// TestHoldersThatAreSuspendedAndReplaced suspends, resumes and replaces holders in random order, while
// their commands are delayed, duplicated and lost. It guards against a number that two holders get, a
// closed window whose counts change, and a holder with an old number that closes or drops a window.
func TestHoldersThatAreSuspendedAndReplaced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &dutyModel{
			log: newLog(t), holderOf: map[uint64]string{}, open: map[uint64]map[string]counts{},
			closed: map[uint64]counts{}, reported: map[uint64]bool{}, starts: 3,
			holders: []*dutyHolder{{name: "vm-1"}, {name: "vm-2"}, {name: "vm-3"}},
		}
		draw := func(t *rapid.T) *dutyHolder { return rapid.SampledFrom(m.holders).Draw(t, "holder") }
		window := func(t *rapid.T) uint64 {
			return max(m.oldestOpen, 2) - 2 + uint64(rapid.IntRange(0, 4).Draw(t, "window"))
		}
		send := func(t *rapid.T, h *dutyHolder, name string, body any) {
			switch msg := (dutyMessage{h, name, body}); {
			case h.suspended:
			case rapid.Bool().Draw(t, "at once"):
				m.deliver(t, msg, false)
			default:
				m.inTransit = append(m.inTransit, msg)
			}
		}
		actions := map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) {
				m.log.now = m.log.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"acquire": func(t *rapid.T) {
				h := draw(t)
				send(t, h, command.NameDuty, command.AcquireDuty{Duty: command.DutyUsage, Holder: h.name, TTL: dutyTTL})
			},
			"renew, then close": func(t *rapid.T) {
				if h := draw(t); !h.suspended {
					m.deliver(t, dutyMessage{h, command.NameDuty, command.AcquireDuty{Duty: command.DutyUsage, Holder: h.name, TTL: dutyTTL}}, false)
					m.deliver(t, dutyMessage{h, command.NameCloseWindow, command.CloseWindow{Number: h.number, Window: window(t)}}, false)
				}
			},
			"close": func(t *rapid.T) {
				h := draw(t)
				send(t, h, command.NameCloseWindow, command.CloseWindow{Number: h.number, Window: window(t)})
			},
			"report": func(t *rapid.T) {
				h := draw(t)
				send(t, h, command.NameReportedWindow, command.ReportedWindow{Number: h.number, Window: window(t)})
			},
			"suspend or resume": func(t *rapid.T) { h := draw(t); h.suspended = !h.suspended },
			"replace": func(t *rapid.T) {
				m.starts++
				m.holders[rapid.IntRange(0, 2).Draw(t, "holder")] = &dutyHolder{name: fmt.Sprint("vm-", m.starts)}
			},
			"count": func(t *rapid.T) {
				w, source := window(t), rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "source")
				account, n := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"), rapid.Uint64Range(1, 9).Draw(t, "n")
				if oldest := m.log.count(source, w, counts{account: n}); oldest != m.oldestOpen {
					t.Fatalf("oldest open window is %d, should be %d", oldest, m.oldestOpen)
				}
				if w < m.oldestOpen {
					return
				}
				if m.open[w] == nil {
					m.open[w] = map[string]counts{}
				}
				if m.open[w][source] == nil {
					m.open[w][source] = counts{}
				}
				m.open[w][source][account] = max(m.open[w][source][account], n)
			},
			"deliver": func(t *rapid.T) {
				if len(m.inTransit) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message")
				msg := m.inTransit[i]
				if rapid.IntRange(0, 3).Draw(t, "copy") != 0 {
					m.inTransit = slices.Delete(m.inTransit, i, i+1)
				}
				m.deliver(t, msg, msg.from.suspended || rapid.IntRange(0, 4).Draw(t, "lost") == 0)
			},
			"restore": func(*rapid.T) { m.log.restore() },
			"": func(t *rapid.T) {
				want := 0
				for w := range m.closed {
					if !m.reported[w] {
						want++
					}
				}
				usage := m.log.m.Usage()
				open := slices.DeleteFunc(slices.Sorted(maps.Keys(m.open)), func(w uint64) bool { return w < m.oldestOpen })
				if !slices.Equal(usage.Open, open) {
					t.Fatalf("windows %v are open, should be %v", usage.Open, open)
				}
				if len(usage.Closed) != want {
					t.Fatalf("%d windows are closed, should be %d", len(usage.Closed), want)
				}
				for _, c := range usage.Closed {
					if m.reported[c.Window] || !maps.Equal(c.Counts, m.closed[c.Window]) {
						t.Fatalf("window %d is %v, was closed with %v", c.Window, c.Counts, m.closed[c.Window])
					}
				}
			},
		}
		rt.Repeat(actions)
	})
}
