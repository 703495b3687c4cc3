package queue

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// FIFO is the baseline: one queue in order of arrival, whose head blocks the rest.
type FIFO struct {
	book  book
	flow  flow
	limit int
}

var _ Queue = (*FIFO)(nil)

// NewFIFO returns a queue of at most maxItems requests.
func NewFIFO(maxItems int) *FIFO {
	return &FIFO{book: newBook(), limit: maxItems}
}

// Push implements Waiting.
func (q *FIFO) Push(_ time.Time, item Item) error {
	if len(q.book.byID) >= q.limit {
		return refuseFull(len(q.book.byID))
	}
	n := &node{item: item, flow: &q.flow}
	q.flow.append(n)
	q.book.add(n)
	return nil
}

// Pop implements Waiting.
func (q *FIFO) Pop(_ time.Time, fits func(*Item) bool) (Item, bool) {
	n := q.flow.head
	if n == nil || !fits(&n.item) {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

// Remove implements Waiting.
func (q *FIFO) Remove(id uint64) (Item, bool) {
	n := q.book.byID[id]
	if n == nil {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

// Expire implements Waiting.
func (q *FIFO) Expire(now time.Time, buf []Dropped) []Dropped {
	for n := q.book.due(now); n != nil; n = q.book.due(now) {
		q.remove(n)
		buf = append(buf, Dropped{Item: n.item, Refusal: refuseExpired()})
	}
	return buf
}

// Len implements Waiting.
func (q *FIFO) Len() int { return len(q.book.byID) }

// Tokens implements Waiting.
func (q *FIFO) Tokens(class route.Class) int64 { return q.book.tokens[class] }

// Share implements Waiting: by the part of the work that waits.
func (q *FIFO) Share(class route.Class) float64 {
	all := int64(0)
	for _, tokens := range q.book.tokens {
		all += tokens
	}
	if all == 0 {
		return 1
	}
	return max(float64(q.book.tokens[class])/float64(all), leastShare)
}

// leastShare bounds a share from below, so that a wait stays finite.
const leastShare = 0.01

func (q *FIFO) remove(n *node) {
	q.flow.unlink(n)
	q.book.remove(n)
}
