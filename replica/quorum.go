package replica

import "slices"

// quorumOf returns the number of voters in a majority of n voters.
func quorumOf(n int) int { return n/2 + 1 }

// hasQuorum reports whether has returns true for a majority of the current voters.
func (c *core) hasQuorum(has func(ID) bool) bool {
	voters := c.current().voters()
	n := 0
	for _, id := range voters {
		if has(id) {
			n++
		}
	}
	return n >= quorumOf(len(voters))
}

// quorumMatch returns the highest index up to which a majority of the voters is known to
// have the leader's log on disk.
func (c *core) quorumMatch() uint64 {
	voters := c.current().voters()
	match := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if p := c.progress[id]; p != nil {
			match = append(match, p.match)
		} else {
			match = append(match, 0)
		}
	}
	slices.Sort(match)
	return match[len(match)-quorumOf(len(match))]
}

// isFaultTolerant reports whether the group keeps its committed data and a quorum if any
// one voter is lost: the caught-up voters less one have to be a quorum, and no membership
// change may be uncommitted. It is false on a replica that does not lead.
func (c *core) isFaultTolerant() bool {
	if c.role != roleLeader || !c.committedInTerm() || c.current().index > c.log.committed {
		return false
	}
	voters := c.current().voters()
	caughtUp := 0
	for _, id := range voters {
		if c.isCaughtUp(id) {
			caughtUp++
		}
	}
	return caughtUp-1 >= quorumOf(len(voters))
}

// isCaughtUp reports whether a member is active and has everything on disk that was
// committed at the last heartbeat. The commit index of that time is used because under
// steady load a member never holds the very last entry; entries committed since are on a
// quorum of the voters anyway.
func (c *core) isCaughtUp(id ID) bool {
	p := c.progress[id]
	return p != nil && c.isActive(id) && c.committedInTerm() && p.match >= p.caughtUpIndex
}

// isActive reports whether the leader has last seen a member within electionTicks. The
// leader itself is always active.
func (c *core) isActive(id ID) bool {
	p := c.progress[id]
	return id == c.id || p != nil && p.ticksSinceContact < c.opts.electionTicks
}
