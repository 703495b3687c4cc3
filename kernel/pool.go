package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// ErrPoolFull is returned by Pool.Submit when every worker is busy and the queue is full.
var ErrPoolFull = errors.New("worker pool is full")

// Pool runs tasks on a fixed number of workers. A task may lock the mutexes listed in
// LockOrder, in that order only.
type Pool struct {
	tasks chan func()
	wg    sync.WaitGroup
	// mu guards closed and keeps Close from closing tasks while Submit sends to it.
	mu     sync.RWMutex
	closed bool
}

// NewPool starts the given number of workers, which share a queue of depth tasks.
func NewPool(workers, depth int) *Pool {
	p := &Pool{tasks: make(chan func(), depth)}
	for range workers {
		p.wg.Go(p.work)
	}
	return p
}

func (p *Pool) work() {
	for task := range p.tasks {
		task()
	}
}

// Submit queues task. It never blocks: it returns ErrPoolFull when the queue is full, and
// another error after Close.
func (p *Pool) Submit(task func()) error {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return errors.New("worker pool is closed")
	}
	select {
	case p.tasks <- task:
		return nil
	default:
		return ErrPoolFull
	}
}

// Close makes Submit fail and waits until the queued tasks have run or ctx ends.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.tasks)
	}
	p.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		p.wg.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for pool workers")
	}
}
