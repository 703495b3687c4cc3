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

// answerWith returns a replica that answers a command with a.
func answerWith(a *wire.Answer) func(*fakeStream) {
	return func(s *fakeStream) {
		if _, err := s.Recv(); err == nil {
			_ = s.Send(a)
		}
	}
}

// abortAfterCommand is a replica that receives a command and aborts the stream.
func abortAfterCommand(s *fakeStream) {
	_, _ = s.Recv()
	s.Abort()
}

// refusal returns the answer that refuses a command with r.
func refusal(r *verdict.Refusal) *wire.Answer {
	return &wire.Answer{Refused: wire.NewRefused(wire.Attempt{}, r)}
}

// accepted returns the answer of an accepted command.
func accepted(body any) *wire.Answer {
	raw, err := wire.Marshal(body)
	if err != nil {
		panic(err)
	}
	return &wire.Answer{Body: raw}
}

func TestDo(t *testing.T) {
	noLeader := answerWith(refusal(verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no leader")))
	conflict := answerWith(refusal(verdict.Refuse(verdict.ReasonRevisionConflict, 0, "lost")))
	success := answerWith(accepted(command.Changed{Revision: 7}))
	tests := map[string]struct {
		replicas map[string]func(*fakeStream)
		verdict  verdict.Verdict
		reason   verdict.Reason
	}{
		"first leads":                 {map[string]func(*fakeStream){"a": success}, 0, ""},
		"second leads":                {map[string]func(*fakeStream){"a": noLeader, "b": success}, 0, ""},
		"named leader":                {map[string]func(*fakeStream){"a": answerWith(&wire.Answer{Leader: "b"}), "b": success}, 0, ""},
		"first cannot be reached":     {map[string]func(*fakeStream){"b": success}, 0, ""},
		"answer lost, then given":     {map[string]func(*fakeStream){"a": abortAfterCommand, "b": success}, 0, ""},
		"refused by the leader":       {map[string]func(*fakeStream){"a": conflict, "b": success}, verdict.NotRun, verdict.ReasonRevisionConflict},
		"no leader":                   {map[string]func(*fakeStream){"a": noLeader, "b": noLeader}, verdict.NotRun, verdict.ReasonNoQuorum},
		"no replica reached":          {nil, verdict.NotRun, verdict.ReasonNoQuorum},
		"all answers lost":            {map[string]func(*fakeStream){"a": abortAfterCommand, "b": abortAfterCommand}, verdict.MayHaveRun, verdict.ReasonNoQuorum},
		"answer lost, then no leader": {map[string]func(*fakeStream){"a": abortAfterCommand, "b": noLeader}, verdict.MayHaveRun, verdict.ReasonNoQuorum},
		"leader reports uncertainty":  {map[string]func(*fakeStream){"a": answerWith(refusal(verdict.Uncertain(verdict.ReasonNoQuorum, 0, "?"))), "b": noLeader}, verdict.MayHaveRun, verdict.ReasonNoQuorum},
		"redirect loop":               {map[string]func(*fakeStream){"a": answerWith(&wire.Answer{Leader: "b"}), "b": answerWith(&wire.Answer{Leader: "a"})}, verdict.NotRun, verdict.ReasonNoQuorum},
		"answer of wrong type":        {map[string]func(*fakeStream){"a": func(s *fakeStream) { _, _ = s.Recv(); _ = s.Send(&wire.End{}) }, "b": success}, 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t, &fakeNetwork{replicas: test.replicas}, "a", "b")
			wait := testTimeout
			if test.verdict == verdict.MayHaveRun {
				wait = 300 * time.Millisecond // Do retries until ctx ends
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

func TestLostAnswerIsRetriedWithTheSameIdentifier(t *testing.T) {
	is := is.New(t)
	ids := make(chan string, 10)
	var tries atomic.Int32
	n := &fakeNetwork{replicas: map[string]func(*fakeStream){"a": func(s *fakeStream) {
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(c.Do(ctx, command.NameOrder, "once", command.Order{}, nil))
	for range 3 {
		is.Equal(<-ids, "once")
	}
	is.Equal(n.dropped, []string{"a", "a"}) // connections without an answer are dropped
}

// serveUpdates returns a replica that sends its Hello messages to hello and answers each
// heartbeat of a session with the next of the updates, until none is left. An update with a
// nonzero Echo echoes the heartbeat. Commands are aborted.
func serveUpdates(hello chan<- *wire.Hello, updates ...*wire.Update) func(*fakeStream) {
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
		pending := updates
		for {
			m, err := s.Recv()
			if err != nil {
				return
			}
			if len(pending) == 0 {
				continue
			}
			u := *pending[0]
			pending = pending[1:]
			if u.Echo != 0 {
				u.Echo = m.(*wire.Heartbeat).Seq
			}
			if s.Send(&u) != nil {
				return
			}
		}
	}
}

// documentAt returns an empty configuration with the given revision.
func documentAt(revision uint64) *config.Document {
	d := config.NewDocument()
	d.Revision = revision
	return d
}

// startClient runs the client until the test ends.
func startClient(t *testing.T, c *Client) {
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

func TestSessionUpdatesConfigurationAndPermission(t *testing.T) {
	hellos := make(chan *wire.Hello, 100)
	n := &fakeNetwork{replicas: map[string]func(*fakeStream){"a": serveUpdates(hellos,
		&wire.Update{Snapshot: documentAt(3), Revision: 3},
		&wire.Update{Changes: []config.ChangeSet{{Revision: 4}}, Revision: 4, Echo: 1, Leader: "1"},
	)}}
	c := newClient(t, n, "a")
	is.New(t).True(!c.Fresh())
	startClient(t, c)
	eventually(t, "fresh at revision 4", func() bool { return c.Fresh() && c.View().Revision() == 4 && c.Leader() == "1" })
}

func TestEchoWithMissingChangesDoesNotRenewPermission(t *testing.T) {
	hellos := make(chan *wire.Hello, 100)
	n := &fakeNetwork{replicas: map[string]func(*fakeStream){"a": serveUpdates(hellos,
		&wire.Update{Snapshot: documentAt(3), Revision: 3, Leader: "1"},
		&wire.Update{Revision: 5, Echo: 1, Leader: "2"},
	)}}
	c := newClient(t, n, "a")
	startClient(t, c)
	eventually(t, "echo received", func() bool { return c.Leader() == "2" })
	is.New(t).True(!c.Fresh())
}

func TestRevisionGapReopensSessionAtCurrentRevision(t *testing.T) {
	is := is.New(t)
	hellos := make(chan *wire.Hello, 100)
	n := &fakeNetwork{replicas: map[string]func(*fakeStream){"a": serveUpdates(hellos,
		&wire.Update{Snapshot: documentAt(3), Revision: 3},
		&wire.Update{Changes: []config.ChangeSet{{Revision: 6}}, Revision: 6},
	)}}
	c := newClient(t, n, "a")
	startClient(t, c)
	is.Equal((<-hellos).Revision, uint64(0))
	is.Equal((<-hellos).Revision, uint64(3))
}

func TestLaggingReplicaDoesNotRevertConfiguration(t *testing.T) {
	hellos := make(chan *wire.Hello, 100)
	n := &fakeNetwork{replicas: map[string]func(*fakeStream){
		"a": serveUpdates(hellos, &wire.Update{Snapshot: documentAt(9), Revision: 9}, &wire.Update{Changes: []config.ChangeSet{{Revision: 99}}}),
		"b": serveUpdates(hellos, &wire.Update{Snapshot: documentAt(4), Revision: 4, Leader: "b"}, &wire.Update{Changes: []config.ChangeSet{{Revision: 99}}}),
	}}
	c := newClient(t, n, "a", "b")
	startClient(t, c)
	is := is.New(t)
	for range 4 {
		<-hellos
	}
	is.Equal(c.View().Revision(), uint64(9))
}

func TestClaimWithoutAnAnswerIsNotRun(t *testing.T) {
	is := is.New(t)
	hellos := make(chan *wire.Hello, 100)
	n := &fakeNetwork{replicas: map[string]func(*fakeStream){"a": serveUpdates(hellos,
		&wire.Update{Snapshot: documentAt(1), Revision: 1, Echo: 1, Leader: "1"})}}
	c := newClient(t, n, "a")
	_, err := c.Claim(context.Background(), "id", command.Claim{})
	is.Equal(verdict.From(err).Reason, verdict.ReasonNoQuorum) // refused before a stream is opened
	is.Equal(len(n.opened), 0)

	startClient(t, c)
	eventually(t, "fresh", c.Fresh)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = c.Claim(ctx, "id", command.Claim{})
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
}

func TestAdoptingAPermissionNeedsEchoAndRevision(t *testing.T) {
	is := is.New(t)
	hellos := make(chan *wire.Hello, 100)
	fresh := newClient(t, &fakeNetwork{replicas: map[string]func(*fakeStream){"a": serveUpdates(hellos,
		&wire.Update{Snapshot: documentAt(2), Revision: 2, Echo: 1, Leader: "1"})}}, "a")
	startClient(t, fresh)
	eventually(t, "fresh", fresh.Fresh)

	stale := newClient(t, &fakeNetwork{}, "a")
	is.True(!stale.ReceivePermission("fresh", fresh.PermissionFor("stale"))) // it echoes no timestamp of stale
	fresh.ReceivePermission("stale", stale.PermissionFor("fresh"))
	is.True(!stale.ReceivePermission("fresh", fresh.PermissionFor("stale"))) // its revision is higher than that of stale
	stale.View().Replace(documentAt(2))
	is.True(stale.ReceivePermission("fresh", fresh.PermissionFor("stale")))
	is.True(stale.Fresh())
}

// answerPollWith returns a replica that answers a poll with s and aborts sessions.
func answerPollWith(s command.ReplicaInfo) func(*fakeStream) {
	return func(f *fakeStream) {
		m, err := f.Recv()
		if _, ok := m.(*wire.Command); err != nil || !ok {
			f.Abort()
			return
		}
		_ = f.Send(accepted(s))
	}
}

// withLeader returns s with a known leader.
func withLeader(s command.ReplicaInfo) command.ReplicaInfo {
	s.Leader = 1
	return s
}

func TestStoppedReplicasCountOnlyForAValidPermission(t *testing.T) {
	addrs := []string{"a", "b", "c"}
	running := func(revision uint64) command.ReplicaInfo {
		return command.ReplicaInfo{ID: 1, Voters: []uint64{1, 2, 3}, Addrs: addrs, Revision: revision, Settled: true}
	}
	tests := map[string]struct {
		fresh   bool
		answers []command.ReplicaInfo
		stopped []string
		want    bool
	}{
		"two stopped":                     {true, []command.ReplicaInfo{running(2)}, []string{"b", "c"}, true},
		"all stopped":                     {true, nil, addrs, true},
		"one stopped and one unreachable": {true, []command.ReplicaInfo{running(2)}, []string{"b"}, true}, // the stopped one and the running one are a majority
		"two unreachable":                 {true, []command.ReplicaInfo{running(2)}, nil, false},
		"one stopped and two unreachable": {true, nil, []string{"b"}, false},
		"running one has newer revision":  {true, []command.ReplicaInfo{running(3)}, []string{"b", "c"}, false},
		"leader known":                    {true, []command.ReplicaInfo{withLeader(running(2))}, []string{"b", "c"}, false},
		"permission expired":              {false, []command.ReplicaInfo{running(2)}, []string{"b", "c"}, false},
		"all stopped, permission expired": {false, nil, addrs, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replicas := map[string]func(*fakeStream){}
			for i, a := range test.answers {
				replicas[addrs[i]] = answerPollWith(a)
			}
			c := newClient(t, &fakeNetwork{replicas: replicas}, addrs...)
			c.options.Stopped = func(_ context.Context, addr string) bool { return slices.Contains(test.stopped, addr) }
			c.View().Replace(documentAt(2))
			if test.fresh {
				c.renewFrom(c.options.Clock.Now().Add(-c.options.Lease / 2))
			}
			before := c.Permission().Left
			c.poll(context.Background())
			is.New(t).Equal(c.Permission().Left > before, test.want)
		})
	}
}

func TestMajorityPollRenewsPermissionWithoutLeader(t *testing.T) {
	voters := []uint64{1, 2, 3}
	tests := map[string]struct {
		answers []command.ReplicaInfo
		want    bool
	}{
		"two of three":    {[]command.ReplicaInfo{{ID: 1, Voters: voters, Revision: 2, Settled: true}, {ID: 2, Voters: voters, Revision: 1, Settled: true}}, true},
		"one of three":    {[]command.ReplicaInfo{{ID: 1, Voters: voters, Revision: 2, Settled: true}}, false},
		"one not settled": {[]command.ReplicaInfo{{ID: 1, Voters: voters, Revision: 2, Settled: true}, {ID: 2, Voters: voters, Revision: 2}}, false},
		"newer revision":  {[]command.ReplicaInfo{{ID: 1, Voters: voters, Revision: 2, Settled: true}, {ID: 2, Voters: voters, Revision: 3, Settled: true}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replicas := map[string]func(*fakeStream){}
			addrs := []string{"a", "b", "c"}
			for i, a := range test.answers {
				replicas[addrs[i]] = answerPollWith(a)
			}
			c := newClient(t, &fakeNetwork{replicas: replicas}, addrs...)
			c.View().Replace(documentAt(2))
			c.poll(context.Background())
			is.New(t).Equal(c.Fresh(), test.want)
		})
	}
}

// TestPermissionExpiresWhileTheVMIsSuspended suspends the VM for longer than the lease. The
// monotonic clock of the process does not advance during a suspension.
func TestPermissionExpiresWhileTheVMIsSuspended(t *testing.T) {
	is := is.New(t)
	var suspended atomic.Int64
	c, err := New(Options{
		Replicas: []string{"a"}, Lease: 3 * time.Second, Heartbeat: time.Second,
		Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
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
	suspended.Store(int64(4 * time.Second))
	is.True(!c.Fresh())
	is.True(!c.RenewedByControl())
	renew(2)
	is.True(c.Fresh()) // renewed after the suspension
}
