package replica

import "math/rand/v2"

// role is the Raft role of a replica. A learner is a follower that never campaigns.
type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// hardState is the term and the vote of a replica. A message that depends on it may be
// sent only after it is on disk.
type hardState struct {
	Term uint64
	Vote ID
}

// snapshotMeta describes a snapshot: index and term of the last entry that it covers,
// the membership at that index, and size and checksum of the data.
type snapshotMeta struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Size    uint64   `cbor:"4,keyasint"`
	// Checksum is the CRC-32C of the snapshot's data.
	Checksum uint32 `cbor:"5,keyasint"`
}

// snapshot is the encoded state of the state machine at an index.
type snapshot struct {
	meta snapshotMeta
	data []byte
}

// readState is the answer to a readIndex call. read is the number of the call. The reads
// that wait for the answer are linearizable once the entry at index is applied.
type readState struct {
	read  uint64
	index uint64
}

// ready is a batch of effects for the host of the core, Replica. The host saves snapshot,
// entries and hard state, calls advance, sends the messages and then applies committed
// entries.
// Messages for which canPrecedeSync holds may be sent before the save.
//
// hardDirty is set when hardState differs from the one on disk.
type ready struct {
	hardState hardState
	hardDirty bool
	entries   []Entry
	snapshot  *snapshot
	messages  []Message
	reads     []readState
}

// coreOptions are the fixed parameters of a core.
type coreOptions struct {
	id             ID
	electionTicks  int
	heartbeatTicks int
	rand           *rand.Rand

	// The fields below are set only in tests, which show the failure that the disabled
	// mechanism prevents.
	disablePreVote     bool
	disableYield       bool
	disableCheckQuorum bool
	disableReadRound   bool
}

// core is the Raft state machine of one replica as a step function. It does no I/O,
// reads no clock and starts no goroutine; Replica, called its host, serializes the calls.
//
// Invariants: a replica gives at most one vote in a term; a term has at most one
// leader; a leader only appends to its log; an entry is committed once a quorum of the
// voters has it on disk and either this entry or a later one is of the leader's current
// term.
type core struct {
	opts coreOptions
	id   ID

	term   uint64
	vote   ID
	saved  hardState // the hard state on disk
	role   role
	leader ID
	log    entryLog

	memberships []membership      // ascending by index; the first is that of the last snapshot
	snap        snapshotMeta      // the latest snapshot on this replica's disk
	incoming    *incomingSnapshot // being received from the leader
	pendingSnap *snapshot         // received completely, not yet on disk

	progress        map[ID]*progress
	votes           map[ID]bool
	electionElapsed int
	heartbeatTicks  int
	timeout         int // election timeout in ticks, randomized
	transferee      ID  // target of the leadership transfer in progress, or zero
	transferElapsed int

	uncommitted   int  // bytes of entries that a leader has appended and not committed
	unsentEntries bool // a leader has appended entries that flush has not sent yet

	reads    readQueue
	messages []Message   // for the next ready
	readDone []readState // for the next ready
}

// restored is the persistent state that a replica loads from its disk.
type restored struct {
	hard     hardState
	snapshot snapshotMeta
	base     uint64 // index before the first of entries
	baseTerm uint64
	entries  []Entry
}

func newCore(opts coreOptions, from restored) *core {
	c := &core{
		opts:  opts,
		id:    opts.id,
		term:  from.hard.Term,
		vote:  from.hard.Vote,
		saved: from.hard,
		snap:  from.snapshot,
	}
	c.log.reset(from.base, from.baseTerm)
	c.log.append(from.entries...)
	c.log.stable = c.log.last()
	c.log.committed = max(from.snapshot.Index, from.base)
	c.log.applied = c.log.committed
	c.memberships = []membership{newMembership(from.snapshot.Index, from.snapshot.Members)}
	for i := range from.entries {
		if from.entries[i].Index > from.snapshot.Index {
			c.addMemberships(from.entries[i : i+1])
		}
	}
	c.becomeFollower(c.term, 0)
	return c
}

// tick advances the core's time by one tick.
func (c *core) tick() {
	if c.role == roleLeader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed < c.timeout {
		return
	}
	c.electionElapsed = 0
	c.leader = 0 // campaign does nothing on a learner, which must forget a silent leader too
	c.campaign(false)
}

func (c *core) tickLeader() {
	for _, p := range c.progress {
		p.ticksSinceContact++
	}
	if !c.checkQuorum() {
		return
	}
	c.tickTransfer()
	c.heartbeatTicks++
	if c.heartbeatTicks >= c.opts.heartbeatTicks {
		c.heartbeatTicks = 0
		c.broadcastHeartbeat()
		c.resendUnanswered()
	}
}

// resendUnanswered looks, once a heartbeat, for messages without an answer and sends them
// again. It also sets the index that a caught-up member has to hold.
func (c *core) resendUnanswered() {
	for _, m := range c.current().members {
		c.progress[m.ID].caughtUpIndex = c.log.committed
		if m.ID != c.id {
			c.probeStalled(m.ID, c.progress[m.ID])
			c.resendChunk(m.ID, c.progress[m.ID])
		}
	}
}

