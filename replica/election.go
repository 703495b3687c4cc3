package replica

// becomeFollower makes the replica a follower of leader, zero for none, in term. A new
// term clears the vote.
func (c *core) becomeFollower(term uint64, leader ID) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	c.role = roleFollower
	c.resetRole()
	c.leader = leader
}

// resetRole clears the state of the previous role and draws a new election timeout
// between one and two times electionTicks.
func (c *core) resetRole() {
	c.leader = 0
	c.progress = nil
	c.votes = nil
	c.electionElapsed = 0
	c.heartbeatTicks = 0
	c.transferee = 0
	c.uncommitted = 0
	c.unsentEntries = false
	c.reads.clear()
	c.timeout = c.opts.electionTicks + c.opts.rand.IntN(c.opts.electionTicks)
}

// campaign starts an election, with a pre-vote first. A pre-vote does not raise the
// term, so a replica that cannot win does not depose a working leader. A campaign that
// belongs to a leadership transfer skips the pre-vote.
func (c *core) campaign(transfer bool) {
	if c.role == roleLeader || !c.current().isVoter(c.id) || c.pendingSnap != nil {
		return
	}
	if transfer || c.opts.disablePreVote {
		c.startElection(transfer)
		return
	}
	c.role = rolePreCandidate
	c.resetRole()
	c.votes = map[ID]bool{}
	c.requestVotes(MsgPreVote, c.term+1, false)
	c.countVote(c.id, true)
}

// startElection enters a new term, in which the replica votes for itself and requests
// the votes of the others. It counts its own vote before the vote is on disk. This is
// safe: until the vote is on disk, the host sends no vote request, and entries that this
// replica appends as leader do not count towards a commit.
func (c *core) startElection(force bool) {
	c.term++
	c.vote = c.id
	c.role = roleCandidate
	c.resetRole()
	c.votes = map[ID]bool{}
	c.requestVotes(MsgVote, c.term, force)
	c.countVote(c.id, true)
}

// requestVotes sends a request of type t, MsgPreVote or MsgVote, to all other voters.
func (c *core) requestVotes(t MessageType, term uint64, force bool) {
	for _, id := range c.current().voters() {
		if id == c.id {
			continue
		}
		c.send(Message{
			Type:    t,
			To:      id,
			Term:    term,
			Index:   c.log.last(),
			LogTerm: c.log.lastTerm(),
			Force:   force,
		})
	}
}

// handleVoteRequest answers a vote or pre-vote request. A replica answers even if it is
// no voter by its own log: votes are counted by the candidate's membership, and a
// promoted learner may not have received the entry that promotes it.
func (c *core) handleVoteRequest(m *Message) {
	pre := m.Type == MsgPreVote
	canVote := c.vote == m.From || c.vote == 0 && c.leader == 0
	if pre {
		canVote = m.Term > c.term && (m.Force || !c.hasLiveLeader())
	}
	grant := canVote && c.log.isUpToDate(m.Index, m.LogTerm) && c.pendingSnap == nil
	if pre && grant && c.role == rolePreCandidate {
		grant = c.yieldTo(m)
	}
	reply := Message{Type: m.Type + 1, To: m.From, Reject: !grant}
	if pre && grant {
		reply.Term = m.Term
	}
	c.send(reply)
	if grant && !pre {
		c.vote = m.From
		c.electionElapsed = 0
	}
}

// yieldTo decides between two concurrent pre-candidates, and reports whether this one
// grants the pre-vote of m and becomes a follower. If both went on they would split the
// votes and wait for another timeout. The caller has checked that the log of m's sender
// is at least as up to date; between equal logs the higher ID wins.
func (c *core) yieldTo(m *Message) bool {
	sameLastEntry := m.Index == c.log.last() && m.LogTerm == c.log.lastTerm()
	if sameLastEntry && m.From < c.id && !c.opts.disableYield {
		return false
	}
	if !c.opts.disableYield {
		c.becomeFollower(c.term, 0)
	}
	return true
}

// handleVoteReply handles the reply to a pre-vote or vote request, which counts only
// while the replica has the expected role, rolePreCandidate or roleCandidate.
func (c *core) handleVoteReply(m *Message, expected role) {
	if c.role != expected {
		return
	}
	// A granted pre-vote carries the term asked for; that of an earlier pre-vote does
	// not count.
	if expected == rolePreCandidate && !m.Reject && m.Term != c.term+1 {
		return
	}
	c.countVote(m.From, !m.Reject)
}

// countVote records the first vote of a voter. Once a quorum has granted, the replica
// goes on from pre-vote to election or becomes leader; once a quorum has refused, it
// becomes a follower.
func (c *core) countVote(from ID, granted bool) {
	if _, recorded := c.votes[from]; !recorded {
		c.votes[from] = granted
	}
	won := c.hasQuorum(func(id ID) bool { return c.votes[id] })
	lost := c.hasQuorum(func(id ID) bool {
		granted, voted := c.votes[id]
		return voted && !granted
	})
	switch {
	case won && c.role == rolePreCandidate:
		c.startElection(false)
	case won:
		c.becomeLeader()
	case lost:
		c.becomeFollower(c.term, 0)
	}
}

// becomeLeader makes the candidate the leader. It appends an empty entry, because
// entries of older terms commit only together with an entry of the leader's term.
func (c *core) becomeLeader() {
	c.role = roleLeader
	c.resetRole()
	c.leader = c.id
	c.progress = map[ID]*progress{}
	for _, m := range c.current().members {
		c.progress[m.ID] = newProgress(c.log.last())
	}
	if c.progress[c.id] == nil {
		c.progress[c.id] = newProgress(c.log.last())
	}
	c.progress[c.id].match = c.log.stable
	c.appendEntry(EntryEmpty, nil)
}

// transfer starts a leadership transfer to a voter, or to bestFollower if to is zero.
// The target is sent MsgTimeoutNow once it has the complete log on disk; until then proposals
// are refused with ErrNoQuorum. A second transfer replaces the first.
func (c *core) transfer(to ID) error {
	if c.role != roleLeader {
		return c.notLeaderError()
	}
	if to == 0 {
		to = c.bestFollower()
	}
	if to == c.id || !c.current().isVoter(to) {
		return ErrNotMember
	}
	c.transferee = to
	c.transferElapsed = 0
	c.finishTransfer()
	return nil
}

// bestFollower returns the active voter with the highest match index, zero for none.
func (c *core) bestFollower() ID {
	best := ID(0)
	for _, id := range c.current().voters() {
		p := c.progress[id]
		if id == c.id || !c.isActive(id) {
			continue
		}
		if best == 0 || p.match > c.progress[best].match {
			best = id
		}
	}
	return best
}

// finishTransfer sends the transferee MsgTimeoutNow if it has the complete log, and sends
// it the missing entries otherwise.
func (c *core) finishTransfer() {
	p := c.progress[c.transferee]
	if p == nil {
		c.transferee = 0
		return
	}
	if p.match == c.log.last() {
		c.send(Message{Type: MsgTimeoutNow, To: c.transferee})
		return
	}
	c.sendAppend(c.transferee)
}

// tickTransfer gives up a leadership transfer after electionTicks.
func (c *core) tickTransfer() {
	if c.transferee == 0 {
		return
	}
	c.transferElapsed++
	if c.transferElapsed >= c.opts.electionTicks {
		c.transferee = 0
	}
}
