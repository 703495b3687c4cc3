// Package once makes a non-idempotent call run at most once.
//
// Before a call leaves an entry it takes a claim: a record in a replicated
// Ledger under the client account and the caller's idempotency key, with a number
// that is given out once. The Gate beside the endpoint lets each number pass
// once. A resend of the call finds the record and gets the kept result, or a
// verdict that is proven: NotRun only when the call has not run and cannot run.
//
// Records are bounded in number and age. Forgetting one must not let its key run
// again, so each client account has a horizon: the ledger forgets a record only
// by raising the horizon to the time that its key carries, and a key at or below
// the horizon without a record is answered with MayHaveRun. Keys that carry no
// time are kept for good, within a bound of their own.
//
// Nothing in this package does I/O, reads a clock, starts a goroutine or locks.
package once

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Limits bound what a Ledger keeps.
type Limits struct {
	// Retention is the least age, by the time in its key, at which a record may
	// be forgotten.
	Retention time.Duration
	// MaxClockSkew is how far in the future the time in a key may be.
	MaxClockSkew time.Duration
	// MaxTimedRecords bounds the records of one client account with a time in their key.
	// Over it the oldest are forgotten before Retention.
	MaxTimedRecords int
	// MaxUntimedRecords bounds the records of one client account without one. Over it
	// further such keys are refused.
	MaxUntimedRecords int
	// MaxResultBytes bounds one kept result and ResultsBytes all of them.
	MaxResultBytes      int
	MaxTotalResultBytes int
}

// DefaultLimits suit a few client accounts on one group of replicas.
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

// Claim asks for the right to run a call once.
type Claim struct {
	Account string
	Key     string
	// Digest identifies method, path and body.
	Digest uint64
	// Endpoint and Incarnation say where the call is to run.
	Endpoint    string
	Incarnation uint64
	// Command names this asking. The same command asking again gets the same answer.
	Command string
}

// Answer is the answer to a Claim. Exactly one of Granted, Kept and Refusal says
// what it is.
type Answer struct {
	// Granted is set for the holder of the claim, with its number.
	Granted bool
	// Fence is the number of the claim, also of one that somebody else holds.
	Fence uint64
	// Endpoint and Incarnation say where the number may pass.
	Endpoint    string
	Incarnation uint64
	// Result is the result of the call, which ran.
	Result *Result
	// Refusal is why the call does not run.
	Refusal *verdict.Refusal
}

// Result is the kept answer to a call that ran.
type Result struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint"`
	Body   []byte            `cbor:"3,keyasint"`
}

func (r *Result) bytes() int {
	n := len(r.Body)
	for k, v := range r.Header {
		n += len(k) + len(v)
	}
	return n
}

// Ledger holds the records. It is deterministic: the same calls in the same order
// lead to the same state on every replica.
type Ledger struct {
	limits   Limits
	accounts map[string]*account
	// first is the horizon of an account that is new to the ledger: keys from
	// before the ledger began may have run in an earlier life of it.
	first time.Time
	// kept lists the records with results, oldest first, and bytes their size.
	kept  []ref
	bytes int
}

// ref names a record.
type ref struct {
	account string
	key     keyHash
	fence   uint64
}

// NewLedger returns an empty ledger. No key from before began runs.
func NewLedger(limits Limits, began time.Time) *Ledger {
	return &Ledger{limits: limits, accounts: map[string]*account{}, first: began}
}

// IncarnationCheck reports whether incarnation is the endpoint's current one.
type IncarnationCheck func(endpoint string, incarnation uint64) bool

// Claim gives out the number next for a key that may run, and reports whether it
// used the number. now never goes back from call to call.
func (l *Ledger) Claim(now time.Time, c Claim, next uint64, current IncarnationCheck) (Answer, bool) {
	a := l.account(c.Account)
	hash := hashKey(c.Key)
	r, ok := a.records[hash]
	if ok && r.state != released {
		if r.state == claimed && !current(r.endpoint, r.incarnation) {
			r.become(uncertain)
		}
		return r.answer(&c), false
	}
	if !ok {
		return l.open(now, a, hash, &c, next, current)
	}
	if !current(c.Endpoint, c.Incarnation) {
		return notRegistered(&c), false
	}
	r.reopen(&c, next)
	return r.granted(), true
}

