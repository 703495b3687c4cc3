package replica

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestSingleMemberLeadsAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, nil)
	n := c.nodes[1]
	c.runOnce(n)
	is.Equal(n.r.Status().Leader, ID(1))
	o := c.await(&c.propose(n, "a").call)
	is.NoErr(o.err)
	is.Equal(string(o.result), "1")
}

func TestGroupElectsCommitsAndRestarts(t *testing.T) {
	for _, size := range []int{1, 2, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, uint64(size), size, nil)
			for i := range 50 {
				c.commit(fmt.Sprint("c", i))
			}
			c.converge()
			c.restartAll()
			c.commit("last")
			c.converge()
			is.Equal(len(c.leader().sm.Commands), 51)
		})
	}
}

func TestFollowerReturnsTheLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 3, nil)
	lead := c.elect()
	c.converge()
	for _, n := range c.nodes {
		if n == lead {
			continue
		}
		o := c.await(&c.propose(n, "x").call)
		var not ErrNotLeader
		is.True(errors.As(o.err, &not))
		is.Equal(not, ErrNotLeader{Leader: lead.id, Addr: c.addrs[lead.id]})
	}
}

func TestKilledLeaderIsReplacedAndRecovers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, 3, nil)
	c.commit("a")
	old := c.leader().id
	c.kill(old)
	c.commit("b")
	c.restart(old)
	c.converge()
	is.Equal(c.nodes[old].sm.Commands, []string{"a", "b"})
}

func TestBarrierOnAnyReplicaSeesCommittedCommands(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, 3, nil)
	for i := range 20 {
		c.commit(fmt.Sprint(i))
		for _, id := range c.order {
			n := c.nodes[id]
			b := c.barrier(n)
			is.NoErr(c.await(&b.call).err)
			is.Equal(len(n.sm.Commands), i+1)
		}
	}
}

func TestRestartAfterHundredsOfChangesWithSnapshots(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, 3, func(o *Options) { o.SnapshotEvery = 40 })
	for i := range 500 {
		c.commit(fmt.Sprint("c", i))
	}
	c.converge()
	is.True(c.leader().r.core.snap.Index >= 460)
	c.restartAll()
	c.commit("last")
	c.converge()
	is.Equal(len(c.leader().sm.Commands), 501)
}

func TestFollowerCatchesUpBySnapshot(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 7, 3, func(o *Options) { o.SnapshotEvery = 20 })
	c.commit("first")
	c.converge()
	id := c.order[0]
	if c.leader().id == id {
		id = c.order[1]
	}
	c.kill(id)
	for i := range 200 {
		c.commit(fmt.Sprint("c", i))
	}
	c.restart(id)
	c.converge()
	is.True(c.sent[MsgSnapshot] > 0)
	is.Equal(len(c.nodes[id].sm.Commands), 201)
	c.kill(id)
	c.restart(id)
	c.commit("after")
	c.converge()
}
