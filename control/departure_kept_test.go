package control_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// TestAcknowledgedDepartureOutlastsItsReplicas guards against an acknowledged departure that was lost with
// the replica that had acknowledged it, or with all of them, so that a late announcement listed the endpoint
// as available again.
func TestAcknowledgedDepartureOutlastsItsReplicas(t *testing.T) {
	const replicas = 3
	endpoint := wire.Endpoint{Name: "i-1", Target: "desk", Addr: "10.0.0.1:80", Zone: "hall", Incarnation: 5, Slots: 6, Direct: true}
	draining := endpoint
	draining.Load.Leaving = true
	tests := map[string]struct {
		// leave has the first replica acknowledge that the endpoint leaves.
		leave func(p *control.Plugin) error
		// restarted are the replicas that restart at once.
		restarted []int
	}{
		"deregistered, one replica":  {func(p *control.Plugin) error { return p.Deregister(timeoutContext(t), "i-1", 0) }, []int{0}},
		"deregistered, all replicas": {func(p *control.Plugin) error { return p.Deregister(timeoutContext(t), "i-1", 0) }, []int{0, 1, 2}},
		"draining, one replica": {func(p *control.Plugin) error {
			_, err := p.Register(timeoutContext(t), draining, 3)
			return err
		}, []int{0}},
		"draining, all replicas": {func(p *control.Plugin) error {
			_, err := p.Register(timeoutContext(t), draining, 3)
			return err
		}, []int{0, 1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, replicas, shortGrace)
			register := func(e wire.Endpoint, sequence uint64) {
				for i := range replicas {
					_, err := d.replica(i).Register(timeoutContext(t), e, sequence)
					is.NoErr(err)
				}
			}
			register(endpoint, 2)
			eventually(t, "departure acknowledged", func() bool { return test.leave(d.replica(0)) == nil })
			for _, i := range test.restarted {
				d.stop(i)
			}
			for _, i := range test.restarted {
				d.start(i)
			}
			register(endpoint, 4) // delayed on its way
			operator := d.client("operator-1", wire.RoleOperator, nil)
			eventually(t, "endpoint listed as leaving", func() bool {
				var view command.View
				if operator.Do(timeoutContext(t), command.NameView, "", nil, &view) != nil {
					return false
				}
				return len(view.Endpoints) == 1 && view.Endpoints[0].Load.Leaving
			})
		})
	}
}
