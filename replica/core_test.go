package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// votersOf returns n voting members from ID 1 on.
func votersOf(n int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{ID: ID(i + 1), Voter: true})
	}
	return members
}

// coreOf returns the core of member 1 of n with the given term and log on its disk.
func coreOf(n int, term uint64, entries ...Entry) *core {
	opts := coreOptions{id: 1, electionTicks: 10, heartbeatTicks: 2, rand: rand.New(rand.NewPCG(1, 1))}
	from := restored{hard: hardState{Term: term}, entries: entries}
	from.snapshot.Members = votersOf(n)
	return newCore(opts, from)
}

// drainMessages reports the effects of the core as saved and returns its messages.
func drainMessages(c *core) []Message {
	c.flush()
	rd := c.ready()
	c.advance(&rd)
	return append(rd.messages, c.ready().messages...)
}

// makeLeader makes a core the leader of its next term.
func makeLeader(c *core) {
	c.campaign(true)
	for id := range c.current().voters() {
		c.step(&Message{Type: MsgVoteReply, From: ID(id + 1), To: 1, Term: c.term})
	}
}

// An entry of an older term can be on a majority and still be overwritten, by a later
// leader whose last entry is of a term in between. So a leader commits such an entry only
// together with one of its own term.
func TestLeaderCommitsOlderTermsOnlyWithItsOwn(t *testing.T) {
	is := is.New(t)
	c := coreOf(5, 3, Entry{Index: 1, Term: 1}, Entry{Index: 2, Term: 2})
	makeLeader(c)
	drainMessages(c)
	is.Equal(c.role, roleLeader)
	c.step(&Message{Type: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 2})
	c.step(&Message{Type: MsgAppendReply, From: 3, To: 1, Term: c.term, Index: 2})
	is.Equal(c.log.committed, uint64(0))
	c.step(&Message{Type: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 3})
	c.step(&Message{Type: MsgAppendReply, From: 3, To: 1, Term: c.term, Index: 3})
	is.Equal(c.log.committed, uint64(3))
}

// Two leaders that start changes from different memberships could commit by majorities
// without a common replica. So a leader first commits an entry of its own term.
func TestNewLeaderChangesNoMembershipBeforeItCommits(t *testing.T) {
	is := is.New(t)
	c := coreOf(3, 1)
	makeLeader(c)
	drainMessages(c)
	_, err := c.proposeChange(change{op: opAddLearner, id: 9})
	is.True(errors.Is(err, ErrChangePending))
	c.step(&Message{Type: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 1})
	_, err = c.proposeChange(change{op: opAddLearner, id: 9})
	is.NoErr(err)
}

func TestVoteIsOnDiskBeforeItIsGiven(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 61, 3, nil)
	c.commit("a")
	c.converge()
	n := c.followers()[0]
	l := &n.r.core.log
	ask := Message{Type: MsgVote, To: n.id, Term: n.r.core.term + 1, LogTerm: l.lastTerm(), Force: true}
	stale, first, second := ask, ask, ask
	stale.From = 7 // raises the term and gets no vote, as its log is empty
	first.From, first.Index = 8, l.last()
	second.From, second.Index = 9, l.last()
	for _, m := range []*Message{&stale, &first} {
		n.r.Receive(m)
		is.NoErr(n.r.runOnce())
	}
	is.Equal(n.r.core.vote, ID(8))
	c.kill(n.id)
	n = c.restart(n.id)
	n.r.Receive(&second)
	is.NoErr(n.r.runOnce())
	is.Equal(n.r.core.vote, ID(8))
	is.Equal(n.r.core.term, ask.Term)
}

func TestConflictHintSkipsAWholeTermAtATime(t *testing.T) {
	is := is.New(t)
	var long, short []Entry
	for i := range uint64(1000) { // the follower has entries of a leader that no other replica has
		long = append(long, Entry{Index: i + 1, Term: 2})
		short = append(short, Entry{Index: i + 1, Term: 3})
	}
	leader := coreOf(2, 3, short...)
	makeLeader(leader)
	follower := coreOf(2, 2, long...)
	follower.id = 2
	rounds := 0
	for follower.log.lastTerm() != leader.term {
		rounds++
		is.True(rounds < 8)
		for _, m := range drainMessages(leader) {
			follower.step(&m)
		}
		for _, m := range drainMessages(follower) {
			leader.step(&m)
		}
	}
	is.Equal(follower.log.last(), leader.log.last())
}

func TestWindowBoundsUnansweredAppends(t *testing.T) {
	is := is.New(t)
	c := coreOf(3, 1)
	makeLeader(c)
	drainMessages(c)
	c.step(&Message{Type: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 1})
	sent := 0
	for range 10 * maxInflight {
		_, err := c.propose([]byte("x"))
		is.NoErr(err)
		for _, m := range drainMessages(c) {
			if m.Type == MsgAppend && m.To == 2 && len(m.Entries) > 0 {
				sent++
			}
		}
	}
	is.Equal(sent, maxInflight)
	c.step(&Message{Type: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: c.log.last()})
	is.Equal(len(c.progress[2].inflight), 0)
}

func TestUncommittedBytesAreBounded(t *testing.T) {
	is := is.New(t)
	c := coreOf(3, 1)
	makeLeader(c)
	command := make([]byte, MaxCommandBytes)
	for range maxUncommittedBytes/MaxCommandBytes - 1 {
		_, err := c.propose(command)
		is.NoErr(err)
	}
	_, err := c.propose(command)
	is.True(errors.Is(err, ErrBusy))
}

func TestWaitingReadsShareARound(t *testing.T) {
	is := is.New(t)
	c := coreOf(3, 1)
	makeLeader(c)
	drainMessages(c)
	c.step(&Message{Type: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 1})
	drainMessages(c)
	for i := range uint64(100) {
		c.readIndex(i)
	}
	first := drainMessages(c)
	is.Equal(len(first), 2) // one heartbeat to each follower, for the first read
	c.step(&Message{Type: MsgHeartbeatReply, From: 2, To: 1, Term: c.term, Read: 1})
	is.Equal(len(c.readDone), 1)
	is.Equal(len(drainMessages(c)), 2) // and one more round for the other 99
	c.step(&Message{Type: MsgHeartbeatReply, From: 3, To: 1, Term: c.term, Read: 2})
	is.Equal(len(c.readDone), 99)
}

// A candidate may need the vote of a replica whose promotion to voter is in the
// candidate's log and has not reached that replica. So a replica that is no voter by its
// own log answers a pre-vote, and grants it once it has last seen a leader longer ago than an
// election timeout.
func TestLearnerVotesOnceItsLeaderIsSilent(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) { // with some seeds the randomized timeout is the shortest possible
		c := coreOf(3, 1)
		c.opts.rand = rand.New(rand.NewPCG(seed, 1))
		c.id = 9 // no member
		c.step(&Message{Type: MsgHeartbeat, From: 3, To: 9, Term: 2})
		drainMessages(c)
		ask := Message{Type: MsgPreVote, From: 1, To: 9, Term: 3, Index: 1, LogTerm: 2}
		c.step(&ask)
		is.True(drainMessages(c)[0].Reject)
		for range 2 * c.opts.electionTicks {
			c.tick()
		}
		c.step(&ask)
		is.True(!drainMessages(c)[0].Reject)
	}
}
