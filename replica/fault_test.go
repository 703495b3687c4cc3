package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// tuneCore sets options of the core for a whole cluster.
func tuneCore(set func(*coreOptions)) func(*Options) {
	return func(o *Options) { o.tune = set }
}

// withoutAndWith runs a test with a mechanism switched off, to show the failure that the
// mechanism prevents, and then with the mechanism on.
func withoutAndWith(t *testing.T, test func(t *testing.T, off bool)) {
	for _, off := range []bool{true, false} {
		t.Run(fmt.Sprintf("off=%t", off), func(t *testing.T) { test(t, off) })
	}
}

// followers returns the running replicas other than the leader, in the order of c.order.
func (c *cluster) followers() []*node {
	lead := c.elect()
	var found []*node
	for _, id := range c.order {
		if n := c.nodes[id]; n != lead && n.runs() {
			found = append(found, n)
		}
	}
	return found
}

// All VMs crash at the same time after each command. If syncs do nothing, the first command
// is lost although its caller was informed that it committed; with syncs no command is lost.
func TestAnsweredCommandsSurviveLossOfUnsyncedWrites(t *testing.T) {
	for _, syncs := range []bool{false, true} {
		t.Run(fmt.Sprintf("syncs=%t", syncs), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 11, 3, nil)
			c.elect()
			rounds := 1
			if syncs {
				rounds = 20
			}
			for i := range rounds {
				for _, n := range c.nodes {
					n.disk.noSync = !syncs
				}
				c.commit(fmt.Sprint("c", i))
				c.restartAll()
			}
			c.elect()
			c.converge()
			is.Equal(len(c.leader().sm.Commands) == rounds, syncs)
		})
	}
}

// A follower is cut off, fails to win elections for a long time and returns. Without the
// pre-vote its raised term deposes the leader.
func TestPreVoteKeepsAReturningReplicaFromDeposingTheLeader(t *testing.T) {
	withoutAndWith(t, func(t *testing.T, off bool) {
		is := is.New(t)
		c := newCluster(t, 12, 3, tuneCore(func(o *coreOptions) { o.disablePreVote = off }))
		lead := c.elect()
		term := lead.r.core.term
		away := c.followers()[0].id
		c.isolate(away, true)
		c.steps(200)
		c.isolate(away, false)
		c.steps(200)
		is.Equal(lead.r.core.term == term, !off)
	})
}

// The network fails in one direction: the leader's messages arrive, and none reaches the
// leader. Without check quorum its heartbeats keep the followers from electing another.
func TestCheckQuorumStepsDownALeaderThatReceivesNothing(t *testing.T) {
	withoutAndWith(t, func(t *testing.T, off bool) {
		is := is.New(t)
		c := newCluster(t, 13, 3, tuneCore(func(o *coreOptions) { o.disableCheckQuorum = off }))
		c.commit("before")
		cutOff := c.leader()
		for _, id := range c.order {
			c.cut[link{id, cutOff.id}] = true
		}
		p := c.propose(cutOff, "at the cut")
		c.steps(300)
		served := false
		for _, n := range c.nodes {
			served = served || n != cutOff && n.r.core.role == roleLeader
		}
		is.Equal(served, !off) // the others have a leader that can commit
		if off {
			return
		}
		is.True(errors.Is(c.await(&p.call).err, ErrUncertain))
		c.commit("after")
	})
}

// A process that was suspended while it led resumes after another leader has committed.
// Without the read index round it answers a read from its old state.
func TestReadRoundRefusesAStaleLeader(t *testing.T) {
	withoutAndWith(t, func(t *testing.T, off bool) {
		is := is.New(t)
		c := newCluster(t, 14, 3, tuneCore(func(o *coreOptions) { o.disableReadRound = off }))
		c.commit("old")
		stale := c.leader()
		stale.suspended = true
		c.commit("new")
		stale.suspended = false
		b := c.barrier(stale)
		c.inFlight[stale.id] = nil // it resumes before any message arrives
		c.runOnce(stale)
		select {
		case o := <-b.done:
			is.NoErr(o.err)
			is.True(off) // answered, although it lacks the newer command
			is.Equal(stale.sm.Commands, []string{"old"})
		default:
			is.True(!off)
			is.NoErr(c.await(&b.call).err)
			is.Equal(stale.sm.Commands, []string{"old", "new"})
		}
	})
}

