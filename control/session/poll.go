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

// runPolls asks the replicas itself whenever the permission is not renewed in
// time, until ctx ends.
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

// poll renews the permission if a majority of the replicas prove that the
// process's configuration was current when the poll began.
func (c *Client) poll(ctx context.Context) {
	began := c.now()
	unbroken := c.Permission().Left > 0
	ctx, cancel := context.WithTimeout(ctx, c.options.Lease/2)
	defer cancel()
	replicas := c.known()
	answers := make(chan polled, len(replicas))
	for _, addr := range replicas {
		go func() { answers <- c.ask(ctx, addr) }()
	}
	var round pollRound
	for range replicas {
		round.add(<-answers, unbroken)
		if round.proves(c.view.Revision(), len(replicas)) {
			c.proven(began)
			return
		}
	}
}

// polled is what a poll learned of the replica at an address.
type polled struct {
	addr     string
	standing *command.ReplicaInfo
	stopped  bool
}

// stoppedTimeout bounds the question whether a replica has stopped; the kernel of
// a VM that is up answers at once.
const stoppedTimeout = 200 * time.Millisecond

// ask asks one replica, unless its process has stopped.
func (c *Client) ask(ctx context.Context, addr string) polled {
	short, cancel := context.WithTimeout(ctx, stoppedTimeout)
	defer cancel()
	if c.options.Stopped(short, addr) {
		return polled{addr: addr, stopped: true}
	}
	return polled{addr: addr, standing: c.askStanding(ctx, addr)}
}

// pollRound collects the answers of one poll.
type pollRound struct {
	standings []*command.ReplicaInfo
	stopped   []string
}

func (r *pollRound) add(p polled, unbroken bool) {
	if p.standing != nil {
		r.standings = append(r.standings, p.standing)
	}
	if p.stopped && unbroken {
		r.stopped = append(r.stopped, p.addr)
	}
}

// proves reports whether the process was current when the poll began. When all
// replicas of the settings have stopped there is nobody left to accept an order.
// While there is a leader, only control itself renews permissions: it may have
// stopped to renew this one, because a newer process took this one's place.
func (r *pollRound) proves(ours uint64, replicas int) bool {
	if len(r.stopped) == replicas {
		return true
	}
	var poll lease.Poll
	for _, s := range r.standings {
		if s.ID == 0 {
			continue // a relay, which holds nothing
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
	return poll.ProvesCurrent(ours)
}

// connectionRefused reports whether the VM at addr is up and no process listens
// there.
func connectionRefused(ctx context.Context, addr string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (c *Client) proven(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permission.RenewFrom(since)
}

// askStanding returns what one replica says about itself, or nil.
func (c *Client) askStanding(ctx context.Context, addr string) *command.ReplicaInfo {
	stream, err := c.options.Opener.Open(ctx, addr)
	if err != nil {
		return nil
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	answer, err := exchange(stream, &wire.Command{Name: command.NameReplicaInfo})
	if err != nil {
		return nil
	}
	standing, err := DecodeReplicaInfo(answer)
	if err != nil {
		return nil
	}
	return standing
}

// DecodeReplicaInfo decodes the answer to command.NameReplicaInfo.
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
