package replica

import "math/rand/v2"

type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// hardState has to be on disk before a message that depends on it goes out.
type hardState struct {
	Term uint64
	Vote ID
}

// snapshotMeta describes a snapshot.
type snapshotMeta struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Size    uint64   `cbor:"4,keyasint"`
	// Checksum is the CRC-32C of the data.
	Checksum uint32 `cbor:"5,keyasint"`
}

// snapshot is a state machine's state at an index.
type snapshot struct {
	meta snapshotMeta
	data []byte
}

// readState says that a read is linearizable once index is applied.
type readState struct {
	read  uint64
	index uint64
}

// ready is a batch of effects for the host: save snapshot, entries and hard state,
// then send messages, then apply committed entries, then call advance.
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

	// Only tests set these: they show the failure that a mechanism prevents.
	disablePreVote     bool
	disableYield       bool
	disableCheckQuorum bool
	disableReadRound   bool
}

// core is the consensus of one replica as a step function. It does no I/O, reads no
// clock and starts no goroutine; its host serialises the calls.
//
// Invariants: at most one vote a term; at most one leader a term; a leader only
// appends to its log; an entry is committed once a quorum of the voters holds it on
// disk and it, or one after it, is of the leader's own term.
type core struct {
	opts coreOptions
	id   ID

	term   uint64
	vote   ID
	saved  hardState // as on disk
	role   role
	leader ID
	log    entryLog

	memberships []membership // the first is the one of the last snapshot
	snap        snapshotMeta // the latest on this replica's disk
	incoming    *incomingSnapshot
	pendingSnap *snapshot // complete, not yet on disk

	progress        map[ID]*progress
	votes           map[ID]bool
	electionElapsed int
	heartbeatTicks  int
	timeout         int // randomised, in ticks
	transferee      ID
	transferElapsed int

	uncommitted   int  // bytes that a leader appended and has not committed
	unsentEntries bool // a leader's entries that flush has yet to send

	reads    readQueue
	messages []Message
	readDone []readState
}

// restored is the state that a replica finds on its disk.
type restored struct {
	hard     hardState
	snapshot snapshotMeta
	base     uint64 // the log's entries start after base
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
	c.leader = 0 // a learner does not campaign, and must not hold on to a leader either
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

// resendUnanswered looks, once a heartbeat, for messages that found no answer.
func (c *core) resendUnanswered() {
	for _, m := range c.current().members {
		c.progress[m.ID].caughtUpIndex = c.log.committed
		if m.ID != c.id {
			c.probeStalled(m.ID, c.progress[m.ID])
			c.resendChunk(m.ID, c.progress[m.ID])
		}
	}
}

// checkQuorum makes a leader that a quorum no longer answers step down, so that it
// neither holds its callers nor keeps half-connected followers from electing another.
func (c *core) checkQuorum() bool {
	if c.opts.disableCheckQuorum || c.hasQuorum(c.isActive) {
		return true
	}
	c.becomeFollower(c.term, 0)
	return false
}

// step takes in a message from another replica.
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

// stepNewerTerm reports whether m is to be handled further.
func (c *core) stepNewerTerm(m *Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true // answered without taking its term
	case MsgPreVoteReply:
		if !m.Reject {
			return true // carries the term that the pre-candidate asked for
		}
	case MsgVote:
		// A live leader's followers do not let a replica that lost touch disturb it.
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

func (c *core) hasLiveLeader() bool {
	if c.opts.disablePreVote {
		return false
	}
	return c.role == roleLeader || c.leader != 0 && c.electionElapsed < c.opts.electionTicks
}

// stepOlderTerm tells a sender of an older term about ours: a replica that fell
// behind while cut off would otherwise keep sending, or asking for votes, for ever.
func (c *core) stepOlderTerm(m *Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.send(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

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

// send queues a message of the current term.
func (c *core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

// ready returns the effects since the last call. Entries, hard state and snapshot
// come again until advance says that they are on disk; messages come once.
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

// advance tells the core that rd's snapshot, entries and hard state are on disk.
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

// maxApplyBytes bounds the entries handed out for applying at a time.
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

// compacted tells the core of a snapshot on disk, and of the log kept before it.
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
