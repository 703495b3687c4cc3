package session

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answering returns a replica that answers commands with a.
func answering(a *wire.Answer) func(*fakeStream) {
	return func(s *fakeStream) {
		if _, err := s.Recv(); err == nil {
			_ = s.Send(a)
		}
	}
}

// breaking takes a command and breaks the stream.
func breaking(s *fakeStream) {
	_, _ = s.Recv()
	s.Abort()
}

func refusal(r *verdict.Refusal) *wire.Answer {
	return &wire.Answer{Refused: wire.NewRefused(wire.Attempt{}, r)}
}

func accepted(body any) *wire.Answer {
	raw, err := wire.Marshal(body)
	if err != nil {
		panic(err)
	}
	return &wire.Answer{Body: raw}
}

func TestDo(t *testing.T) {
	noLeader := answering(refusal(verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no leader")))
	conflict := answering(refusal(verdict.Refuse(verdict.ReasonRevisionConflict, 0, "lost")))
	done := answering(accepted(command.Changed{Revision: 7}))
	tests := map[string]struct {
		replicas map[string]func(*fakeStream)
		verdict  verdict.Verdict
		reason   verdict.Reason
	}{
		"first leads":              {map[string]func(*fakeStream){"a": done}, 0, ""},
		"second leads":             {map[string]func(*fakeStream){"a": noLeader, "b": done}, 0, ""},
		"named leader":             {map[string]func(*fakeStream){"a": answering(&wire.Answer{Leader: "b"}), "b": done}, 0, ""},
		"first cannot be reached":  {map[string]func(*fakeStream){"b": done}, 0, ""},
		"answer lost, then given":  {map[string]func(*fakeStream){"a": breaking, "b": done}, 0, ""},
		"refused for good":         {map[string]func(*fakeStream){"a": conflict, "b": done}, verdict.NotRun, verdict.ReasonRevisionConflict},
		"no leader":                {map[string]func(*fakeStream){"a": noLeader, "b": noLeader}, verdict.NotRun, verdict.ReasonNoQuorum},
		"nobody reached":           {nil, verdict.NotRun, verdict.ReasonNoQuorum},
		"answers lost to the end":  {map[string]func(*fakeStream){"a": breaking, "b": breaking}, verdict.MayHaveRun, verdict.ReasonNoQuorum},
		"lost, then no leader":     {map[string]func(*fakeStream){"a": breaking, "b": noLeader}, verdict.MayHaveRun, verdict.ReasonNoQuorum},
		"leader itself uncertain":  {map[string]func(*fakeStream){"a": answering(refusal(verdict.Uncertain(verdict.ReasonNoQuorum, 0, "?"))), "b": noLeader}, verdict.MayHaveRun, verdict.ReasonNoQuorum},
		"leaders name one another": {map[string]func(*fakeStream){"a": answering(&wire.Answer{Leader: "b"}), "b": answering(&wire.Answer{Leader: "a"})}, verdict.NotRun, verdict.ReasonNoQuorum},
		"nonsense for an answer":   {map[string]func(*fakeStream){"a": func(s *fakeStream) { _, _ = s.Recv(); _ = s.Send(&wire.End{}) }, "b": done}, 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t, &network{replicas: test.replicas}, "a", "b")
			wait := patience
			if test.verdict == verdict.MayHaveRun {
				wait = 300 * time.Millisecond // nothing else ends the command
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			var changed command.Changed
			err := c.Do(ctx, command.NameChange, "id", command.Change{}, &changed)
			if test.verdict == 0 {
				is.NoErr(err)
				is.Equal(changed.Revision, uint64(7))
				return
			}
			is.Equal(verdict.From(err).Verdict, test.verdict)
			is.Equal(verdict.From(err).Reason, test.reason)
		})
	}
}

func TestLostAnswerIsAskedForUnderTheSameIdentifier(t *testing.T) {
	is := is.New(t)
	ids := make(chan string, 10)
	var tries atomic.Int32
	n := &network{replicas: map[string]func(*fakeStream){"a": func(s *fakeStream) {
		m, err := s.Recv()
		if err != nil {
			return
		}
		ids <- m.(*wire.Command).ID
		if tries.Add(1) < 3 {
			s.Abort()
			return
		}
		_ = s.Send(&wire.Answer{})
	}}}
	c := newClient(t, n, "a")
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	is.NoErr(c.Do(ctx, command.NameOrder, "once", command.Order{}, nil))
	for range 3 {
		is.Equal(<-ids, "once")
	}
	is.Equal(n.dropped, []string{"a", "a"}) // a connection without an answer is given up
}

// script is a replica that answers the session's first heartbeat with updates
// and then each further one with an echo alone.
func script(hello chan<- *wire.Hello, updates ...*wire.Update) func(*fakeStream) {
	return func(s *fakeStream) {
		m, err := s.Recv()
		if err != nil {
			return
		}
		if _, isCommand := m.(*wire.Command); isCommand {
			s.Abort()
			return
		}
		hello <- m.(*wire.Hello)
		rest := updates
		for {
			m, err := s.Recv()
			if err != nil {
				return
			}
			if len(rest) == 0 {
				continue
			}
			u := *rest[0]
			rest = rest[1:]
			if u.Echo != 0 {
				u.Echo = m.(*wire.Heartbeat).Seq
			}
			if s.Send(&u) != nil {
				return
			}
		}
	}
}

func document(revision uint64) *config.Document {
	d := config.NewDocument()
	d.Revision = revision
	return d
}

// run runs the client until the test ends.
func run(t *testing.T, c *Client) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestSessionBringsConfigurationAndPermission(t *testing.T) {
	hellos := make(chan *wire.Hello, 100)
	n := &network{replicas: map[string]func(*fakeStream){"a": script(hellos,
		&wire.Update{Snapshot: document(3), Revision: 3},
		&wire.Update{Changes: []config.Revised{{Revision: 4}}, Revision: 4, Echo: 1, Leader: "1"},
	)}}
	c := newClient(t, n, "a")
	is.New(t).True(!c.Fresh())
	run(t, c)
	eventually(t, "fresh at revision 4", func() bool { return c.Fresh() && c.View().Revision() == 4 && c.Leader() == "1" })
}

func TestEchoForARevisionThatIsMissingPermitsNothing(t *testing.T) {
	hellos := make(chan *wire.Hello, 100)
	n := &network{replicas: map[string]func(*fakeStream){"a": script(hellos,
		&wire.Update{Snapshot: document(3), Revision: 3, Leader: "1"},
		&wire.Update{Revision: 5, Echo: 1, Leader: "2"},
	)}}
	c := newClient(t, n, "a")
	run(t, c)
	eventually(t, "the echo came in", func() bool { return c.Leader() == "2" })
	is.New(t).True(!c.Fresh())
}

func TestGapEndsTheSessionAndTheNextAsksFromWhatIsThere(t *testing.T) {
	is := is.New(t)
	hellos := make(chan *wire.Hello, 100)
	n := &network{replicas: map[string]func(*fakeStream){"a": script(hellos,
		&wire.Update{Snapshot: document(3), Revision: 3},
		&wire.Update{Changes: []config.Revised{{Revision: 6}}, Revision: 6},
	)}}
	c := newClient(t, n, "a")
	run(t, c)
	is.Equal((<-hellos).Revision, uint64(0))
	is.Equal((<-hellos).Revision, uint64(3))
}

func TestReplicaThatLagsTakesNothingBack(t *testing.T) {
	hellos := make(chan *wire.Hello, 100)
	n := &network{replicas: map[string]func(*fakeStream){
		"a": script(hellos, &wire.Update{Snapshot: document(9), Revision: 9}, &wire.Update{Changes: []config.Revised{{Revision: 99}}}),
		"b": script(hellos, &wire.Update{Snapshot: document(4), Revision: 4, Leader: "b"}, &wire.Update{Changes: []config.Revised{{Revision: 99}}}),
	}}
	c := newClient(t, n, "a", "b")
	run(t, c)
	is := is.New(t)
	for range 4 {
		<-hellos
	}
	is.Equal(c.View().Revision(), uint64(9))
}

func TestClaimWithoutAnAnswerIsNotRun(t *testing.T) {
	is := is.New(t)
	hellos := make(chan *wire.Hello, 100)
	n := &network{replicas: map[string]func(*fakeStream){"a": script(hellos,
		&wire.Update{Snapshot: document(1), Revision: 1, Echo: 1, Leader: "1"})}}
	c := newClient(t, n, "a")
	_, err := c.Claim(context.Background(), "id", command.Claim{})
	is.Equal(verdict.From(err).Reason, verdict.ReasonNoQuorum) // refused before anything is sent
	is.Equal(len(n.opened), 0)

	run(t, c)
	eventually(t, "fresh", c.Fresh)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = c.Claim(ctx, "id", command.Claim{})
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
}

func TestPeersLendFreshnessOnlyInProvenOrder(t *testing.T) {
	is := is.New(t)
	hellos := make(chan *wire.Hello, 100)
	fresh := newClient(t, &network{replicas: map[string]func(*fakeStream){"a": script(hellos,
		&wire.Update{Snapshot: document(2), Revision: 2, Echo: 1, Leader: "1"})}}, "a")
	run(t, fresh)
	eventually(t, "fresh", fresh.Fresh)

	stale := newClient(t, &network{}, "a")
	is.True(!stale.ReceivePermission("fresh", fresh.PermissionFor("stale"))) // it repeats no stamp of ours
	fresh.ReceivePermission("stale", stale.PermissionFor("fresh"))
	is.True(!stale.ReceivePermission("fresh", fresh.PermissionFor("stale"))) // its revision is higher than ours
	stale.View().Replace(document(2))
	is.True(stale.ReceivePermission("fresh", fresh.PermissionFor("stale")))
	is.True(stale.Fresh())
}

// standing answers a poll with s and ends sessions at once.
func standing(s command.ReplicaInfo) func(*fakeStream) {
	return func(f *fakeStream) {
		m, err := f.Recv()
		if _, ok := m.(*wire.Command); err != nil || !ok {
			f.Abort()
			return
		}
		_ = f.Send(accepted(s))
	}
}

func leads(s command.ReplicaInfo) command.ReplicaInfo {
	s.Leader = 1
	return s
}

func TestStoppedReplicasProveOnlyToAPermissionThatHasNotLapsed(t *testing.T) {
	addrs := []string{"a", "b", "c"}
	living := func(revision uint64) command.ReplicaInfo {
		return command.ReplicaInfo{ID: 1, Voters: []uint64{1, 2, 3}, Addrs: addrs, Revision: revision, Settled: true}
	}
	tests := map[string]struct {
		fresh   bool
		answers []command.ReplicaInfo
		stopped []string
		want    bool
	}{
		"two stopped":                 {true, []command.ReplicaInfo{living(2)}, []string{"b", "c"}, true},
		"all stopped":                 {true, nil, addrs, true},
		"one stopped and one cut off": {true, []command.ReplicaInfo{living(2)}, []string{"b"}, true}, // it and the living one are two of three
		"two cut off":                 {true, []command.ReplicaInfo{living(2)}, nil, false},
		"one stopped and two cut off": {true, nil, []string{"b"}, false},
		"the living one knows more":   {true, []command.ReplicaInfo{living(3)}, []string{"b", "c"}, false},
		"there is a leader":           {true, []command.ReplicaInfo{leads(living(2))}, []string{"b", "c"}, false},
		"the permission has lapsed":   {false, []command.ReplicaInfo{living(2)}, []string{"b", "c"}, false},
		"all stopped, lapsed":         {false, nil, addrs, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replicas := map[string]func(*fakeStream){}
			for i, a := range test.answers {
				replicas[addrs[i]] = standing(a)
			}
			c := newClient(t, &network{replicas: replicas}, addrs...)
			c.options.Stopped = func(_ context.Context, addr string) bool { return slices.Contains(test.stopped, addr) }
			c.View().Replace(document(2))
			if test.fresh {
				c.proven(c.options.Clock.Now().Add(-c.options.Lease / 2))
			}
			before := c.Permission().Left
			c.poll(context.Background())
			is.New(t).Equal(c.Permission().Left > before, test.want)
		})
	}
}

