package session

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

func TestReplicaChoice(t *testing.T) {
	follower, undecided, relay := &command.ReplicaInfo{ID: 1, Leader: 2}, &command.ReplicaInfo{ID: 1}, &command.ReplicaInfo{}
	tests := map[string]struct {
		answers []pollResult
		addr    string
		decided bool
	}{
		"none":                        {nil, "", false},
		"first that knows a leader":   {[]pollResult{{addr: "b", info: follower}}, "b", true},
		"one without a leader":        {[]pollResult{{addr: "a", info: undecided}}, "", false},
		"leader after one without":    {[]pollResult{{addr: "a", info: undecided}, {addr: "c", info: follower}}, "c", true},
		"relay, failure, no leader":   {[]pollResult{{addr: "a", info: relay}, {addr: "b"}, {addr: "c", info: undecided}}, "c", true},
		"relay and failures":          {[]pollResult{{addr: "a"}, {addr: "b"}, {addr: "c", info: relay}}, "c", true},
		"failures only":               {[]pollResult{{addr: "c"}, {addr: "b"}, {addr: "a"}}, "a", true},
		"several without a leader":    {[]pollResult{{addr: "c", info: undecided}, {addr: "b", info: undecided}, {addr: "a"}}, "c", true},
		"two relays, one outstanding": {[]pollResult{{addr: "b", info: relay}, {addr: "c", info: relay}}, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			choice := replicaChoice{order: []string{"a", "b", "c"}}
			for _, answer := range test.answers {
				choice.add(answer)
			}
			addr, decided := choice.decide()
			is.Equal(addr, test.addr)
			is.Equal(decided, test.decided)
		})
	}
}

// restartingReplicas are replicas that do not know the connections of before their restart: what is sent
// over them gets no answer.
type restartingReplicas struct {
	mu sync.Mutex
	// starts counts the starts, and dialed holds the start in which a connection was dialed, by address.
	starts int
	dialed map[string]int
	// lost counts the sessions that were opened over connections of before, and echoed is the latest start
	// in which a heartbeat was echoed.
	lost, echoed int
}

var (
	_ Dropper = (*restartingReplicas)(nil)
	_ Renewer = (*restartingReplicas)(nil)
)

func (r *restartingReplicas) Open(_ context.Context, addr string) (wire.Stream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.dialed[addr]; !ok {
		r.dialed[addr] = r.starts
	}
	client, server := newStreamPair()
	go r.serve(server, r.dialed[addr])
	return client, nil
}

func (r *restartingReplicas) Drop(addr string) { r.Renew(addr) }

func (r *restartingReplicas) Renew(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.dialed, addr)
}

// restart restarts all replicas, to each of which a connection is open.
func (r *restartingReplicas) restart(addrs ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, addr := range addrs {
		r.dialed[addr] = r.starts
	}
	r.starts++
}

// serve serves a stream over a connection that was dialed in a start.
func (r *restartingReplicas) serve(s *fakeStream, dialed int) {
	for {
		m, err := s.Recv()
		if err != nil {
			return
		}
		if answer := r.answer(m, dialed); answer != nil && s.Send(answer) != nil {
			return
		}
	}
}

// answer returns the answer to a message over a connection that was dialed in a start, nil for none.
func (r *restartingReplicas) answer(m wire.Message, dialed int) wire.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, hello := m.(*wire.Hello)
	if dialed != r.starts {
		if hello {
			r.lost++
		}
		return nil
	}
	if heartbeat, ok := m.(*wire.Heartbeat); ok {
		r.echoed = r.starts
		return &wire.Update{Snapshot: documentAt(1), Revision: 1, Echo: heartbeat.Seq}
	}
	if hello {
		return nil
	}
	return accepted(command.ReplicaInfo{ID: 1, Leader: 1, Voters: []uint64{1}})
}

// counts returns lost and echoed.
func (r *restartingReplicas) counts() (lost, echoed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost, r.echoed
}

// TestSessionAfterARestartOfAllReplicasUsesANewConnection guards against entries that tried one replica
// after the other over connections of before the restart, each for the whole RenewalTimeout, and went
// on with an old configuration meanwhile.
func TestSessionAfterARestartOfAllReplicasUsesANewConnection(t *testing.T) {
	is := is.New(t)
	r := &restartingReplicas{starts: 1, dialed: map[string]int{}}
	addrs := []string{"a", "b", "c"}
	c, err := New(Options{
		Node: settings.Node{Name: "entry-1"}, Role: wire.RoleEntry, Replicas: addrs, Opener: r,
		Lease: 10 * time.Second, Heartbeat: 20 * time.Millisecond, RenewalTimeout: 200 * time.Millisecond,
	})
	is.NoErr(err)
	startClient(t, c)
	for start := 1; start <= 5; start++ {
		eventually(t, "heartbeat echoed after a restart", func() bool {
			_, echoed := r.counts()
			return echoed == start
		})
		r.restart(addrs...)
	}
	lost, _ := r.counts()
	is.Equal(lost, 0)
}

// TestSilentReplicaDoesNotDelayTheSession guards against a session that waited for replicas which do not
// answer while another one would.
func TestSilentReplicaDoesNotDelayTheSession(t *testing.T) {
	is := is.New(t)
	hellos := make(chan *wire.Hello, 100)
	silent := func(s *fakeStream) {
		for {
			m, err := s.Recv()
			if err != nil {
				return
			}
			if hello, ok := m.(*wire.Hello); ok {
				hellos <- hello
			}
		}
	}
	p := &pausingReplicas{paused: map[string]chan struct{}{}}
	sound := func(s *fakeStream) {
		first, err := s.Recv()
		if _, ok := first.(*wire.Command); ok && err == nil {
			_ = s.Send(accepted(command.ReplicaInfo{ID: 3, Leader: 3}))
			return
		}
		p.echo("c", s)
	}
	for range 10 {
		n := &fakeNetwork{replicas: map[string]func(*fakeStream){"a": silent, "b": silent, "c": sound}}
		c := newClient(t, n, "a", "b", "c")
		startClient(t, c)
		eventually(t, "fresh", c.Fresh)
	}
	is.Equal(len(hellos), 0)
}
