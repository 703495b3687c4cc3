package session

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// received is a message of the session's stream, or why there is none.
type received struct {
	update *wire.Update
	err    error
}

// session runs one session with the replica at addr until it fails or ctx ends.
// It reports whether the replica renewed the permission.
func (c *Client) session(ctx context.Context, addr string) (renewed bool, err error) {
	stream, err := c.open(ctx, addr)
	if err != nil {
		return false, err
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	updates := make(chan received)
	done := make(chan struct{})
	defer close(done)
	go receive(stream, updates, done)
	return c.converse(ctx, stream, updates)
}

func (c *Client) open(ctx context.Context, addr string) (wire.Stream, error) {
	bounded, cancel := context.WithTimeout(ctx, min(openTimeout, c.options.RenewalTimeout))
	defer cancel()
	stream, err := c.options.Opener.Open(bounded, addr)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(c.hello()); err != nil {
		stream.Abort()
		return nil, errors.Wrap(err, "send hello")
	}
	c.options.Log.Debug("session with control opened", "replica", addr)
	return stream, nil
}

func (c *Client) hello() *wire.Hello {
	o := &c.options
	h := &wire.Hello{
		Role: string(o.Role), Name: o.Node.Name, Region: o.Node.Region, Zone: o.Node.Zone,
		Revision: c.view.Revision(), Addr: o.Addr,
	}
	if o.Endpoint != nil {
		h.Endpoint = o.Endpoint()
	}
	return h
}

// receive passes on updates until the stream ends or done is closed.
func receive(stream wire.Stream, out chan<- received, done <-chan struct{}) {
	for {
		m, err := stream.Recv()
		r := received{err: err}
		if err == nil {
			u, ok := m.(*wire.Update)
			if !ok {
				r.err = errors.Errorf("unexpected %T in a session", m)
			}
			r.update = u
		}
		select {
		case out <- r:
		case <-done:
			return
		}
		if r.err != nil {
			return
		}
	}
}

// converse sends heartbeats and takes in updates. It leaves a replica that has
// not renewed the permission for a lease: it may be cut off from the others.
func (c *Client) converse(ctx context.Context, stream wire.Stream, updates <-chan received) (renewed bool, err error) {
	c.forgetHeartbeats()
	lastEcho := c.options.Clock.Now()
	for {
		if err := c.beat(stream); err != nil {
			return renewed, err
		}
		tick := c.options.Clock.After(c.options.Heartbeat)
		for due := false; !due; {
			select {
			case <-ctx.Done():
				return renewed, nil
			case <-tick:
				due = true
			case <-c.announce:
				due = true
			case r := <-updates:
				if r.err != nil {
					return renewed, r.err
				}
				if err := c.take(r.update); err != nil {
					return renewed, err
				}
				if r.update.Echo > 0 {
					renewed, lastEcho = true, c.options.Clock.Now()
				}
			}
		}
		if silent := c.options.Clock.Now().Sub(lastEcho); silent > c.options.RenewalTimeout {
			return renewed, errors.Errorf("permission not renewed for %v", silent.Round(time.Millisecond))
		}
	}
}

func (c *Client) forgetHeartbeats() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permission.Reset()
}

// beat sends a heartbeat. Its number goes on over sessions, so that an echo can
// never be taken for that of another session.
func (c *Client) beat(stream wire.Stream) error {
	c.mu.Lock()
	c.seq++
	b := &wire.Heartbeat{Seq: c.seq, Revision: c.view.Revision()}
	c.permission.HeartbeatSent(c.now(), c.seq)
	c.mu.Unlock()
	if c.options.Endpoint != nil {
		b.Endpoint = c.options.Endpoint()
	}
	if c.options.Limits != nil {
		b.Demand = c.options.Limits.demand(c.options.Clock.Now(), b.Seq)
	}
	// A replica that reads nothing must not hold the process up.
	if err := stream.SetSendDeadline(c.options.Clock.Now().Add(2 * c.options.Lease)); err != nil {
		return errors.Wrap(err, "set deadline of session")
	}
	return errors.Wrap(stream.Send(b), "send heartbeat")
}

// take brings the process up to date. The permission is renewed last: the echo
// stands for the configuration that came with it and before it.
func (c *Client) take(u *wire.Update) error {
	if u.Snapshot != nil {
		c.view.Replace(u.Snapshot)
	}
	if err := c.view.Apply(u.Changes); err != nil {
		return errors.Wrap(err, "apply changes")
	}
	c.mu.Lock()
	c.leader = u.Leader
	if u.Echo > 0 && c.view.Revision() >= u.Revision {
		c.permission.HeartbeatEchoed(u.Echo)
	}
	c.mu.Unlock()
	if len(u.Replicas) > 0 {
		c.learn(u.Replicas)
	}
	if c.options.Limits != nil {
		c.options.Limits.grant(c.options.Clock.Now(), u.Shares)
	}
	if c.options.OnUpdate != nil {
		c.options.OnUpdate(u)
	}
	return nil
}
