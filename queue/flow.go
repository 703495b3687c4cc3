package queue

import "math"

// credit is the standing of a class or an account in a deficit round robin.
type credit struct {
	weight float64
	// deficit is the work that may still be taken in this round, in tokens. It falls
	// below 0 by the last request taken and rises by the quantum each round.
	deficit float64
	// waiting counts the waiting requests.
	waiting int
	// probed is the number of the Pop in which it was last asked.
	probed uint64
}

// earn adds the work of some rounds. One that nobody is served from, because it does
// not fit or is empty, saves up no more than what others have earned at once.
func (c *credit) earn(work float64) {
	if c.deficit >= work {
		return
	}
	c.deficit = min(c.deficit+work, max(work, 0))
	if c.waiting == 0 {
		c.deficit = min(c.deficit, 0)
	}
}

// member is a class or an account.
type member interface{ standing() *credit }

// pick returns the index of the next member that has requests waiting, has not been
// asked in this Pop and may take work, from index from on; or -1. When none may take
// work, it lets all members earn as many rounds as the first one needs.
func pick[M member](members []M, from int, pop uint64, quantum float64) int {
	rounds := -1.0
	for k := range members {
		i := (from + k) % len(members)
		c := members[i].standing()
		if c.waiting == 0 || c.probed == pop {
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
		c := m.standing()
		c.earn(rounds * quantum * c.weight)
	}
	return pick(members, from, pop, quantum)
}

// flow is the waiting requests of one account in one class, in order of arrival.
type flow struct {
	credit
	account    string
	class      *class
	head, tail *node
}

func (f *flow) standing() *credit { return &f.credit }

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

// class is the flows of one length class.
type class struct {
	credit
	flows []*flow
	// next is the flow whose turn it is.
	next int
}

func (c *class) standing() *credit { return &c.credit }

// tidy drops flows that are empty and owe nothing. One that owes work stays: else
// an account could clear its debt by letting its queue run empty.
func (c *class) tidy(gone func(*flow)) {
	kept := c.flows[:0]
	for _, f := range c.flows {
		if f.waiting == 0 && f.deficit >= 0 {
			gone(f)
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
