package control

import (
	"context"
	"sync"

	"github.com/rosemaryproxy/rosemaryproxy/replica"
)

// singleNode is a replica.Node without others and without a disk: its state is
// lost when the process ends. It serves trials and tests on one machine.
type singleNode struct {
	mu      sync.Mutex
	id      replica.ID
	applied uint64
	machine replica.StateMachine
}

var _ replica.Node = (*singleNode)(nil)

func newSingleNode(id replica.ID, machine replica.StateMachine) *singleNode {
	return &singleNode{id: id, machine: machine}
}

// Propose implements replica.Node.
func (n *singleNode) Propose(_ context.Context, command []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applied++
	return n.machine.Apply(n.applied, command), nil
}

// Barrier implements replica.Node.
func (n *singleNode) Barrier(context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return nil
}

// Status implements replica.Node.
func (n *singleNode) Status() replica.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return replica.Status{
		ID: n.id, Term: 1, Leader: n.id, Commit: n.applied, Applied: n.applied, Whole: true,
	}
}
