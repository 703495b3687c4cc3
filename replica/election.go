package replica

// becomeFollower enters a term, or gives up a role within the current one.
func (c *core) becomeFollower(term uint64, leader ID) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	c.role = roleFollower
	c.resetRole()
	c.leader = leader
}

// resetRole clears what belongs to a role and draws a new election timeout.
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

// campaign asks for votes. A pre-vote comes first: it raises no term, so a replica
// that cannot win does not make a working leader step down. A transfer leaves it out.
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

// startElection enters a new term and votes for itself. The vote counts at once: no
// message leaves, and no leader's entry commits, before it is on disk.
func (c *core) startElection(force bool) {
	c.term++
	c.vote = c.id
	c.role = roleCandidate
	c.resetRole()
	c.votes = map[ID]bool{}
	c.requestVotes(MsgVote, c.term, force)
	c.countVote(c.id, true)
}

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

// handleVoteRequest answers a vote or pre-vote. A replica answers even when its own
// log does not yet show it as a voter: the candidate counts by the candidate's
// membership, and a promoted learner may not have received its promotion yet.
func (c *core) handleVoteRequest(m *Message) {
	pre := m.Type == MsgPreVote
	canVote := c.vote == m.From || c.vote == 0 && c.leader == 0
	if pre {
		canVote = m.Term > c.term && (m.Force || !c.hasLiveLeader())
	}
	grant := canVote && c.log.isUpToDate(m.Index, m.LogTerm) && c.pendingSnap == nil
	if pre && grant && c.role == rolePreCandidate {
		grant = c.yield(m)
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

// yield settles which of two pre-candidates goes on. If both did they would split the
// votes and wait for another timeout. The one with the longer log wins, then the one
// with the higher ID.
func (c *core) yield(m *Message) bool {
	sameLastEntry := m.Index == c.log.last() && m.LogTerm == c.log.lastTerm()
	if sameLastEntry && m.From < c.id && !c.opts.disableYield {
		return false
	}
	if !c.opts.disableYield {
		c.becomeFollower(c.term, 0)
	}
	return true
}

func (c *core) handleVoteReply(m *Message, expected role) {
	if c.role != expected {
		return
	}
	// A pre-vote is granted for the term asked for; one of an older round is void.
	if expected == rolePreCandidate && !m.Reject && m.Term != c.term+1 {
		return
	}
	c.countVote(m.From, !m.Reject)
}

// countVote records a vote and acts once a quorum has granted or refused.
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

// becomeLeader opens the term with an empty entry: entries of older terms commit
// only together with one of this term.
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

// transfer hands leadership to a voter once that holds the whole log. Proposals are
// refused meanwhile.
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

// bestFollower returns the voter heard from lately that holds most of the log.
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

// tickTransfer gives a transfer up after an election timeout.
func (c *core) tickTransfer() {
	if c.transferee == 0 {
		return
	}
	c.transferElapsed++
	if c.transferElapsed >= c.opts.electionTicks {
		c.transferee = 0
	}
}
