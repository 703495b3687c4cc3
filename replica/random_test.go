package replica

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// scenario runs random actions on a cluster and checks Raft's safety properties.
type scenario struct {
	*cluster
	next      int
	pending   []*proposal
	answered  []string          // commands that completed without error
	refused   []string          // commands refused with an error that excludes their application
	committed map[uint64]string // entries by index, as first seen committed on any replica
	wiped     []ID              // replicas whose disk was lost; members until repair removes them
	wipedAt   int               // step of the last wipe
}

// randomAction runs one random action and then some steps.
func (s *scenario) randomAction(t *rapid.T) {
	n := s.nodes[rapid.SampledFrom(s.order).Draw(t, "replica")]
	switch rapid.IntRange(0, 15).Draw(t, "act") {
	case 0, 1, 2:
		if n.runs() {
			s.next++
			s.pending = append(s.pending, s.propose(n, fmt.Sprint("c", s.next)))
		}
	case 3:
		if n.r != nil && rapid.Bool().Draw(t, "machine") {
			s.kill(n.id)
		} else if n.r != nil {
			s.exit(n.id)
		}
	case 4, 5:
		if n.r == nil && n.disk.names[failedName] == nil && !n.disk.failSync {
			s.restart(n.id)
		}
	case 6:
		n.suspended = !n.suspended
	case 7:
		other := rapid.SampledFrom(s.order).Draw(t, "other")
		l := link{n.id, other}
		s.cut[l] = !s.cut[l]
	case 8:
		s.cut = map[link]bool{}
	case 9:
		n.disk.capacity = 0
		if rapid.Bool().Draw(t, "full") {
			n.disk.capacity = n.disk.used() + 200
		}
	case 10:
		if n.runs() {
			s.submit(n, &order{transfer: true})
		}
	case 11:
		n.disk.failSync = n.runs() && rapid.Bool().Draw(t, "fail")
	case 12:
		s.wipe(n)
	case 13, 14, 15:
		s.repair()
	}
	s.steps(rapid.IntRange(1, 25).Draw(t, "steps"))
}

// submit queues an administrative call at n without waiting for its outcome.
func (s *scenario) submit(n *node, o *order) {
	o.call = newCall(context.Background())
	n.r.inbox.put(func() { n.r.inbox.orders = append(n.r.inbox.orders, o) })
}

// wipe destroys a replica with its disk and starts a new replica on an empty disk. It does
// so only if the leader reports that the group tolerates the loss of one voter, and after
// enough steps for the leader to have noticed the previous wipe.
func (s *scenario) wipe(n *node) {
	lead := s.leader()
	settled := s.now-s.wipedAt > 2*DefaultElectionTicks
	if lead == nil || !settled || !lead.r.Status().FaultTolerant || !lead.r.core.current().isVoter(n.id) {
		return
	}
	s.exit(n.id)
	delete(s.nodes, n.id)
	s.order = slices.DeleteFunc(s.order, func(id ID) bool { return id == n.id })
	s.wiped = append(s.wiped, n.id)
	s.wipedAt = s.now
	s.start(0, newMemDisk())
}

// repair submits the next membership change of replacing a wiped replica.
func (s *scenario) repair() {
	lead := s.leader()
	if lead == nil {
		return
	}
	now := lead.r.core.current()
	for _, id := range s.order {
		m, ok := now.find(id)
		switch {
		case !ok:
			s.submit(lead, &order{change: change{op: opAddLearner, id: id}})
			return
		case !m.Voter:
			s.submit(lead, &order{change: change{op: opPromote, id: id}})
			return
		}
	}
	for _, id := range s.wiped {
		if _, ok := now.find(id); ok {
			s.submit(lead, &order{change: change{op: opRemove, id: id}})
			return
		}
	}
}

// collect records the outcomes of completed proposals.
func (s *scenario) collect() {
	var rest []*proposal
	for _, p := range s.pending {
		select {
		case o := <-p.done:
			switch {
			case o.err == nil:
				s.answered = append(s.answered, string(p.command))
			case o.err != ErrUncertain:
				s.refused = append(s.refused, string(p.command))
			}
		default:
			rest = append(rest, p)
		}
	}
	s.pending = rest
}

