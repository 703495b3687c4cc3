package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// applyingNode is a group of one replica, which applies what is proposed.
type applyingNode struct {
	replica.Node
	store *store
}

func (n applyingNode) Propose(_ context.Context, raw []byte) ([]byte, error) {
	return n.store.Apply(1, raw), nil
}

// TestGrantExpiresAfterALeaderWithAClockAhead guards against a grant that nobody can acquire until the clock of
// the leader has reached that of an earlier leader.
func TestGrantExpiresAfterALeaderWithAClockAhead(t *testing.T) {
	is := is.New(t)
	clock := &dutyFake{now: time.Unix(1_765_000_000, 0)}
	s := &Server{clock: clock, store: newStore(clock, func() {})}
	s.node = applyingNode{store: s.store}
	body := func(holder string) []byte {
		raw, err := wire.Marshal(command.AcquireDuty{Duty: command.DutyUsage, Holder: holder, TTL: 3 * time.Second})
		is.NoErr(err)
		return raw
	}
	earlier, err := wire.Marshal(&state.Entry{
		Name: command.NameDuty, At: clock.now.Add(time.Hour).UnixNano(), Body: body("one"),
	})
	is.NoErr(err)
	s.store.Apply(1, earlier)
	granted := func() (g command.DutyGrant) {
		a := s.propose(t.Context(), wire.Peer{}, &wire.Command{Name: command.NameDuty, Body: body("two")})
		is.Equal(a.Refused, nil)
		is.NoErr(wire.Unmarshal(a.Body, &g))
		return g
	}
	clock.now = clock.now.Add(2900 * time.Millisecond)
	is.True(!granted().Granted)
	clock.now = clock.now.Add(200 * time.Millisecond)
	is.True(granted().Granted)
}