// Two followers time out at nearly the same tick. If both go on from pre-vote to election
// they split the votes and wait for another timeout, possibly several times.
func TestPreCandidatesDoNotSplitTheVotes(t *testing.T) {
	withoutAndWith(t, func(t *testing.T, off bool) {
		is := is.New(t)
		longest := 0
		for seed := range uint64(200) {
			c := newCluster(t, seed, 3, tuneCore(func(o *coreOptions) { o.disableYield = off }))
			c.commit("a")
			c.converge()
			c.kill(c.leader().id)
			start := c.now
			c.elect()
			longest = max(longest, c.now-start)
		}
		// In ticks: the longest timeout, then pre-vote, vote and commit.
		is.Equal(longest <= 2*DefaultElectionTicks+8, !off)
	})
}

// A follower's process ends while the answer to its read is on the way, and the answer arrives
// at the next process, after another command was committed. It must not answer a read of this
// process.
func TestAnswerToAReadOfAnEarlierProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 24, 3, nil)
	c.commit("old")
	c.converge()
	lead, id := c.leader(), c.followers()[0].id
	var late []inFlightMessage
	c.barrier(c.nodes[id])
	c.until("an answer on the way", func() bool {
		late = slices.DeleteFunc(slices.Clone(c.inFlight[id]), func(f inFlightMessage) bool {
			m := &Message{}
			is.NoErr(m.Unmarshal(f.encoded))
			return m.Type != MsgReadIndexReply
		})
		return len(late) > 0
	})
	c.exit(id)
	n := c.restart(id)
	c.until("the old state", func() bool { return len(n.sm.Commands) == 1 })
	c.cut[link{lead.id, id}] = true
	c.commit("new")
	b := c.barrier(n)
	c.runOnce(n)
	c.inFlight[id] = late
	c.deliver(n)
	c.runOnce(n)
	is.Equal(len(b.done), 0)
	c.cut = map[link]bool{}
	is.NoErr(c.await(&b.call).err)
	is.Equal(n.sm.Commands, []string{"old", "new"})
}

func TestResumedLeaderDoesNotCommitAnOldProposal(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 15, 3, nil)
	c.commit("a")
	stale := c.leader()
	stale.suspended = true
	p := c.propose(stale, "pending")
	c.commit("b")
	stale.suspended = false
	o := c.await(&p.call)
	is.True(o.err != nil)
	c.commit("c")
	c.converge()
	is.Equal(stale.sm.Commands, []string{"a", "b", "c"})
}

func TestLongPartitionOfAMinority(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 16, 5, func(o *Options) { o.SnapshotEvery = 30 })
	c.commit("first")
	minority := []ID{c.leader().id, c.followers()[0].id}
	for _, id := range c.order {
		for _, m := range minority {
			if !slices.Contains(minority, id) {
				c.cut[link{id, m}] = true
				c.cut[link{m, id}] = true
			}
		}
	}
	p := c.propose(c.nodes[minority[0]], "in the minority")
	b := c.barrier(c.nodes[minority[1]])
	c.until("the minority's leader to step down", func() bool {
		return c.nodes[minority[0]].r.core.role != roleLeader
	})
	is.True(errors.Is(c.await(&p.call).err, ErrUncertain))
	for i := range 300 {
		c.commit(fmt.Sprint("c", i))
	}
	is.Equal(len(b.done), 0) // no read is answered without a quorum
	is.True(errors.Is(c.await(&c.propose(c.nodes[minority[0]], "x").call).err, ErrNoQuorum))
	c.cut = map[link]bool{}
	is.NoErr(c.await(&b.call).err)
	c.converge()
	is.Equal(len(c.leader().sm.Commands), 301)
}

// restartNeedingSnapshot kills a follower and restarts it when it can only catch up by a
// snapshot of several chunks.
func (c *cluster) restartNeedingSnapshot(id ID) {
	c.t.Helper()
	c.kill(id)
	for i := range 30 {
		c.commit(strings.Repeat(fmt.Sprint(i%10), snapshotChunkBytes/5))
	}
	c.until("a snapshot of several chunks", func() bool {
		return c.elect().r.core.snap.Size > 4*snapshotChunkBytes
	})
	c.restart(id)
}

