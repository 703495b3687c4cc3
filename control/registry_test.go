package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// direct returns a direct endpoint, which registers itself.
func direct(name, addr string, incarnation uint64, leaving bool) wire.Endpoint {
	return wire.Endpoint{Name: name, Addr: addr, Incarnation: incarnation, Direct: true, Load: wire.Load{Leaving: leaving}}
}

// listed returns the endpoints in the table's list by name.
func listed(t *table) map[string]wire.Endpoint {
	out := map[string]wire.Endpoint{}
	for _, e := range t.endpoints() {
		out[e.Name] = e
	}
	return out
}

// TestRegistrations registers endpoints and checks which announcements are accepted and which
// endpoints are listed at the end. Instances have names such as i-1.
func TestRegistrations(t *testing.T) {
	const a, b = "10.0.0.1:80", "10.0.0.2:80"
	type step struct {
		e        wire.Endpoint
		sequence uint64
		accepted bool
	}
	tests := map[string]struct {
		steps   []step
		leaving map[string]bool // Load.Leaving of each endpoint listed at the end
	}{
		"new endpoint": {[]step{{direct("i-1", a, 5, false), 1, true}}, map[string]bool{"i-1": false}},
		"delayed announcement": {
			[]step{{direct("i-1", a, 5, true), 4, true}, {direct("i-1", a, 5, false), 3, false}}, map[string]bool{"i-1": true},
		},
		"available again in the same incarnation": {
			[]step{{direct("i-1", a, 5, true), 4, true}, {direct("i-1", a, 5, false), 5, true}}, map[string]bool{"i-1": true},
		},
		"restarted with the same name": {
			[]step{{direct("i-1", a, 5, true), 4, true}, {direct("i-1", a, 6, false), 1, true}}, map[string]bool{"i-1": false},
		},
		"announcement of an earlier incarnation": {
			[]step{{direct("i-1", a, 6, false), 1, true}, {direct("i-1", a, 5, false), 9, false}}, map[string]bool{"i-1": false},
		},
		"newer endpoint at the address": {
			[]step{{direct("i-1", a, 5, false), 9, true}, {direct("i-2", a, 6, false), 1, true}}, map[string]bool{"i-2": false},
		},
		"older endpoint at the address, delayed": {
			[]step{{direct("i-2", a, 6, false), 1, true}, {direct("i-1", a, 5, false), 9, false}}, map[string]bool{"i-2": false},
		},
		"address to which no connection is possible": {
			[]step{{direct("i-1", a, 5, false), 1, true}, {direct("i-1", "10.0.0.1:70000", 5, false), 2, false}}, map[string]bool{"i-1": false},
		},
		"address of another endpoint and a start in a distant year": {
			[]step{{direct("i-1", a, 5, false), 1, true}, {direct("odd", a, 1<<64-1, false), 1, false}}, map[string]bool{"i-1": false},
		},
		"other address of the same incarnation": {
			[]step{{direct("i-1", a, 5, false), 1, true}, {direct("i-1", b, 5, false), 2, false}, {direct("i-1", a, 5, false), 2, true}}, map[string]bool{"i-1": false},
		},
		"sequence at its limit": {
			[]step{{direct("i-1", a, 5, false), 1, true}, {direct("i-1", a, 5, true), 1<<64 - 1, false}, {direct("i-1", a, 5, false), 2, true}}, map[string]bool{"i-1": false},
		},
		"announcement without a sequence": {
			[]step{{direct("i-1", a, 5, false), 7, true}, {direct("i-1", a, 5, true), 0, false}, {direct("i-1", a, 5, false), 8, true}}, map[string]bool{"i-1": false},
		},
		// Another writer numbered an announcement higher, and that the endpoint drains was ignored.
		"draining with a lower number than another writer's": {
			[]step{{direct("i-1", a, 5, false), 7, true}, {direct("i-1", a, 5, false), 4096, true}, {direct("i-1", a, 5, true), 8, true}}, map[string]bool{"i-1": true},
		},
		"draining with a lower number, delayed": {
			[]step{{direct("i-1", a, 5, false), 7, true}, {direct("i-1", a, 5, true), 6, true}, {direct("i-1", a, 5, false), 8, true}}, map[string]bool{"i-1": true},
		},
		"draining with a lower number at another address": {
			[]step{{direct("i-1", a, 5, false), 7, true}, {direct("i-1", b, 5, true), 6, false}}, map[string]bool{"i-1": false},
		},
		"two endpoints at two addresses": {
			[]step{{direct("i-1", a, 5, false), 1, true}, {direct("i-2", b, 6, false), 1, true}}, map[string]bool{"i-1": false, "i-2": false},
		},
		"moved to another address": {
			[]step{{direct("i-1", a, 5, false), 1, true}, {direct("i-1", b, 6, false), 1, true}}, map[string]bool{"i-1": false},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(start, time.Minute)
			for i, s := range test.steps {
				is.Equal(table.register(start.Add(time.Duration(i)*time.Second), s.e, s.sequence), s.accepted)
			}
			got := map[string]bool{}
			for n, e := range listed(table) {
				got[n] = e.Load.Leaving
			}
			is.Equal(got, test.leaving)
		})
	}
}

