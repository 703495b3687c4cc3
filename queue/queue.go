// Package queue orders the requests that wait for an endpoint.
//
// DRR is a deficit round robin in tokens on two levels: the length classes share the
// throughput by weight, and within a class the client accounts share it evenly, so that
// none of them starves. EDF serves the earliest deadline first. FIFO serves in order of
// arrival and is the baseline. All three are bounded and drop a request as soon as it can
// no longer finish in time.
//
// Nothing in this package locks; the caller serialises the calls on a queue.
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
	// Tokens is the size of the request: its prompt and output tokens together.
	Tokens int
	// StartBy is the latest start with which the request meets its target latency. Only
	// EDF uses it.
	StartBy time.Time
	// ExpiresAt is when the queue drops the request if it is still waiting, because it
	// could no longer finish in time.
	ExpiresAt time.Time
	// Value is opaque to the queue.
	Value any
}

// Dropped is a request that the queue has dropped, with the refusal to answer it with.
type Dropped struct {
	Item    Item
	Refusal *verdict.Refusal
}

// Queue is a bounded queue of requests. It does no locking: the caller serialises the
// calls.
type Queue interface {
	// Push adds a request. When the queue is full, the error is a *verdict.Refusal with
	// the reason overloaded.
	Push(now time.Time, item Item) error
	// Pop removes and returns the next request for which fits returns true, or returns
	// false. It calls fits for a bounded number of requests.
	Pop(now time.Time, fits func(*Item) bool) (Item, bool)
	// Remove removes and returns a request, such as one whose caller has disconnected.
	// It returns false if the request is not waiting.
	Remove(id uint64) (Item, bool)
	// Expire removes the requests whose ExpiresAt has passed and appends them to buf,
	// after the ones that Push has dropped since the last call. The caller answers them.
	Expire(now time.Time, buf []Dropped) []Dropped
	// Len returns the number of waiting requests.
	Len() int
	// Tokens returns the sum of Item.Tokens of the waiting requests of a class.
	Tokens(class route.Class) int64
	// Share returns the part, from 0 to 1, of the endpoints' throughput that the class
	// can expect, given the requests that are waiting now. It serves to predict the wait
	// of a new request behind those of its class.
	Share(class route.Class) float64
}

// Settings configure a queue.
type Settings struct {
	// MaxItems is the maximum number of waiting requests.
	MaxItems int `json:"max_items"`
	// Weights divide the throughput, in tokens, among the classes that have requests
	// waiting.
	Weights [route.NumClasses]float64 `json:"weights"`
	// Quantum is the number of tokens added to the deficit counter of a class or flow of
	// weight 1 in each round.
	Quantum float64 `json:"quantum"`
	// Probes is the maximum number of requests that one Pop tries. For DRR it applies to
	// each class, where Pop tries only the oldest request of an account. For EDF it
	// applies to the whole queue.
	Probes int `json:"probes"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxItems: 4_096,
		Weights:  [route.NumClasses]float64{route.Short: 2, route.Medium: 1, route.Long: 1},
		Quantum:  8_000,
		Probes:   8,
	}
}

// Values of Retry-After for refused and dropped requests.
const (
	fullRetryAfter    = time.Second
	expiredRetryAfter = time.Second
)

func refuseFull(waiting int) *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonOverloaded, fullRetryAfter, "%d requests are waiting already", waiting)
}

func refuseExpired() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonDeadline, expiredRetryAfter, "the request waited until it could no longer finish in time")
}

// node is a waiting request, linked into the list of its flow and into the expiry heap.
// flow, prev and next are not set in an EDF queue.
type node struct {
	item       Item
	flow       *flow
	prev, next *node
	heapIndex  int
}

// index finds waiting requests by ID and by ExpiresAt, and sums their tokens by class.
type index struct {
	byID       map[uint64]*node
	expiryHeap expiryHeap
	tokens     [route.NumClasses]int64
	// dropped holds the requests that Push has dropped since the last Expire.
	dropped []Dropped
}

func newIndex() index { return index{byID: map[uint64]*node{}} }

func (x *index) add(n *node) {
	x.byID[n.item.ID] = n
	x.tokens[n.item.Class] += int64(n.item.Tokens)
	heap.Push(&x.expiryHeap, n)
}

func (x *index) remove(n *node) {
	delete(x.byID, n.item.ID)
	x.tokens[n.item.Class] -= int64(n.item.Tokens)
	heap.Remove(&x.expiryHeap, n.heapIndex)
}

// nextExpired returns a request whose ExpiresAt is not after now, or nil.
func (x *index) nextExpired(now time.Time) *node {
	if len(x.expiryHeap) == 0 || x.expiryHeap[0].item.ExpiresAt.After(now) {
		return nil
	}
	return x.expiryHeap[0]
}

// takeDropped appends the requests in dropped to buf and empties dropped.
func (x *index) takeDropped(buf []Dropped) []Dropped {
	buf = append(buf, x.dropped...)
	x.dropped = x.dropped[:0]
	return buf
}

// expiryHeap is a heap of waiting requests by ExpiresAt.
type expiryHeap []*node

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].item.ExpiresAt.Before(e[j].item.ExpiresAt) }

func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	n := x.(*node)
	n.heapIndex = len(*e)
	*e = append(*e, n)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	n := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return n
}