func TestSnapshotStreamSurvivesLossAndRestarts(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 21, 3, func(o *Options) { o.SnapshotEvery = 5 })
	c.commit("a")
	id := c.followers()[0].id
	c.restartNeedingSnapshot(id)
	c.loseOneIn = 4
	c.delay = 3
	for range 3 {
		c.until("some chunks", func() bool { in := c.nodes[id].r.core.incoming; return in != nil && len(in.data) > 0 })
		c.kill(id)
		c.restart(id)
	}
	c.loseOneIn = 0
	c.converge()
	is.Equal(len(c.nodes[id].sm.Commands), 31)
}

// A bit of the leader's snapshot file flips after the file was written. The follower must
// not install the snapshot.
func TestDamagedSnapshotIsNotInstalled(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 22, 3, func(o *Options) { o.SnapshotEvery = 5 })
	c.commit("a")
	id := c.followers()[0].id
	c.restartNeedingSnapshot(id)
	lead := c.leader()
	name := lead.disk.last(snapshotPrefix)
	lead.disk.flip(name, len(lead.disk.names[name].data)/2)
	c.steps(200)
	is.True(c.nodes[id].r.core.log.applied < lead.r.core.log.base) // never installed
	is.NoErr(c.doOrder(lead, &order{transfer: true}))              // to a leader whose file is not damaged
	c.commit("b")
	c.converge()
	is.Equal(len(c.nodes[id].sm.Commands), 32)
}

// A snapshot that the leader sent before a follower had acknowledged later entries arrives after
// them. The follower must not drop these entries, as they may be committed.
func TestLateSnapshotDoesNotDropAcknowledgedEntries(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 23, 3, nil)
	lead := c.elect()
	lead.r.opts.SnapshotEvery = 6
	c.commitAll(8)
	is.True(lead.r.core.snap.Index > 0)
	holder, away := c.followers()[0], c.followers()[1]
	c.converge()
	c.isolate(away.id, true)
	c.commit("last")
	is.True(lead.r.core.snap.Index < lead.r.core.log.last())
	c.kill(holder.id)
	holder = c.restart(holder.id) // it forgets the commit index
	snap := lead.r.core.snap
	late := &Message{
		Type: MsgSnapshot, From: lead.id, To: holder.id, Term: lead.r.core.term, Index: snap.Index,
		LogTerm: snap.Term, Members: snap.Members, Size: snap.Size, Checksum: snap.Checksum,
	}
	is.True(lead.r.fillChunk(late))
	holder.r.Receive(late)
	c.runOnce(holder)
	c.kill(lead.id)
	c.isolate(away.id, false)
	c.commit("next")
	is.True(slices.Contains(c.leader().sm.Commands, "last"))
}

func TestFailedSyncStopsTheReplicaForGood(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17, 3, nil)
	c.commit("a")
	bad := c.leader()
	bad.disk.failSync = true
	p := c.propose(bad, "b")
	is.True(errors.Is(c.await(&p.call).err, ErrUncertain))
	is.True(errors.Is(bad.err, errSyncFailed))
	bad.disk.failSync = false
	c.commit("c")
	is.True(errors.Is(c.open(bad.id, bad.disk).err, ErrDiskFailed))
}

// After a failed sync the operating system still returns the data that it could not write,
// and later syncs report success. A new process on such a disk would acknowledge entries
// that are lost in a crash, so the failed file makes it refuse the disk.
func TestNewProcessDoesNotTrustADiskWithAFailedSync(t *testing.T) {
	withoutAndWith(t, func(t *testing.T, off bool) {
		is := is.New(t)
		disk, _ := writtenDisk(t)
		s, _, err := openStore(disk, 0)
		is.NoErr(err)
		disk.failSync = true
		rd := batchOf(16, 1)
		is.True(s.save(&rd) != nil)
		disk.failSync = false
		if off {
			is.NoErr(disk.Remove(failedName))
		}
		_, from, err := openStore(disk, 0)
		is.Equal(errors.Is(err, ErrDiskFailed), !off)
		is.NoErr(disk.SyncDir())
		disk.crash(newCluster(t, 1, 1, nil).rng)
		if off {
			is.Equal(len(from.entries), 16)
			_, from, err = openStore(disk, 0)
			is.NoErr(err)
			is.True(len(from.entries) < 16) // an acknowledged entry is lost
		}
	})
}

