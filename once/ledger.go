// Package once ensures that a non-idempotent call runs at most once.
//
// Before an entry dispatches such a call, it claims the call in a Ledger, which is
// replicated by consensus. The ledger stores a record under the client account and
// the caller's idempotency key, and issues a fencing number that is never issued
// again. The Gate in the sidecar of the endpoint admits each number at most once. A
// retry of the call finds the record and gets the stored result, or a verdict. The
// verdict is NotRun only if the call has not run and never will.
//
// Records are limited in number and age. A call must not run again after the record of
// its key was evicted, so each client account has a horizon, a time that never decreases.
// Before the ledger evicts a record, it raises the horizon at least to the time encoded in
// the record's key. A key whose time is at or before the horizon and that has no record is
// answered with the verdict MayHaveRun. Records of keys without a time are never evicted;
// their number has a limit of its own.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package once

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Limits are the limits on the records and results in a Ledger.
type Limits struct {
	// Retention is the minimum time for which a record is kept, counted from the time
	// in its key, unless its client account has more than MaxTimedRecords.
	Retention time.Duration
	// MaxClockSkew is how far in the future the time in a key may lie.
	MaxClockSkew time.Duration
	// MaxTimedRecords is the most records of one client account whose keys contain a
	// time. Beyond it the records with the oldest keys are evicted before Retention
	// has passed.
	MaxTimedRecords int
	// MaxUntimedRecords is the most records of one client account whose keys contain
	// no time. Beyond it claims of further such keys are refused.
	MaxUntimedRecords int
	// MaxResultBytes is the most bytes of one stored result, and MaxTotalResultBytes
	// of all stored results of the ledger.
	MaxResultBytes      int
	MaxTotalResultBytes int
}

// DefaultLimits returns limits that suit a few client accounts on one group of
// replicas.
func DefaultLimits() Limits {
	return Limits{
		Retention:           time.Hour,
		MaxClockSkew:        5 * time.Minute,
		MaxTimedRecords:     200_000,
		MaxUntimedRecords:   50_000,
		MaxResultBytes:      8 << 10,
		MaxTotalResultBytes: 16 << 20,
	}
}

// Claim is a request for the right to run a call once.
type Claim struct {
	Account string
	Key     string
	// Digest is a hash of the call's method, path and body.
	Digest uint64
	// Endpoint and Incarnation name the endpoint on which the call is to run.
	Endpoint    string
	Incarnation uint64
	// Command identifies this claim. A repeated claim with the same Command gets the
	// same answer.
	Command string
}

// Answer is the answer to a Claim. Exactly one of Granted, Stored and Refusal is
// set.
type Answer struct {
	// Granted is true if the caller holds the claim and may dispatch the call.
	Granted bool
	// Fence is the fencing number of the claim. It is also set if another caller
	// holds the claim and the call is in progress.
	Fence uint64
	// Endpoint and Incarnation name the endpoint whose gate admits Fence.
	Endpoint    string
	Incarnation uint64
	// Stored is the stored result of the call, which completed earlier.
	Stored *Result
	// Refusal is the reason why this caller may not dispatch the call.
	Refusal *verdict.Refusal
}

// Result is the stored response of a call that completed.
type Result struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint"`
	Body   []byte            `cbor:"3,keyasint"`
}

// bytes returns the size of the result in bytes, as counted against the Limits.
func (r *Result) bytes() int {
	n := len(r.Body)
	for k, v := range r.Header {
		n += len(k) + len(v)
	}
	return n
}

// Ledger holds the records of claimed calls. It is deterministic: the same calls of
// its methods in the same order lead to the same state on every replica.
type Ledger struct {
	limits   Limits
	accounts map[string]*account
	// initialHorizon is the horizon of client accounts that are new to the ledger.
	// Calls whose keys contain a time at or before it may have run before this ledger was
	// created, under a previous ledger whose records are lost.
	initialHorizon time.Time
	// resultOrder lists the records that got a result, in the order in which the
	// results were stored.
	resultOrder []recordRef
	// bytes is the total size of the stored results.
	bytes int
}

// recordRef identifies a record.
type recordRef struct {
	account string
	key     keyHash
	fence   uint64
}

// NewLedger returns an empty ledger. Calls whose keys contain a time at or before
// horizon never run.
func NewLedger(limits Limits, horizon time.Time) *Ledger {
	return &Ledger{limits: limits, accounts: map[string]*account{}, initialHorizon: horizon}
}

// IncarnationCheck reports whether incarnation is the registered, current incarnation
// of the endpoint.
type IncarnationCheck func(endpoint string, incarnation uint64) bool

// Claim answers a claim. If the call may run, Claim issues next as its fencing number.
// The second result reports whether next was issued. The times passed as now must
// never decrease.
func (l *Ledger) Claim(now time.Time, c Claim, next uint64, current IncarnationCheck) (Answer, bool) {
	a := l.account(c.Account)
	hash := hashKey(c.Key)
	r, ok := a.records[hash]
	if ok && r.state != released {
		if r.state == inProgress && !current(r.endpoint, r.incarnation) {
			r.setState(uncertain)
		}
		return r.answer(&c), false
	}
	if !ok {
		return l.claimNewKey(now, a, hash, &c, next, current)
	}
	if !current(c.Endpoint, c.Incarnation) {
		return staleIncarnation(&c), false
	}
	r.claimAgain(&c, next)
	return r.grant(), true
}

