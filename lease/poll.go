package lease

import "slices"

// ReplicaStatus is the answer of one replica of control to a poll.
type ReplicaStatus struct {
	// Replica is the ID of the replica, and Voters are the IDs of all voters in the newest
	// membership that it knows.
	Replica uint64
	Voters  []uint64
	// Revision is the newest revision of the configuration that the replica has. Settled is
	// set if its log has no entry after Revision that may still be committed as a change.
	Revision uint64
	Settled  bool
}

// Poll is a quorum read by a process whose permission no leader renews. The process asks
// all replicas of control itself, at the same time.
//
// A change that was accepted before the poll began is in the logs of a majority of the
// voters. So if a majority has no change that the process lacks, not even an uncommitted
// one, the process's configuration was current when the poll began. This holds with and
// without a leader: a leader that is elected later accepts changes only after the poll
// began, and the permission counts from the beginning of the poll.
//
// Answers from less than a majority prove nothing, because the process cannot distinguish
// a lost quorum from its own disconnection.
type Poll struct {
	answers map[uint64]ReplicaStatus
	stopped []uint64
}

// AddStopped counts a replica that has certainly stopped as having no newer change. Since
// the log of a stopped replica cannot be read, only a process whose permission has not
// expired since control last renewed it may call AddStopped. Such a process has every
// change that control has confirmed to an operator, because control confirms a change only
// when the permission of every process without the change has expired.
func (p *Poll) AddStopped(replica uint64) { p.stopped = append(p.stopped, replica) }

// Add records the answer of one replica, in place of an earlier answer of the same one.
func (p *Poll) Add(s ReplicaStatus) {
	if p.answers == nil {
		p.answers = map[uint64]ReplicaStatus{}
	}
	p.answers[s.Replica] = s
}

// ProvesCurrent reports whether the configuration at the given revision was current when the
// poll began. The counted replicas must be a majority of every membership named in the
// answers, because the majorities of successive memberships share a replica.
func (p *Poll) ProvesCurrent(revision uint64) bool {
	if len(p.answers) == 0 {
		return false
	}
	counted := slices.Clone(p.stopped)
	for id, s := range p.answers {
		if s.Revision > revision {
			return false
		}
		if s.Settled {
			counted = append(counted, id)
		}
	}
	for _, s := range p.answers {
		if !majority(s.Voters, counted) {
			return false
		}
	}
	return true
}

// majority reports whether the counted replicas include a majority of voters.
func majority(voters, counted []uint64) bool {
	n := 0
	for _, v := range voters {
		if slices.Contains(counted, v) {
			n++
		}
	}
	return 2*n > len(voters)
}
