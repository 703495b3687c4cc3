package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// start is the time of the first entry.
var start = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

// testLog applies commands to a machine as a replica does.
type testLog struct {
	t     testing.TB
	m     *Machine
	index uint64
	now   time.Time
}

func newLog(t testing.TB) *testLog {
	l := &testLog{t: t, m: New(), now: start}
	l.mustApply(NameBootstrap, "", command.Change{Changes: []config.Change{
		{Zone: &config.Zone{Name: "hall", Region: "leon-coast", State: config.In}},
		{Account: &config.Account{Name: "parish"}},
		{Model: &config.Model{Name: "scribe"}},
		{Model: &config.Model{Name: "other"}},
	}})
	return l
}

// encodeEntry returns the entry of a command in CBOR.
func encodeEntry(name, id, who string, at time.Time, body any) []byte {
	raw, err := wire.Marshal(body)
	if err != nil {
		panic(err)
	}
	entry, err := wire.Marshal(&Entry{ID: id, Name: name, Who: who, At: at.UnixNano(), Body: raw})
	if err != nil {
		panic(err)
	}
	return entry
}

// apply applies a command from the sender "operator-" followed by id.
func (l *testLog) apply(name, id string, body any) *wire.Answer {
	l.index++
	var a wire.Answer
	if err := wire.Unmarshal(l.m.Apply(l.index, encodeEntry(name, id, "operator-"+id, l.now, body)), &a); err != nil {
		l.t.Fatal(err)
	}
	return &a
}

// mustApply is like apply and fails the test if the command is refused.
func (l *testLog) mustApply(name, id string, body any) *wire.Answer {
	a := l.apply(name, id, body)
	if a.Refused != nil {
		l.t.Fatalf("%s refused: %s", name, a.Refused.Detail)
	}
	return a
}

// zoneChange returns a change of the state of zone hall.
func zoneChange(state config.ZoneState) config.Change {
	return config.Change{Zone: &config.Zone{Name: "hall", Region: "leon-coast", State: state}}
}

// claim sends a claim for endpoint desk in the command with the given id.
func (l *testLog) claim(id, key string, incarnation uint64) command.Claimed {
	a := l.mustApply(command.NameClaim, id, command.Claim{Account: "parish", Key: key, Endpoint: "desk", Incarnation: incarnation})
	var c command.Claimed
	if err := wire.Unmarshal(a.Body, &c); err != nil {
		l.t.Fatal(err)
	}
	return c
}

// fence registers an incarnation of endpoint desk.
func (l *testLog) fence(id string, incarnation uint64) *wire.Answer {
	return l.apply(command.NameFence, id, command.Fence{Endpoint: "desk", Incarnation: incarnation})
}

func TestConcurrentChangesOfARevisionHaveOneWinner(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	out, in := command.Change{Expect: 1, Changes: []config.Change{zoneChange(config.Out)}}, command.Change{Expect: 1, Changes: []config.Change{zoneChange(config.In)}}
	winner := l.mustApply(command.NameChange, "a", out)
	loser := l.apply(command.NameChange, "b", in)
	is.Equal(loser.Refused.Reason, verdict.ReasonRevisionConflict)
	is.Equal(loser.Refused.Detail, "revision 1 was expected and is now 2: operator-a changed it first, by command a")
	is.Equal(l.m.Document().Zones["hall"].State, config.Out)

	// After another change, retries of both commands get their first answers.
	l.mustApply(command.NameChange, "c", command.Change{Expect: 2, Changes: []config.Change{zoneChange(config.In)}})
	is.Equal(l.apply(command.NameChange, "a", out).Body, winner.Body)
	is.Equal(l.apply(command.NameChange, "b", in).Refused.Detail, loser.Refused.Detail)
	is.Equal(l.m.Document().Revision, uint64(3))
}

