package replica

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const identityName = "identity"

// foundingState is the progress of a replica in the formation of a new group.
type foundingState uint8

const (
	// foundingCollecting is the state of a replica that collects the disk identities of
	// the other founders.
	foundingCollecting foundingState = iota + 1
	// foundingPrepared is the state of a replica that has saved a list of founders, which
	// it never changes.
	foundingPrepared
	// foundingDone is the state of a replica that knows that all founders have saved the
	// same list, or that joins a formed group. Only now does it take part in elections.
	foundingDone
)

// Founder is a member of Options.Bootstrap, with the identity of its disk.
type Founder struct {
	ID   ID     `cbor:"1,keyasint"`
	Disk uint64 `cbor:"2,keyasint"`
}

// identity is the content of the identity file, which binds a disk to one replica. Disk
// is a random number that identifies the disk, Members is the membership with which the
// group starts, and Founders is the saved list of founders.
type identity struct {
	ID       ID            `cbor:"1,keyasint"`
	Disk     uint64        `cbor:"2,keyasint"`
	State    foundingState `cbor:"3,keyasint"`
	Members  []Member      `cbor:"4,keyasint,omitempty"`
	Founders []Founder     `cbor:"5,keyasint,omitempty"`
	// LogCreated is set once the log has its first segment. A disk that has LogCreated
	// and no log has lost it, and is refused.
	LogCreated bool `cbor:"6,keyasint,omitempty"`
}

func saveIdentity(disk Disk, id identity) error {
	payload, err := cbor.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "replica: encode identity")
	}
	err = replaceFile(disk, temporaryPrefix+identityName, identityName, appendFrame(nil, 0, payload))
	return errors.Wrap(err, "replica: write identity")
}

// loadIdentity returns the disk's identity; false on an empty disk.
func loadIdentity(disk Disk) (identity, bool, error) {
	names, err := disk.List()
	if err != nil {
		return identity{}, false, errors.Wrap(err, "replica: list files")
	}
	if !slices.Contains(names, identityName) {
		return identity{}, false, checkNoLog(names)
	}
	b, err := disk.Read(identityName)
	if err != nil {
		return identity{}, false, errors.Wrap(err, "replica: read identity")
	}
	payload, ok := parseFrame(b, 0)
	if !ok {
		return identity{}, false, errors.Wrap(ErrDamaged, "replica: identity")
	}
	var id identity
	if err := decoding.Unmarshal(payload, &id); err != nil {
		return identity{}, false, errors.Wrapf(ErrDamaged, "replica: identity: %v", err)
	}
	return id, true, nil
}

// checkNoLog refuses a disk that holds a log or snapshot but no identity file.
func checkNoLog(names []string) error {
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return errors.Wrap(ErrDamaged, "replica: identity file is missing")
		}
	}
	return nil
}

// HasIdentity reports whether the folder dir holds the identity file of a replica.
func HasIdentity(dir string) (bool, error) {
	_, err := os.Stat(filepath.Join(dir, identityName))
	if os.IsNotExist(err) {
		return false, nil
	}
	return err == nil, errors.Wrap(err, "replica: check for identity file")
}

// openIdentity returns the identity of the disk, and creates and saves one on an empty
// disk.
func openIdentity(o *Options) (identity, error) {
	id, found, err := loadIdentity(o.Disk)
	if err != nil || found {
		return id, err
	}
	if _, ok := o.Bootstrap[o.ID]; o.ID != 0 && !ok {
		// A replaced disk must not take up an old ID. Only founders have an ID from
		// settings, and the formation detects a founder whose disk was replaced.
		return identity{}, errors.Errorf("replica: ID %d is not among the bootstrap members", o.ID)
	}
	if o.ID == 0 {
		id = joiningIdentity(o)
	} else {
		id = foundingIdentity(o)
	}
	return id, saveIdentity(o.Disk, id)
}

// joiningIdentity returns a new identity, with a random ID, for a replica that waits to be
// added to a group.
func joiningIdentity(o *Options) identity {
	disk := o.Rand.Uint64() | 1
	return identity{ID: ID(disk), Disk: disk, State: foundingDone}
}

// foundingIdentity returns the first identity of a founder. A group of one has formed
// already.
func foundingIdentity(o *Options) identity {
	id := identity{ID: o.ID, Disk: o.Rand.Uint64() | 1, State: foundingCollecting}
	for member, addr := range o.Bootstrap {
		id.Members = append(id.Members, Member{ID: member, Addr: addr, Voter: true})
	}
	id.Members = newMembership(0, id.Members).members
	if len(id.Members) == 1 {
		id.Founders = []Founder{{ID: id.ID, Disk: id.Disk}}
		id.State = foundingDone
	}
	return id
}
