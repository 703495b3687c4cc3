package once

import (
	"container/heap"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// inProgressRetryAfter is the delay before a caller should retry a call that is in
// progress, or whose endpoint restarted.
const inProgressRetryAfter = time.Second

// recordState is the state of a claimed call.
type recordState uint8

const (
	// inProgress: the fencing number was issued, and no settlement has arrived.
	inProgress recordState = iota
	// uncertain: the call may have run, because its endpoint was restarted or nobody
	// received its outcome.
	uncertain
	// completed: the call ran to completion.
	completed
	// released: the gate sealed the fencing number, so the call has not run and never
	// will under this number. The key may be claimed again.
	released
)

// record is the record of one claimed idempotency key.
type record struct {
	fence       uint64
	digest      uint64
	endpoint    string
	incarnation uint64
	// command is the hash of the Command of the claim that was granted.
	command keyHash
	state   recordState
	result  *Result
	// at is the time in the key, in nanoseconds since the Unix epoch, or zero if the
	// key contains no time.
	at int64
	// segment is the part of a snapshot in which the record is encoded.
	segment *segment
}

// setState changes the state of the record and invalidates its encoded segment.
func (r *record) setState(state recordState) {
	r.state = state
	r.segment.invalidate()
}

func newRecord(c *Claim, fence uint64) record {
	return record{
		fence:       fence,
		digest:      c.Digest,
		endpoint:    c.Endpoint,
		incarnation: c.Incarnation,
		command:     hashKey(c.Command),
	}
}

// claimAgain turns a released record into the record of a new claim of its key.
func (r *record) claimAgain(c *Claim, fence uint64) {
	at, segment := r.at, r.segment
	*r = newRecord(c, fence)
	r.at, r.segment = at, segment
	segment.invalidate()
}

// grant returns the answer for the holder of the claim.
func (r *record) grant() Answer {
	return Answer{Granted: true, Fence: r.fence, Endpoint: r.endpoint, Incarnation: r.incarnation}
}

// answer returns the answer to a claim of a key that has this record.
func (r *record) answer(c *Claim) Answer {
	if r.digest != c.Digest {
		return Answer{Refusal: verdict.Refuse(verdict.ReasonKeyReused, 0,
			"the idempotency key was used for another request")}
	}
	switch {
	case r.state == completed && r.result != nil:
		return Answer{Stored: r.result}
	case r.state == completed:
		return Answer{Refusal: &verdict.Refusal{Verdict: verdict.Ran, Reason: verdict.ReasonKeyExpired,
			Detail: "the call ran to its end; its result is no longer kept"}}
	case r.state == uncertain:
		return Answer{Refusal: verdict.Uncertain(verdict.ReasonEndpointLost, 0,
			"the call was sent to an endpoint that was lost and may have run")}
	case r.command == hashKey(c.Command):
		return r.grant()
	}
	// Another caller holds the claim. The answer includes the fencing number, because
	// the gate admits it once regardless of which entry sends it: an entry may finish
	// a call that another entry claimed and then abandoned.
	return Answer{
		Fence: r.fence, Endpoint: r.endpoint, Incarnation: r.incarnation,
		Refusal: verdict.Uncertain(verdict.ReasonInProgress, inProgressRetryAfter, "the call is in progress"),
	}
}

// account is the state of one client account in a Ledger.
type account struct {
	// horizon is the latest time in a key whose record was evicted, and at least the
	// ledger's initial horizon.
	horizon time.Time
	records map[keyHash]*record
	// timedKeys is a heap of the records whose keys contain a time, oldest first.
	timedKeys timedKeyHeap
	// untimedRecords is the number of records whose keys contain no time.
	untimedRecords int
	// segments maps a segment number to the records that a snapshot encodes together.
	segments map[int64]*segment
}

func newAccount(horizon time.Time) *account {
	return &account{horizon: horizon, records: map[keyHash]*record{}, segments: map[int64]*segment{}}
}

// addRecord adds the record of a key that has none.
func (a *account) addRecord(hash keyHash, r *record) {
	a.records[hash] = r
	a.addToSegment(hash, r)
	if r.at == 0 {
		a.untimedRecords++
		return
	}
	heap.Push(&a.timedKeys, timedKey{at: time.Unix(0, r.at).UTC(), key: hash})
}

// dropOldest removes the record with the oldest time in its key.
func (a *account) dropOldest() {
	oldest := heap.Pop(&a.timedKeys).(timedKey)
	a.removeFromSegment(oldest.key, a.records[oldest.key])
	delete(a.records, oldest.key)
}

// timedKey is the hash of a key and the time in the key.
type timedKey struct {
	at  time.Time
	key keyHash
}

// timedKeyHeap is a min-heap ordered by time and then by hash, so that all replicas
// evict equal times in the same order.
type timedKeyHeap []timedKey

var _ heap.Interface = (*timedKeyHeap)(nil)

func (t timedKeyHeap) Len() int      { return len(t) }
func (t timedKeyHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t timedKeyHeap) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].key.compare(t[j].key) < 0
}

// Push implements heap.Interface.
func (t *timedKeyHeap) Push(x any) { *t = append(*t, x.(timedKey)) }

// Pop implements heap.Interface.
func (t *timedKeyHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
