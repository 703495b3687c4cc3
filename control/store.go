package control

import (
	"sync"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/state"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
)

// store shares the state machine between the replica, which writes it, and the
// sessions, which read it. Its lock is "control.store" of kernel.LockOrder.
type store struct {
	mu      sync.RWMutex
	machine *state.Machine
	// changed is called after each command, without the lock.
	changed func()
}

var _ replica.StateMachine = (*store)(nil)

func newStore(changed func()) *store {
	return &store{machine: state.New(), changed: changed}
}

// Apply implements replica.StateMachine.
func (s *store) Apply(index uint64, command []byte) []byte {
	s.mu.Lock()
	result := s.machine.Apply(index, command)
	s.mu.Unlock()
	s.changed()
	return result
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
	s.mu.Unlock()
	s.changed()
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
