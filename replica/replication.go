package replica

const (
	// maxAppendBytes bounds the entries of one MsgAppend.
	maxAppendBytes = 256 << 10
	// snapshotChunkBytes is the size of the chunks in which a snapshot is streamed.
	snapshotChunkBytes = 256 << 10
	// maxSnapshotBytes bounds a snapshot that a follower accepts.
	maxSnapshotBytes = 2 << 30
	// maxUncommittedBytes bounds the entries that a leader has appended and not
	// committed. Commands beyond it are refused with ErrBusy.
	maxUncommittedBytes = 32 << 20
	// MaxCommandBytes bounds one command; Propose refuses a longer one with ErrTooLarge.
	MaxCommandBytes = 1 << 20
	// chunkResendHeartbeats is the number of heartbeats after which an unanswered
	// snapshot chunk is resent.
	chunkResendHeartbeats = 3
)

// propose appends a command to the leader's log and returns the index of its entry. The
// error is ErrNotLeader, ErrNoQuorum or ErrBusy.
func (c *core) propose(command []byte) (uint64, error) {
	switch {
	case c.role != roleLeader:
		return 0, c.notLeaderError()
	case c.transferee != 0:
		return 0, ErrNoQuorum
	case c.uncommitted+len(command) > maxUncommittedBytes:
		return 0, ErrBusy
	}
	return c.appendEntry(EntryCommand, command), nil
}

// notLeaderError returns an ErrNotLeader with the known leader, or ErrNoQuorum.
func (c *core) notLeaderError() error {
	if c.leader == 0 {
		return ErrNoQuorum
	}
	m, _ := c.current().find(c.leader)
	return ErrNotLeader{Leader: c.leader, Addr: m.Addr}
}

// appendEntry appends an entry of the current term to the leader's log. The host
// broadcasts new entries with flush, so that entries proposed together share a message.
func (c *core) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append(e)
	c.uncommitted += e.size()
	c.addMemberships([]Entry{e})
	c.unsentEntries = true
	return e.Index
}

// flush broadcasts the entries that the leader has appended since the last flush.
func (c *core) flush() {
	if c.role == roleLeader && c.unsentEntries {
		c.broadcastAppend()
	}
	c.unsentEntries = false
}

func (c *core) broadcastAppend() {
	for _, m := range c.current().members {
		if m.ID != c.id {
			c.sendAppend(m.ID)
		}
	}
}

// sendAppend sends the follower the entries that it lacks, as far as its window of
// unanswered appends allows, or starts a snapshot if the log no longer holds them.
func (c *core) sendAppend(to ID) {
	p := c.progress[to]
	for p != nil && !p.paused() {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok {
			c.startSnapshot(to, p)
			return
		}
		var entries []Entry
		if c.isActive(to) { // a silent follower gets an empty append as a probe
			entries = c.log.slice(p.next, maxAppendBytes)
		}
		c.send(Message{
			Type:    MsgAppend,
			To:      to,
			Index:   p.next - 1,
			LogTerm: prevTerm,
			Entries: entries,
			Commit:  c.log.committed,
		})
		p.sent(p.next-1+uint64(len(entries)), len(entries))
		if len(entries) == 0 || p.next > c.log.last() {
			return
		}
	}
}

// recordLeaderContact records a message from the leader of the current term and restarts
// the election timeout.
func (c *core) recordLeaderContact(from ID) {
	if c.role != roleFollower {
		c.becomeFollower(c.term, from)
	}
	c.leader = from
	c.electionElapsed = 0
}

func (c *core) handleAppend(m *Message) {
	c.recordLeaderContact(m.From)
	reply := Message{Type: MsgAppendReply, To: m.From, Index: m.Index}
	switch {
	case m.Index < c.log.committed:
		reply.Index = c.log.committed
	case c.log.matches(m.Index, m.LogTerm):
		reply.Index = c.acceptEntries(m)
	default:
		reply.Reject = true
		reply.Hint, reply.HintTerm = c.log.hint(m.Index, m.LogTerm)
	}
	c.send(reply)
}

// acceptEntries merges the entries of m into the log, which holds the entry before them,
// and advances the commit index. It returns the index up to which the log is known to
// match that of the leader.
func (c *core) acceptEntries(m *Message) uint64 {
	if changed := c.log.merge(m.Entries); changed != 0 {
		c.dropMemberships(changed)
		c.addMemberships(m.Entries[changed-m.Index-1:])
	}
	c.incoming = nil
	agreed := m.Index + uint64(len(m.Entries))
	c.log.commitTo(min(m.Commit, agreed))
	return agreed
}

