// Package session is the client of control that entries, sidecars and operators use. It keeps
// a session with any reachable replica, holds the configuration and the permission of the
// process, and sends commands to the leader.
//
// In a session, the client sends heartbeats, and the replica sends updates of the
// configuration. An update that echoes a heartbeat renews the permission, which is a lease on
// the fact that the configuration is current; see package lease.
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
	// leaseMarginDivisor sets the margin for clock drift: the permission expires earlier
	// than the lease by the lease divided by leaseMarginDivisor.
	leaseMarginDivisor = 20
	// openTimeout is the longest time for opening a session with one replica.
	openTimeout = 2 * time.Second
	// minBackoff and maxBackoff limit the wait before the next replica is tried.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Options configure a Client.
type Options struct {
	// Node and Role identify the process. They agree with its certificate.
	Node settings.Node
	Role wire.Role
	// Replicas are the addresses of control's replicas.
	Replicas []string
	// Opener opens streams to the replicas. If it is a Dropper, the client drops connections
	// that do not respond.
	Opener wire.Opener
	Clock  kernel.Clock
	Log    hclog.Logger
	// Heartbeat is the interval between heartbeats. Lease is the time for which an echoed
	// heartbeat renews the permission, counted from its sending; it must not be longer than
	// the lease in control's settings.
	Heartbeat time.Duration
	Lease     time.Duration
	// RenewalTimeout is the time without a renewal of the permission after which the client
	// changes to another replica. The default is Lease. With a shorter time the client can
	// reach another replica before the permission expires.
	RenewalTimeout time.Duration
	// EarlyConfirmation is set where control confirms a change before the permissions of processes
	// without it have expired (command.Change.NoWait). Replicas that have stopped then prove
	// nothing in polls: see lease.Poll.AddStopped.
	EarlyConfirmation bool
	// ServeStale makes MayServe return true after the permission has expired, as long as the
	// process has a configuration. The process then keeps serving while control has no
	// quorum, but may send new work to an availability zone that has been taken out of
	// service meanwhile.
	ServeStale bool
	// Endpoint returns the endpoint that a sidecar announces to control. It is called for the
	// opening of each session and for each heartbeat. It is required for sidecars and nil for
	// other roles.
	Endpoint func() *wire.Endpoint
	// Addr is the address at which an entry listens for other entries. It is empty for other
	// roles.
	Addr string
	// Limits holds an entry's shares of the client accounts' limits. It is nil for other
	// roles.
	Limits *Limits
	// OnUpdate, if not nil, is called for each update, in order, after the update has been
	// applied to the view and the permission. It must not block.
	OnUpdate func(*wire.Update)
	// Suspended returns the total time for which the VM has been suspended. The default is
	// kernel.Suspended.
	Suspended func() time.Duration
	// Stopped reports whether the process of the replica at addr has certainly stopped, as
	// opposed to being unreachable. By default it has stopped if the operating system of its
	// VM refuses a TCP connection.
	Stopped func(ctx context.Context, addr string) bool
}

// Client keeps a session with control and sends commands to it. All methods are safe for
// concurrent use.
type Client struct {
	options Options
	// suspendedAtStart is the result of Options.Suspended when the client was created.
	suspendedAtStart time.Duration
	view             *config.View
	// heartbeatNow requests a heartbeat before the interval ends. Its capacity is one, so that
	// several requests result in one heartbeat.
	heartbeatNow chan struct{}

	// mu is "session.Client" of kernel.LockOrder. It guards the fields below.
	mu sync.Mutex
	// replicas are the addresses of the replicas in the settings.
	replicas   []string
	permission *lease.Permission
	timestamps *lease.TimestampEcho
	// heartbeatSeq is the sequence number of the last heartbeat. It starts at the current
	// time in milliseconds, so that heartbeats after a restart of the process have higher
	// numbers than those before.
	heartbeatSeq uint64
	// leader is the ID of control's leader, as text, from the last update; empty if there was
	// none.
	leader string
	// members are the addresses of the replicas that control sent last.
	members []string
	// leaderAddr is the address of the replica that last answered a command as leader.
	leaderAddr string
}

// New returns a client without a session. Run opens one.
func New(o Options) (*Client, error) {
	if len(o.Replicas) == 0 {
		return nil, errors.New("session options list no address of a control replica")
	}
	if o.Role == wire.RoleSidecar && o.Endpoint == nil {
		return nil, errors.New("session options of a sidecar have no Endpoint function")
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.Lease <= o.Heartbeat {
		return nil, errors.Errorf("lease of %v is not longer than the heartbeat interval of %v", o.Lease, o.Heartbeat)
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
		options:          o,
		replicas:         slices.Clone(o.Replicas),
		suspendedAtStart: o.Suspended(),
		view:             config.NewView(),
		heartbeatNow:     make(chan struct{}, 1),
		permission:       lease.NewPermission(o.Lease, o.Lease/leaseMarginDivisor),
		heartbeatSeq:     uint64(o.Clock.Now().UnixMilli()),
	}
	c.timestamps = lease.NewTimestampEcho(c.now(), rand.Uint64())
	return c, nil
}

// now returns the time for permissions, which includes the time for which the VM was
// suspended. A permission that expires during a suspension must not be valid after it.
func (c *Client) now() time.Time {
	return c.options.Clock.Now().Add(c.options.Suspended() - c.suspendedAtStart)
}

// View returns the configuration of the process, which the client keeps up to date.
func (c *Client) View() *config.View { return c.view }

// Config returns the newest configuration known.
func (c *Client) Config() *config.Document { return c.view.Load() }

// Fresh reports whether the permission is valid, so that the process may send and accept new
// work.
func (c *Client) Fresh() bool { return c.Permission().Left > 0 }

// RenewedByControl reports whether the last renewal by control itself is still valid. In
// contrast to renewals by peers and polls, it also proves that no newer process has
// replaced this one.
func (c *Client) RenewedByControl() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permission.RenewedByControl(c.now())
}

