package replica

import (
	"slices"

	"github.com/pkg/errors"
)

// Founding is what a founder tells the others while a group forms.
//
// A group starts from a list of IDs in settings, and settings outlive a disk. So the
// founders first agree on the identity of each one's disk: every founder fixes one list
// on its disk, for good, and takes part once it knows that all have fixed the same.
//
// Invariant: at most one disk is ever counted under a founder's ID. A disk that is
// wiped afterwards finds its ID bound to another identity and takes a new one.
type Founding struct {
	Disk     uint64        `cbor:"1,keyasint"`
	State    foundingState `cbor:"2,keyasint"`
	Founders []Founder     `cbor:"3,keyasint,omitempty"`
}

// errIDOfOtherDisk means that this disk's ID belongs to a disk that was here before.
var errIDOfOtherDisk = errors.New("replica: the ID belongs to another disk")

// founding takes one replica through the forming of its group.
type founding struct {
	identity
	seen map[ID]*Founding
}

func (f *founding) message() *Founding {
	return &Founding{Disk: f.Disk, State: f.State, Founders: f.Founders}
}

// receive takes in what another founder tells. It reports whether the identity
// changed and has to be saved before anything else is sent.
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

// prepare fixes the list: the one that another founder fixed, or one's own once
// every founder was heard.
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

// finish ends the forming once every founder has fixed this list. One that is done
// has seen that already.
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

func diskOf(founders []Founder, id ID) (uint64, bool) {
	for _, f := range founders {
		if f.ID == id {
			return f.Disk, true
		}
	}
	return 0, false
}
