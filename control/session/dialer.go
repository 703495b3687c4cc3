package session

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Dropper is an Opener that keeps connections and can discard one, so that the next Open to
// the address creates a new connection. This is needed when a process has restarted: it does
// not know the old connection, which otherwise fails only after a long idle timeout.
type Dropper interface {
	wire.Opener
	// Drop discards the connection to addr, if there is one.
	Drop(addr string)
}

// Dialer opens streams to a small number of processes, such as the replicas of control. It
// keeps a connection pool for each address.
type Dialer struct {
	id      *wire.Identity
	options wire.PoolOptions
	traffic *wire.Traffic

	// mu is "session.Dialer" of kernel.LockOrder.
	mu sync.Mutex
	// pools holds the connection pools by address.
	pools  map[string]*wire.Pool
	closed bool
	// closingPools counts the dropped pools that are being closed.
	closingPools sync.WaitGroup
}

var (
	_ Dropper = (*Dialer)(nil)
	_ Renewer = (*Dialer)(nil)
)

// NewDialer returns a dialer without connections. Its connections authenticate with id, and
// their bytes are counted in traffic.
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

// pool returns the connection pool for addr, and creates it if there is none.
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

// Drop implements Dropper. Open streams to addr fail.
func (d *Dialer) Drop(addr string) {
	d.mu.Lock()
	pool := d.pools[addr]
	delete(d.pools, addr)
	d.mu.Unlock()
	if pool != nil {
		d.closingPools.Go(pool.Close)
	}
}

// Renew implements Renewer.
func (d *Dialer) Renew(addr string) {
	d.mu.Lock()
	pool := d.pools[addr]
	d.mu.Unlock()
	if pool != nil {
		pool.Replace(addr)
	}
}

// Close closes all connections and waits until they are closed. Open fails from then on.
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
