package once

import (
	"container/heap"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// progressRetry is when a resend of a call in progress makes sense.
const progressRetry = time.Second

// progress is how far a claimed call has come.
type progress uint8

const (
	// claimed: the number was given out and nothing more is known.
	claimed progress = iota
	// uncertain: nobody can prove any more whether the call ran.
	uncertain
	// ran: the call ran to its end.
	ran
	// released: the number was sealed off before it passed; the key may be
	// claimed anew.
	released
)

// record is one claimed key.
type record struct {
	fence       uint64
	digest      uint64
	endpoint    string
	incarnation uint64
	// command is the hash of the command that got the claim.
	command keyHash
	state   progress
	result  *Result
	// at is the time that the key carries, in nanoseconds since 1970; zero when it
	// carries none.
	at      int64
	segment *segment
}

// become changes the state of the record.
func (r *record) become(state progress) {
	r.state = state
	r.segment.changed()
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

// reopen makes a released record that of a new claim of its key.
func (r *record) reopen(c *Claim, fence uint64) {
	at, segment := r.at, r.segment
	*r = newRecord(c, fence)
	r.at, r.segment = at, segment
	segment.changed()
}

func (r *record) granted() Answer {
	return Answer{Granted: true, Fence: r.fence, Endpoint: r.endpoint, Incarnation: r.incarnation}
}

// answer answers a claim of a key that has a record.
func (r *record) answer(c *Claim) Answer {
	if r.digest != c.Digest {
		return Answer{Refusal: verdict.Refuse(verdict.ReasonKeyReused, 0,
			"the idempotency key was used for another request")}
	}
	switch {
	case r.state == ran && r.result != nil:
		return Answer{Result: r.result}
	case r.state == ran:
		return Answer{Refusal: &verdict.Refusal{Verdict: verdict.Ran, Reason: verdict.ReasonKeyExpired,
			Detail: "the call ran to its end; its result is no longer kept"}}
	case r.state == uncertain:
		return Answer{Refusal: verdict.Uncertain(verdict.ReasonEndpointLost, 0,
			"the call was sent to an endpoint that was lost and may have run")}
	case r.command == hashKey(c.Command):
		return r.granted()
	}
	// Somebody else holds the claim. The number is told, because the gate lets it
	// pass once whoever brings it: an entry may take up what another left behind.
	return Answer{
		Fence: r.fence, Endpoint: r.endpoint, Incarnation: r.incarnation,
		Refusal: verdict.Uncertain(verdict.ReasonInProgress, progressRetry, "the call is in progress"),
	}
}

// account holds the records of one client account.
type account struct {
	// horizon is the highest time of a key whose record was forgotten.
	horizon time.Time
	records map[keyHash]*record
	// timed orders the records whose keys carry a time, oldest key first.
	timed timedKeys
	// untimed counts the records whose keys carry none.
	untimed int
	// segments holds the records' parts of a snapshot.
	segments map[int64]*segment
}

func newAccount(horizon time.Time) *account {
	return &account{horizon: horizon, records: map[keyHash]*record{}, segments: map[int64]*segment{}}
}

func (a *account) add(hash keyHash, r *record) {
	a.records[hash] = r
	a.enter(hash, r)
	if r.at == 0 {
		a.untimed++
		return
	}
	heap.Push(&a.timed, timedKey{at: time.Unix(0, r.at).UTC(), key: hash})
}

// forgetOldest drops the record with the oldest key.
func (a *account) forgetOldest() {
	oldest := heap.Pop(&a.timed).(timedKey)
	a.leave(oldest.key, a.records[oldest.key])
	delete(a.records, oldest.key)
}

// timedKey is a key's hash and the time that the key carries.
type timedKey struct {
	at  time.Time
	key keyHash
}

// timedKeys is a heap by time, then by hash, so that its order does not depend
// on chance.
type timedKeys []timedKey

var _ heap.Interface = (*timedKeys)(nil)

func (t timedKeys) Len() int      { return len(t) }
func (t timedKeys) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t timedKeys) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].key.compare(t[j].key) < 0
}

// Push implements heap.Interface.
func (t *timedKeys) Push(x any) { *t = append(*t, x.(timedKey)) }

// Pop implements heap.Interface.
func (t *timedKeys) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
