package session

import (
	"context"
	"slices"
	"time"
)

// hedgeDelay is how long a replica has to answer before the next one is asked beside it.
const hedgeDelay = 100 * time.Millisecond

// Renewer is an Opener that keeps connections and can dial anew without an effect on open streams.
type Renewer interface {
	// Renew makes the next Open to addr dial a new connection. Open streams go on.
	Renew(addr string)
}

// chooseReplica returns the replica with which to open the next session. It asks the replicas in
// this order, each over a new connection, and returns the first that knows a leader. A replica that
// does not answer, or does not know a connection because it has restarted, delays the others by
// hedgeDelay only. If none knows a leader, the result is the first replica that answered, then the
// first relay, then the first address.
func (c *Client) chooseReplica(ctx context.Context, order []string) string {
	if len(order) == 1 {
		c.renewConnection(order[0])
		return order[0]
	}
	started := c.options.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, min(openTimeout, c.options.RenewalTimeout/2))
	defer cancel()
	choice := replicaChoice{order: order}
	answers := make(chan pollResult, len(order))
	asked := 0
	askNext := func() (hedge <-chan time.Time) {
		addr := order[asked]
		asked++
		go func() { answers <- c.askReplica(ctx, addr) }()
		return c.options.Clock.After(hedgeDelay)
	}
	hedge := askNext()
	for {
		select {
		case answer := <-answers:
			choice.add(answer)
		case <-hedge:
		}
		if addr, decided := choice.decide(); decided {
			c.options.Log.Info("replica chosen", "replica", addr, "leader_known", choice.leader != "", "asked", asked,
				"answered", choice.answered, "failed", choice.failed, "took", c.options.Clock.Now().Sub(started))
			return addr
		}
		hedge = nil
		if asked < len(order) {
			hedge = askNext()
		}
	}
}

// askReplica requests the ReplicaInfo of one replica over a new connection.
func (c *Client) askReplica(ctx context.Context, addr string) pollResult {
	c.renewConnection(addr)
	return pollResult{addr: addr, info: c.requestReplicaInfo(ctx, addr)}
}

// renewConnection makes the next stream to addr use a new connection.
func (c *Client) renewConnection(addr string) {
	if r, ok := c.options.Opener.(Renewer); ok {
		r.Renew(addr)
	}
}

// replicaChoice chooses among the replicas in order by their answers. It does no I/O.
type replicaChoice struct {
	order []string
	// leader is the first replica that answered and knows a leader, replica the first that answered and
	// knows none, and relay the first relay that answered.
	leader, replica, relay string
	answered, failed       int
}

// add adds the answer of a replica, or that none came.
func (r *replicaChoice) add(p pollResult) {
	switch {
	case p.info == nil:
		r.failed++
		return
	case p.info.ID == 0 && r.relay == "":
		r.relay = p.addr
	case p.info.ID != 0 && p.info.Leader != 0 && r.leader == "":
		r.leader = p.addr
	case p.info.ID != 0 && r.replica == "":
		r.replica = p.addr
	}
	r.answered++
}

// decide returns the choice, and whether there is one already.
func (r *replicaChoice) decide() (addr string, decided bool) {
	if r.leader != "" {
		return r.leader, true
	}
	if r.answered+r.failed < len(r.order) {
		return "", false
	}
	for _, addr := range []string{r.replica, r.relay} {
		if addr != "" {
			return addr, true
		}
	}
	return r.order[0], true
}

// without returns the addresses other than addr.
func without(addrs []string, addr string) []string {
	return slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return a == addr })
}