func TestPollOfAMajorityRenewsThePermissionWithoutALeader(t *testing.T) {
	voters := []uint64{1, 2, 3}
	tests := map[string]struct {
		answers []command.ReplicaInfo
		want    bool
	}{
		"two of three": {[]command.ReplicaInfo{{ID: 1, Voters: voters, Revision: 2, Settled: true}, {ID: 2, Voters: voters, Revision: 1, Settled: true}}, true},
		"one of three": {[]command.ReplicaInfo{{ID: 1, Voters: voters, Revision: 2, Settled: true}}, false},
		"undecided":    {[]command.ReplicaInfo{{ID: 1, Voters: voters, Revision: 2, Settled: true}, {ID: 2, Voters: voters, Revision: 2}}, false},
		"more known":   {[]command.ReplicaInfo{{ID: 1, Voters: voters, Revision: 2, Settled: true}, {ID: 2, Voters: voters, Revision: 3, Settled: true}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replicas := map[string]func(*fakeStream){}
			addrs := []string{"a", "b", "c"}
			for i, a := range test.answers {
				replicas[addrs[i]] = standing(a)
			}
			c := newClient(t, &network{replicas: replicas}, addrs...)
			c.View().Replace(document(2))
			c.poll(context.Background())
			is.New(t).Equal(c.Fresh(), test.want)
		})
	}
}

// TestPermissionLapsesWhileTheVMIsSuspended has a process sleep through its lease: its
// steady clock stands still meanwhile.
func TestPermissionLapsesWhileTheVMIsSuspended(t *testing.T) {
	is := is.New(t)
	var slept atomic.Int64
	c, err := New(Options{
		Replicas: []string{"a"}, Lease: 3 * time.Second, Heartbeat: time.Second,
		Suspended: func() time.Duration { return time.Duration(slept.Load()) },
	})
	is.NoErr(err)
	renew := func(seq uint64) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.permission.HeartbeatSent(c.now(), seq)
		c.permission.HeartbeatEchoed(seq)
	}
	renew(1)
	is.True(c.Fresh())
	slept.Store(int64(4 * time.Second))
	is.True(!c.Fresh())
	is.True(!c.RenewedByControl())
	renew(2)
	is.True(c.Fresh()) // it works on
}
