package queue

import (
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// EDF orders requests by when they have to start to be answered in the time that their
// callers want. The load that it answers is more work than the endpoints can do: in
// order of arrival everything would wait until it is late. So a request that is late
// already stands back behind all that can still be in time, until there are none.
type EDF struct {
	set   Settings
	book  book
	items []*node
}

var _ Queue = (*EDF)(nil)

// NewEDF returns an empty queue. Of the settings it uses MaxItems and Probes.
func NewEDF(s Settings) *EDF {
	s.Probes = max(s.Probes, leastProbes)
	return &EDF{set: s, book: newBook()}
}

// Push implements Waiting.
func (q *EDF) Push(_ time.Time, item Item) error {
	if len(q.items) >= q.set.MaxItems {
		return refuseFull(len(q.items))
	}
	n := &node{item: item}
	at, _ := slices.BinarySearchFunc(q.items, n, byStart)
	q.items = slices.Insert(q.items, at, n)
	q.book.add(n)
	return nil
}

// byStart compares requests by when they have to start, and equal ones by age.
func byStart(a, b *node) int {
	if c := a.item.StartBy.Compare(b.item.StartBy); c != 0 {
		return c
	}
	if a.item.ID < b.item.ID {
		return -1
	}
	return 1
}

// Pop implements Waiting. Requests that are late are asked only when nothing else
// waits, those first that are given up first.
func (q *EDF) Pop(now time.Time, fits func(*Item) bool) (Item, bool) {
	timely, _ := slices.BinarySearchFunc(q.items, now, func(n *node, now time.Time) int {
		if n.item.StartBy.Before(now) {
			return -1
		}
		return 1
	})
	asked := q.items[timely:]
	if len(asked) == 0 {
		asked = slices.Clone(q.items)
		slices.SortStableFunc(asked, func(a, b *node) int { return a.item.ExpiresAt.Compare(b.item.ExpiresAt) })
	}
	for _, n := range asked[:min(len(asked), q.set.Probes)] {
		if fits(&n.item) {
			q.remove(n)
			return n.item, true
		}
	}
	return Item{}, false
}

// Remove implements Waiting.
func (q *EDF) Remove(id uint64) (Item, bool) {
	n := q.book.byID[id]
	if n == nil {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

func (q *EDF) remove(n *node) {
	q.book.remove(n)
	at := slices.Index(q.items, n)
	q.items = slices.Delete(q.items, at, at+1)
}

// Expire implements Waiting.
func (q *EDF) Expire(now time.Time, buf []Dropped) []Dropped {
	for n := q.book.due(now); n != nil; n = q.book.due(now) {
		q.remove(n)
		buf = append(buf, Dropped{Item: n.item, Refusal: refuseExpired()})
	}
	return buf
}

// Len implements Waiting.
func (q *EDF) Len() int { return len(q.items) }

// Tokens implements Waiting.
func (q *EDF) Tokens(class route.Class) int64 { return q.book.tokens[class] }

// Share implements Waiting: the classes share one order.
func (q *EDF) Share(route.Class) float64 { return 1 }
