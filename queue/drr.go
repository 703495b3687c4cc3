package queue

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// DRR is the deficit round robin over classes and client accounts.
type DRR struct {
	set     Settings
	book    book
	classes [route.NumClasses]*class
	flows   map[flowKey]*flow
	// accounts counts the waiting requests by account.
	accounts map[string]int
	pops     uint64
}

var _ Queue = (*DRR)(nil)

type flowKey struct {
	class   route.Class
	account string
}

// Least values of the settings: below them the round robin would not advance.
const (
	leastWeight  = 0.01
	leastQuantum = 1
	leastProbes  = 1
)

// NewDRR returns an empty queue. Settings that would not let it advance are raised.
func NewDRR(s Settings) *DRR {
	s.Quantum = max(s.Quantum, leastQuantum)
	s.Probes = max(s.Probes, leastProbes)
	for c := range s.Weights {
		s.Weights[c] = max(s.Weights[c], leastWeight)
	}
	q := &DRR{set: s, book: newBook(), flows: map[flowKey]*flow{}, accounts: map[string]int{}}
	for c := range q.classes {
		q.classes[c] = &class{credit: credit{weight: s.Weights[c]}}
	}
	return q
}

// Push implements Waiting. A full queue makes room at the cost of the account with
// the most requests waiting, so that one account cannot keep the others out.
func (q *DRR) Push(_ time.Time, item Item) error {
	if len(q.book.byID) >= q.set.MaxItems {
		largest := q.largest()
		if q.accounts[item.Account] >= q.accounts[largest] {
			return refuseFull(len(q.book.byID))
		}
		q.evict(largest)
	}
	f := q.flowOf(item)
	n := &node{item: item, flow: f}
	f.append(n)
	f.class.waiting++
	q.accounts[item.Account]++
	q.book.add(n)
	return nil
}

// Pop implements Waiting.
func (q *DRR) Pop(_ time.Time, fits func(*Item) bool) (Item, bool) {
	q.pops++
	for {
		i := pick(q.classes[:], 0, q.pops, q.set.Quantum)
		if i < 0 {
			return Item{}, false
		}
		c := q.classes[i]
		c.probed = q.pops
		n := q.popFrom(c, fits)
		if n == nil {
			continue
		}
		work := float64(n.item.Tokens)
		c.deficit -= work
		n.flow.deficit -= work
		q.remove(n)
		return n.item, true
	}
}

// popFrom returns the next request of the class that fits, or nil.
func (q *DRR) popFrom(c *class, fits func(*Item) bool) *node {
	for range q.set.Probes {
		i := pick(c.flows, c.next, q.pops, q.set.Quantum)
		if i < 0 {
			return nil
		}
		c.next = i
		f := c.flows[i]
		f.probed = q.pops
		if fits(&f.head.item) {
			return f.head
		}
	}
	return nil
}

// Remove implements Waiting.
func (q *DRR) Remove(id uint64) (Item, bool) {
	n := q.book.byID[id]
	if n == nil {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

// Expire implements Waiting.
func (q *DRR) Expire(now time.Time, buf []Dropped) []Dropped {
	buf = q.book.taken(buf)
	for n := q.book.due(now); n != nil; n = q.book.due(now) {
		q.remove(n)
		buf = append(buf, Dropped{Item: n.item, Refusal: refuseExpired()})
	}
	return buf
}

// Len implements Waiting.
func (q *DRR) Len() int { return len(q.book.byID) }

// Tokens implements Waiting.
func (q *DRR) Tokens(class route.Class) int64 { return q.book.tokens[class] }

// Share implements Waiting: by the weights of the classes that wait.
func (q *DRR) Share(class route.Class) float64 {
	sum := q.set.Weights[class]
	for c, weight := range q.set.Weights {
		if c != int(class) && q.book.tokens[c] > 0 {
			sum += weight
		}
	}
	return q.set.Weights[class] / sum
}

// flowOf returns the flow that the item joins.
func (q *DRR) flowOf(item Item) *flow {
	key := flowKey{class: item.Class, account: item.Account}
	f := q.flows[key]
	if f == nil {
		f = &flow{credit: credit{weight: 1}, account: item.Account, class: q.classes[item.Class]}
		q.flows[key] = f
		f.class.flows = append(f.class.flows, f)
	}
	return f
}

// remove takes a request out of the queue.
func (q *DRR) remove(n *node) {
	f := n.flow
	f.unlink(n)
	f.class.waiting--
	q.book.remove(n)
	q.accounts[f.account]--
	if q.accounts[f.account] == 0 {
		delete(q.accounts, f.account)
	}
	if f.waiting == 0 {
		f.class.tidy(func(gone *flow) { delete(q.flows, flowKey{n.item.Class, gone.account}) })
	}
}

// largest returns the account with the most requests waiting; the first by name
// among equals.
func (q *DRR) largest() string {
	most, name := 0, ""
	for account, n := range q.accounts {
		if n > most || n == most && account < name {
			most, name = n, account
		}
	}
	return name
}

// evict drops the newest request of the account's longest flow.
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
	q.book.dropped = append(q.book.dropped, Dropped{Item: n.item, Refusal: refuseFull(q.set.MaxItems)})
}