// check checks the safety properties on all replicas.
func (s *scenario) check(t testT) {
	for _, id := range s.order {
		n := s.nodes[id]
		if n.r == nil {
			continue
		}
		s.checkCommitted(t, n)
		for _, other := range s.order {
			if m := s.nodes[other]; m.r != nil && other > id {
				checkPrefix(t, n, m)
				checkLogMatching(t, n, m)
			}
		}
	}
}

// checkCommitted fails if two different entries were committed at one index.
func (s *scenario) checkCommitted(t testT, n *node) {
	l := &n.r.core.log
	for _, e := range l.entries {
		if e.Index > l.committed {
			return
		}
		entry := fmt.Sprint(e.Term, e.Kind, string(e.Data))
		if first, ok := s.committed[e.Index]; ok && first != entry {
			t.Fatalf("index %d: committed %q, replica %d has %q", e.Index, first, n.id, entry)
		}
		s.committed[e.Index] = entry
	}
}

// checkPrefix fails if neither of the two lists of applied commands is a prefix of the
// other.
func checkPrefix(t testT, a, b *node) {
	if a.r.core.pendingSnap != nil || b.r.core.pendingSnap != nil {
		return
	}
	n := min(len(a.sm.Commands), len(b.sm.Commands))
	if !slices.Equal(a.sm.Commands[:n], b.sm.Commands[:n]) {
		t.Fatalf("replica %d applied %v, replica %d %v", a.id, a.sm.Commands, b.id, b.sm.Commands)
	}
}

// checkLogMatching checks Raft's log matching property: two logs that have an entry of the
// same index and term are equal up to that entry.
func checkLogMatching(t testT, a, b *node) {
	la, lb := &a.r.core.log, &b.r.core.log
	agree := false
	for i := min(la.last(), lb.last()); i > max(la.base, lb.base); i-- {
		ea, eb := la.entries[i-la.base-1], lb.entries[i-lb.base-1]
		same := ea.Term == eb.Term
		if agree && !same || same && string(ea.Data) != string(eb.Data) {
			t.Fatalf("replicas %d and %d differ at index %d below a match", a.id, b.id, i)
		}
		agree = agree || same
	}
}

// heal ends all faults and waits until all replicas have applied the same commands.
func (s *scenario) heal() {
	s.cut = map[link]bool{}
	s.loseOneIn = 0
	for _, id := range s.order {
		n := s.nodes[id]
		n.suspended = false
		n.disk.capacity = 0
		n.disk.failSync = false
		if n.r == nil {
			s.kill(id)
			delete(n.disk.names, failedName) // the marker may survive the crash; the disk has been checked
			s.restart(id)
		}
	}
	// A leader that just resumed may accept the command and then learn of a newer leader.
	s.until("a commit", func() bool { return s.await(&s.propose(s.elect(), "end").call).err == nil })
	s.converge()
	s.collect()
}

func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(rt, "size")
		s := &scenario{committed: map[uint64]string{}}
		s.cluster = newCluster(rt, rapid.Uint64().Draw(rt, "seed"), size, func(o *Options) {
			o.SnapshotEvery = 12
			o.ReserveBytes = 512
		})
		s.delay = rapid.IntRange(0, 6).Draw(rt, "delay")
		s.loseOneIn = rapid.SampledFrom([]int{0, 4, 20}).Draw(rt, "lose")
		s.elect()
		for range rapid.IntRange(5, 60).Draw(rt, "acts") {
			s.randomAction(rt)
			s.collect()
			s.check(rt)
		}
		s.heal()
		s.check(rt)
		s.checkOutcomes(rt)
	})
}

// checkOutcomes fails if the leader lacks an answered command or has applied a refused one.
func (s *scenario) checkOutcomes(t testT) {
	final := s.leader().sm.Commands
	for _, command := range s.answered {
		if !slices.Contains(final, command) {
			t.Fatalf("%s was answered and is lost; applied: %v", command, final)
		}
	}
	for _, command := range s.refused {
		if slices.Contains(final, command) {
			t.Fatalf("%s was refused as not run and has run", command)
		}
	}
}
