package replica

import "slices"

// quorumOf returns how many of n voters make a majority.
func quorumOf(n int) int { return n/2 + 1 }

// hasQuorum says whether has holds for a majority of the current voters.
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

// quorumMatch returns the highest index that a majority of the voters holds on disk.
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

// isFaultTolerant says whether the group would lose neither data nor its quorum with
// any one more voter: the voters that are whole have to be a quorum without any one of
// them, and no change may be open.
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

// isCaughtUp says whether a member was heard from lately and holds on its disk all that
// was committed a heartbeat ago. What was committed since is on a quorum of the voters
// in any case; a member under steady load never holds the very last entry.
func (c *core) isCaughtUp(id ID) bool {
	p := c.progress[id]
	return p != nil && c.isActive(id) && c.committedInTerm() && p.match >= p.caughtUpIndex
}

// isActive says whether a leader heard from a member within an election timeout.
func (c *core) isActive(id ID) bool {
	p := c.progress[id]
	return id == c.id || p != nil && p.ticksSinceContact < c.opts.electionTicks
}
