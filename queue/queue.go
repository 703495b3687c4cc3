// Package queue orders waiting requests by length class and client account, so that
// none starves.
//
// Queue is a deficit round robin in tokens on two levels: the classes share the work
// by weight, and within a class the client accounts share it evenly. FIFO is the
// baseline without either. Both are bounded, and give up a request as soon as it can
// no longer finish in time.
package queue

import (
	"container/heap"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Item is a waiting request.
type Item struct {
	// ID is unique among the waiting requests.
	ID      uint64
	Account string
	Class   route.Class
	// Tokens is the work of the request: its prompt and output tokens.
	Tokens int
	// StartBy is when the request has to start to be answered in the time that its caller
	// wants; only Aim looks at it.
	StartBy time.Time
	// ExpiresAt is when the request can no longer finish in time if it is still waiting.
	ExpiresAt time.Time
	// Value is the caller's own.
	Value any
}

// Dropped is a request that the queue gave up on, with its final answer.
type Dropped struct {
	Item    Item
	Refusal *verdict.Refusal
}

// Queue is a queue of requests. Calls are serialised by the host.
type Queue interface {
	// Push adds a request, or refuses it with overloaded.
	Push(now time.Time, item Item) error
	// Pop takes the next request for which fits is true. fits is called for a bounded
	// number of requests.
	Pop(now time.Time, fits func(*Item) bool) (Item, bool)
	// Remove takes a request out, such as one whose caller left.
	Remove(id uint64) (Item, bool)
	// Expire appends to buf the requests that the queue has given up on since the last
	// call. They get their answers at once.
	Expire(now time.Time, buf []Dropped) []Dropped
	// Len counts the waiting requests.
	Len() int
	// Tokens returns the work waiting in a class, in tokens.
	Tokens(class route.Class) int64
	// Share returns the part of the work that a request of the class can count on
	// behind the class's own work that waits now.
	Share(class route.Class) float64
}

// Settings bound a queue.
type Settings struct {
	// MaxItems is the most requests that wait.
	MaxItems int `json:"max_items"`
	// Weights divide the work among the classes while all of them wait.
	Weights [route.NumClasses]float64 `json:"weights"`
	// Quantum is what a class of weight 1 earns in a round, in tokens.
	Quantum float64 `json:"quantum"`
	// Probes is the number of accounts asked in each class before Pop gives the
	// class up.
	Probes int `json:"probes"`
}

// DefaultSettings returns the usual bounds.
func DefaultSettings() Settings {
	return Settings{
		MaxItems: 4_096,
		Weights:  [route.NumClasses]float64{route.Short: 2, route.Medium: 1, route.Long: 1},
		Quantum:  8_000,
		Probes:   8,
	}
}

// Times after which a refused request is worth trying again.
const (
	retryFull    = time.Second
	retryExpired = time.Second
)

func refuseFull(waiting int) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonOverloaded, retryFull, "%d requests are waiting already", waiting)
}

func refuseExpired() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonDeadline, retryExpired, "the request waited until it could no longer finish in time")
}

// node is a waiting request in its flow's list and in the heap of times to give up.
type node struct {
	item       Item
	flow       *flow
	prev, next *node
	heapIndex  int
}

// book finds waiting requests by identifier and by the time to give them up.
type book struct {
	byID   map[uint64]*node
	expiry expiry
	tokens [route.NumClasses]int64
	// dropped waits for the next Expire.
	dropped []Dropped
}

func newBook() book { return book{byID: map[uint64]*node{}} }

func (b *book) add(n *node) {
	b.byID[n.item.ID] = n
	b.tokens[n.item.Class] += int64(n.item.Tokens)
	heap.Push(&b.expiry, n)
}

func (b *book) remove(n *node) {
	delete(b.byID, n.item.ID)
	b.tokens[n.item.Class] -= int64(n.item.Tokens)
	heap.Remove(&b.expiry, n.heapIndex)
}

// due returns a request that has to be given up by now, or nil.
func (b *book) due(now time.Time) *node {
	if len(b.expiry) == 0 || b.expiry[0].item.ExpiresAt.After(now) {
		return nil
	}
	return b.expiry[0]
}

// taken returns what was dropped and forgets it.
func (b *book) taken(buf []Dropped) []Dropped {
	buf = append(buf, b.dropped...)
	b.dropped = b.dropped[:0]
	return buf
}

// expiry is a heap of waiting requests by the time to give them up.
type expiry []*node

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].item.ExpiresAt.Before(e[j].item.ExpiresAt) }

func (e expiry) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (e *expiry) Push(x any) {
	n := x.(*node)
	n.heapIndex = len(*e)
	*e = append(*e, n)
}

// Pop implements heap.Interface.
func (e *expiry) Pop() any {
	last := len(*e) - 1
	n := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return n
}