func TestStoredAnswersAreSeparateForEachSender(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	change := command.Change{Expect: 1, Changes: []config.Change{zoneChange(config.Out)}}
	l.mustApply(command.NameChange, "a", change)
	var b wire.Answer
	is.NoErr(wire.Unmarshal(l.m.Apply(99, encodeEntry(command.NameChange, "a", "somebody-else", start, change)), &b))
	is.Equal(b.Refused.Reason, verdict.ReasonRevisionConflict)
}

func TestRefusedCommandsChangeNothing(t *testing.T) {
	tests := map[string]struct {
		name string
		body any
	}{
		"unknown command":           {"dance", nil},
		"invalid change":            {command.NameChange, command.Change{Expect: command.AnyRevision, Changes: []config.Change{zoneChange("maybe")}}},
		"one invalid change of two": {command.NameChange, command.Change{Expect: 1, Changes: []config.Change{zoneChange(config.Out), {DropModel: "x"}}}},
		"unknown action":            {command.NameOrder, command.Order{Endpoint: "desk", Action: "explode", Value: "x"}},
		"unknown model":             {command.NameOrder, command.Order{Endpoint: "desk", Action: ActionLoad, Value: "x"}},
		"order without endpoint":    {command.NameOrder, command.Order{Action: ActionLoad, Value: "x"}},
		"claim without a key":       {command.NameClaim, command.Claim{Account: "parish"}},
		"claim key too long":        {command.NameClaim, command.Claim{Account: "parish", Key: string(make([]byte, 300))}},
		"body of another type":      {command.NameChange, "text"},
		"second bootstrap":          {NameBootstrap, command.Change{Changes: []config.Change{zoneChange(config.Out)}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLog(t)
			l.apply(test.name, "x", test.body)
			is.Equal(l.m.Document().Revision, uint64(1))
			is.Equal(l.m.OrdersVersion(), uint64(0))
			is.Equal(len(l.m.Audit(0, 0)), 1)
		})
	}
}

func TestInvalidEntryIsRefused(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	var a wire.Answer
	is.NoErr(wire.Unmarshal(l.m.Apply(2, []byte{0xff, 0x00}), &a))
	is.Equal(a.Refused.Reason, verdict.ReasonInternal)
}

func TestNewIncarnationReplacesTheOldOne(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	is.True(l.fence("f1", 10).Refused == nil)
	l.mustApply(command.NameOrder, "o1", command.Order{Endpoint: "desk", Action: ActionLoad, Value: "scribe"})
	l.mustApply(command.NameOrder, "o2", command.Order{Endpoint: "desk", Action: ActionRole, Value: "prefill"})
	l.mustApply(command.NameOrder, "o3", command.Order{Endpoint: "desk", Action: ActionLoad, Value: "other"})
	before := l.m.Orders("desk", 10)
	is.Equal(len(before), 2) // the second load order superseded the first

	var fenced command.Fenced
	is.NoErr(wire.Unmarshal(l.fence("f2", 20).Body, &fenced))
	is.Equal(l.m.Orders("desk", 10), nil) // the replaced incarnation gets no orders
	after := l.m.Orders("desk", 20)
	is.Equal(len(after), 2)
	for _, o := range after {
		is.True(o.Fence > fenced.Newest && fenced.Newest > before[1].Fence)
	}
	is.Equal(l.fence("f3", 10).Refused.Reason, verdict.ReasonFenced) // the replaced incarnation, still running
	var again command.Fenced
	is.NoErr(wire.Unmarshal(l.fence("f4", 20).Body, &again))
	is.Equal(again, fenced) // a repeated registration gets the same number
}

