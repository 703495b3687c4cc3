package queue

import "math"

// roundRobinState is the state of a class or a flow in the deficit round robin.
type roundRobinState struct {
	weight float64
	// deficit is the deficit counter, in tokens. A request may be served while deficit is
	// above 0, and subtracts its tokens even when that leaves deficit below 0. Each round
	// adds the quantum times weight.
	deficit float64
	// waiting is the number of waiting requests.
	waiting int
	// lastProbe is the number of the Pop that last tried this class or flow.
	lastProbe uint64
}

// replenish adds the tokens of one or more rounds to the deficit counter. The counter rises
// to at most tokens, and to at most 0 if no request is waiting. A class or flow that is empty
// or whose requests do not fit therefore does not save up tokens over repeated calls.
func (c *roundRobinState) replenish(tokens float64) {
	if c.deficit >= tokens {
		return
	}
	c.deficit = min(c.deficit+tokens, max(tokens, 0))
	if c.waiting == 0 {
		c.deficit = min(c.deficit, 0)
	}
}

// member is a class or a flow.
type member interface{ state() *roundRobinState }

// nextEligible returns the index of the first member, starting at index from and
// wrapping around, that has requests waiting, has not been tried in this Pop and has a
// deficit above 0. When all untried members with waiting requests have a deficit of 0
// or less, it replenishes all members by the smallest number of rounds that raises the
// deficit of one of these above 0. It returns -1 when no untried member has requests
// waiting.
func nextEligible[M member](members []M, from int, pop uint64, quantum float64) int {
	rounds := -1.0
	for k := range members {
		i := (from + k) % len(members)
		c := members[i].state()
		if c.waiting == 0 || c.lastProbe == pop {
			continue
		}
		if c.deficit > 0 {
			return i
		}
		needed := math.Floor(-c.deficit/(quantum*c.weight)) + 1
		if rounds < 0 || needed < rounds {
			rounds = needed
		}
	}
	if rounds < 0 {
		return -1
	}
	for _, m := range members {
		c := m.state()
		c.replenish(rounds * quantum * c.weight)
	}
	return nextEligible(members, from, pop, quantum)
}

// flow is the list of the waiting requests of one account in one class, in order of
// arrival.
type flow struct {
	roundRobinState
	account    string
	class      *class
	head, tail *node
}

func (f *flow) state() *roundRobinState { return &f.roundRobinState }

func (f *flow) append(n *node) {
	f.waiting++
	n.prev = f.tail
	if f.tail == nil {
		f.head = n
	} else {
		f.tail.next = n
	}
	f.tail = n
}

func (f *flow) unlink(n *node) {
	f.waiting--
	if n.prev == nil {
		f.head = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		f.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next = nil, nil
}

// class holds the flows of one length class.
type class struct {
	roundRobinState
	flows []*flow
	// next is the index in flows at which the next Pop begins.
	next int
}

func (c *class) state() *roundRobinState { return &c.roundRobinState }

// dropIdleFlows drops the empty flows and calls dropped for each. It keeps a flow with
// a negative deficit: otherwise an account could reset its deficit by letting its queue
// run empty.
func (c *class) dropIdleFlows(dropped func(*flow)) {
	kept := c.flows[:0]
	for _, f := range c.flows {
		if f.waiting == 0 && f.deficit >= 0 {
			dropped(f)
			continue
		}
		kept = append(kept, f)
	}
	clear(c.flows[len(kept):])
	c.flows = kept
	if c.next >= len(kept) {
		c.next = 0
	}
}