// open makes the record of a key that has none. The horizon is looked at before
// the endpoint: a key that may have run and been forgotten must not be answered
// with NotRun for any other reason.
func (l *Ledger) open(now time.Time, a *account, hash keyHash, c *Claim, next uint64, current IncarnationCheck) (Answer, bool) {
	at, timed := KeyTime(c.Key)
	if refusal := l.admit(now, a, at, timed); refusal != nil {
		return Answer{Refusal: refusal}, false
	}
	if !current(c.Endpoint, c.Incarnation) {
		return notRegistered(c), false
	}
	r := newRecord(c, next)
	if timed {
		r.at = at.UnixNano()
	}
	a.add(hash, &r)
	l.forget(now, a)
	return r.granted(), true
}

func notRegistered(c *Claim) Answer {
	return Answer{Refusal: verdict.Refuse(verdict.ReasonEndpointRestarted, progressRetry,
		"incarnation %d of endpoint %s is not the registered one", c.Incarnation, c.Endpoint)}
}

// admit refuses a key without a record that must not or cannot run.
func (l *Ledger) admit(now time.Time, a *account, at time.Time, timed bool) *verdict.Refusal {
	if !timed {
		if a.untimed >= l.limits.MaxUntimedRecords {
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

// forget raises the account's horizon over the records that are over age or over
// the bound, and drops them. The horizon goes up first, in the same step: there
// is no moment at which a forgotten key would be taken for a new one.
func (l *Ledger) forget(now time.Time, a *account) {
	oldest := now.Add(-l.limits.Retention)
	for len(a.timed) > 0 {
		front := a.timed[0]
		if len(a.timed) <= l.limits.MaxTimedRecords && !front.at.Before(oldest) {
			return
		}
		if front.at.After(a.horizon) {
			a.horizon = front.at
		}
		l.dropResult(a.records[front.key])
		a.forgetOldest()
	}
}

// Settlement says how a claimed call ended.
type Settlement struct {
	Account string
	Key     string
	Fence   uint64
	// Verdict is Ran with a result, NotRun when the gate sealed the number before
	// it passed, or MayHaveRun.
	Verdict verdict.Verdict
	Result  *Result
}

// Settle records how a claimed call ended. A settlement of another number than
// the record's, or one that is weaker than what the record says, changes nothing.
func (l *Ledger) Settle(s Settlement) {
	a, ok := l.accounts[s.Account]
	if !ok {
		return
	}
	hash := hashKey(s.Key)
	r, ok := a.records[hash]
	if !ok || r.fence != s.Fence || r.state == ran || r.state == released {
		return
	}
	switch s.Verdict {
	case verdict.Ran:
		r.become(ran)
		l.keep(ref{account: s.Account, key: hash, fence: r.fence}, r, s.Result)
	case verdict.NotRun:
		r.become(released)
	default:
		r.become(uncertain)
	}
}

// keep stores the result within the bounds; the oldest results go first. A record
// whose result is gone still says that the call ran.
func (l *Ledger) keep(name ref, r *record, result *Result) {
	if result == nil || result.bytes() > l.limits.MaxResultBytes {
		return
	}
	r.result = result
	r.segment.changed()
	l.kept = append(l.kept, name)
	l.bytes += result.bytes()
	for l.bytes > l.limits.MaxTotalResultBytes {
		oldest := l.kept[0]
		l.kept = l.kept[1:]
		l.dropResult(l.find(oldest))
	}
}

func (l *Ledger) find(name ref) *record {
	a, ok := l.accounts[name.account]
	if !ok {
		return nil
	}
	if r, ok := a.records[name.key]; ok && r.fence == name.fence {
		return r
	}
	return nil
}

func (l *Ledger) dropResult(r *record) {
	if r == nil || r.result == nil {
		return
	}
	l.bytes -= r.result.bytes()
	r.result = nil
	r.segment.changed()
}

func (l *Ledger) account(name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = newAccount(l.first)
		l.accounts[name] = a
	}
	return a
}

// Usage returns how many records are kept, and the bytes of their results.
func (l *Ledger) Usage() (records, resultBytes int) {
	for _, a := range l.accounts {
		records += len(a.records)
	}
	return records, l.bytes
}

// Horizon returns the account's horizon: a key that carries this time or an
// earlier one and has no record does not run any more.
func (l *Ledger) Horizon(name string) time.Time {
	if a, ok := l.accounts[name]; ok {
		return a.horizon
	}
	return l.first
}
