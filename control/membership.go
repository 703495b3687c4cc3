package control

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/replica"
)

const (
	// minVoters is the number of voters below which a learner votes as soon as it has caught up.
	minVoters = 3
	// replaceFraction and dropFactor give the times of a membershipPolicy, and rejoinFraction that
	// of a replica that may have been removed, as multiples of the time in which the group has to
	// bear the next loss.
	replaceFraction = 0.25
	dropFactor      = 2
	rejoinFraction  = 0.5
	// electionRounds is the number of rounds within which a leader is expected to be elected.
	electionRounds = 2
)

// membershipPolicy decides which replicas vote. The number of voters is odd, if there are enough
// replicas: a further voter makes the quorum larger without another loss that the group bears.
// The remaining replica is a learner that has caught up, and takes the place of a silent voter.
//
// Invariant: a voter is removed only if the others that have caught up are a quorum of the rest, and
// before another one is promoted in its place. If the new one were promoted first and failed, the
// silent one would count in a larger quorum.
type membershipPolicy struct {
	// replaceAfter is the time for which a voter must be silent or behind before another replica
	// takes its place.
	replaceAfter time.Duration
	// dropAfter is the time after which silent members are removed without a replacement: learners,
	// and voters of a group that bears more losses without them. It is long, because a voter that
	// was only cut off must be able to return first.
	dropAfter time.Duration
}

// newMembershipPolicy returns the policy of a group that bears the next loss within catchUp after
// the start of a replica that replaces a lost one.
func newMembershipPolicy(catchUp time.Duration) membershipPolicy {
	return membershipPolicy{replaceAfter: time.Duration(replaceFraction * float64(catchUp)), dropAfter: dropFactor * catchUp}
}

// repairTime is the longest time from the loss of a replica, the leader at worst, until a learner
// that has caught up votes in its place. An election tick is tick long.
func (p membershipPolicy) repairTime(tick time.Duration) time.Duration {
	election := electionRounds * 2 * replica.DefaultElectionTicks * tick
	noticed := replica.DefaultElectionTicks * tick
	return election + noticed + p.replaceAfter + 2*stewardInterval
}

// memberState is what the leader knows of one member.
type memberState struct {
	id       replica.ID
	voter    bool
	caughtUp bool
	// missing is for how long the member has been silent or behind.
	missing time.Duration
}

// next returns the next change of the membership, memberPromote or memberRemove, and the member that
// it concerns. The action is empty if the membership stays as it is.
func (p membershipPolicy) next(members []memberState) (action string, id replica.ID) {
	g := countMembers(p, members)
	odd := g.voters%2 == 1
	switch {
	case g.ready > 0 && (g.voters < minVoters || !odd):
		return memberPromote, g.readyID
	case g.silent > 0 && g.mayRemove() && g.ready > 0:
		return memberRemove, g.silentID
	case g.silent > 0 && g.mayRemove() && !odd && g.voters > minVoters:
		return memberRemove, g.silentID
	case g.lost > 1 && g.mayRemove() && g.voters > minVoters:
		return memberRemove, g.silentID
	case g.ready > 1 && g.caughtUp == g.voters:
		return memberPromote, g.readyID
	case g.lostLearner != 0:
		return memberRemove, g.lostLearner
	}
	return "", 0
}

// memberCounts summarizes the members of a group.
type memberCounts struct {
	voters, caughtUp int
	// silent is the number of voters that may be replaced, and lost that of voters that may be
	// removed without a replacement. silentID is the one that has been missing for longest.
	silent, lost int
	silentID     replica.ID
	// ready is the number of learners that have caught up; readyID is one of them.
	ready   int
	readyID replica.ID
	// lostLearner is a learner to remove, or zero.
	lostLearner replica.ID
}

func countMembers(p membershipPolicy, members []memberState) memberCounts {
	var g memberCounts
	var longest time.Duration
	for _, m := range members {
		switch {
		case m.voter:
			g.voters++
			if m.caughtUp {
				g.caughtUp++
			}
			if m.missing > p.dropAfter {
				g.lost++
			}
			if m.missing > p.replaceAfter {
				g.silent++
				if m.missing > longest {
					longest, g.silentID = m.missing, m.id
				}
			}
		case m.caughtUp:
			g.ready++
			g.readyID = m.id
		case m.missing > p.dropAfter:
			g.lostLearner = m.id
		}
	}
	return g
}

// mayRemove reports whether the voters that have caught up are a quorum of the voters less one.
func (g *memberCounts) mayRemove() bool { return 2*g.caughtUp > g.voters-1 }
