package replica

import (
	"context"
	"sync"
	"sync/atomic"
)

// maxInboxMessages bounds the messages that wait for the replica's goroutine. Further
// messages are dropped: Raft tolerates lost messages and resends.
const maxInboxMessages = 8192

// maxBatchBytes bounds the commands that share one sync. It is less than
// defaultReserveBytes, so that a batch fits into the reserve of a full disk.
const maxBatchBytes = 2 << 20

// outcome is the result or error with which a call completes.
type outcome struct {
	result []byte
	err    error
}

// call is the part that all calls share: a caller waits for an outcome, which the
// replica's goroutine sets.
type call struct {
	ctx     context.Context
	claimed atomic.Bool // set by the first of the replica's goroutine and a caller that gives up
	done    chan outcome
}

func newCall(ctx context.Context) call {
	return call{ctx: ctx, done: make(chan outcome, 1)}
}

// claim reports whether its caller is the first to claim the call. The replica's
// goroutine claims a call before it starts work on it; a caller that gives up claims it
// to withdraw it.
func (c *call) claim() bool { return c.claimed.CompareAndSwap(false, true) }

// complete sets the outcome of the call. It is called exactly once.
func (c *call) complete(result []byte, err error) { c.done <- outcome{result: result, err: err} }

// proposal is a Propose call; term is the leader's term in which the command was
// appended.
type proposal struct {
	call
	command []byte
	term    uint64
}

// barrier is a Barrier call; index is the read index that has to be applied.
type barrier struct {
	call
	index uint64
}

// order is an administrative call on the group of replicas: a leadership transfer, a
// campaign, or else a membership change. The field to is the target of a transfer.
type order struct {
	call
	change   change
	transfer bool
	campaign bool
	to       ID
}

// inbox queues work for the replica's goroutine. The lock mu guards all fields but wake.
type inbox struct {
	mu        sync.Mutex
	closed    bool
	messages  []*Message
	proposals []*proposal
	barriers  []*barrier
	orders    []*order
	wake      chan struct{}
}

// batch is the work that inbox.take returns at a time.
type batch struct {
	messages  []*Message
	proposals []*proposal
	barriers  []*barrier
	orders    []*order
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

// put runs add under the lock and wakes the replica's goroutine. It returns false, and
// does not run add, once the inbox is closed.
func (b *inbox) put(add func()) bool {
	b.mu.Lock()
	closed := b.closed
	if !closed {
		add()
	}
	b.mu.Unlock()
	b.signal()
	return !closed
}

// signal wakes the replica's goroutine.
func (b *inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns the waiting work. Proposals beyond maxBatchBytes stay for the next batch.
func (b *inbox) take() batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, size := 0, 0
	for n < len(b.proposals) && size < maxBatchBytes {
		size += len(b.proposals[n].command) + entryOverhead
		n++
	}
	taken := batch{
		messages:  b.messages,
		proposals: b.proposals[:n:n],
		barriers:  b.barriers,
		orders:    b.orders,
	}
	b.messages = nil
	b.proposals = b.proposals[n:]
	b.barriers = nil
	b.orders = nil
	if len(b.proposals) > 0 {
		b.signal()
	}
	return taken
}

// close refuses further work and returns the calls that were waiting.
func (b *inbox) close() batch {
	b.mu.Lock()
	b.closed = true
	rest := batch{proposals: b.proposals, barriers: b.barriers, orders: b.orders}
	b.proposals = nil
	b.mu.Unlock()
	return rest
}
