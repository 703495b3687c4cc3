package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// ErrPoolFull is returned by Submit when every worker is busy and the queue is full.
var ErrPoolFull = errors.New("worker pool is full")

// Pool runs tasks on a fixed number of workers over shared tables. A task may
// take the locks listed in LockOrder, in that order only.
type Pool struct {
	tasks chan func()
	wg    sync.WaitGroup
	mu    sync.RWMutex
	done  bool
}

// NewPool starts workers goroutines that share a queue of depth tasks.
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

// Submit queues task. It returns ErrPoolFull at once rather than wait.
func (p *Pool) Submit(task func()) error {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.done {
		return errors.New("worker pool is closed")
	}
	select {
	case p.tasks <- task:
		return nil
	default:
		return ErrPoolFull
	}
}

// Close stops taking tasks and waits until the queued ones have run or ctx ends.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	if !p.done {
		p.done = true
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
		return errors.Wrap(ctx.Err(), "wait for workers")
	}
}
