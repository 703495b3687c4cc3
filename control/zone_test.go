package control_test

import (
	"errors"
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
		return replica.SetZone(timeoutContext(t), annex(state), func() error { return nil }) == nil
	})
}

// annex returns the zone annex in a state.
func annex(s config.ZoneState) config.Zone {
	return config.Zone{Name: "annex", Region: "leon-coast", State: s}
}

// TestZoneOrderHeldUpInAReplicaDoesNotUndoANewerOne holds an order up in each replica, so also in
// one that is not the leader, between the look at its sender and the proposal.
func TestZoneOrderHeldUpInAReplicaDoesNotUndoANewerOne(t *testing.T) {
	for name, late := range map[string]int{"first replica": 0, "second replica": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replicas, state := pair(t)
			other := replicas[1-late]
			order(t, other, config.Out)

			looks := 0
			err := replicas[late].SetZone(timeoutContext(t), annex(config.In), func() error {
				if looks++; looks > 1 {
					return errors.New("the sender has closed the connection")
				}
				// The sender gives up right after the look, repeats the order and gives a newer one.
				order(t, other, config.In)
				order(t, other, config.Out)
				return nil
			})
			is.True(verdict.IsReason(err, verdict.ReasonNoQuorum))
			is.Equal(looks, 2)
			is.Equal(state(), config.Out)
		})
	}
}

// TestZoneOrderAfterAnotherChangeIsRepeated checks that a change of something else does not have
// the operator send the order again.
func TestZoneOrderAfterAnotherChangeIsRepeated(t *testing.T) {
	is := is.New(t)
	replicas, state := pair(t)
	order(t, replicas[1], config.In)
	looks := 0
	is.NoErr(replicas[0].SetZone(timeoutContext(t), annex(config.Out), func() error {
		if looks++; looks > 1 {
			return nil
		}
		return replicas[1].Publish(timeoutContext(t), config.Publication{Version: 1, Content: []byte("x")})
	}))
	is.Equal(looks, 2)
	is.Equal(state(), config.Out)
}

// TestZoneOrdersAtOnceAreAllAccepted guards against orders that keep each other from being carried
// out, as each one changes the revision that the others expect.
func TestZoneOrdersAtOnceAreAllAccepted(t *testing.T) {
	const orders = 8 // operators have as many in progress
	is := is.New(t)
	replicas, state := pair(t)
	order(t, replicas[0], config.In)
	order(t, replicas[1], config.In)
	ctx, failed := timeoutContext(t), make(chan error, orders)
	for i := range orders {
		go func() {
			failed <- replicas[i%2].SetZone(ctx, annex(config.Out), func() error { return nil })
		}()
	}
	for range orders {
		is.NoErr(<-failed)
	}
	is.Equal(state(), config.Out)
}
