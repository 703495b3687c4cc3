package replica

import (
	"fmt"

	"github.com/pkg/errors"
)

// The errors of a replica. Compare with errors.Is; a returned error may wrap them.
var (
	// ErrUncertain means that the command may have been committed, or may be later.
	ErrUncertain = errors.New("replica: outcome unknown, the command may still commit")
	// ErrNoQuorum means that there is no leader which a quorum follows. Nothing was run.
	ErrNoQuorum = errors.New("replica: no leader with a quorum")
	// ErrDiskFull means that the disk has no room for the command. Nothing was run.
	ErrDiskFull = errors.New("replica: disk full")
	// ErrStopped means that the replica does not run, or stopped on a fault of its disk.
	ErrStopped = errors.New("replica: stopped")
	// ErrBusy means that too much is waiting for a quorum. Nothing was run.
	ErrBusy = errors.New("replica: too many commands in flight")
	// ErrTooLarge means that the command is over MaxCommandBytes.
	ErrTooLarge = errors.New("replica: command too large")
	// ErrDamaged means that a file holds something other than what was written to it.
	ErrDamaged = errors.New("replica: file damaged")
	// ErrDiskFailed means that a write to this disk failed before: it has to be replaced.
	ErrDiskFailed = errors.New("replica: disk failed before, replace it")
	// ErrChangePending means that the change of membership before is not committed yet.
	ErrChangePending = errors.New("replica: a membership change is pending")
	// ErrMemberExists means that the replica to add is a member already.
	ErrMemberExists = errors.New("replica: already a member")
	// ErrNotMember means that the group has no such member, or none that can be chosen.
	ErrNotMember = errors.New("replica: not a member")
	// ErrNotCaughtUp means that the learner does not hold all that is committed yet.
	ErrNotCaughtUp = errors.New("replica: learner is not whole yet")
	// ErrQuorumLost means that too few of the voters after the change are there to commit it.
	ErrQuorumLost = errors.New("replica: the change would leave no quorum")
	// ErrLastVoter means that the group would be left without a voter.
	ErrLastVoter = errors.New("replica: last voter cannot be removed")
)

// ErrNotLeader means that another replica leads. Nothing was run.
type ErrNotLeader struct {
	// Leader is the replica to ask.
	Leader ID
	// Addr is its address, if the membership gives one.
	Addr string
}

// Error names the leader.
func (e ErrNotLeader) Error() string {
	return fmt.Sprintf("replica: not the leader; leader is %d at %q", e.Leader, e.Addr)
}