func TestClaimsAreForTheRegisteredIncarnation(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	is.Equal(l.claim("c1", "k1", 10).Refused.Reason, verdict.ReasonEndpointRestarted) // incarnation 10 is not registered yet
	l.fence("f1", 10)
	first := l.claim("c2", "k1", 10)
	is.True(first.Fence > 0)
	is.Equal(l.claim("c2", "k1", 10), first) // a retry of the same command
	retry := l.claim("c3", "k1", 10)
	is.Equal(retry.Refused.Reason, verdict.ReasonInProgress)
	is.Equal(*retry.PendingClaim, command.PendingClaim{Fence: first.Fence, Endpoint: "desk", Incarnation: 10})

	l.fence("f2", 20)
	is.Equal(l.claim("c4", "k2", 10).Refused.Verdict, verdict.NotRun)
	lost := l.claim("c5", "k1", 20)
	is.Equal(lost.Refused.Verdict, verdict.MayHaveRun)
	is.Equal(lost.Refused.Reason, verdict.ReasonEndpointLost)

	second := l.claim("c6", "k2", 20)
	l.mustApply(command.NameSettle, "s1", command.Settle{Account: "parish", Key: "k2", Fence: second.Fence, Verdict: verdict.Ran, Result: &command.Result{Status: 201}})
	is.Equal(l.claim("c7", "k2", 20).Result.Status, 201)
}

func TestClaimsDoNotEvictAnswersToOperators(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	l.fence("f1", 10)
	first := l.mustApply(command.NameChange, "a", command.Change{Expect: 1, Changes: []config.Change{zoneChange(config.Out)}})
	for i := range maxAnswers + 10 {
		l.claim(fmt.Sprint("c", i), fmt.Sprint("k", i), 10)
	}
	is.Equal(l.apply(command.NameChange, "a", command.Change{Expect: 1}).Body, first.Body)
}

func TestCatchUpAfterHundredsOfChanges(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	follower := l.m.Document().Clone()
	for i := range maxRecentChanges + 100 {
		state := []config.ZoneState{config.In, config.Out}[i%2]
		l.mustApply(command.NameChange, fmt.Sprint(i), command.Change{Expect: command.AnyRevision, Changes: []config.Change{zoneChange(state)}})
	}
	_, ok := l.m.ChangesSince(follower.Revision)
	is.True(!ok) // too far behind, so that sessions send the complete document
	changes, ok := l.m.ChangesSince(l.m.Document().Revision - maxRecentChanges)
	is.True(ok && len(changes) == maxRecentChanges)

	snapshot, err := l.m.Snapshot()
	is.NoErr(err)
	restarted := New()
	is.NoErr(restarted.Restore(snapshot))
	is.Equal(restarted.Document(), l.m.Document())
	is.Equal(len(restarted.Audit(0, 0)), len(l.m.Audit(0, 0)))
}

func TestSuspects(t *testing.T) {
	type failure struct {
		endpoint string
		digests  []uint64
	}
	tests := map[string]struct {
		failures             []failure
		suspects, quarantine []uint64
	}{
		"one failure":                {[]failure{{"a", []uint64{1, 2}}}, []uint64{1, 2}, nil},
		"one failure, many reports":  {[]failure{{"a", []uint64{1, 2}}, {"a", []uint64{1}}, {"a", []uint64{1}}}, []uint64{1, 2}, nil},
		"two failures":               {[]failure{{"a", []uint64{1, 2}}, {"b", []uint64{1, 3}}}, []uint64{1, 2, 3}, nil},
		"second failure alone":       {[]failure{{"a", []uint64{1, 2}}, {"b", []uint64{1}}}, []uint64{2}, []uint64{1}},
		"three failures, none alone": {[]failure{{"a", []uint64{1, 2}}, {"b", []uint64{1, 3}}, {"c", []uint64{1, 2}}}, []uint64{2, 3}, []uint64{1}},
		"two requests, one crashes":  {[]failure{{"a", []uint64{1, 2}}, {"b", []uint64{1, 2}}, {"c", []uint64{1}}}, []uint64{2}, []uint64{1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLog(t)
			for i, f := range test.failures {
				l.mustApply(command.NameSuspect, fmt.Sprint(i), command.Suspect{
					Endpoint: f.endpoint, Incarnation: 1, Digests: f.digests, Alone: len(f.digests) == 1,
				})
			}
			is.Equal(l.m.Suspects(), test.suspects)
			is.Equal(l.m.Quarantine(), test.quarantine)
			l.now = l.now.Add(quarantine.DefaultLimits().ConvictedTTL + time.Second)
			l.mustApply(command.NameSuspect, "late", command.Suspect{Endpoint: "z", Digests: []uint64{99}})
			is.Equal(len(l.m.Quarantine()), 0)
		})
	}
}