// A process ends between write and sync. A new process reads the entry and acknowledges
// it, and then the VM crashes. The entry must survive, so openStore syncs the log.
func TestUnsyncedWritesOfAnEarlierProcessAreSyncedAtOpen(t *testing.T) {
	is := is.New(t)
	disk, _ := writtenDisk(t)
	name := disk.last(segmentPrefix)
	rd := batchOf(16, 1)
	records := appendEntryRecord(nil, &rd.entries[0])
	disk.names[name].data = appendFrame(disk.names[name].data, 6, records)
	_, from, err := openStore(disk, 0)
	is.NoErr(err)
	is.Equal(len(from.entries), 16)
	is.NoErr(disk.SyncDir())
	disk.crash(newCluster(t, 1, 1, nil).rng)
	_, from, err = openStore(disk, 0)
	is.NoErr(err)
	is.Equal(len(from.entries), 16)
}

func TestStoreWritesNothingAfterAFailedSync(t *testing.T) {
	is := is.New(t)
	disk := newMemDisk()
	s, _, err := openStore(disk, 0)
	is.NoErr(err)
	rd := ready{entries: []Entry{{Index: 1, Term: 1}}}
	is.NoErr(s.save(&rd))
	disk.failSync = true
	is.True(errors.Is(s.save(&rd), errSyncFailed))
	disk.failSync = false
	written := disk.written
	is.True(errors.Is(s.save(&rd), errSyncFailed))
	is.True(errors.Is(s.saveSnapshot(snapshotMeta{Index: 1}, nil), errSyncFailed))
	is.Equal(disk.written, written)
}

func TestFullDiskRefusesCommandsAndLosesNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 18, 1, nil)
	n := c.nodes[1]
	c.commit("kept")
	n.disk.capacity = n.disk.used() + 100
	accepted := []string{"kept"}
	refused := false
	for i := 0; !refused; i++ {
		command := fmt.Sprint("command-", i)
		err := c.await(&c.propose(n, command).call).err
		refused = errors.Is(err, ErrDiskFull)
		if !refused {
			is.NoErr(err)
			accepted = append(accepted, command)
		}
	}
	is.NoErr(c.await(&c.barrier(n).call).err) // reads go on
	is.Equal(n.sm.Commands, accepted)
	c.kill(1)
	n = c.restart(1)
	is.NoErr(c.await(&c.barrier(n).call).err)
	is.Equal(n.sm.Commands, accepted)
	is.True(errors.Is(c.await(&c.propose(n, "still full").call).err, ErrDiskFull))
	n.disk.capacity = 0
	c.step()
	is.NoErr(c.await(&c.propose(n, "space again").call).err)
}

func TestLeaderWithAFullDiskTransfersLeadership(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 19, 3, nil)
	c.commit("a")
	full := c.leader()
	full.disk.capacity = full.disk.used()
	is.NoErr(c.await(&c.propose(full, "in flight").call).err)
	c.until("another leader", func() bool { n := c.leader(); return n != nil && n != full })
	c.commit("b")
	is.NoErr(c.await(&c.barrier(c.leader()).call).err)
	full.disk.capacity = 0
	c.converge()
	is.Equal(full.sm.Commands, []string{"a", "in flight", "b"})
}

// The disks of all replicas are full and even the reserve has no space. No command is
// acknowledged, reads still work, and the group recovers once there is space.
func TestDiskFullBeyondTheReserve(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 20, 3, func(o *Options) { o.ReserveBytes = 1 })
	c.commit("a")
	for _, n := range c.nodes {
		n.disk.capacity = n.disk.used()
	}
	lead := c.leader()
	p := c.propose(lead, "pending")
	b := c.barrier(lead)
	is.NoErr(c.await(&b.call).err)
	c.steps(100)
	is.Equal(len(p.done), 0)
	is.True(errors.Is(c.await(&c.propose(lead, "more").call).err, ErrDiskFull))
	for _, n := range c.nodes {
		n.disk.capacity = 0
	}
	c.await(&p.call)
	c.commit("b")
	c.converge()
}
