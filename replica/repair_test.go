package replica

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func (c *cluster) addLearner(id ID) error {
	return c.doOrder(c.elect(), &order{change: change{op: opAddLearner, id: id, addr: "10.0.1.1:1"}})
}

func (c *cluster) promote(id ID) error {
	return c.doOrder(c.elect(), &order{change: change{op: opPromote, id: id}})
}

func (c *cluster) remove(id ID) error {
	return c.doOrder(c.elect(), &order{change: change{op: opRemove, id: id}})
}

// replace replaces a dead replica by a new one on an empty disk: added as a learner, then
// promoted once it has caught up.
func (c *cluster) replace(dead ID) *node {
	c.t.Helper()
	is := is.New(c.t)
	n := c.start(0, newMemDisk())
	is.NoErr(c.addLearner(n.id))
	c.until("a caught-up learner", func() bool { return c.isCaughtUp(n.id) })
	is.NoErr(c.remove(dead))
	is.NoErr(c.promote(n.id))
	c.until("the loss of one more to be survivable", func() bool {
		lead := c.leader()
		return lead != nil && lead.r.Status().FaultTolerant
	})
	return n
}

func (c *cluster) isCaughtUp(id ID) bool {
	lead := c.leader()
	return lead != nil && slices.ContainsFunc(lead.r.Members(), func(m MemberStatus) bool {
		return m.ID == id && m.CaughtUp
	})
}

// commitAll commits n commands.
func (c *cluster) commitAll(n int) {
	c.t.Helper()
	for i := range n {
		c.commit(fmt.Sprint("c", i))
	}
}

func TestSecondLossRightAfterARepair(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 31, 3, func(o *Options) { o.SnapshotEvery = 30 })
			c.commitAll(100)
			dead := c.followers()[0].id
			c.kill(dead)
			c.order = slices.DeleteFunc(c.order, func(id ID) bool { return id == dead })
			delete(c.nodes, dead)
			c.replace(dead)
			c.kill(c.order[lost])
			c.commit("after the second loss")
			is.Equal(len(c.leader().sm.Commands), 101)
		})
	}
}

func TestRepairIsNotReportedCompleteTooSoon(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 32, 3, nil)
	c.commitAll(20)
	c.until("a fault-tolerant group", func() bool { return c.elect().r.Status().FaultTolerant })
	dead := c.followers()[0].id
	c.kill(dead)
	c.until("the loss to be noticed", func() bool { return !c.elect().r.Status().FaultTolerant })
	n := c.start(0, newMemDisk())
	is.True(!n.r.Status().CaughtUp)
	c.isolate(n.id, true)
	is.NoErr(c.addLearner(n.id))
	c.steps(100)
	is.True(errors.Is(c.promote(n.id), ErrNotCaughtUp))
	is.True(!c.elect().r.Status().FaultTolerant)
	c.isolate(n.id, false)
	c.until("a caught-up learner", func() bool { return c.isCaughtUp(n.id) })
	is.True(!c.elect().r.Status().FaultTolerant) // a learner does not vote
	is.NoErr(c.remove(dead))
	is.True(!c.elect().r.Status().FaultTolerant)
	is.NoErr(c.promote(n.id))
	c.until("the repair", func() bool { return c.elect().r.Status().FaultTolerant })
	c.converge()
	is.True(n.r.Status().CaughtUp)
}

// One replica lacks a committed command, and another one that holds it loses its disk. If
// the new disk could vote under the old ID, the two would elect a leader without the
// command.
func TestWipedDiskDoesNotVoteUnderItsOldIdentity(t *testing.T) {
	withoutAndWith(t, func(t *testing.T, off bool) {
		is := is.New(t)
		c := newCluster(t, 33, 3, nil)
		c.commit("first")
		c.converge()
		away := c.followers()[0].id
		wiped := c.followers()[1].id
		holder := c.leader().id
		c.isolate(away, true)
		c.commit("second")
		old := c.nodes[wiped].r.founding.identity
		c.kill(wiped)
		c.kill(holder)
		c.isolate(away, false)
		disk := newMemDisk()
		if off { // the new disk gets the identity of the lost one
			old.LogCreated = false
			is.NoErr(saveIdentity(disk, old))
		}
		c.start(wiped, disk)
		c.steps(300)
		if off {
			is.Equal(c.elect().sm.Commands, []string{"first"}) // "second" is lost
			return
		}
		is.Equal(c.leader(), nil)
		c.restart(holder)
		c.commit("third")
		c.converge()
		is.Equal(c.leader().sm.Commands, []string{"first", "second", "third"})
		is.True(c.nodes[wiped] == nil) // it has a new ID and waits to be added
	})
}

