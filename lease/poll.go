package lease

import "slices"

// ReplicaStatus is what one replica says about itself in answer to a poll.
type ReplicaStatus struct {
	// Replica is its number and Voters those of all voters in its newest membership.
	Replica uint64
	Voters  []uint64
	// Revision is the highest one that it holds. Settled is set when its log holds
	// nothing after that which may still become a change.
	Revision uint64
	Settled  bool
}

// Poll is a process's own read from a quorum, for when no leader renews its
// permission. The process asks all replicas itself, at one moment.
//
// A change that was accepted before that moment is in the logs of a majority of
// the voters. So if a majority hold no change that the process lacks, not even one
// that is not yet decided, the process was current at that moment. It does not
// matter whether there is a leader: one that is elected later accepts a change at
// the earliest after the moment, and the permission counts from there.
//
// Fewer answers prove nothing: the process cannot tell a lost quorum from its own
// cut.
type Poll struct {
	answers map[uint64]ReplicaStatus
	stopped []uint64
}

// AddStopped enters a replica that has certainly stopped. It cannot tell what is in
// its log, so it may be entered only by a process whose permission has not lapsed
// since control last renewed it: such a process knows every order that control has
// answered, because control answers an order only once all permissions that do not
// know it have lapsed.
func (p *Poll) AddStopped(replica uint64) { p.stopped = append(p.stopped, replica) }

// Add enters the answer of one replica.
func (p *Poll) Add(s ReplicaStatus) {
	if p.answers == nil {
		p.answers = map[uint64]ReplicaStatus{}
	}
	p.answers[s.Replica] = s
}

// ProvesCurrent reports whether a process with revision ours was current when the poll
// began. Memberships that follow on one another share a replica in their
// majorities, so the answers must be a majority of every membership that they name.
func (p *Poll) ProvesCurrent(ours uint64) bool {
	if len(p.answers) == 0 {
		return false
	}
	counted := slices.Clone(p.stopped)
	for id, s := range p.answers {
		if s.Revision > ours {
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

func majority(voters, counted []uint64) bool {
	n := 0
	for _, v := range voters {
		if slices.Contains(counted, v) {
			n++
		}
	}
	return 2*n > len(voters)
}
