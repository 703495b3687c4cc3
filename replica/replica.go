// Package replica replicates a state machine over a few VMs with disks.
//
// The core is a step function without I/O: messages and ticks go in, a batch of
// effects comes out. The driver owns the files, the clock and the transport.
package replica

import "context"

// ID names a replica. A new disk has a new ID.
type ID uint64

// StateMachine is the state that is replicated. Calls are serial.
type StateMachine interface {
	// Apply carries out the committed command at index and returns its result,
	// the same on every replica. It must not change command.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state. The replica keeps the slice.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Status says where a replica stands.
type Status struct {
	ID      ID
	Term    uint64
	Leader  ID // zero when there is none
	Commit  uint64
	Applied uint64
	// Whole is set once the replica holds all that was committed when it joined.
	Whole bool
	// FaultTolerant is set on a leader whose group would keep its data and its quorum if
	// any one more voter were lost: a repair is done once this is set.
	FaultTolerant bool
}

// Node is a running replica, as its users see it.
type Node interface {
	// Propose replicates command and returns the state machine's result. An error
	// that is ErrUncertain may still commit later.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once the state machine holds everything that was committed
	// when Barrier was called, on any replica.
	Barrier(ctx context.Context) error
	// Status says where the replica stands.
	Status() Status
}
