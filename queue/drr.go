package queue

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// DRR is a deficit round robin in tokens on two levels: over the length classes by
// weight, and within a class evenly over the client accounts.
type DRR struct {
	settings Settings
	index    index
	classes  [route.NumClasses]*class
	flows    map[flowKey]*flow
	// waitingByAccount counts the waiting requests of each account.
	waitingByAccount map[string]int
	// pops counts the calls of Pop; roundRobinState.lastProbe refers to it.
	pops uint64
}

var _ Queue = (*DRR)(nil)

type flowKey struct {
	class   route.Class
	account string
}

// Minimum settings. With lower values the round robin would not advance.
const (
	minWeight  = 0.01
	minQuantum = 1
	minProbes  = 1
)

// NewDRR returns an empty queue. It raises settings that are below the minimum values.
func NewDRR(s Settings) *DRR {
	s.Quantum = max(s.Quantum, minQuantum)
	s.Probes = max(s.Probes, minProbes)
	for c := range s.Weights {
		s.Weights[c] = max(s.Weights[c], minWeight)
	}
	q := &DRR{settings: s, index: newIndex(), flows: map[flowKey]*flow{}, waitingByAccount: map[string]int{}}
	for c := range q.classes {
		q.classes[c] = &class{roundRobinState: roundRobinState{weight: s.Weights[c]}}
	}
	return q
}

// Push implements Queue. A full queue drops a request of the account that has the most
// requests waiting, so that one account cannot fill the queue and lock out the others.
// If the account of item has that many itself, Push refuses item instead.
func (q *DRR) Push(_ time.Time, item Item) error {
	if len(q.index.byID) >= q.settings.MaxItems {
		largestAccount := q.largestAccount()
		if q.waitingByAccount[item.Account] >= q.waitingByAccount[largestAccount] {
			return refuseFull(len(q.index.byID))
		}
		q.evict(largestAccount)
	}
	f := q.flowOf(item)
	n := &node{item: item, flow: f}
	f.append(n)
	f.class.waiting++
	q.waitingByAccount[item.Account]++
	q.index.add(n)
	return nil
}

// Pop implements Queue.
func (q *DRR) Pop(_ time.Time, fits func(*Item) bool) (Item, bool) {
	q.pops++
	for {
		i := nextEligible(q.classes[:], 0, q.pops, q.settings.Quantum)
		if i < 0 {
			return Item{}, false
		}
		c := q.classes[i]
		c.lastProbe = q.pops
		n := q.popFrom(c, fits)
		if n == nil {
			continue
		}
		tokens := float64(n.item.Tokens)
		c.deficit -= tokens
		n.flow.deficit -= tokens
		q.remove(n)
		return n.item, true
	}
}

// popFrom returns the next request of the class that fits, or nil after Probes tries.
// It does not remove the request.
func (q *DRR) popFrom(c *class, fits func(*Item) bool) *node {
	for range q.settings.Probes {
		i := nextEligible(c.flows, c.next, q.pops, q.settings.Quantum)
		if i < 0 {
			return nil
		}
		c.next = i
		f := c.flows[i]
		f.lastProbe = q.pops
		if fits(&f.head.item) {
			return f.head
		}
	}
	return nil
}

// Remove implements Queue.
func (q *DRR) Remove(id uint64) (Item, bool) {
	n := q.index.byID[id]
	if n == nil {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

// Expire implements Queue.
func (q *DRR) Expire(now time.Time, buf []Dropped) []Dropped {
	buf = q.index.takeDropped(buf)
	for n := q.index.nextExpired(now); n != nil; n = q.index.nextExpired(now) {
		q.remove(n)
		buf = append(buf, Dropped{Item: n.item, Refusal: refuseExpired()})
	}
	return buf
}

// Len implements Queue.
func (q *DRR) Len() int { return len(q.index.byID) }

// Tokens implements Queue.
func (q *DRR) Tokens(class route.Class) int64 { return q.index.tokens[class] }

// Share implements Queue. It is the weight of the class divided by the weights of all
// classes with waiting requests, the class itself included.
func (q *DRR) Share(class route.Class) float64 {
	sum := q.settings.Weights[class]
	for c, weight := range q.settings.Weights {
		if c != int(class) && q.index.tokens[c] > 0 {
			sum += weight
		}
	}
	return q.settings.Weights[class] / sum
}

// flowOf returns the flow of the item's class and account, creating it if needed.
func (q *DRR) flowOf(item Item) *flow {
	key := flowKey{class: item.Class, account: item.Account}
	f := q.flows[key]
	if f == nil {
		f = &flow{roundRobinState: roundRobinState{weight: 1}, account: item.Account, class: q.classes[item.Class]}
		q.flows[key] = f
		f.class.flows = append(f.class.flows, f)
	}
	return f
}

// remove removes a request from its flow and from the index.
func (q *DRR) remove(n *node) {
	f := n.flow
	f.unlink(n)
	f.class.waiting--
	q.index.remove(n)
	q.waitingByAccount[f.account]--
	if q.waitingByAccount[f.account] == 0 {
		delete(q.waitingByAccount, f.account)
	}
	if f.waiting == 0 {
		f.class.dropIdleFlows(func(idle *flow) { delete(q.flows, flowKey{n.item.Class, idle.account}) })
	}
}

// largestAccount returns the account with the most requests waiting, and of several
// such accounts the first by name.
func (q *DRR) largestAccount() string {
	most, name := 0, ""
	for account, n := range q.waitingByAccount {
		if n > most || n == most && account < name {
			most, name = n, account
		}
	}
	return name
}

// evict drops the newest request of the account's longest flow. The next Expire
// returns it.
func (q *DRR) evict(account string) {
	var longest *flow
	for c := range q.classes {
		f := q.flows[flowKey{route.Class(c), account}]
		if f != nil && (longest == nil || f.waiting > longest.waiting) {
			longest = f
		}
	}
	n := longest.tail
	q.remove(n)
	q.index.dropped = append(q.index.dropped, Dropped{Item: n.item, Refusal: refuseFull(q.settings.MaxItems)})
}
