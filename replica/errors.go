package replica

import (
	"fmt"

	"github.com/pkg/errors"
)

// The errors of a replica. Compare them by errors.Is, as a returned error may wrap them.
var (
	// ErrUncertain means that the command may have committed or may still commit.
	ErrUncertain = errors.New("replica: outcome unknown, the command may still commit")
	// ErrNoQuorum means that no leader with a quorum is known, or that the leader refuses
	// commands during a leadership transfer. The command was not appended.
	ErrNoQuorum = errors.New("replica: no leader with a quorum")
	// ErrDiskFull means that the disk has no space for the command, which was not appended.
	ErrDiskFull = errors.New("replica: disk full")
	// ErrStopped means that the replica has stopped, at the end of its context or on a
	// fault.
	ErrStopped = errors.New("replica: stopped")
	// ErrBusy means that too many bytes are uncommitted at the leader. The command was
	// not appended.
	ErrBusy = errors.New("replica: too many commands in flight")
	// ErrTooLarge means that the command is longer than MaxCommandBytes.
	ErrTooLarge = errors.New("replica: command too large")
	// ErrDamaged means that a file is missing, or its content is not what was written.
	ErrDamaged = errors.New("replica: file damaged")
	// ErrDiskFailed means that an earlier write to this disk failed, so that its content
	// cannot be trusted. The disk has to be replaced by an empty one.
	ErrDiskFailed = errors.New("replica: disk failed before, replace it")
	// ErrChangePending means that an earlier membership change is uncommitted, or that the
	// leader has not yet committed an entry of its term.
	ErrChangePending = errors.New("replica: a membership change is pending")
	// ErrMemberExists means that the replica to add is already a member.
	ErrMemberExists = errors.New("replica: already a member")
	// ErrNotMember means that the group has no such member, or that leadership can be
	// transferred to none.
	ErrNotMember = errors.New("replica: not a member")
	// ErrNotCaughtUp means that the learner to promote lags behind the commit index or is
	// silent.
	ErrNotCaughtUp = errors.New("replica: learner is not whole yet")
	// ErrQuorumLost means that the active voters of the new membership are no quorum of
	// it, so that the change could not commit.
	ErrQuorumLost = errors.New("replica: the change would leave no quorum")
	// ErrLastVoter means that the change would remove the only voter.
	ErrLastVoter = errors.New("replica: last voter cannot be removed")
)

// ErrNotLeader means that another replica leads. The command was not appended.
type ErrNotLeader struct {
	// Leader is the replica that leads.
	Leader ID
	// Addr is the address of the leader, empty if the membership has none.
	Addr string
}

// Error implements error.
func (e ErrNotLeader) Error() string {
	return fmt.Sprintf("replica: not the leader; leader is %d at %q", e.Leader, e.Addr)
}
