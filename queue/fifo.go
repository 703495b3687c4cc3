package queue

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// FIFO serves requests in order of arrival; a request at the head that does not fit
// blocks all others. It is the baseline to which DRR is compared.
type FIFO struct {
	index index
	flow  flow
	limit int
}

var _ Queue = (*FIFO)(nil)

// NewFIFO returns a queue of at most maxItems requests.
func NewFIFO(maxItems int) *FIFO {
	return &FIFO{index: newIndex(), limit: maxItems}
}

// Push implements Queue.
func (q *FIFO) Push(_ time.Time, item Item) error {
	if len(q.index.byID) >= q.limit {
		return refuseFull(len(q.index.byID))
	}
	n := &node{item: item, flow: &q.flow}
	q.flow.append(n)
	q.index.add(n)
	return nil
}

// Pop implements Queue.
func (q *FIFO) Pop(_ time.Time, fits func(*Item) bool) (Item, bool) {
	n := q.flow.head
	if n == nil || !fits(&n.item) {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

// Remove implements Queue.
func (q *FIFO) Remove(id uint64) (Item, bool) {
	n := q.index.byID[id]
	if n == nil {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

// Expire implements Queue.
func (q *FIFO) Expire(now time.Time, buf []Dropped) []Dropped {
	for n := q.index.nextExpired(now); n != nil; n = q.index.nextExpired(now) {
		q.remove(n)
		buf = append(buf, Dropped{Item: n.item, Refusal: refuseExpired()})
	}
	return buf
}

// Len implements Queue.
func (q *FIFO) Len() int { return len(q.index.byID) }

// Tokens implements Queue.
func (q *FIFO) Tokens(class route.Class) int64 { return q.index.tokens[class] }

// Share implements Queue. It is the class's part of all waiting tokens.
func (q *FIFO) Share(class route.Class) float64 {
	total := int64(0)
	for _, tokens := range q.index.tokens {
		total += tokens
	}
	if total == 0 {
		return 1
	}
	return max(float64(q.index.tokens[class])/float64(total), minShare)
}

// minShare is the lower bound of Share, so that a wait time predicted from it stays
// finite.
const minShare = 0.01

func (q *FIFO) remove(n *node) {
	q.flow.unlink(n)
	q.index.remove(n)
}