// MayServe reports whether the process may accept idempotent requests.
func (c *Client) MayServe() bool {
	return c.Fresh() || (c.options.ServeStale && c.view.Revision() > 0)
}

// Permission returns the permission of the process, without timestamps for a peer.
func (c *Client) Permission() wire.Permission {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.permission.Left(c.now())
	return wire.Permission{Revision: c.view.Revision(), Left: left}
}

// Adopt extends the permission to the permission p of a peer, and reports whether it did.
// since is a time before the peer sent p, such as the sending time of the message that the
// peer answered with p. If the peer has a higher revision, Adopt returns false, because this
// process lacks changes that the peer has; it then sends a heartbeat at once to get them from
// control.
func (c *Client) Adopt(since time.Time, p wire.Permission) bool {
	ownRevision := c.view.Revision()
	if p.Revision > ownRevision {
		c.Announce()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permission.Adopt(since, ownRevision, p.Revision, p.Left)
}

// PermissionFor returns the process's permission, with timestamps for a message to the
// given peer. The peer passes it to ReceivePermission.
func (c *Client) PermissionFor(peer string) wire.Permission {
	p := c.Permission()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.Stamp = c.timestamps.Stamp(c.now())
	p.Echo = c.timestamps.Echo(peer)
	return p
}

// ReceivePermission adopts the permission p of a peer, which the peer created with
// PermissionFor, and reports whether it did. It does not if p does not echo a timestamp of
// this process, because the age of p is then unknown, or if Adopt refuses p.
func (c *Client) ReceivePermission(peer string, p wire.Permission) bool {
	c.mu.Lock()
	if p.Stamp != 0 {
		c.timestamps.Observe(peer, p.Stamp)
	}
	since, ok := c.timestamps.NotBefore(c.now(), p.Echo)
	c.mu.Unlock()
	return ok && c.Adopt(since, p)
}

// Leader returns the ID of control's leader, as text, according to the last update, or the
// empty string if there was none.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Announce makes Run send a heartbeat at once. Callers use it when the state of the endpoint
// or the demand for shares has changed.
func (c *Client) Announce() {
	select {
	case c.heartbeatNow <- struct{}{}:
	default:
	}
}

// Run keeps a session with control until ctx ends, and then returns nil. It asks the replicas in
// random order, so that the processes distribute over them, and changes to another replica when a
// session fails.
func (c *Client) Run(ctx context.Context) error {
	var polling sync.WaitGroup
	defer polling.Wait()
	polling.Go(func() { c.runPolls(ctx) })
	order := c.shuffledReplicaAddrs()
	backoff := minBackoff
	for ctx.Err() == nil {
		if len(order) == 0 {
			order = c.shuffledReplicaAddrs()
		}
		addr := c.chooseReplica(ctx, order)
		order = without(order, addr)
		began := c.options.Clock.Now()
		renewed, err := c.runSession(ctx, addr)
		if ctx.Err() != nil {
			return nil
		}
		c.options.Log.Warn("session with control ended", "replica", addr, "renewed", renewed, "lasted", c.options.Clock.Now().Sub(began),
			"permission_left", c.Permission().Left, "error", err)
		c.dropConnection(addr)
		if renewed {
			backoff = minBackoff
			order = without(c.shuffledReplicaAddrs(), addr)
		}
		c.waitWithJitter(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// replicaAddrs returns the addresses of the replicas in the order in which to try them: first
// the members that control sent last, then the remaining addresses of the settings, which may
// be out of date.
func (c *Client) replicaAddrs() []string {
	members, rest := c.addrs()
	return append(members, rest...)
}

// shuffledReplicaAddrs returns the same addresses as replicaAddrs, but with the members and
// the remaining addresses each in random order, so that the processes do not all connect to
// the same replica.
func (c *Client) shuffledReplicaAddrs() []string {
	members, rest := c.addrs()
	for _, addrs := range [][]string{members, rest} {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	}
	return append(members, rest...)
}

// addrs returns the members that control sent last, and the remaining addresses of the
// settings.
func (c *Client) addrs() (members, rest []string) {
	c.mu.Lock()
	members, rest = slices.Clone(c.members), slices.Clone(c.replicas)
	c.mu.Unlock()
	return members, slices.DeleteFunc(rest, func(a string) bool { return slices.Contains(members, a) })
}

// SetReplicas replaces the addresses of the replicas that come from the settings. An open
// session continues.
func (c *Client) SetReplicas(replicas []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas = slices.Clone(replicas)
}

// setMembers replaces the addresses of the members that control sent.
func (c *Client) setMembers(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = slices.Clone(members)
}

// waitWithJitter waits until ctx ends, but at most for a random time between d/2 and d. The
// randomness keeps processes that lost the same replica from reconnecting all at once.
func (c *Client) waitWithJitter(ctx context.Context, d time.Duration) {
	jittered := d/2 + rand.N(d/2)
	select {
	case <-ctx.Done():
	case <-c.options.Clock.After(jittered):
	}
}