func (c *core) handleAppendReply(m *Message) {
	p := c.progress[m.From]
	if c.role != roleLeader || p == nil {
		return
	}
	p.ticksSinceContact = 0
	if m.Reject {
		c.handleRejection(m, p)
		return
	}
	moved := p.acked(m.Index)
	switch {
	case p.state == stateProbe && m.Index >= p.match:
		p.become(stateReplicate)
		p.next = p.match + 1
	case p.state == stateSnapshot && p.match >= p.snapshot:
		p.become(stateReplicate)
		p.next = p.match + 1
	}
	if moved && c.maybeCommit() {
		c.broadcastAppend()
	} else if p.next <= c.log.last() {
		c.sendAppend(m.From)
	}
	if m.From == c.transferee && c.role == roleLeader {
		c.finishTransfer()
	}
}

// handleRejection moves next of a follower back to where the logs may match and sends
// from there.
func (c *core) handleRejection(m *Message, p *progress) {
	if p.state == stateSnapshot {
		return
	}
	agree := m.Hint
	if agree >= c.log.base {
		agree, _ = c.log.hint(m.Hint, m.HintTerm)
	}
	if p.rejected(m.Index, agree) {
		c.sendAppend(m.From)
	}
}

// ackLocalEntries counts the entries on the leader's own disk towards a commit.
func (c *core) ackLocalEntries() {
	if c.progress[c.id].acked(c.log.stable) && c.maybeCommit() {
		c.broadcastAppend()
	}
}

// maybeCommit advances the commit index to the highest entry on a quorum of the voters,
// and reports whether it moved and the replica still leads. Only an entry of the current
// term is counted: an entry of an older term can be on a quorum and still be overwritten.
func (c *core) maybeCommit() bool {
	index := c.quorumMatch()
	if !c.log.matches(index, c.term) {
		return false
	}
	before := c.log.committed
	if !c.log.commitTo(index) {
		return false
	}
	for _, e := range c.log.entries[before-c.log.base : index-c.log.base] {
		c.uncommitted -= e.size()
	}
	c.uncommitted = max(c.uncommitted, 0)
	c.reads.admitDeferred()
	c.startReadRound()
	c.stepDownIfRemoved()
	return c.role == roleLeader
}

// committedInTerm reports whether an entry of the current term is committed. Until then
// a new leader does not know the commit index that earlier leaders had reached.
func (c *core) committedInTerm() bool {
	t, ok := c.log.term(c.log.committed)
	return ok && t == c.term
}

// stepDownIfRemoved makes a leader step down once its own removal is committed, and
// asks the best follower to campaign at once.
func (c *core) stepDownIfRemoved() {
	now := c.current()
	if now.isVoter(c.id) || now.index > c.log.committed {
		return
	}
	c.broadcastAppend()
	if to := c.bestFollower(); to != 0 {
		c.send(Message{Type: MsgTimeoutNow, To: to})
	}
	c.becomeFollower(c.term, 0)
}

func (c *core) broadcastHeartbeat() {
	for _, m := range c.current().members {
		if m.ID == c.id {
			continue
		}
		p := c.progress[m.ID]
		// The commit index is capped by match: entries of a follower beyond match may
		// differ from those of the leader.
		c.send(Message{
			Type:   MsgHeartbeat,
			To:     m.ID,
			Commit: min(p.match, c.log.committed),
			Read:   c.reads.round,
		})
	}
}

func (c *core) handleHeartbeat(m *Message) {
	c.recordLeaderContact(m.From)
	c.log.commitTo(m.Commit)
	c.send(Message{Type: MsgHeartbeatReply, To: m.From, Read: m.Read})
}

func (c *core) handleHeartbeatReply(m *Message) {
	p := c.progress[m.From]
	if c.role != roleLeader || p == nil {
		return
	}
	p.ticksSinceContact = 0
	if p.next <= c.log.last() {
		c.sendAppend(m.From)
	}
	p.readSeq = max(p.readSeq, m.Read)
	c.finishReadRound()
}

// probeStalled handles appends, or replies, that were lost: a follower whose appends
// stay unanswered is probed again from its match index. It is called once a heartbeat.
func (c *core) probeStalled(to ID, p *progress) {
	if p.state == stateSnapshot || !p.stalled() {
		return
	}
	p.become(stateProbe)
	p.next = p.match + 1
	c.sendAppend(to)
}