func TestLossesOfDirectEndpointsInOneReport(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	loss := func(endpoint string, digests ...uint64) command.Suspect {
		return command.Suspect{Endpoint: endpoint, Incarnation: 1, Digests: digests, Direct: true}
	}
	version := l.m.SuspectsVersion()
	l.mustApply(command.NameSuspect, "1", loss("a", 1, 2))
	is.Equal(l.m.SuspectsVersion(), version) // both are clear, so there is nothing to send to processes
	two := loss("b", 1, 3)
	two.More = []command.Suspect{loss("c", 1, 4)}
	var statuses command.SuspectStatuses
	is.NoErr(wire.Unmarshal(l.mustApply(command.NameSuspect, "2", two).Body, &statuses))
	is.Equal(statuses.Statuses, []uint8{uint8(quarantine.Convicted), uint8(quarantine.Clear), uint8(quarantine.Convicted), uint8(quarantine.Clear)})
	is.Equal(l.m.Quarantine(), []uint64{1})
	is.True(l.m.SuspectsVersion() > version)
}

func TestFailedRestoreKeepsTheState(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	is.True(l.m.Restore([]byte("not a snapshot")) != nil)
	is.Equal(l.m.Document().Revision, uint64(1))
}

// randomEntry draws one command. Identifiers repeat.
func randomEntry(t *rapid.T, now time.Time) []byte {
	id := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id"))
	key := rapid.SampledFrom([]string{"k", fmt.Sprintf("%d-x", now.Unix())}).Draw(t, "key")
	n := uint64(rapid.IntRange(0, 4).Draw(t, "number"))
	bodies := map[string]any{
		command.NameChange:  command.Change{Expect: n, Changes: []config.Change{zoneChange(config.Out)}},
		command.NameOrder:   command.Order{Endpoint: "desk", Action: ActionLoad, Value: "scribe"},
		command.NameFence:   command.Fence{Endpoint: "desk", Incarnation: n},
		command.NameClaim:   command.Claim{Account: "parish", Key: key, Endpoint: "desk", Incarnation: n},
		command.NameSettle:  command.Settle{Account: "parish", Key: key, Fence: n, Verdict: verdict.Ran, Result: &command.Result{Status: 200}},
		command.NameSuspect: command.Suspect{Endpoint: id, Digests: []uint64{n}},
		command.NameDepart:  command.Depart{Departures: []command.Departure{{Endpoint: id, Incarnation: n}, {Endpoint: key, Incarnation: n}}},
		command.NameDuty:    command.AcquireDuty{Duty: command.DutyUsage, Holder: key, TTL: maxDutyTTL},
		command.NameUsage: command.Usage{Source: id, Windows: []command.WindowCounts{
			{Window: n, Counts: map[string]uint64{key: n, id: 1}}, {Window: n + 1, Counts: map[string]uint64{"x": n}},
		}},
		command.NameCloseWindow:    command.CloseWindow{Number: n, Window: n},
		command.NameReportedWindow: command.ReportedWindow{Number: n, Window: n},
	}
	name := rapid.SampledFrom([]string{
		command.NameChange, command.NameOrder, command.NameFence, command.NameClaim, command.NameSettle, command.NameSuspect,
		command.NameDepart, command.NameDuty, command.NameUsage, command.NameCloseWindow, command.NameReportedWindow,
	}).Draw(t, "name")
	return encodeEntry(name, id, "x", now, bodies[name])
}

