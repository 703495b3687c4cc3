package control

import (
	"context"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
)

// callLog records the membership changes and dropped connections in their order.
type callLog struct {
	session.Dropper
	calls []string
}

func (l *callLog) Drop(addr string) { l.calls = append(l.calls, "drop "+addr) }

func (l *callLog) AddLearner(_ context.Context, id replica.ID, addr string) error {
	l.calls = append(l.calls, fmt.Sprint("add ", id, " ", addr))
	return nil
}

func (l *callLog) Promote(context.Context, replica.ID) error { return nil }

func (l *callLog) Remove(_ context.Context, id replica.ID) error {
	l.calls = append(l.calls, fmt.Sprint("remove ", id))
	return nil
}

// A VM comes back with an empty disk. The leader's connection to the process that was there
// before, or its attempt to open one, must not carry the log to the new replica.
func TestReplicaOnAnEmptyDiskDoesNotWaitForAnOldConnection(t *testing.T) {
	is := is.New(t)
	members := []replica.MemberStatus{
		{Member: replica.Member{ID: 1, Addr: "10.0.0.1:1", Voter: true}},
		{Member: replica.Member{ID: 2, Addr: "10.0.0.2:1", Voter: true}},
	}
	log := &callLog{}
	s := &Server{
		log:       hclog.NewNullLogger(),
		members:   func() []replica.MemberStatus { return members },
		transport: newTransport(log, nil, hclog.NewNullLogger(), map[replica.ID]string{}),
	}
	is.NoErr(s.join(t.Context(), log, 7, "10.0.0.2:1"))
	is.Equal(log.calls, []string{"remove 2", "drop 10.0.0.2:1", "add 7 10.0.0.2:1"})
	log.calls = nil
	members = append(members, replica.MemberStatus{Member: replica.Member{ID: 7, Addr: "10.0.0.2:1"}})
	is.NoErr(s.join(t.Context(), log, 7, "10.0.0.2:1"))
	is.Equal(len(log.calls), 0) // a repeated request disturbs nothing
}

// A replica that this one never sent a message of the consensus protocol starts again. The votes
// and reports sent to it later must not go over the connection to its earlier process.
func TestNewStartOfAReplicaWithoutASenderReplacesTheConnection(t *testing.T) {
	is := is.New(t)
	log := &callLog{}
	tr := newTransport(log, nil, hclog.NewNullLogger(), map[replica.ID]string{7: "10.0.0.2:1"})
	for _, start := range []uint64{1, 1, 2} {
		tr.peerStarted(startMessage{ID: 7, Start: start, Addr: "10.0.0.2:1"})
	}
	is.Equal(log.calls, []string{"drop 10.0.0.2:1", "drop 10.0.0.2:1"})
	is.Equal(len(tr.senders), 0)
}
