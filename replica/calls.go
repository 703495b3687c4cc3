package replica

import (
	"context"
	"sync"
	"sync/atomic"
)

// maxInboxMessages bounds the messages that wait for the replica's goroutine. More are
// dropped: the protocol sends again what matters.
const maxInboxMessages = 8192

// maxBatchBytes bounds the commands taken into one sync. It is below the reserve, so
// that a batch fits on the disk when the rest is full.
const maxBatchBytes = 2 << 20

// outcome is how a call ended.
type outcome struct {
	result []byte
	err    error
}

// call is one caller that waits for an outcome.
type call struct {
	ctx     context.Context
	claimed atomic.Bool // by the replica's goroutine, or by a caller that gave up
	done    chan outcome
}

func newCall(ctx context.Context) call {
	return call{ctx: ctx, done: make(chan outcome, 1)}
}

// claim claims the call; only the first of goroutine and caller succeeds.
func (c *call) claim() bool { return c.claimed.CompareAndSwap(false, true) }

// complete gives the call its outcome, once.
func (c *call) complete(result []byte, err error) { c.done <- outcome{result: result, err: err} }

// proposal is a command on its way through the log.
type proposal struct {
	call
	command []byte
	term    uint64
}

// barrier is a read that waits for what is committed to be applied.
type barrier struct {
	call
	index uint64
}

// order is a call that acts on the core: a change of membership or a transfer.
type order struct {
	call
	change   change
	transfer bool
	campaign bool
	to       ID
}

// inbox hands work to the replica's goroutine.
type inbox struct {
	mu        sync.Mutex
	closed    bool
	messages  []*Message
	proposals []*proposal
	barriers  []*barrier
	orders    []*order
	wake      chan struct{}
}

// batch is the work taken from the inbox at a time.
type batch struct {
	messages  []*Message
	proposals []*proposal
	barriers  []*barrier
	orders    []*order
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

// put runs add under the lock and wakes the goroutine; false once the inbox is closed.
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

func (b *inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns the waiting work. Commands beyond a batch stay for the next.
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

// close refuses further work and returns what was waiting.
func (b *inbox) close() batch {
	b.mu.Lock()
	b.closed = true
	rest := batch{proposals: b.proposals, barriers: b.barriers, orders: b.orders}
	b.proposals = nil
	b.mu.Unlock()
	return rest
}
