// Package replica replicates a state machine over a small group of VMs with disks by
// the Raft consensus algorithm, with pre-vote, check quorum, learners, read index and
// leadership transfer.
//
// The algorithm is in the type core, a step function without I/O: it takes messages
// and ticks and returns batches of effects (ready). Replica drives a core: it owns the
// files, the clock and the transport.
//
// A group forms from the list of members in Options.Bootstrap; see Founding. Afterwards
// the membership changes by one voter at a time, so joint consensus is not needed.
package replica

import "context"

// ID identifies a replica. A replica whose disk was replaced gets a new ID.
type ID uint64

// StateMachine is the replicated state. A replica never calls two of its methods at the
// same time.
type StateMachine interface {
	// Apply executes the committed command at index and returns its result. It has to
	// be deterministic, so that every replica gets the same state and result, and must
	// not modify command.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state. The replica owns the slice afterwards.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(snapshot []byte) error
}

// Status is the state of a replica at one moment.
type Status struct {
	ID      ID
	Term    uint64
	Leader  ID     // zero while no leader is known
	Commit  uint64 // commit index known to this replica
	Applied uint64 // index of the last applied entry
	// CaughtUp is set while this replica is a voter of the membership that it has applied.
	// A learner is promoted only after it has caught up, so a joining replica has caught
	// up once CaughtUp is set.
	CaughtUp bool
	// FaultTolerant is set on a leader whose group keeps its committed data and a quorum
	// if any one voter is lost. The replacement of a lost voter is complete once
	// FaultTolerant is set again.
	FaultTolerant bool
}

// Node is the interface of a running replica to the code that uses the replicated
// state.
type Node interface {
	// Propose replicates command and returns the result of StateMachine.Apply. After an
	// error that wraps ErrUncertain the command may still commit.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once the local state machine has applied everything that the
	// group had committed when Barrier was called. A read of the state machine after
	// Barrier is linearizable.
	Barrier(ctx context.Context) error
	// Status returns the current state of the replica.
	Status() Status
}
