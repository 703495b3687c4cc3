package session

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/lease"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// runPolls polls the replicas once per heartbeat interval while less than a third of the lease
// is left, until ctx ends. Polls can renew the permission while control has no leader.
func (c *Client) runPolls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.options.Clock.After(c.options.Heartbeat):
		}
		if c.Permission().Left < c.options.Lease/3 && c.view.Revision() > 0 {
			c.poll(ctx)
		}
	}
}

// poll asks all replicas and renews the permission if the answers of a majority prove that the
// configuration of the process was current when the poll began; see lease.Poll.
func (c *Client) poll(ctx context.Context) {
	startedAt := c.now()
	stoppedCount := c.Permission().Left > 0 && !c.options.EarlyConfirmation
	ctx, cancel := context.WithTimeout(ctx, c.options.Lease/2)
	defer cancel()
	replicas := c.replicaAddrs()
	answers := make(chan pollResult, len(replicas))
	for _, addr := range replicas {
		go func() { answers <- c.pollReplica(ctx, addr) }()
	}
	var round pollRound
	for range replicas {
		round.add(<-answers, stoppedCount)
		if round.provesCurrent(c.view.Revision(), len(replicas)) {
			c.renewFrom(startedAt)
			return
		}
	}
}

// pollResult is the result of polling the replica at addr. info is nil if the replica did not
// answer.
type pollResult struct {
	addr    string
	info    *command.ReplicaInfo
	stopped bool
}

// stoppedCheckTimeout is the timeout of Options.Stopped. The operating system of a running VM
// refuses a connection to a stopped process at once.
const stoppedCheckTimeout = 200 * time.Millisecond

// pollReplica polls one replica, unless its process has stopped.
func (c *Client) pollReplica(ctx context.Context, addr string) pollResult {
	checkCtx, cancel := context.WithTimeout(ctx, stoppedCheckTimeout)
	defer cancel()
	if c.options.Stopped(checkCtx, addr) {
		return pollResult{addr: addr, stopped: true}
	}
	return pollResult{addr: addr, info: c.requestReplicaInfo(ctx, addr)}
}

// pollRound collects the results of one poll.
type pollRound struct {
	infos []*command.ReplicaInfo
	// stopped are the addresses of the replicas that have stopped and count. They count only if the
	// permission had not expired when the poll began, and only where control confirms a change
	// after the permissions without it have expired; see lease.Poll.AddStopped.
	stopped []string
}

// add adds a result. stoppedCount reports whether a replica that has stopped counts.
func (r *pollRound) add(p pollResult, stoppedCount bool) {
	if p.info != nil {
		r.infos = append(r.infos, p.info)
	}
	if p.stopped && stoppedCount {
		r.stopped = append(r.stopped, p.addr)
	}
}

// provesCurrent reports whether the results prove that the configuration at the given revision
// was current when the poll began. replicas is the number of polled addresses. If all of them
// have stopped, no replica is left that could accept a change. If any replica knows a leader,
// the poll proves nothing: the leader may have stopped renewing the permission on purpose,
// because a newer process has replaced this one.
func (r *pollRound) provesCurrent(revision uint64, replicas int) bool {
	if len(r.stopped) == replicas {
		return true
	}
	var poll lease.Poll
	for _, s := range r.infos {
		if s.ID == 0 {
			continue // a relay, which has no state
		}
		if s.Leader != 0 {
			return false
		}
		poll.Add(lease.ReplicaStatus{Replica: s.ID, Voters: s.Voters, Revision: s.Revision, Settled: s.Settled})
		for i, addr := range s.Addrs {
			if slices.Contains(r.stopped, addr) {
				poll.AddStopped(s.Voters[i])
			}
		}
	}
	return poll.ProvesCurrent(revision)
}

// connectionRefused reports whether the VM of addr is running and no process listens on the
// port.
func connectionRefused(ctx context.Context, addr string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// renewFrom renews the permission from since, the beginning of a successful poll.
func (c *Client) renewFrom(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permission.RenewFrom(since)
}

// requestReplicaInfo returns the ReplicaInfo of one replica, or nil if the request fails. If no answer
// arrives, the next stream uses a new connection, because the replica may have restarted.
func (c *Client) requestReplicaInfo(ctx context.Context, addr string) *command.ReplicaInfo {
	stream, err := c.options.Opener.Open(ctx, addr)
	if err != nil {
		return nil
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	answer, err := sendAndReceive(stream, &wire.Command{Name: command.NameReplicaInfo})
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.options.Log.Debug("replica does not answer", "replica", addr, "error", err)
			c.renewConnection(addr)
		}
		return nil
	}
	info, err := DecodeReplicaInfo(answer)
	if err != nil {
		c.options.Log.Debug("replica information not read", "replica", addr, "error", err)
		return nil
	}
	return info
}

// DecodeReplicaInfo returns the ReplicaInfo in the answer to command.NameReplicaInfo.
func DecodeReplicaInfo(answer *wire.Answer) (*command.ReplicaInfo, error) {
	if answer.Refused != nil {
		return nil, answer.Refused.Refusal()
	}
	var s command.ReplicaInfo
	if err := wire.Unmarshal(answer.Body, &s); err != nil {
		return nil, err
	}
	return &s, nil
}
