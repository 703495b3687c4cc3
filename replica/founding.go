package replica

import (
	"slices"

	"github.com/pkg/errors"
)

// Founding is the state that a founder, a member of Options.Bootstrap, sends to the other
// founders while a new group forms.
//
// Options.Bootstrap comes from settings, which stay the same when a disk is replaced. If
// an empty disk could take up the ID of a lost one, it would vote again in terms in which
// the lost disk has voted, and miss entries that the lost disk has acknowledged. So the
// founders agree on the identity of each founder's disk before the first election: every
// founder saves one list of IDs and disk identities, never changes it, and takes part in
// elections once it knows that all founders have saved the same list.
//
// Invariant: at most one disk ever counts under the ID of a founder. A founder whose disk
// was replaced later finds its ID bound to another disk and takes a new ID.
type Founding struct {
	// Disk is the random identity of the sender's disk.
	Disk     uint64        `cbor:"1,keyasint"`
	State    foundingState `cbor:"2,keyasint"`
	Founders []Founder     `cbor:"3,keyasint,omitempty"`
}

// errIDOfOtherDisk means that the founders have bound this replica's ID to another disk,
// which this one replaces.
var errIDOfOtherDisk = errors.New("replica: the ID belongs to another disk")

// founding is the state of group formation on one replica. The map seen holds the latest
// state of the other founders.
type founding struct {
	identity
	seen map[ID]*Founding
}

// message returns the state to send to other founders.
func (f *founding) message() *Founding {
	return &Founding{Disk: f.Disk, State: f.State, Founders: f.Founders}
}

// receive handles the state of another founder. It reports whether the identity of this
// replica changed and has to be saved before the next message is sent.
func (f *founding) receive(from ID, other *Founding) (bool, error) {
	if f.State == foundingDone {
		return false, nil
	}
	if !slices.ContainsFunc(f.Members, func(m Member) bool { return m.ID == from }) {
		return false, nil
	}
	if disk, bound := diskOf(other.Founders, f.ID); bound && disk != f.Disk {
		return false, errIDOfOtherDisk
	}
	f.seen[from] = other
	if f.State == foundingCollecting {
		return f.prepare(other), nil
	}
	return f.finish(), nil
}

// prepare adopts the list of founders that another founder has saved, or makes the list
// once the disk identities of all founders are known. It reports whether there is a list.
func (f *founding) prepare(other *Founding) bool {
	if other.State >= foundingPrepared {
		f.Founders = other.Founders
		f.State = foundingPrepared
		return true
	}
	list := []Founder{{ID: f.ID, Disk: f.Disk}}
	for id, s := range f.seen {
		list = append(list, Founder{ID: id, Disk: s.Disk})
	}
	if len(list) < len(f.Members) {
		return false
	}
	slices.SortFunc(list, func(a, b Founder) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	f.Founders = list
	f.State = foundingPrepared
	return true
}

// finish ends the formation once every founder is known to have saved the same list, and
// reports whether it did. A founder in the state foundingDone has verified that for all.
func (f *founding) finish() bool {
	agreed := 1
	for _, s := range f.seen {
		if s.State < foundingPrepared || !slices.Equal(s.Founders, f.Founders) {
			continue
		}
		agreed++
		if s.State == foundingDone {
			agreed = len(f.Members)
		}
	}
	if agreed < len(f.Members) {
		return false
	}
	f.State = foundingDone
	return true
}

// diskOf returns the identity of the disk bound to an ID, and whether there is one.
func diskOf(founders []Founder, id ID) (uint64, bool) {
	for _, f := range founders {
		if f.ID == id {
			return f.Disk, true
		}
	}
	return 0, false
}
