package session

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// receivedUpdate is an update received in the session, or the error that ended the stream.
type receivedUpdate struct {
	update *wire.Update
	err    error
}

// runSession runs one session with the replica at addr until it fails or ctx ends. renewed
// reports whether the replica renewed the permission in this session.
func (c *Client) runSession(ctx context.Context, addr string) (renewed bool, err error) {
	stream, err := c.openSession(ctx, addr)
	if err != nil {
		return false, err
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	updates := make(chan receivedUpdate)
	done := make(chan struct{})
	defer close(done)
	go receiveUpdates(stream, updates, done)
	return c.runHeartbeats(ctx, addr, stream, updates)
}

// openSession opens a stream to the replica at addr and sends the hello message.
func (c *Client) openSession(ctx context.Context, addr string) (wire.Stream, error) {
	openCtx, cancel := context.WithTimeout(ctx, min(openTimeout, c.options.RenewalTimeout))
	defer cancel()
	stream, err := c.options.Opener.Open(openCtx, addr)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(c.hello()); err != nil {
		stream.Abort()
		return nil, errors.Wrap(err, "send hello message")
	}
	c.options.Log.Debug("session with control opened", "replica", addr)
	return stream, nil
}

// hello returns the first message of a session.
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

// receiveUpdates sends the updates of the stream to out until the stream fails or done is
// closed.
func receiveUpdates(stream wire.Stream, out chan<- receivedUpdate, done <-chan struct{}) {
	for {
		m, err := stream.Recv()
		r := receivedUpdate{err: err}
		if err == nil {
			u, ok := m.(*wire.Update)
			if !ok {
				r.err = errors.Errorf("unexpected %T message in the session with control", m)
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

// runHeartbeats sends heartbeats to the replica at addr and applies updates until the stream fails or ctx ends. It
// also ends the session if the replica has not renewed the permission for RenewalTimeout,
// because the replica may be disconnected from the others.
func (c *Client) runHeartbeats(ctx context.Context, addr string, stream wire.Stream, updates <-chan receivedUpdate) (renewed bool, err error) {
	c.resetHeartbeats()
	began := c.options.Clock.Now()
	lastRenewal := began
	for {
		if err := c.sendHeartbeat(stream); err != nil {
			return renewed, err
		}
		tick := c.options.Clock.After(c.options.Heartbeat)
		for due := false; !due; {
			select {
			case <-ctx.Done():
				return renewed, nil
			case <-tick:
				due = true
			case <-c.heartbeatNow:
				due = true
			case r := <-updates:
				if r.err != nil {
					return renewed, r.err
				}
				if err := c.applyUpdate(r.update); err != nil {
					return renewed, err
				}
				if r.update.Echo == 0 {
					continue
				}
				lastRenewal = c.options.Clock.Now()
				if !renewed {
					renewed = true
					c.options.Log.Info("permission renewed by a new session", "replica", addr, "after", lastRenewal.Sub(began), "revision", r.update.Revision)
				}
			}
		}
		if unrenewed := c.options.Clock.Now().Sub(lastRenewal); unrenewed > c.options.RenewalTimeout {
			return renewed, errors.Errorf("permission not renewed for %v", unrenewed.Round(time.Millisecond))
		}
	}
}

// resetHeartbeats forgets the unanswered heartbeats of the previous session.
func (c *Client) resetHeartbeats() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permission.Reset()
}

// sendHeartbeat sends a heartbeat. Sequence numbers increase across sessions, so that an echo
// cannot be mistaken for that of a heartbeat from another session.
func (c *Client) sendHeartbeat(stream wire.Stream) error {
	c.mu.Lock()
	c.heartbeatSeq++
	heartbeat := &wire.Heartbeat{Seq: c.heartbeatSeq, Revision: c.view.Revision()}
	c.permission.HeartbeatSent(c.now(), c.heartbeatSeq)
	c.mu.Unlock()
	if c.options.Endpoint != nil {
		heartbeat.Endpoint = c.options.Endpoint()
	}
	if c.options.Limits != nil {
		heartbeat.Demand = c.options.Limits.demand(c.options.Clock.Now(), heartbeat.Seq)
	}
	// Without a deadline, a replica that does not read would block the session.
	if err := stream.SetSendDeadline(c.options.Clock.Now().Add(2 * c.options.Lease)); err != nil {
		return errors.Wrap(err, "set send deadline of session")
	}
	return errors.Wrap(stream.Send(heartbeat), "send heartbeat")
}

// applyUpdate applies an update of control. It renews the permission only after it has applied
// the changes, because the echo proves that the configuration is current only together with
// the changes that came in the same update and before.
func (c *Client) applyUpdate(u *wire.Update) error {
	if u.Snapshot != nil {
		c.view.Replace(u.Snapshot)
	}
	if err := c.view.Apply(u.Changes); err != nil {
		return errors.Wrap(err, "apply configuration changes")
	}
	c.mu.Lock()
	c.leader = u.Leader
	if u.Echo > 0 && c.view.Revision() >= u.Revision {
		c.permission.HeartbeatEchoed(u.Echo)
	}
	c.mu.Unlock()
	if len(u.Replicas) > 0 {
		c.setMembers(u.Replicas)
	}
	if c.options.Limits != nil {
		c.options.Limits.applyGrants(c.options.Clock.Now(), u.Shares)
	}
	if c.options.OnUpdate != nil {
		c.options.OnUpdate(u)
	}
	return nil
}