// checkQuorum makes the leader step down when it has not had replies from a quorum within an
// election timeout. Otherwise its callers would wait for commits that cannot happen, and
// its heartbeats could keep followers whose answers are lost from electing another
// leader. It reports whether the replica still leads.
func (c *core) checkQuorum() bool {
	if c.opts.disableCheckQuorum || c.hasQuorum(c.isActive) {
		return true
	}
	c.becomeFollower(c.term, 0)
	return false
}

// step handles a message from another replica.
func (c *core) step(m *Message) {
	switch {
	case m.Term > c.term:
		if !c.stepNewerTerm(m) {
			return
		}
	case m.Term < c.term:
		c.stepOlderTerm(m)
		return
	}
	c.dispatch(m)
}

// stepNewerTerm moves to the term of m where the type of m asks for that, and reports
// whether m is to be handled further.
func (c *core) stepNewerTerm(m *Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true // a pre-vote does not change the term of the replica asked
	case MsgPreVoteReply:
		if !m.Reject {
			return true // a granted pre-vote carries the term of the planned election
		}
	case MsgVote:
		// The followers of a live leader ignore a candidate that has lost contact with
		// the leader, as its election would depose the leader.
		if !m.Force && c.hasLiveLeader() {
			return false
		}
	}
	leader := ID(0)
	if m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// hasLiveLeader reports whether this replica leads, or has last seen a leader within
// the minimum election timeout.
func (c *core) hasLiveLeader() bool {
	if c.opts.disablePreVote {
		return false
	}
	return c.role == roleLeader || c.leader != 0 && c.electionElapsed < c.opts.electionTicks
}

// stepOlderTerm answers a sender of an older term with the current term. Without the
// answer a replica that was cut off and missed an election would keep sending, or
// asking for votes, for ever.
func (c *core) stepOlderTerm(m *Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.send(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// dispatch calls the handler of a message, whose term is the current one or that of a
// pre-vote.
func (c *core) dispatch(m *Message) {
	switch m.Type {
	case MsgPreVote, MsgVote:
		c.handleVoteRequest(m)
	case MsgPreVoteReply:
		c.handleVoteReply(m, rolePreCandidate)
	case MsgVoteReply:
		c.handleVoteReply(m, roleCandidate)
	case MsgAppend:
		c.handleAppend(m)
	case MsgHeartbeat:
		c.handleHeartbeat(m)
	case MsgSnapshot:
		c.handleSnapshot(m)
	case MsgAppendReply:
		c.handleAppendReply(m)
	case MsgHeartbeatReply:
		c.handleHeartbeatReply(m)
	case MsgSnapshotReply:
		c.handleSnapshotReply(m)
	case MsgReadIndex:
		c.handleReadIndex(m)
	case MsgReadIndexReply:
		c.handleReadIndexReply(m)
	case MsgTimeoutNow:
		if c.leader == m.From {
			c.campaign(true)
		}
	}
}

// send queues a message. The current term is filled in unless m has a term.
func (c *core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

// ready returns the effects since the last call. Entries, hard state and snapshot are
// returned again until advance reports them as saved; messages and reads are returned
// once.
func (c *core) ready() ready {
	rd := ready{
		hardState: hardState{Term: c.term, Vote: c.vote},
		entries:   c.log.unstable(),
		snapshot:  c.pendingSnap,
		messages:  c.messages,
		reads:     c.readDone,
	}
	rd.hardDirty = rd.hardState != c.saved
	c.messages = nil
	c.readDone = nil
	return rd
}

// advance informs the core that the snapshot, entries and hard state of rd are on disk.
func (c *core) advance(rd *ready) {
	c.saved = rd.hardState
	if rd.snapshot != nil && c.pendingSnap == rd.snapshot {
		c.pendingSnap = nil
		c.snap = rd.snapshot.meta
	}
	if n := len(rd.entries); n > 0 {
		c.log.stableTo(rd.entries[n-1].Index, rd.entries[n-1].Term)
	}
	if c.role == roleLeader {
		c.ackLocalEntries()
	}
}

// maxApplyBytes bounds the entries that one takeCommitted call returns.
const maxApplyBytes = 4 << 20

// takeCommitted returns the next committed entries to apply and counts them as applied.
func (c *core) takeCommitted() []Entry {
	if c.pendingSnap != nil || c.log.applied >= c.log.committed {
		return nil
	}
	entries := c.log.slice(c.log.applied+1, maxApplyBytes)
	if over := c.log.applied + uint64(len(entries)); over > c.log.committed {
		entries = entries[:uint64(len(entries))-(over-c.log.committed)]
	}
	c.log.applied += uint64(len(entries))
	return entries
}

// compacted informs the core that the snapshot meta is on disk, and drops the entries up
// to keepFrom. Entries between keepFrom and the snapshot stay for followers that lag.
func (c *core) compacted(meta snapshotMeta, keepFrom uint64) {
	c.snap = meta
	at := *c.membershipAt(meta.Index)
	later := c.memberships[:0:0]
	later = append(later, at)
	for _, s := range c.memberships {
		if s.index > meta.Index {
			later = append(later, s)
		}
	}
	c.memberships = later
	c.log.compact(keepFrom)
}
