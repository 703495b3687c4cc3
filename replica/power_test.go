package replica

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/pkg/errors"
)

var blackouts = flag.Uint64("blackouts", 120, "seeds of TestAnsweredCommandsSurviveBlackouts")

// blackout is a scenario in which all VMs lose power together, again and again, and some of
// them their disks.
type blackout struct {
	*scenario
	size     int // number of voters once the group is repaired
	tolerate int // number of disks that the group may lose at the same time
}

func newBlackout(t testT, seed uint64) *blackout {
	size := 3 + 2*int(seed%2)
	b := &blackout{scenario: &scenario{committed: map[uint64]string{}}, size: size, tolerate: size / 2}
	b.cluster = newCluster(t, seed, size, func(o *Options) {
		o.SnapshotEvery = 8
		o.ReserveBytes = 512
	})
	for _, n := range b.nodes {
		n.r.store.full = 150
	}
	b.delay = b.rng.IntN(4)
	b.loseOneIn = []int{0, 0, 20}[b.rng.IntN(3)]
	b.dupOneIn = []int{0, 5, 30}[b.rng.IntN(3)]
	b.elect()
	return b
}

// node returns a random replica.
func (b *blackout) node() *node { return b.nodes[b.order[b.rng.IntN(len(b.order))]] }

// act proposes a command or runs another random action.
func (b *blackout) act() {
	n := b.node()
	switch k := b.rng.IntN(24); {
	case k < 14 && n.runs():
		b.next++
		b.pending = append(b.pending, b.propose(n, fmt.Sprint("c", b.next)))
	case k < 17:
		b.changeMember()
	case k == 17 && n.runs():
		b.submit(n, &order{transfer: true})
	case k == 18 && n.runs():
		n.r = nil // messages to it that are on their way arrive at the next process
		b.reopen(n)
	case k == 19 && n.runs():
		n.disk.capacity = n.disk.used() + b.rng.IntN(600)
	case k == 20:
		n.disk.capacity = 0
	case k == 21 && n.runs():
		n.disk.powerLeft = 1 + b.rng.IntN(12)
	case k >= 22 && n.r == nil:
		b.revive(n)
	}
}

// revive starts a replica that stopped in the middle of its work: its VM lost power, or only
// its process was killed.
func (b *blackout) revive(n *node) {
	if b.rng.IntN(2) == 0 {
		n.disk.crash(b.rng)
	}
	n.disk.off, n.disk.powerLeft = false, 0
	b.reopen(n)
}

// changeMember submits a random membership change that repairs the group, in any order of
// adding, promoting and removing.
func (b *blackout) changeMember() {
	lead := b.leader()
	if lead == nil {
		return
	}
	now := lead.r.core.current()
	var changes []change
	for _, id := range b.order {
		m, ok := now.find(id)
		switch {
		case !ok:
			changes = append(changes, change{op: opAddLearner, id: id, addr: "10.0.1.1:1"})
		case !m.Voter:
			changes = append(changes, change{op: opPromote, id: id})
		}
	}
	for _, id := range b.wiped {
		if _, ok := now.find(id); ok {
			changes = append(changes, change{op: opRemove, id: id})
		}
	}
	if len(changes) > 0 {
		b.submit(lead, &order{change: changes[b.rng.IntN(len(changes))]})
	}
}

// work runs random actions for some steps.
func (b *blackout) work(steps int) {
	for range steps {
		b.act()
		b.step()
		b.collect()
		b.check(b.t)
	}
}

// repaired reports whether the group tolerates the loss of disks again: all replicas vote and
// have caught up, and no lost disk counts.
func (b *blackout) repaired() bool {
	lead := b.leader()
	if lead == nil || !lead.r.Status().FaultTolerant || len(lead.r.core.current().members) != b.size {
		return false
	}
	for _, m := range lead.r.Members() {
		if n := b.nodes[m.ID]; n == nil || !n.runs() || !m.Voter || !lead.r.core.isCaughtUp(m.ID) {
			return false
		}
	}
	return true
}