// TestReplicasAgree applies the same log to two machines, one of which is restored from its own
// snapshot at random points, and compares all answers and the complete state.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := newLog(t).m, newLog(t).m
		now := start
		index := uint64(1)
		rt.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				index++
				entry := randomEntry(t, now)
				if !bytes.Equal(a.Apply(index, entry), b.Apply(index, entry)) {
					t.Fatal("replicas answer differently")
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "seconds")) * time.Second)
			},
			"restore": func(t *rapid.T) {
				snapshot, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				b = New()
				if err := b.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				x, errX := a.Snapshot()
				y, errY := b.Snapshot()
				if errX != nil || errY != nil || !bytes.Equal(x, y) {
					t.Fatal("replicas differ")
				}
			},
		})
	})
}

// publishVersion returns a command that publishes the version with the given content.
func publishVersion(version uint64, content string) command.Publish {
	return command.Publish{Publication: config.Publication{Version: version, Content: []byte(content)}}
}

func TestHighestPublicationIsInForce(t *testing.T) {
	is := is.New(t)
	l := newLog(t)
	before := l.m.Document().Revision
	l.mustApply(command.NamePublish, "a", publishVersion(7, "seven"))
	is.Equal(l.m.Document().Revision, before+1)
	for id, p := range map[string]command.Publish{"b": publishVersion(7, "other content"), "c": publishVersion(6, "older"), "a": publishVersion(7, "seven")} {
		l.mustApply(command.NamePublish, id, p) // accepted without effect: the applied version is the same or higher
	}
	is.Equal(l.m.Document().Revision, before+1)
	is.Equal(string(l.m.Document().Publication.Content), "seven")
	l.mustApply(command.NamePublish, "d", publishVersion(12, "twelve"))
	is.Equal(l.m.Document().PublishedVersion(), uint64(12))
	is.True(l.apply(command.NamePublish, "e", publishVersion(13, "")).Refused != nil) // a publication without content is refused

	raw, err := l.m.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(raw))
	is.Equal(restored.Document(), l.m.Document())
	for _, entry := range l.m.Audit(0, 0) {
		for _, c := range entry.Changes {
			is.True(c.Publication == nil || c.Publication.Content == nil) // the audit log omits the content
		}
	}
}

// Changes were kept by number, whatever their size: control ran out of memory, and an update with the changes that a
// session lacked was over the limit of a message, again and again.
func TestLargeChangesAreKeptByNumberOnly(t *testing.T) {
	const content = 300 << 10
	is := is.New(t)
	l := newLog(t)
	behind := l.m.Document().Revision
	for version := range uint64(40) {
		p := config.Publication{Version: version + 1, Content: make([]byte, content)}
		l.mustApply(command.NamePublish, fmt.Sprint(version), command.Publish{Publication: p})
		size := 0
		for _, r := range l.m.recentChanges {
			size += r.Size()
		}
		is.Equal(size, l.m.recentBytes)
		is.True(size <= maxRecentChangeBytes)
	}
	_, ok := l.m.ChangesSince(behind)
	is.True(!ok) // sessions get the complete document
	changes, ok := l.m.ChangesSince(l.m.Document().Revision - 5)
	is.True(ok && len(changes) == 5)
	snapshot, err := l.m.Snapshot()
	is.NoErr(err)
	is.True(len(snapshot) < 2*maxRecentChangeBytes)
	restarted := New()
	is.NoErr(restarted.Restore(snapshot))
	is.Equal(restarted.recentBytes, l.m.recentBytes)

	huge := config.Publication{Version: 100, Content: make([]byte, 2*maxRecentChangeBytes)}
	l.mustApply(command.NamePublish, "huge", command.Publish{Publication: huge})
	_, ok = l.m.ChangesSince(l.m.Document().Revision - 1)
	is.True(ok) // the newest change is kept
}
