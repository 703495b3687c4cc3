package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/replica"
)

const (
	testGrace = 7 * time.Second
	addrOne   = "10.0.0.1:80"
)

// replicaGroup holds the tables of replicas that report to each other.
type replicaGroup struct {
	now    time.Time
	tables []*table
	sent   map[[2]int]*reportState
	from   map[[2]int]*remote
}

func newReplicaGroup(size int) *replicaGroup {
	g := &replicaGroup{now: start, sent: map[[2]int]*reportState{}, from: map[[2]int]*remote{}}
	for i := range size {
		g.tables = append(g.tables, nil)
		g.restart(i)
	}
	return g
}

// restart starts a replica with an empty table. The others open new streams to it.
func (g *replicaGroup) restart(i int) {
	g.tables[i] = newTable(g.now, testGrace)
	for j := range g.tables {
		delete(g.sent, [2]int{i, j})
		delete(g.sent, [2]int{j, i})
	}
}

// report sends one report from each replica to each other one.
func (g *replicaGroup) report() {
	for i, from := range g.tables {
		for j, to := range g.tables {
			if i == j {
				continue
			}
			link := [2]int{i, j}
			if g.sent[link] == nil {
				g.sent[link], g.from[link] = &reportState{}, newRemote(replica.ID(i+1), nil)
				to.addRemote(g.from[link])
			}
			to.report(g.now, g.from[link], from.compose(g.now, g.sent[link], false))
		}
	}
}

// pass lets time pass, with a report and a sweep in each second.
func (g *replicaGroup) pass(span time.Duration) {
	for end := g.now.Add(span); g.now.Before(end); {
		g.now = g.now.Add(time.Second)
		g.report()
		for _, t := range g.tables {
			t.sweep(g.now)
		}
	}
}

// leaveAtLast registers i-1 at all replicas and deregisters it at the last one.
func (g *replicaGroup) leaveAtLast() {
	for i, t := range g.tables {
		t.register(g.now, direct("i-1", addrOne, 5, false), uint64(i+1))
	}
	g.report()
	g.tables[len(g.tables)-1].deregister(g.now, "i-1", 0)
	g.report()
}

// Replicas that were started again listed an endpoint as available that had left, by its announcements from before.
func TestEndpointThatLeftIsListedAgainAfterReplicasRestarted(t *testing.T) {
	register := func(g *replicaGroup, i int) {
		g.tables[i].register(g.now, direct("i-1", addrOne, 5, false), 9)
	}
	tests := map[string]func(g *replicaGroup){
		"the one that was told": func(g *replicaGroup) { g.restart(2) },
		"two in series":         func(g *replicaGroup) { g.restart(2); g.pass(5 * time.Second); g.restart(0) },
		"all in series": func(g *replicaGroup) {
			for i := range g.tables {
				g.restart(i)
				g.pass(5 * time.Second)
			}
		},
		"delayed announcement after the grace time": func(g *replicaGroup) { g.pass(3 * testGrace); register(g, 0) },
		"delayed announcement after restarts":       func(g *replicaGroup) { g.restart(2); g.pass(3 * testGrace); g.restart(0); register(g, 2) },
		"delayed announcement at a restarted one":   func(g *replicaGroup) { g.restart(2); register(g, 2) },
		"draining, with a delayed announcement": func(g *replicaGroup) {
			g.tables[1].register(g.now, direct("i-1", addrOne, 5, true), 8)
			g.report()
			g.restart(1)
			g.restart(2)
			register(g, 0)
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newReplicaGroup(3)
			g.leaveAtLast()
			disturb(g)
			g.report()
			g.report()
			for _, table := range g.tables {
				e, ok := listed(table)["i-1"]
				is.True(!ok || e.Load.Leaving)
			}
			g.now = g.now.Add(time.Second)
			is.True(g.tables[1].register(g.now, direct("i-1", addrOne, 6, false), 1))
			g.report()
			for _, table := range g.tables {
				is.True(!listed(table)["i-1"].Load.Leaving) // the next incarnation
			}
		})
	}
}

// A replica of an earlier version sends and reads no departures, and brought an endpoint that had left back.
func TestReplicaOfAnEarlierVersionBringsAnEndpointThatLeftBack(t *testing.T) {
	is := is.New(t)
	g := newReplicaGroup(3)
	g.leaveAtLast()
	earlier, from, sent := newTable(g.now, testGrace), newRemote(replica.ID(1), nil), &reportState{}
	earlier.addRemote(from)
	m := g.tables[0].compose(g.now, sent, false)
	m.Departed = nil
	earlier.report(g.now, from, m)
	is.True(listed(earlier)["i-1"].Load.Leaving)

	m = earlier.compose(g.now, &reportState{}, false)
	is.Equal(len(m.Sessions), 0)
	stale := direct("i-1", addrOne, 5, false)
	m.Departed, m.Sessions = nil, []sessionReport{{Key: "endpoint/i-1", Name: "i-1", Role: roleEndpoint, Endpoint: &stale}}
	g.restart(1)
	g.report()
	g.tables[1].report(g.now, newRemote(replica.ID(4), nil), m)
	is.True(listed(g.tables[1])["i-1"].Load.Leaving)
}

func TestDeparturesAreForgotten(t *testing.T) {
	is := is.New(t)
	g := newReplicaGroup(3)
	g.leaveAtLast()
	// Replicas that start again take the age over, so that no departure outlives its time.
	for i := range g.tables {
		g.pass(departureMemory / 4)
		is.Equal(len(g.tables[i].list.departed), 1)
		g.restart(i)
	}
	g.pass(departureMemory/4 + 2*testGrace)
	for _, table := range g.tables {
		is.Equal(len(table.list.departed), 0)
	}
	d := newDirectory()
	for i := range maxDepartures + 10 {
		d.recordDeparture(start.Add(time.Duration(i)), incarnation{fmt.Sprint("i-", i), 1})
	}
	is.Equal(len(d.departed), maxDepartures)
	is.True(d.keepLeaving(direct(fmt.Sprint("i-", maxDepartures+9), addrOne, 1, false)).Load.Leaving)
}

// A replica that did not know an endpoint acknowledged that it had left, and kept nothing of it.
func TestDepartureOfAnUnknownEndpointIsAcknowledged(t *testing.T) {
	is := is.New(t)
	g := newReplicaGroup(3)
	g.tables[0].register(g.now, direct("i-1", addrOne, 5, false), 1)
	is.True(!g.deregisterAt(1)) // before the first report
	g.report()
	is.True(g.deregisterAt(1))
	g.report()
	g.restart(2)
	is.True(!g.deregisterAt(2))
	g.pass(3 * testGrace)
	for i, table := range g.tables {
		_, ok := listed(table)["i-1"]
		is.True(!ok)
		is.True(g.deregisterAt(i)) // sent again
	}
}

// deregisterAt deregisters i-1 at a replica and reports whether it knew the endpoint.
func (g *replicaGroup) deregisterAt(i int) (known bool) {
	_, known = g.tables[i].deregister(g.now, "i-1", 0)
	return known
}
