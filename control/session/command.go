package session

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// firstTryTimeout is the timeout of an attempt with one replica in the first round. It
	// doubles with each round up to maxTryTimeout, for the case of a slow leader. An attempt
	// may be cut short, because a command can be retried safely.
	firstTryTimeout = time.Second
	maxTryTimeout   = 4 * time.Second
	// MaxRedirects is the largest number of redirects to the leader: a relay redirects to a
	// replica, and the replica redirects to the leader.
	MaxRedirects = 2
	// retryAfter is the time after which callers should retry a refused command.
	retryAfter = time.Second
)

// NewID returns a new unique identifier for a command.
func NewID() string { return uuid.NewString() }

// Do sends a command with the given name and body to control's leader and decodes the answer
// into out, which may be nil. The identifier id makes a command that changes state idempotent:
// after a lost answer Do retries the command, and the caller may retry it too.
//
// The error is a *verdict.Refusal. The verdict NotRun means that the command has not taken
// effect and that Do does not retry it. MayHaveRun means that the command may have taken
// effect, for example because ctx ended before an answer arrived. Only a retry with the same
// identifier can then find out.
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

// commandCall is the state of one call of Client.Do.
type commandCall struct {
	client  *Client
	command *wire.Command
	// mayHaveRun is set if the command may have taken effect: an attempt ended without an
	// answer after the command was sent, or the leader answered that the outcome is unknown.
	mayHaveRun bool
	lastErr    error
	// timeout is the timeout of an attempt in the current round.
	timeout time.Duration
	// results receives how each attempt ended.
	results chan attemptResult
}

// attemptResult is the answer of the replica at addr, or the error of the attempt.
type attemptResult struct {
	addr   string
	answer *wire.Answer
	err    error
	// sent is set if the replica may have received the command.
	sent bool
}

// run sends the command to the replicas, round by round, until a leader answers. After a round
// without an answer it fails, unless the command may have taken effect. In that case it
// continues until ctx ends.
func (d *commandCall) run(ctx context.Context) (*wire.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errAnswered)
	d.results = make(chan attemptResult)
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

// refusal returns the error for a command without an answer from a leader.
func (d *commandCall) refusal() *verdict.Refusal {
	if d.mayHaveRun {
		return verdict.Uncertain(verdict.ReasonNoQuorum, retryAfter, "control gave no answer to the command: %v", d.lastErr)
	}
	return verdict.Refuse(verdict.ReasonNoQuorum, retryAfter, "no leader of control can be reached: %v", d.lastErr)
}

// tryWithRedirects sends the command to the control process at addr and follows its redirects
// to the leader. It returns nil if no leader has answered, or if the leader has lost its
// quorum.
func (d *commandCall) tryWithRedirects(ctx context.Context, addr string) *wire.Answer {
	r := d.tryOnce(ctx, addr)
	for range MaxRedirects {
		if r.answer != nil && r.answer.Leader != "" && r.answer.Leader != r.addr {
			r = d.tryOnce(ctx, r.answer.Leader)
		}
	}
	if r.answer == nil || r.answer.Leader != "" {
		return nil
	}
	if refused := r.answer.Refused; refused != nil && refused.Reason == verdict.ReasonNoQuorum {
		d.mayHaveRun = d.mayHaveRun || refused.Verdict != verdict.NotRun
		d.lastErr = refused.Refusal()
		return nil
	}
	d.client.setLeaderAddr(r.addr)
	return r.answer
}

// tryOnce sends the command to one replica and returns the result. It waits for at most half of the
// time that is left, so that a silent replica leaves time for the others. The attempt then goes on
// beside those that follow, and its answer may be the result of one of these.
func (d *commandCall) tryOnce(ctx context.Context, addr string) attemptResult {
	patience := d.timeout
	if deadline, ok := ctx.Deadline(); ok {
		patience = min(patience, time.Until(deadline)/2)
	}
	// sent is set once the replica may have received the command.
	sent := &atomic.Bool{}
	go d.attempt(ctx, addr, d.timeout, sent)
	waited := time.NewTimer(patience)
	defer waited.Stop()
	for {
		select {
		case r := <-d.results:
			d.mayHaveRun = d.mayHaveRun || r.answer == nil && r.sent
			if r.err != nil {
				d.lastErr = r.err
			}
			if r.addr == addr || r.answer != nil && r.answer.Leader == "" {
				return r
			}
		case <-waited.C:
			d.mayHaveRun = d.mayHaveRun || sent.Load()
			d.lastErr = errors.Errorf("replica %s has not answered for %v", addr, patience)
			d.client.forgetLeaderAddr(addr)
			return attemptResult{addr: addr}
		case <-ctx.Done():
			d.mayHaveRun = d.mayHaveRun || sent.Load()
			d.lastErr = ctx.Err()
			return attemptResult{addr: addr}
		}
	}
}

// errAnswered is the cause with which the remaining attempts of a command end that was answered.
var errAnswered = errors.New("the command was answered")

// attempt sends the command to one replica and passes the result on, unless ctx ends before.
func (d *commandCall) attempt(ctx context.Context, addr string, timeout time.Duration, sent *atomic.Bool) {
	r := attemptResult{addr: addr}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := d.client.options.Opener.Open(bounded, addr)
	if err == nil {
		defer stream.Abort()
		defer context.AfterFunc(bounded, stream.Abort)()
		sent.Store(true)
		r.answer, err = sendAndReceive(stream, d.command)
	}
	r.err, r.sent = err, sent.Load()
	if err != nil && context.Cause(ctx) != errAnswered {
		d.client.forgetLeaderAddr(addr)
		if r.sent {
			d.client.dropConnection(addr)
		}
	}
	select {
	case d.results <- r:
	case <-ctx.Done():
	}
}

// dropConnection drops the connection to addr after a missing answer, because the replica may
// have restarted and no longer know the connection.
func (c *Client) dropConnection(addr string) {
	if d, ok := c.options.Opener.(Dropper); ok {
		d.Drop(addr)
	}
}

// Exchange sends one command to the process at addr and returns its answer. It drops the
// connection if no answer arrives.
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

// sendAndReceive sends a command over the stream and returns the answer.
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

// commandAddrs returns the addresses to send a command to, starting with the replica that
// last answered as leader.
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

// forgetLeaderAddr makes the next command begin elsewhere if it would have begun at addr, where no
// answer came from.
func (c *Client) forgetLeaderAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderAddr == addr {
		c.leaderAddr = ""
	}
}
