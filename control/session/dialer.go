package session

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Dropper is an Opener that can be told that an address does not answer, so that
// its next Open makes a new connection. A process that was restarted does not know
// the connection that it had before, and its peer notices only after a long idle time.
type Dropper interface {
	wire.Opener
	// Drop forgets the connection to addr.
	Drop(addr string)
}

// Dialer opens streams to a few processes, such as the replicas of control, over
// one connection each.
type Dialer struct {
	id      *wire.Identity
	options wire.PoolOptions
	traffic *wire.Traffic

	// mu is "session.Dialer" of kernel.LockOrder.
	mu     sync.Mutex
	pools  map[string]*wire.Pool
	closed bool
	// closingPools counts the pools that are on their way out.
	closingPools sync.WaitGroup
}

var _ Dropper = (*Dialer)(nil)

// NewDialer returns a dialer without connections.
func NewDialer(id *wire.Identity, options wire.PoolOptions, traffic *wire.Traffic) *Dialer {
	return &Dialer{id: id, options: options, traffic: traffic, pools: map[string]*wire.Pool{}}
}

// Open implements wire.Opener.
func (d *Dialer) Open(ctx context.Context, addr string) (wire.Stream, error) {
	pool, err := d.pool(addr)
	if err != nil {
		return nil, err
	}
	return pool.Open(ctx, addr)
}

func (d *Dialer) pool(addr string) (*wire.Pool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, errors.New("dialer is closed")
	}
	if pool, ok := d.pools[addr]; ok {
		return pool, nil
	}
	pool, err := wire.NewPool(d.id, d.options, d.traffic)
	if err != nil {
		return nil, err
	}
	d.pools[addr] = pool
	return pool, nil
}

// Drop implements Dropper. Streams over the connection break.
func (d *Dialer) Drop(addr string) {
	d.mu.Lock()
	pool := d.pools[addr]
	delete(d.pools, addr)
	d.mu.Unlock()
	if pool != nil {
		d.closingPools.Go(pool.Close)
	}
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	pools := d.pools
	d.pools = nil
	d.mu.Unlock()
	for _, pool := range pools {
		pool.Close()
	}
	d.closingPools.Wait()
}
