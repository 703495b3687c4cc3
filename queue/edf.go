package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
)

// EDF serves the request with the earliest deadline first, by Item.StartBy. It is meant
// for overload, in which a FIFO queue would make every request late. So that EDF does not
// do the same, it serves a request past its StartBy only when no request that can still
// start in time is waiting.
type EDF struct {
	settings Settings
	index    index
	// items is sorted by compareByStart.
	items []*node
}

var _ Queue = (*EDF)(nil)

// NewEDF returns an empty queue. It uses only MaxItems and Probes of the settings.
func NewEDF(s Settings) *EDF {
	s.Probes = max(s.Probes, minProbes)
	return &EDF{settings: s, index: newIndex()}
}

// Push implements Queue.
func (q *EDF) Push(_ time.Time, item Item) error {
	if len(q.items) >= q.settings.MaxItems {
		return refuseFull(len(q.items))
	}
	n := &node{item: item}
	at, _ := slices.BinarySearchFunc(q.items, n, compareByStart)
	q.items = slices.Insert(q.items, at, n)
	q.index.add(n)
	return nil
}

// compareByStart orders requests by StartBy, and those with equal StartBy by ID.
func compareByStart(a, b *node) int {
	return cmp.Or(a.item.StartBy.Compare(b.item.StartBy), cmp.Compare(a.item.ID, b.item.ID))
}

// Reschedule replaces the StartBy of all waiting requests.
func (q *EDF) Reschedule(startBy func(*Item) time.Time) {
	for _, n := range q.items {
		n.item.StartBy = startBy(&n.item)
	}
	slices.SortFunc(q.items, compareByStart)
}

// Pop implements Queue. It tries requests that are past their StartBy only when no
// others are waiting, and then those that expire first.
func (q *EDF) Pop(now time.Time, fits func(*Item) bool) (Item, bool) {
	candidates := q.candidates(now)
	for _, n := range candidates[:min(len(candidates), q.settings.Probes)] {
		if fits(&n.item) {
			q.remove(n)
			return n.item, true
		}
	}
	return Item{}, false
}

// Next returns the request that Pop tries first.
func (q *EDF) Next(now time.Time) (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return q.candidates(now)[0].item, true
}

// candidates returns the requests that Pop tries, in order.
func (q *EDF) candidates(now time.Time) []*node {
	onTime, _ := slices.BinarySearchFunc(q.items, now, func(n *node, now time.Time) int {
		if n.item.StartBy.Before(now) {
			return -1
		}
		return 1
	})
	if onTime < len(q.items) {
		return q.items[onTime:]
	}
	late := slices.Clone(q.items)
	slices.SortStableFunc(late, func(a, b *node) int { return a.item.ExpiresAt.Compare(b.item.ExpiresAt) })
	return late
}

// Before reports whether a request is to be served before another one by the rule of EDF.
func (i *Item) Before(now time.Time, other *Item) bool {
	late, otherLate := i.StartBy.Before(now), other.StartBy.Before(now)
	switch {
	case late != otherLate:
		return otherLate
	case late:
		return i.ExpiresAt.Before(other.ExpiresAt)
	}
	return i.StartBy.Before(other.StartBy)
}

// Remove implements Queue.
func (q *EDF) Remove(id uint64) (Item, bool) {
	n := q.index.byID[id]
	if n == nil {
		return Item{}, false
	}
	q.remove(n)
	return n.item, true
}

func (q *EDF) remove(n *node) {
	q.index.remove(n)
	at := slices.Index(q.items, n)
	q.items = slices.Delete(q.items, at, at+1)
}

// RemoveIf removes the requests for which drop returns true.
func (q *EDF) RemoveIf(drop func(*Item) bool) {
	for _, n := range slices.Clone(q.items) {
		if drop(&n.item) {
			q.remove(n)
		}
	}
}

// Expire implements Queue.
func (q *EDF) Expire(now time.Time, buf []Dropped) []Dropped {
	for n := q.index.nextExpired(now); n != nil; n = q.index.nextExpired(now) {
		q.remove(n)
		buf = append(buf, Dropped{Item: n.item, Refusal: refuseExpired()})
	}
	return buf
}

// Len implements Queue.
func (q *EDF) Len() int { return len(q.items) }

// Tokens implements Queue.
func (q *EDF) Tokens(class route.Class) int64 { return q.index.tokens[class] }

// Share implements Queue. It is always 1, because all classes wait in one order.
func (q *EDF) Share(route.Class) float64 { return 1 }
