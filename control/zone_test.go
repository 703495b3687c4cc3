package control_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/internal/loopback"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// pair runs a group of two replicas, and returns them with a function that returns the state of
// the zone annex.
func pair(t *testing.T) (out [2]*control.Plugin, state func() config.ZoneState) {
	t.Helper()
	is := is.New(t)
	d := deploy(t, 0, shortGrace)
	addrs, err := loopback.Addrs(2)
	is.NoErr(err)
	d.addrs = addrs
	for i, name := range []string{"control-1", "control-2"} {
		loaded, err := d.host(name).Load("control", []byte(d.settings(i)))
		is.NoErr(err)
		out[i] = loaded.(*control.Plugin)
		d.background(out[i].Run)
	}
	operator := d.client("operator-1", wire.RoleOperator, nil)
	return out, func() config.ZoneState {
		var view command.View
		is.NoErr(operator.Do(timeoutContext(t), command.NameView, "", nil, &view))
		return view.Document.Zones["annex"].State
	}
}

// order gives an order of a sender that waits, until it is accepted.
func order(t *testing.T, replica *control.Plugin, state config.ZoneState) {
	t.Helper()
	eventually(t, "order accepted", func() bool {
		return replica.SetZone(timeoutContext(t), annex(state), revision(t, replica)) == nil
	})
}

// revision returns the revision that the sender of an order learns.
func revision(t *testing.T, replica *control.Plugin) (since uint64) {
	t.Helper()
	eventually(t, "revision read", func() bool {
		var err error
		since, err = replica.Revision(timeoutContext(t))
		return err == nil
	})
	return since
}

// annex returns the zone annex in a state.
func annex(s config.ZoneState) config.Zone {
	return config.Zone{Name: "annex", Region: "leon-coast", State: s}
}

// TestZoneOrderHeldUpOnTheWayDoesNotUndoANewerOne has an order reach each replica, so also one that is not the
// leader, after the sender has repeated it elsewhere and given a newer one.
func TestZoneOrderHeldUpOnTheWayDoesNotUndoANewerOne(t *testing.T) {
	for name, late := range map[string]int{"first replica": 0, "second replica": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replicas, state := pair(t)
			other := replicas[1-late]
			order(t, other, config.Out)
			since := revision(t, replicas[late])
			order(t, other, config.In)
			order(t, other, config.Out)
			err := replicas[late].SetZone(timeoutContext(t), annex(config.In), since)
			is.True(verdict.IsReason(err, verdict.ReasonRevisionConflict))
			is.Equal(state(), config.Out)
		})
	}
}

// TestLateZoneOrdersRaceWithNewerOnes has copies of an order arrive at both replicas while newer ones are given. Each
// copy is refused or changes nothing, however it falls between the steps of another order.
func TestLateZoneOrdersRaceWithNewerOnes(t *testing.T) {
	const copies, rounds = 6, 8
	is := is.New(t)
	replicas, state := pair(t)
	order(t, replicas[0], config.Out)
	for round := range rounds {
		since := revision(t, replicas[round%2])
		order(t, replicas[0], config.In)
		ctx, begin := timeoutContext(t), make(chan struct{})
		var late sync.WaitGroup
		for i := range copies {
			late.Go(func() {
				<-begin
				_ = replicas[i%2].SetZone(ctx, annex(config.In), since) // refused, or as it is
			})
		}
		close(begin)
		order(t, replicas[1], config.Out)
		late.Wait()
		is.Equal(state(), config.Out)
	}
}

// TestZoneOrderAfterAnotherChangeIsRepeated checks that a change of something else does not have
// the operator send the order again.
func TestZoneOrderAfterAnotherChangeIsRepeated(t *testing.T) {
	is := is.New(t)
	replicas, state := pair(t)
	order(t, replicas[1], config.In)
	since := revision(t, replicas[0])
	is.NoErr(replicas[1].Publish(timeoutContext(t), config.Publication{Version: 1, Content: []byte("x")}))
	is.NoErr(replicas[0].SetZone(timeoutContext(t), annex(config.Out), since))
	is.Equal(state(), config.Out)
	is.NoErr(replicas[1].SetZone(timeoutContext(t), annex(config.Out), since)) // its answer was lost
	err := replicas[1].SetZone(timeoutContext(t), annex(config.In), since+100)
	is.True(verdict.IsReason(err, verdict.ReasonRevisionConflict)) // a revision that does not exist
}

// TestZoneOrdersAtOnceAreAllAccepted guards against orders that keep each other from being carried
// out, as each one changes the revision that the others expect.
func TestZoneOrdersAtOnceAreAllAccepted(t *testing.T) {
	const orders = 8 // operators have as many in progress
	is := is.New(t)
	replicas, state := pair(t)
	order(t, replicas[0], config.In)
	order(t, replicas[1], config.In)
	ctx, failed, since := timeoutContext(t), make(chan error, orders), revision(t, replicas[0])
	for i := range orders {
		go func() { failed <- replicas[i%2].SetZone(ctx, annex(config.Out), since) }()
	}
	for range orders {
		is.NoErr(<-failed)
	}
	is.Equal(state(), config.Out)
}

// TestPublicationOverTheLimitOfAMessageIsAccepted guards against one that replicas can't send to each other or to sessions.
func TestPublicationOverTheLimitOfAMessageIsAccepted(t *testing.T) {
	replicas, _ := pair(t)
	err := replicas[0].Publish(timeoutContext(t), config.Publication{Version: 1, Content: make([]byte, wire.MaxFrameBytes)})
	is.New(t).True(verdict.IsReason(err, verdict.ReasonBadRequest))
}
