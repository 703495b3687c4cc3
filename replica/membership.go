package replica

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Member is one replica of a group: a voter, or a learner, which receives the log and
// does not vote. Addr is its network address.
type Member struct {
	ID    ID     `cbor:"1,keyasint"`
	Addr  string `cbor:"2,keyasint,omitempty"`
	Voter bool   `cbor:"3,keyasint,omitempty"`
}

// membership is the set of members, ordered by ID, that is in force from the log entry at
// index on.
//
// Invariant: two consecutive memberships differ by at most one voter, so that any quorum
// of one shares a replica with any quorum of the other.
type membership struct {
	index   uint64
	members []Member
}

func newMembership(index uint64, members []Member) membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return membership{index: index, members: sorted}
}

// find returns the member with the given ID, and whether there is one.
func (s *membership) find(id ID) (Member, bool) {
	for _, m := range s.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func (s *membership) isVoter(id ID) bool {
	m, ok := s.find(id)
	return ok && m.Voter
}

func (s *membership) voters() []ID {
	var ids []ID
	for _, m := range s.members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func encodeMembers(members []Member) []byte {
	b, err := cbor.Marshal(members)
	if err != nil {
		panic(err) // a slice of plain fields always encodes
	}
	return b
}

func decodeMembers(b []byte) ([]Member, error) {
	var members []Member
	err := decoding.Unmarshal(b, &members)
	return members, errors.Wrap(err, "replica: decode membership")
}

// current returns the latest membership in the log. A membership is in force as soon as
// its entry is appended, committed or not. Otherwise a leader could count a quorum by a
// set of voters that a later leader no longer uses.
func (c *core) current() *membership {
	return &c.memberships[len(c.memberships)-1]
}

// addMemberships puts the memberships of newly appended entries in force.
func (c *core) addMemberships(entries []Entry) {
	changed := false
	for i := range entries {
		if entries[i].Kind != EntryMembership {
			continue
		}
		members, err := decodeMembers(entries[i].Data)
		if err != nil {
			panic(err) // Message.check and the checksums of the log refuse malformed entries
		}
		c.memberships = append(c.memberships, newMembership(entries[i].Index, members))
		changed = true
	}
	if changed {
		c.membershipChanged()
	}
}

// dropMemberships drops the memberships at or after index, whose entries were
// overwritten by a new leader.
func (c *core) dropMemberships(index uint64) {
	n := len(c.memberships)
	for n > 1 && c.memberships[n-1].index >= index {
		n--
	}
	if n < len(c.memberships) {
		c.memberships = c.memberships[:n]
		c.membershipChanged()
	}
}

// membershipAt returns the membership in force at index.
func (c *core) membershipAt(index uint64) *membership {
	n := len(c.memberships) - 1
	for n > 0 && c.memberships[n].index > index {
		n--
	}
	return &c.memberships[n]
}

// membershipChanged makes a leader create the progress of new members and delete that of
// removed ones.
func (c *core) membershipChanged() {
	if c.role != roleLeader {
		return
	}
	now := c.current()
	for id := range c.progress {
		if _, ok := now.find(id); !ok && id != c.id {
			delete(c.progress, id)
		}
	}
	for _, m := range now.members {
		if c.progress[m.ID] == nil {
			c.progress[m.ID] = newProgress(c.log.last())
		}
	}
}

// change is a membership change, of one member.
type change struct {
	op   changeOp
	id   ID
	addr string
}

type changeOp uint8

const (
	opAddLearner changeOp = iota + 1
	opPromote
	opRemove
)

// proposeChange appends a membership change and returns the index of its entry.
//
// Only one change may be uncommitted at a time. An entry of the current term has to be
// committed too, which shows that no change of an earlier leader can still commit.
// Otherwise the error is ErrChangePending.
func (c *core) proposeChange(ch change) (uint64, error) {
	if c.role != roleLeader {
		return 0, c.notLeaderError()
	}
	if c.current().index > c.log.committed || !c.committedInTerm() {
		return 0, ErrChangePending
	}
	members, err := c.membersAfter(ch)
	if err != nil {
		return 0, err
	}
	if !c.hasActiveQuorum(members) {
		return 0, ErrQuorumLost
	}
	return c.appendEntry(EntryMembership, encodeMembers(members)), nil
}

// hasActiveQuorum reports whether the active voters of members are a quorum of all voters
// of members. A change commits by a quorum of the new membership: without one the change
// would never commit, and no other change could follow.
func (c *core) hasActiveQuorum(members []Member) bool {
	voters, active := 0, 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if c.isActive(m.ID) {
			active++
		}
	}
	return active >= quorumOf(voters)
}

// membersAfter returns the current members with ch applied, or an error if ch does not
// fit the current members.
func (c *core) membersAfter(ch change) ([]Member, error) {
	members := slices.Clone(c.current().members)
	at := slices.IndexFunc(members, func(m Member) bool { return m.ID == ch.id })
	switch {
	case ch.op == opAddLearner && at >= 0:
		return nil, ErrMemberExists
	case ch.op == opAddLearner:
		return append(members, Member{ID: ch.id, Addr: ch.addr}), nil
	case at < 0:
		return nil, ErrNotMember
	case ch.op == opRemove:
		return c.removeMember(members, at)
	}
	// Promoting a learner that lags would enlarge the quorum and add no redundancy.
	if p := c.progress[ch.id]; p == nil || !c.isCaughtUp(ch.id) {
		return nil, ErrNotCaughtUp
	}
	members[at].Voter = true
	return members, nil
}

// removeMember returns members without the one at position at, unless that is the last
// voter.
func (c *core) removeMember(members []Member, at int) ([]Member, error) {
	if members[at].Voter && len(c.current().voters()) == 1 {
		return nil, ErrLastVoter
	}
	return slices.Delete(members, at, at+1), nil
}
