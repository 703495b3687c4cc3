package session

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// firstTryTimeout bounds a try with one replica in the first round, and
	// maxTryTimeout in later ones, which wait longer for a slow leader. A resend
	// does no harm.
	firstTryTimeout = time.Second
	maxTryTimeout   = 4 * time.Second
	// MaxRedirects is the longest way to the leader: a relay names a replica, which
	// names the leader.
	MaxRedirects = 2
	// retryAfter is when it makes sense to send a refused command again.
	retryAfter = time.Second
)

// NewID returns a new identifier for a command.
func NewID() string { return uuid.NewString() }

// Do sends the command name with body to control's leader and decodes its answer
// into out, which may be nil. The identifier makes a command that changes state
// idempotent: after a lost answer Do sends it again, and the caller may too.
//
// The error is a *verdict.Refusal. NotRun means that the command has not taken
// effect and that Do will not send it again. MayHaveRun means that ctx ended
// before an answer came; only a resend with the same identifier can tell.
func (c *Client) Do(ctx context.Context, name, id string, body, out any) error {
	raw, err := wire.Marshal(body)
	if err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, 0, "%v", err)
	}
	d := &commandCall{client: c, command: &wire.Command{ID: id, Name: name, Body: raw}, timeout: firstTryTimeout}
	answer, err := d.run(ctx)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(answer.Body, out); err != nil {
		return verdict.Uncertain(verdict.ReasonInternal, 0, "%v", err)
	}
	return nil
}

// commandCall is one command on its way.
type commandCall struct {
	client  *Client
	command *wire.Command
	// mayHaveRun is set once a try ended without an answer after the command left.
	mayHaveRun bool
	lastErr    error
	// timeout bounds a try in this round.
	timeout time.Duration
}

// run tries the replicas in rounds. A round without any leader ends a command
// that has certainly not taken effect; one that may have is tried until ctx ends.
func (d *commandCall) run(ctx context.Context) (*wire.Answer, error) {
	backoff := minBackoff
	for {
		for _, addr := range d.client.commandAddrs() {
			answer := d.tryWithRedirects(ctx, addr)
			if answer == nil {
				continue
			}
			if answer.Refused != nil {
				return nil, answer.Refused.Refusal()
			}
			return answer, nil
		}
		if ctx.Err() != nil || !d.mayHaveRun {
			return nil, d.refusal()
		}
		d.client.waitWithJitter(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
		d.timeout = min(2*d.timeout, maxTryTimeout)
	}
}

func (d *commandCall) refusal() *verdict.Refusal {
	if d.mayHaveRun {
		return verdict.Uncertain(verdict.ReasonNoQuorum, retryAfter, "control gave no answer to the command: %v", d.lastErr)
	}
	return verdict.Refuse(verdict.ReasonNoQuorum, retryAfter, "no leader of control can be reached: %v", d.lastErr)
}

// tryWithRedirects tries the process of control at addr and those that it names in turn. It
// returns nil when there is no final answer.
func (d *commandCall) tryWithRedirects(ctx context.Context, addr string) *wire.Answer {
	answer := d.tryOnce(ctx, addr)
	for range MaxRedirects {
		if answer != nil && answer.Leader != "" && answer.Leader != addr {
			addr = answer.Leader
			answer = d.tryOnce(ctx, addr)
		}
	}
	if answer == nil || answer.Leader != "" {
		return nil
	}
	if r := answer.Refused; r != nil && r.Reason == verdict.ReasonNoQuorum {
		d.mayHaveRun = d.mayHaveRun || r.Verdict != verdict.NotRun
		d.lastErr = r.Refusal()
		return nil
	}
	d.client.setLeaderAddr(addr)
	return answer
}

// tryOnce sends the command to one replica and returns its answer, or nil.
func (d *commandCall) tryOnce(ctx context.Context, addr string) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	stream, err := d.client.options.Opener.Open(ctx, addr)
	if err != nil {
		d.lastErr = err
		return nil
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	answer, err := sendAndReceive(stream, d.command)
	if err != nil {
		d.mayHaveRun = true
		d.lastErr = err
		d.client.dropConnection(addr)
	}
	return answer
}

// dropConnection gives up a connection on which no answer came: the replica may have been
// restarted, and would never know the connection.
func (c *Client) dropConnection(addr string) {
	if d, ok := c.options.Opener.(Dropper); ok {
		d.Drop(addr)
	}
}

// Exchange sends one command to the process at addr and returns its answer. A
// connection on which no answer came is dropped.
func Exchange(ctx context.Context, dialer Dropper, addr string, command *wire.Command) (*wire.Answer, error) {
	stream, err := dialer.Open(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	answer, err := sendAndReceive(stream, command)
	if err != nil {
		dialer.Drop(addr)
	}
	return answer, err
}

func sendAndReceive(stream wire.Stream, command *wire.Command) (*wire.Answer, error) {
	if err := stream.Send(command); err != nil {
		return nil, errors.Wrap(err, "send command")
	}
	if err := stream.CloseSend(); err != nil {
		return nil, errors.Wrap(err, "close command")
	}
	m, err := stream.Recv()
	if err != nil {
		return nil, errors.Wrap(err, "wait for answer")
	}
	answer, ok := m.(*wire.Answer)
	if !ok {
		return nil, errors.Errorf("unexpected %T for an answer", m)
	}
	return answer, nil
}

// commandAddrs lists the replicas to try, the one that last answered as leader first.
func (c *Client) commandAddrs() []string {
	c.mu.Lock()
	first := c.leaderAddr
	c.mu.Unlock()
	if first == "" {
		return c.replicaAddrs()
	}
	out := []string{first}
	for _, addr := range c.replicaAddrs() {
		if addr != first {
			out = append(out, addr)
		}
	}
	return out
}

func (c *Client) setLeaderAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderAddr = addr
}
