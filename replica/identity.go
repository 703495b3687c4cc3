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

// foundingState says how far a replica got in forming a new group.
type foundingState uint8

const (
	// foundingCollecting asks the other founders for the identities of their disks.
	foundingCollecting foundingState = iota + 1
	// foundingPrepared has fixed the list of identities for good.
	foundingPrepared
	// foundingDone knows that every founder has fixed the same list. Only now does
	// the replica take part in elections.
	foundingDone
)

// Founder is a replica that a group starts with, and the identity of its disk.
type Founder struct {
	ID   ID     `cbor:"1,keyasint"`
	Disk uint64 `cbor:"2,keyasint"`
}

// identity is what makes a disk one replica and no other.
type identity struct {
	ID       ID            `cbor:"1,keyasint"`
	Disk     uint64        `cbor:"2,keyasint"`
	State    foundingState `cbor:"3,keyasint"`
	Members  []Member      `cbor:"4,keyasint,omitempty"`
	Founders []Founder     `cbor:"5,keyasint,omitempty"`
	// LogCreated is set once the log has its first file: from then on a disk without a log
	// has lost it.
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

// checkNoLog refuses a disk that holds a log but not whose.
func checkNoLog(names []string) error {
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return errors.Wrap(ErrDamaged, "replica: identity file is missing")
		}
	}
	return nil
}

// HasIdentity reports whether the folder belongs to a replica already.
func HasIdentity(dir string) (bool, error) {
	_, err := os.Stat(filepath.Join(dir, identityName))
	if os.IsNotExist(err) {
		return false, nil
	}
	return err == nil, errors.Wrap(err, "replica: look for identity")
}

// openIdentity returns the disk's identity and gives an empty disk a new one.
func openIdentity(o *Options) (identity, error) {
	id, found, err := loadIdentity(o.Disk)
	if err != nil || found {
		return id, err
	}
	if _, ok := o.Bootstrap[o.ID]; o.ID != 0 && !ok {
		// A wiped disk must not take up an old ID; only founders choose theirs, and
		// founding finds out a founder whose disk was replaced.
		return identity{}, errors.Errorf("replica: ID %d is not among the bootstrap members", o.ID)
	}
	if o.ID == 0 {
		id = joiningIdentity(o)
	} else {
		id = foundingIdentity(o)
	}
	return id, saveIdentity(o.Disk, id)
}

// joiningIdentity is that of a disk which waits to be added to a group.
func joiningIdentity(o *Options) identity {
	disk := o.Rand.Uint64() | 1
	return identity{ID: ID(disk), Disk: disk, State: foundingDone}
}

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
