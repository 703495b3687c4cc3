package control

import (
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
)

// store shares the state machine between the replica, which writes it, and the sessions and
// commands, which read it.
type store struct {
	// mu is "control.store" of kernel.LockOrder. It guards machine, ahead and applied.
	mu      sync.RWMutex
	machine *state.Machine
	// onChange is called after a change that sessions get in an update. The caller does not
	// hold mu.
	onChange func()
	clock    kernel.Clock
	// started is the wall clock at the start, when the VM had been suspended for suspendedBefore.
	started         time.Time
	suspendedBefore time.Duration
	// ahead is how far the time of the state machine is ahead of localTime, or zero.
	ahead time.Duration
	// applied holds the newest revisions with the time they were applied here, oldest first.
	applied []appliedRevision
}

// appliedRevision is a configuration revision with the time when this replica applied it.
type appliedRevision struct {
	revision uint64
	at       time.Time
}

// maxAppliedRevisions bounds store.applied.
const maxAppliedRevisions = 1024

var _ replica.StateMachine = (*store)(nil)

func newStore(clock kernel.Clock, onChange func()) *store {
	return &store{
		machine: state.New(), clock: clock, onChange: onChange, started: clock.Now(), suspendedBefore: kernel.Suspended(),
	}
}

// localTime returns the wall clock at the start plus the time since then, also that of suspensions. A step of
// the wall clock does not change it, since a step ahead would end grants before their holders expect it.
func (s *store) localTime() time.Time {
	return s.started.Add(s.clock.Now().Sub(s.started) + kernel.Suspended() - s.suspendedBefore)
}

// recordAhead compares the clocks after the time of the state machine may have changed. The caller holds mu.
func (s *store) recordAhead() { s.ahead = max(s.ahead, s.machine.Time().Sub(s.localTime())) }

// commandTime returns the time of a command that is proposed now. It continues from the time of the state
// machine, because the time there would stand still, and no grant would expire, while a leader's clock is
// behind that of an earlier leader.
func (s *store) commandTime() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.localTime().Add(s.ahead)
}

// Apply implements replica.StateMachine.
func (s *store) Apply(index uint64, command []byte) []byte {
	s.mu.Lock()
	before := s.machine.SessionDataVersion()
	result := s.machine.Apply(index, command)
	s.recordAhead()
	changed := s.machine.SessionDataVersion() != before
	s.recordRevision()
	s.mu.Unlock()
	if changed {
		s.onChange()
	}
	return result
}

// recordRevision records the time of the current revision if it is new. The caller holds mu.
func (s *store) recordRevision() {
	revision := s.machine.Document().Revision
	if n := len(s.applied); n > 0 && s.applied[n-1].revision >= revision {
		return
	}
	if len(s.applied) == maxAppliedRevisions {
		s.applied = s.applied[1:]
	}
	s.applied = append(s.applied, appliedRevision{revision: revision, at: s.clock.Now()})
}

// sinceApplied returns the time since this replica applied the revision, or zero if it has not.
// The revision was accepted at least that long ago. If its own time is not recorded, the time
// of the next recorded revision counts.
func (s *store) sinceApplied(now time.Time, revision uint64) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, a := range s.applied {
		if a.revision >= revision {
			return now.Sub(a.at)
		}
	}
	return 0
}

// Snapshot implements replica.StateMachine.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Snapshot()
}

// Restore implements replica.StateMachine.
func (s *store) Restore(snapshot []byte) error {
	s.mu.Lock()
	err := s.machine.Restore(snapshot)
	s.recordAhead()
	s.recordRevision()
	s.mu.Unlock()
	s.onChange()
	return err
}

// read calls f with the state machine under the read lock. f must not keep or change it.
func (s *store) read(f func(*state.Machine)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.machine)
}

// document returns the current configuration. The document is immutable.
func (s *store) document() *config.Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Document()
}