// claimNewKey answers a claim of a key that has no record, and adds the record if the
// call may run. It checks the horizon before the incarnation of the endpoint, because
// a key that may have run before its record was evicted must not be answered with
// NotRun for another reason.
func (l *Ledger) claimNewKey(now time.Time, a *account, hash keyHash, c *Claim, next uint64, current IncarnationCheck) (Answer, bool) {
	at, timed := KeyTime(c.Key)
	if refusal := l.checkNewKey(now, a, at, timed); refusal != nil {
		return Answer{Refusal: refusal}, false
	}
	if !current(c.Endpoint, c.Incarnation) {
		return staleIncarnation(c), false
	}
	r := newRecord(c, next)
	if timed {
		r.at = at.UnixNano()
	}
	a.addRecord(hash, &r)
	l.evict(now, a)
	return r.grant(), true
}

// staleIncarnation returns the answer to a claim for an incarnation that isn't the
// registered one.
func staleIncarnation(c *Claim) Answer {
	return Answer{Refusal: verdict.Refuse(verdict.ReasonEndpointRestarted, inProgressRetryAfter,
		"incarnation %d of endpoint %s is not the registered one", c.Incarnation, c.Endpoint)}
}

// checkNewKey returns a refusal if a key without a record may have run before, or
// can't get a record. at is the time in the key, if timed is set.
func (l *Ledger) checkNewKey(now time.Time, a *account, at time.Time, timed bool) *verdict.Refusal {
	if !timed {
		if a.untimedRecords >= l.limits.MaxUntimedRecords {
			return verdict.Refuse(verdict.ReasonBadRequest, 0,
				"the account's %d idempotency keys without a time are used up; send a UUIDv7 or ULID", l.limits.MaxUntimedRecords)
		}
		return nil
	}
	if !at.After(a.horizon) {
		return verdict.Uncertain(verdict.ReasonKeyExpired, 0,
			"the idempotency key is from %s; records are kept for keys after %s",
			at.Format(time.RFC3339), a.horizon.Format(time.RFC3339))
	}
	if at.After(now.Add(l.limits.MaxClockSkew)) {
		return verdict.Refuse(verdict.ReasonBadRequest, 0,
			"the idempotency key carries a time in the future, %s", at.Format(time.RFC3339))
	}
	return nil
}

// evict drops the records of a client account that are older than Retention or
// exceed MaxTimedRecords. It raises the horizon before it drops a record, so that
// the key of a dropped record is never taken for a new one.
func (l *Ledger) evict(now time.Time, a *account) {
	oldest := now.Add(-l.limits.Retention)
	for len(a.timedKeys) > 0 {
		front := a.timedKeys[0]
		if len(a.timedKeys) <= l.limits.MaxTimedRecords && !front.at.Before(oldest) {
			return
		}
		if front.at.After(a.horizon) {
			a.horizon = front.at
		}
		l.dropResult(a.records[front.key])
		a.dropOldest()
	}
}

// Settlement is a report of how a claimed call ended.
type Settlement struct {
	Account string
	Key     string
	Fence   uint64
	// Verdict is Ran if the call completed, NotRun if the gate sealed Fence, which
	// proves that the call has not run and never will, and MayHaveRun otherwise.
	Verdict verdict.Verdict
	// Result is the response of a call that ran. It is nil if there is none to store.
	Result *Result
}

// Settle records how a claimed call ended. It ignores a settlement whose fencing
// number is not the one in the record, and any settlement after one with the verdict
// Ran or NotRun.
func (l *Ledger) Settle(s Settlement) {
	a, ok := l.accounts[s.Account]
	if !ok {
		return
	}
	hash := hashKey(s.Key)
	r, ok := a.records[hash]
	if !ok || r.fence != s.Fence || r.state == completed || r.state == released {
		return
	}
	switch s.Verdict {
	case verdict.Ran:
		r.setState(completed)
		l.storeResult(recordRef{account: s.Account, key: hash, fence: r.fence}, r, s.Result)
	case verdict.NotRun:
		r.setState(released)
	default:
		r.setState(uncertain)
	}
}

// storeResult stores the result of a call in its record. A result larger than
// MaxResultBytes is not stored. Above MaxTotalResultBytes, the results stored first
// are dropped; their records still say that the call completed.
func (l *Ledger) storeResult(id recordRef, r *record, result *Result) {
	if result == nil || result.bytes() > l.limits.MaxResultBytes {
		return
	}
	r.result = result
	r.segment.invalidate()
	l.resultOrder = append(l.resultOrder, id)
	l.bytes += result.bytes()
	for l.bytes > l.limits.MaxTotalResultBytes {
		oldest := l.resultOrder[0]
		l.resultOrder = l.resultOrder[1:]
		l.dropResult(l.find(oldest))
	}
}

// find returns the record, or nil if it was evicted or claimed again.
func (l *Ledger) find(id recordRef) *record {
	a, ok := l.accounts[id.account]
	if !ok {
		return nil
	}
	if r, ok := a.records[id.key]; ok && r.fence == id.fence {
		return r
	}
	return nil
}

// dropResult removes the stored result of a record, if there is one.
func (l *Ledger) dropResult(r *record) {
	if r == nil || r.result == nil {
		return
	}
	l.bytes -= r.result.bytes()
	r.result = nil
	r.segment.invalidate()
}

// account returns the client account's records, creating them if needed.
func (l *Ledger) account(name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = newAccount(l.initialHorizon)
		l.accounts[name] = a
	}
	return a
}

// Usage returns the number of records and the total size of the stored results in
// bytes.
func (l *Ledger) Usage() (records, resultBytes int) {
	for _, a := range l.accounts {
		records += len(a.records)
	}
	return records, l.bytes
}

// Horizon returns the horizon of a client account. A call never runs if its key has no
// record and contains a time at or before the horizon.
func (l *Ledger) Horizon(name string) time.Time {
	if a, ok := l.accounts[name]; ok {
		return a.horizon
	}
	return l.initialHorizon
}
