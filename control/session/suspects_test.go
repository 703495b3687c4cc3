package session

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// fakeCommander answers commands with a fixed body, or refuses them if it is nil.
type fakeCommander struct {
	answer any
	names  []string
}

func (f *fakeCommander) Do(_ context.Context, name, _ string, _, out any) error {
	f.names = append(f.names, name)
	if f.answer == nil {
		return verdict.Refuse(verdict.ReasonNoQuorum, 0, "no leader")
	}
	raw, err := wire.Marshal(f.answer)
	if err != nil || out == nil {
		return err
	}
	return wire.Unmarshal(raw, out)
}

func TestSuspectsFollowControlsAnswers(t *testing.T) {
	is := is.New(t)
	control := &fakeCommander{}
	s := NewSuspects(control, kernel.SystemClock{})
	loss := func(digests ...uint64) command.Suspect {
		return command.Suspect{Endpoint: "e", Digests: digests, Direct: true}
	}

	// Control does not answer: the request is suspect after its second loss.
	is.Equal(s.RecordDirectLosses([]uint64{1, 2}), []uint64{1, 2})
	_, err := s.Report(context.Background(), loss(1, 2))
	is.True(err != nil)
	is.Equal(s.Status(1), quarantine.Clear)
	s.RecordDirectLosses([]uint64{1})
	is.Equal(s.Status(1), quarantine.Suspect)

	control.answer = command.SuspectStatuses{Statuses: []uint8{uint8(quarantine.Suspect), uint8(quarantine.Clear), uint8(quarantine.Convicted)}}
	statuses, err := s.Report(context.Background(), loss(1, 2), loss(3))
	is.NoErr(err)
	is.Equal(statuses, map[uint64]quarantine.Status{1: quarantine.Suspect, 2: quarantine.Clear, 3: quarantine.Convicted})
	is.Equal(s.Status(3), quarantine.Convicted)
	s.RecordDirectLosses([]uint64{2}) // the first loss, which left it clear, counts
	is.Equal(s.Status(2), quarantine.Suspect)

	control.answer = command.Permitted{Status: uint8(quarantine.Suspect), Granted: true}
	p, err := s.RequestPermit(context.Background(), command.Permit{Digest: 1, Holder: "h"})
	is.NoErr(err)
	is.True(p.Granted)
	is.True(s.RecordCompletion(1))
	is.NoErr(s.End(context.Background(), command.Ended{Digest: 1, Holder: "h", Completed: true}))
	is.Equal(s.Status(1), quarantine.Clear)
	is.Equal(len(s.RecordDirectLosses([]uint64{1})), 0) // it was answered just now

	s.Update(&wire.Update{HasQuarantine: true, Suspects: []uint64{4}})
	is.Equal(s.Status(4), quarantine.Suspect)
	s.Update(&wire.Update{})
	is.Equal(s.Status(4), quarantine.Suspect)
	is.Equal(control.names, []string{command.NameSuspect, command.NameSuspect, command.NamePermit, command.NameEnded})
}

// The replica that had led took all of the second that a command about suspect requests has, whenever
// it was silent, and each such command began with it again.
func TestPermitIsGrantedWhileTheLastLeaderIsSilent(t *testing.T) {
	is := is.New(t)
	permitted := answerWith(accepted(command.Permitted{Status: uint8(quarantine.Suspect), Granted: true}))
	silent := func(s *fakeStream) { <-s.Context().Done() }
	n := &fakeNetwork{replicas: map[string]func(*fakeStream){"a": permitted}}
	c := newClient(t, n, "a", "b")
	s := NewSuspects(c, kernel.SystemClock{})
	_, err := s.RequestPermit(context.Background(), command.Permit{Digest: 1, Holder: "h"})
	is.NoErr(err)
	is.Equal(c.commandAddrs(), []string{"a", "b"})
	n.replicas = map[string]func(*fakeStream){"a": silent, "b": permitted}
	p, err := s.RequestPermit(context.Background(), command.Permit{Digest: 1, Holder: "h"})
	is.NoErr(err)
	is.True(p.Granted)
	is.Equal(c.commandAddrs(), []string{"b", "a"})
	n.replicas = map[string]func(*fakeStream){"b": silent}
	_, err = s.RequestPermit(context.Background(), command.Permit{Digest: 1, Holder: "h"})
	is.True(err != nil)
	is.Equal(c.leaderAddr, "") // the next command does not begin with it
}

// A replica that is slow to answer is not given up for others that cannot answer.
func TestSlowLeaderAnswersBesideLaterTries(t *testing.T) {
	is := is.New(t)
	permitted := answerWith(accepted(command.Permitted{Status: uint8(quarantine.Suspect), Granted: true}))
	slow := func(s *fakeStream) {
		time.Sleep(6 * suspectsTimeout / 10)
		permitted(s)
	}
	n := &fakeNetwork{replicas: map[string]func(*fakeStream){"a": slow, "b": answerWith(&wire.Answer{Leader: "c"}), "c": func(s *fakeStream) { <-s.Context().Done() }}}
	c := newClient(t, n, "a", "b")
	p, err := NewSuspects(c, kernel.SystemClock{}).RequestPermit(context.Background(), command.Permit{Digest: 1, Holder: "h"})
	is.NoErr(err)
	is.True(p.Granted)
}