// strike makes all VMs lose power up to some steps after a command was proposed, each at a
// random point of its work. As many disks are lost on top as the group tolerates.
func (b *blackout) strike() {
	lost := 0
	if b.repaired() {
		lost = b.rng.IntN(b.tolerate + 1)
	}
	if lead := b.leader(); lead != nil {
		b.next++
		b.pending = append(b.pending, b.propose(lead, fmt.Sprint("c", b.next)))
	}
	for range b.rng.IntN(9) {
		b.step()
	}
	for _, n := range b.nodes {
		if b.rng.IntN(2) == 0 {
			n.disk.powerLeft = 1 + b.rng.IntN(6)
		}
	}
	b.now++
	for _, id := range slices.Clone(b.order[:b.rng.IntN(len(b.order)+1)]) {
		if n := b.nodes[id]; n.runs() {
			b.deliver(n)
			n.r.tick()
			b.runOnce(n)
		}
	}
	b.collect()
	for _, id := range b.order {
		b.kill(id)
	}
	b.pending = nil // callers on the VMs themselves
	b.restartSome(lost)
}

// restartSome starts all replicas in a random order, the given number of them on empty disks.
func (b *blackout) restartSome(lost int) {
	all := slices.Clone(b.order)
	b.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for i, id := range all {
		n := b.nodes[id]
		if i < lost {
			b.wiped = append(b.wiped, id)
			n.disk = newMemDisk()
		}
		n.disk.capacity = 0
		if b.rng.IntN(4) == 0 {
			n.disk.powerLeft = 1 + b.rng.IntN(12) // it loses power again while it starts
		}
		b.reopen(n)
		b.steps(b.rng.IntN(20))
	}
}

// reopen starts a replica that does not run, again after each loss of power meanwhile.
func (b *blackout) reopen(n *node) {
	b.order = slices.DeleteFunc(b.order, func(id ID) bool { return id == n.id })
	delete(b.nodes, n.id)
	opened := b.open(0, n.disk)
	for errors.Is(opened.err, errNoPower) {
		n.disk.crash(b.rng)
		opened = b.open(0, n.disk)
	}
	if opened.err != nil {
		b.t.Fatalf("open %d: %v", n.id, opened.err)
	}
	opened.r.store.full = 150
	b.nodes[opened.id] = opened
	b.order = append(b.order, opened.id)
}

// repair steps until the group tolerates the loss of disks again.
func (b *blackout) repair() {
	for _, n := range b.nodes {
		n.disk.capacity = 0
	}
	b.until("a repaired group", func() bool {
		for _, id := range slices.Clone(b.order) {
			n := b.nodes[id]
			if n.r == nil {
				b.revive(n)
			}
		}
		if b.now%3 == 0 {
			b.changeMember()
		}
		b.collect()
		b.check(b.t)
		return b.repaired()
	})
	for _, n := range b.nodes {
		n.disk.powerLeft = 0
	}
}

// runBlackouts runs a scenario from a seed.
func runBlackouts(t testT, seed uint64) {
	b := newBlackout(t, seed)
	for range 4 {
		b.work(b.rng.IntN(50))
		b.strike()
		if b.rng.IntN(3) == 0 {
			b.work(b.rng.IntN(60))
			b.strike()
		}
		b.repair()
		b.until("a commit", func() bool { return b.await(&b.propose(b.elect(), fmt.Sprint("round ", b.now)).call).err == nil })
		b.converge()
		b.collect()
		b.checkOutcomes(t)
	}
}

// Whatever was answered outlives the loss of power of all VMs at any moment, also during a
// membership change, with the disks lost that the group tolerates.
func TestAnsweredCommandsSurviveBlackouts(t *testing.T) {
	for seed := range *blackouts {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runBlackouts(t, seed) })
	}
}