func TestEndpointThatLeftIsNotBroughtBack(t *testing.T) {
	is := is.New(t)
	table := newTable(start, time.Minute)
	is.True(table.register(start, direct("i-1", "10.0.0.1:80", 5, false), 1))
	table.deregister(start, "i-1", 0)
	is.True(listed(table)["i-1"].Load.Leaving)
	table.register(start, direct("i-1", "10.0.0.1:80", 5, false), 2) // a delayed announcement
	is.True(listed(table)["i-1"].Load.Leaving)
	table.deregister(start, "i-9", 0) // not registered
	is.Equal(len(listed(table)), 1)
}

// TestRegistrationsReachTheOtherReplicas registers one endpoint at each of two replicas. Replica
// one reports to replica two, which must list both, follow changes, and remove an endpoint only
// when it is silent at both replicas.
func TestRegistrationsReachTheOtherReplicas(t *testing.T) {
	is := is.New(t)
	one, two := newTable(start, 5*time.Second), newTable(start, 5*time.Second)
	sent := &reportState{}
	from := newRemote(replica.ID(1), nil)
	two.addRemote(from)
	now := start
	report := func() { two.report(now, from, one.compose(now, sent, false)) }
	is.True(one.register(now, direct("i-1", "10.0.0.1:80", 5, false), 1))
	is.True(two.register(now, direct("i-2", "10.0.0.2:80", 5, false), 1))
	report()
	is.Equal(len(listed(two)), 2)
	one.deregister(now, "i-1", 0)
	report()
	is.True(listed(two)["i-1"].Load.Leaving)
	is.Equal(len(two.processes(now)), 0) // no process has a session
	is.Equal(len(two.lagging(now, 9, time.Second, []replica.ID{1})), 0)
	now = now.Add(4 * time.Second)
	one.register(now, direct("i-1", "10.0.0.1:80", 5, true), 3)
	report()
	now = now.Add(3 * time.Second)
	is.Equal(two.sweep(now), []string{"i-2"}) // replica one has a newer announcement of i-1
	now = now.Add(3 * time.Second)
	one.sweep(now)
	report()
	two.sweep(now.Add(time.Second))
	is.Equal(len(listed(two)), 0)
}

// TestReplicaAsksToJoin checks when a replica asks to join the group.
func TestReplicaAsksToJoin(t *testing.T) {
	is := is.New(t)
	self := []replica.MemberStatus{{Member: replica.Member{ID: 7, Voter: true}}}
	w := newSteward(defaultCatchUp, start)
	is.True(w.wantsToJoin(start, 7, nil))                                 // a new disk
	is.True(!w.wantsToJoin(start, 7, self))                               // a member with a leader
	is.True(w.wantsToJoin(start.Add(w.rejoinAfter+time.Second), 7, self)) // it may have been removed
	w.joinRequested = start
	is.True(!w.wantsToJoin(start.Add(joinInterval/2), 7, nil))
}
