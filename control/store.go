package control

import (
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
)

// store shares the state machine between the replica, which writes it, and the
// sessions, which read it. Its lock is "control.store" of kernel.LockOrder.
type store struct {
	mu      sync.RWMutex
	machine *state.Machine
	// news is called without the lock after a change that sessions are told.
	news func()
	// accepted holds when the newest revisions were applied here, oldest first.
	clock    kernel.Clock
	accepted []acceptance
}

// acceptance is when a revision was applied here.
type acceptance struct {
	revision uint64
	at       time.Time
}

// maxAcceptances bounds the revisions whose time is kept.
const maxAcceptances = 1024

var _ replica.StateMachine = (*store)(nil)

func newStore(clock kernel.Clock, news func()) *store {
	return &store{machine: state.New(), clock: clock, news: news}
}

// Apply implements replica.StateMachine.
func (s *store) Apply(index uint64, command []byte) []byte {
	s.mu.Lock()
	before := s.machine.UpdateVersion()
	result := s.machine.Apply(index, command)
	told := s.machine.UpdateVersion() != before
	s.noteAcceptance()
	s.mu.Unlock()
	if told {
		s.news()
	}
	return result
}

// noteAcceptance keeps the time of a revision that is new here.
func (s *store) noteAcceptance() {
	revision := s.machine.Document().Revision
	if n := len(s.accepted); n > 0 && s.accepted[n-1].revision >= revision {
		return
	}
	if len(s.accepted) == maxAcceptances {
		s.accepted = s.accepted[1:]
	}
	s.accepted = append(s.accepted, acceptance{revision: revision, at: s.clock.Now()})
}

// acceptedFor returns for how long the revision has been accepted, at least.
func (s *store) acceptedFor(now time.Time, revision uint64) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, a := range s.accepted {
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
	s.noteAcceptance()
	s.mu.Unlock()
	s.news()
	return err
}

// read calls f with the state under the lock. f must not keep the state.
func (s *store) read(f func(*state.Machine)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.machine)
}

// document returns the current configuration, which never changes.
func (s *store) document() *config.Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Document()
}