func TestWipedFounderRejoinsAsALearner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 34, 3, nil)
	c.commitAll(10)
	wiped := c.followers()[0].id
	c.kill(wiped)
	n := c.start(wiped, newMemDisk())
	c.until("a new identity", func() bool { return n.id != wiped })
	is.Equal(n.r.Status().CaughtUp, false)
	is.NoErr(c.addLearner(n.id))
	c.until("a caught-up learner", func() bool { return c.isCaughtUp(n.id) })
	is.NoErr(c.remove(wiped))
	is.NoErr(c.promote(n.id))
	c.commit("last")
	c.converge()
	is.Equal(len(n.sm.Commands), 11)
}

// The disk of a founder is replaced while the group forms. Two founders must never finish
// with different lists of founders.
func TestFoundingWithAReplacedDiskNeverFormsTwoGroups(t *testing.T) {
	for seed := range uint64(60) {
		c := newCluster(t, 100+seed, 3, nil)
		c.delay = 4
		c.steps(c.rng.IntN(12))
		victim := ID(c.rng.IntN(3) + 1)
		formed := c.nodes[victim].r.founding.State == foundingDone
		c.kill(victim)
		c.start(victim, newMemDisk())
		c.steps(200)
		lists := map[string]bool{}
		for _, n := range c.nodes {
			if f := n.r.founding; f.State == foundingDone && len(f.Founders) > 0 {
				lists[fmt.Sprint(f.Founders)] = true
			}
		}
		if len(lists) > 1 || formed && c.nodes[victim] != nil {
			t.Fatalf("seed %d: lists %v, victim formed %t", seed, lists, formed)
		}
	}
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 35, 3, nil)
	lead := c.elect()
	c.converge()
	for _, n := range c.followers() {
		c.isolate(n.id, true)
	}
	_, err := lead.r.core.proposeChange(change{op: opAddLearner, id: 77})
	is.NoErr(err)
	_, err = lead.r.core.proposeChange(change{op: opAddLearner, id: 78})
	is.True(errors.Is(err, ErrChangePending))
	c.cut = map[link]bool{}
	c.elect()
	c.converge()
	is.True(errors.Is(c.remove(99), ErrNotMember))
	is.True(errors.Is(c.addLearner(1), ErrMemberExists))
}

// With one of three voters dead, the removal of a live one would leave a membership of two
// that needs both for a quorum.
func TestChangeWithoutAnActiveQuorumIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 41, 3, nil)
	c.commit("a")
	dead, live := c.followers()[0].id, c.followers()[1].id
	c.kill(dead)
	c.until("the loss to be noticed", func() bool { return !c.elect().r.core.isActive(dead) })
	is.True(errors.Is(c.remove(live), ErrQuorumLost))
	is.NoErr(c.remove(dead))
	c.commit("b")
}

func TestUncommittedMembershipIsDroppedWithItsEntry(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 36, 3, nil)
	c.commit("a")
	old := c.leader()
	c.isolate(old.id, true)
	_, err := old.r.core.proposeChange(change{op: opRemove, id: c.order[0]})
	is.NoErr(err)
	c.steps(100)
	c.commit("b")
	c.isolate(old.id, false)
	c.converge()
	is.Equal(len(old.r.Members()), 3)
}

func TestLeaderRemovesItself(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 37, 3, nil)
	c.commit("a")
	old := c.leader()
	is.NoErr(c.remove(old.id))
	c.until("another leader", func() bool { n := c.leader(); return n != nil && n != old })
	c.commit("b")
	is.Equal(len(c.leader().r.Members()), 2)
	is.True(!old.r.Status().CaughtUp)
}

func TestLastVoterCannotBeRemoved(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 38, 1, nil)
	is.True(errors.Is(c.remove(1), ErrLastVoter))
}

func TestPlannedStopTransfersLeadership(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 39, 3, nil)
	c.commit("a")
	old := c.leader()
	started := c.now
	is.NoErr(c.doOrder(old, &order{transfer: true}))
	c.elect()
	is.True(c.leader() != old)
	is.True(c.now-started < DefaultElectionTicks) // no replica had to wait for an election timeout
	c.commit("b")
	c.converge()
}

func TestLearnerServesReadsAndDoesNotVote(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 40, 3, nil)
	n := c.start(0, newMemDisk())
	is.NoErr(c.addLearner(n.id))
	c.commit("a")
	is.NoErr(c.await(&c.barrier(n).call).err)
	is.Equal(n.sm.Commands, []string{"a"})
	for _, f := range c.followers() {
		if f != n {
			c.kill(f.id)
		}
	}
	c.steps(300)
	is.Equal(c.leader(), nil) // the remaining voter and the learner are no quorum of three voters
}
