// Package session is the side of entries, sidecars and operators in their
// conversation with control: it keeps a session with any reachable replica, holds
// the process's configuration and permission, and sends commands to the leader.
package session

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/lease"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Defaults of Options.
const (
	DefaultHeartbeat = time.Second
	DefaultLease     = 3 * time.Second
)

const (
	// marginParts is the part of the lease given up for clock drift: one in so many.
	marginParts = 20
	// openTimeout bounds the opening of a session with one replica.
	openTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the wait before the next replica is tried.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Options describe a Client.
type Options struct {
	// Node and Role say who the process is, as its certificate does.
	Node settings.Node
	Role wire.Role
	// Replicas are the addresses of control.
	Replicas []string
	// Opener opens streams to them.
	Opener wire.Opener
	Clock  kernel.Clock
	Log    hclog.Logger
	// Heartbeat is the time between heartbeats and Lease the time for which one
	// permits work. Lease must be control's own setting or less.
	Heartbeat time.Duration
	Lease     time.Duration
	// RenewalTimeout is after how long without a renewal the client goes on to another
	// replica. By default it is the lease; a shorter one finds another before the
	// permission has lapsed.
	RenewalTimeout time.Duration
	// ServeStale lets MayServe hold while the permission has lapsed and control
	// cannot be reached: an availability zone that is taken out meanwhile may then
	// get new work from this process. It is for deployments that weigh service over
	// that while control's quorum is lost.
	ServeStale bool
	// Endpoint returns what a sidecar announces; nil for other roles. It is
	// called for each heartbeat.
	Endpoint func() *wire.Endpoint
	// Addr is where an entry listens for other entries; empty for others.
	Addr string
	// Limits is an entry's part of the client accounts' limits; nil for others.
	Limits *Limits
	// OnUpdate is called for each update, in order, after the view and the
	// permission have taken it in; it may be nil. It must not block.
	OnUpdate func(*wire.Update)
	// Suspended returns for how long the VM has been suspended; by default its kernel is
	// asked.
	Suspended func() time.Duration
	// Stopped reports whether the replica at addr has certainly stopped, as opposed
	// to being cut off; by default the VM's kernel is asked.
	Stopped func(ctx context.Context, addr string) bool
}

// Client keeps a session with control. All methods are safe for concurrent use.
type Client struct {
	options Options
	// suspended is for how long the VM had been suspended when the client began.
	suspended time.Duration
	view      *config.View
	// announce has one place: it asks for a heartbeat at once.
	announce chan struct{}

	// mu is "session.Client" of kernel.LockOrder.
	mu sync.Mutex
	// replicas are addresses of control that the settings name.
	replicas   []string
	permission *lease.Permission
	exchange   *lease.TimestampEcho
	// seq numbers the heartbeats. It begins at the time, so that those of a process
	// that was restarted come after those from before.
	seq    uint64
	leader string
	// members are the addresses that control named last.
	members []string
	// leaderAddr is the replica that last answered as leader.
	leaderAddr string
}

// New returns a client that has not yet spoken with control.
func New(o Options) (*Client, error) {
	if len(o.Replicas) == 0 {
		return nil, errors.New("no address of control is given")
	}
	if o.Role == wire.RoleSidecar && o.Endpoint == nil {
		return nil, errors.New("a sidecar has to announce an endpoint")
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.Lease <= o.Heartbeat {
		return nil, errors.Errorf("lease of %v is not longer than the heartbeat of %v", o.Lease, o.Heartbeat)
	}
	if o.RenewalTimeout == 0 {
		o.RenewalTimeout = o.Lease
	}
	if o.Stopped == nil {
		o.Stopped = connectionRefused
	}
	if o.Suspended == nil {
		o.Suspended = kernel.Suspended
	}
	if o.Clock == nil {
		o.Clock = kernel.SystemClock{}
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	c := &Client{
		options:    o,
		replicas:   slices.Clone(o.Replicas),
		suspended:  o.Suspended(),
		view:       config.NewView(),
		announce:   make(chan struct{}, 1),
		permission: lease.NewPermission(o.Lease, o.Lease/marginParts),
		seq:        uint64(o.Clock.Now().UnixMilli()),
	}
	c.exchange = lease.NewTimestampEcho(c.now(), rand.Uint64())
	return c, nil
}

// now is the time by which permissions count. It goes on while the VM is suspended: a
// process that slept through its lease must not act on it when it wakes.
func (c *Client) now() time.Time {
	return c.options.Clock.Now().Add(c.options.Suspended() - c.suspended)
}

// View is the process's configuration.
func (c *Client) View() *config.View { return c.view }

// Config returns the newest configuration known.
func (c *Client) Config() *config.Document { return c.view.Load() }

// Fresh reports whether the process may send and take new work.
func (c *Client) Fresh() bool { return c.Permission().Left > 0 }

// RenewedByControl reports whether the last renewal by control itself is still valid. In
// contrast to renewals by peers and polls, it also proves that no newer process has
// replaced this one.
func (c *Client) RenewedByControl() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permission.RenewedByControl(c.now())
}

// MayServe reports whether the process may take idempotent work.
func (c *Client) MayServe() bool {
	return c.Fresh() || (c.options.ServeStale && c.view.Revision() > 0)
}

// Permission returns the process's permission, to be sent to its peers.
func (c *Client) Permission() wire.Permission {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.permission.Left(c.now())
	return wire.Permission{Revision: c.view.Revision(), Left: left}
}

// Adopt takes over the freshness that a peer stated in its answer to a message
// that was sent at since. A peer with a higher revision cannot lend its
// freshness; the client then asks control for the changes at once.
func (c *Client) Adopt(since time.Time, p wire.Permission) bool {
	ours := c.view.Revision()
	if p.Revision > ours {
		c.Announce()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permission.Adopt(since, ours, p.Revision, p.Left)
}

// PermissionFor returns the process's permission, with timestamps for a message to the
// given peer. The peer passes it to ReceivePermission.
func (c *Client) PermissionFor(peer string) wire.Permission {
	p := c.Permission()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.Stamp = c.exchange.Stamp(c.now())
	p.Echo = c.exchange.Echo(peer)
	return p
}

// ReceivePermission adopts the permission p of a peer, which the peer created with
// PermissionFor, and reports whether it did. It does not if p does not echo a timestamp of
// this process, because the age of p is then unknown, or if Adopt refuses p.
func (c *Client) ReceivePermission(peer string, p wire.Permission) bool {
	c.mu.Lock()
	if p.Stamp != 0 {
		c.exchange.Observe(peer, p.Stamp)
	}
	since, ok := c.exchange.NotBefore(c.now(), p.Echo)
	c.mu.Unlock()
	return ok && c.Adopt(since, p)
}

// Leader returns the name of control's leader as last heard, or nothing.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Announce sends a heartbeat at once, because something about the endpoint or
// the demand changed.
func (c *Client) Announce() {
	select {
	case c.announce <- struct{}{}:
	default:
	}
}

// Run keeps a session until ctx ends. It starts at a replica chosen at random, so
// that the processes spread, and goes on to the next when one fails.
func (c *Client) Run(ctx context.Context) error {
	var polling sync.WaitGroup
	defer polling.Wait()
	polling.Go(func() { c.runPolls(ctx) })
	order := c.spread()
	backoff := minBackoff
	for ctx.Err() == nil {
		if len(order) == 0 {
			order = c.spread()
		}
		addr := order[0]
		order = order[1:]
		renewed, err := c.session(ctx, addr)
		if ctx.Err() != nil {
			return nil
		}
		c.options.Log.Warn("session with control ended", "replica", addr, "error", err)
		c.drop(addr)
		if renewed {
			backoff = minBackoff
			order = slices.DeleteFunc(c.spread(), func(a string) bool { return a == addr })
		}
		c.wait(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// known returns the replicas' addresses in the order in which to try them: the members
// that control named last, and then the other ones of the options, which may be out of
// date.
func (c *Client) known() []string {
	members, rest := c.addrs()
	return append(members, rest...)
}

// spread returns the same addresses, in random order among the members and among the
// others, so that the processes do not all go to the same replica.
func (c *Client) spread() []string {
	members, rest := c.addrs()
	for _, addrs := range [][]string{members, rest} {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	}
	return append(members, rest...)
}

func (c *Client) addrs() (members, rest []string) {
	c.mu.Lock()
	members, rest = slices.Clone(c.members), slices.Clone(c.replicas)
	c.mu.Unlock()
	return members, slices.DeleteFunc(rest, func(a string) bool { return slices.Contains(members, a) })
}

// SetReplicas replaces the addresses of control that the settings name. A session in
// progress goes on.
func (c *Client) SetReplicas(replicas []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas = slices.Clone(replicas)
}

// learn takes over the members that control named.
func (c *Client) learn(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = slices.Clone(members)
}

// wait waits for half to the whole of d, so that processes which lost the same
// replica do not come back all at once.
func (c *Client) wait(ctx context.Context, d time.Duration) {
	jittered := d/2 + rand.N(d/2)
	select {
	case <-ctx.Done():
	case <-c.options.Clock.After(jittered):
	}
}
