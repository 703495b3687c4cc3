package session

import (
	"context"
	"time"

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
	began := c.options.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, c.options.Lease/2)
	defer cancel()
	answers := make(chan *command.ReplicaStanding, len(c.options.Replicas))
	for _, addr := range c.options.Replicas {
		go func() { answers <- c.askStanding(ctx, addr) }()
	}
	var poll lease.Poll
	for range c.options.Replicas {
		s := <-answers
		if s == nil {
			continue
		}
		poll.Add(lease.Standing{Replica: s.ID, Voters: s.Voters, Revision: s.Revision, Settled: s.Settled})
		if poll.Proves(c.view.Revision()) {
			c.proven(began)
			return
		}
	}
}

func (c *Client) proven(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permission.Proven(since)
}

// askStanding returns what one replica says about itself, or nil.
func (c *Client) askStanding(ctx context.Context, addr string) *command.ReplicaStanding {
	stream, err := c.options.Opener.Open(ctx, addr)
	if err != nil {
		return nil
	}
	defer stream.Abort()
	defer context.AfterFunc(ctx, stream.Abort)()
	answer, err := exchange(stream, &wire.Command{Name: command.NameStanding})
	if err != nil || answer.Refused != nil {
		return nil
	}
	var s command.ReplicaStanding
	if wire.Unmarshal(answer.Body, &s) != nil {
		return nil
	}
	return &s
}
