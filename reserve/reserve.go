// Package reserve keeps the reservations of one engine's KV cache memory, in tokens.
//
// Before a request is dispatched, its prompt and its maximum output are reserved. The sum
// of all reservations, including those for caches that the engine holds for other
// purposes, stays within the engine's memory less the memory used by others and a margin.
// Both are estimated from the engine's load reports, which lag and have gaps. Each
// reservation has a lease: a process that dies stops renewing, and its reservations are
// then listed for release.
package reserve

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Kind says what a reservation is for.
type Kind uint8

// The kinds of reservation.
const (
	// Attempt is a request in flight, with its prompt and its maximum output.
	Attempt Kind = iota
	// Stream is an attempt whose reader has disconnected and which can still be resumed.
	Stream
	// Exported is a cache exported from the engine.
	Exported
	// Imported is a cache imported into the engine.
	Imported
	// Pinned is a prefix pinned in the engine's cache.
	Pinned
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Attempt:
		return "attempt"
	case Stream:
		return "stream"
	case Exported:
		return "exported"
	case Imported:
		return "imported"
	}
	return "pinned"
}

// Settings configure Reservations.
type Settings struct {
	// MarginShare is the smallest margin to keep free, as a part of the engine's memory.
	MarginShare float64 `json:"margin_share"`
	// StaleAfter is the age of the last report above which the margin grows.
	StaleAfter time.Duration `json:"-"`
	// ClaimShare is the size, as a part of the engine's memory, from which a request that
	// does not fit claims the memory that becomes free, so that smaller requests do not
	// take it.
	ClaimShare float64 `json:"claim_share"`
	// ClaimTime is how long a claim lasts unless the request renews it with a retry.
	ClaimTime time.Duration `json:"-"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MarginShare: 0.02,
		StaleAfter:  3 * time.Second,
		ClaimShare:  0.25,
		ClaimTime:   2 * time.Second,
	}
}

// memoryRetryAfter is the Retry-After of a request refused for lack of memory.
const memoryRetryAfter = 500 * time.Millisecond

// Reservation is an amount of the engine's memory that is in use or reserved.
type Reservation struct {
	// ID is the identifier at the engine: of a request, or the handle of a cache.
	ID   string
	Kind Kind
	// Owner is the entry or task that renews the lease.
	Owner string
	// Tokens is the reserved memory, in KV tokens.
	Tokens int64
	// Expires is when the lease ends unless its owner renews it.
	Expires time.Time

	// used is the part known to be in use at the engine, in KV tokens, and usedSince
	// is when that was first known.
	used      int64
	usedSince time.Time
	// seq orders the reservations by age, so that the newest is cancelled first.
	seq uint64
}

// claim keeps the memory that becomes free for the request with the given id until
// expires.
type claim struct {
	id      string
	expires time.Time
}

// Reservations holds the reservations of one engine's memory. It does no locking: the
// caller serialises the calls.
type Reservations struct {
	settings       Settings
	reservations   map[string]*Reservation
	reservedTokens int64
	seq            uint64
	estimate       estimate
	claim          claim
	// released holds the recently released reservations, which a lagging report may still
	// count.
	released []released
}

// released is a released reservation.
type released struct {
	at     time.Time
	tokens int64
}

// NewReservations returns an empty set of reservations. It grants nothing before the first
// ApplyReport.
func NewReservations(s Settings) *Reservations {
	return &Reservations{settings: s, reservations: map[string]*Reservation{}}
}

// Reserve reserves tokens for an attempt until its lease expires. The error is a
// *verdict.Refusal: prompt_too_long when the request is larger than the engine can ever
// grant, and endpoint_memory when there is not enough free memory now or another request
// has a claim. A second Reserve with the same id changes nothing.
func (r *Reservations) Reserve(now time.Time, id, owner string, tokens int64, expires time.Time) error {
	if _, ok := r.reservations[id]; ok {
		return nil
	}
	if largest := r.MaxRequestTokens(); tokens > largest {
		return verdict.Refuse(verdict.ReasonPromptTooLong, 0,
			"the request needs %d KV tokens and the endpoint holds %d at most", tokens, largest)
	}
	if r.claimedByOther(now, id) || tokens > r.Free(now) {
		r.setClaim(now, id, tokens)
		return verdict.Refuse(verdict.ReasonEndpointMemory, memoryRetryAfter,
			"the request needs %d KV tokens and the endpoint has %d free", tokens, r.Free(now))
	}
	if r.claim.id == id {
		r.claim = claim{}
	}
	r.add(Reservation{ID: id, Kind: Attempt, Owner: owner, Tokens: tokens, Expires: expires})
	return nil
}

// claimedByOther reports whether a request other than id has a valid claim.
func (r *Reservations) claimedByOther(now time.Time, id string) bool {
	return r.claim.id != "" && r.claim.id != id && now.Before(r.claim.expires)
}

// setClaim gives a large request a claim, unless another request has a valid one. Until
// the claim expires no other request is granted, so that a steady stream of small
// requests cannot starve the large one.
func (r *Reservations) setClaim(now time.Time, id string, tokens int64) {
	if float64(tokens) < r.settings.ClaimShare*float64(r.estimate.total) {
		return
	}
	if !r.claimedByOther(now, id) {
		r.claim = claim{id: id, expires: now.Add(r.settings.ClaimTime)}
	}
}

// Track adds a reservation for memory that is already in use at the engine: an exported,
// imported or pinned cache, or a stream whose reader has disconnected. Track adds it even
// when it does not fit.
func (r *Reservations) Track(now time.Time, h Reservation) {
	r.remove(h.ID)
	h.used = h.Tokens
	h.usedSince = now
	r.add(h)
}

// Resize changes the tokens of an attempt's reservation once the actual prompt length is
// known. It is never refused, because the engine already has the prompt. If the total then
// exceeds the limit, Excess lists the attempts to cancel.
func (r *Reservations) Resize(id string, tokens int64) {
	h := r.reservations[id]
	if h == nil {
		return
	}
	r.reservedTokens += tokens - h.Tokens
	h.Tokens = tokens
	h.used = min(h.used, tokens)
}

// RecordUsage records the tokens that an attempt is known to use at the engine: its prompt,
// from the first output token on, and its output so far.
func (r *Reservations) RecordUsage(now time.Time, id string, used int64) {
	h := r.reservations[id]
	if h == nil || used <= 0 {
		return
	}
	if h.used == 0 {
		h.usedSince = now
	}
	h.used = max(h.used, min(used, h.Tokens))
}

// Release removes a reservation after the engine has freed its memory. It reports whether
// there was one.
func (r *Reservations) Release(now time.Time, id string) bool {
	if r.claim.id == id {
		r.claim = claim{}
	}
	if h := r.reservations[id]; h != nil {
		r.released = append(r.released, released{at: now, tokens: h.Tokens})
	}
	return r.remove(id)
}

// Renew extends the leases of all reservations of owner.
func (r *Reservations) Renew(owner string, expires time.Time) {
	for _, h := range r.reservations {
		if h.Owner == owner && expires.After(h.Expires) {
			h.Expires = expires
		}
	}
}

// Reserved returns the sum of all reservations, in KV tokens.
func (r *Reservations) Reserved() int64 { return r.reservedTokens }

// Capacity returns the engine's total memory according to its last report, in KV tokens.
func (r *Reservations) Capacity() int64 { return r.estimate.total }

// MaxRequestTokens returns the size of the largest request that can ever be granted, in KV
// tokens. A sidecar announces it as wire.Load.CapacityTokens, and entries refuse larger
// requests at once.
func (r *Reservations) MaxRequestTokens() int64 { return r.estimate.total - r.minMargin() }

// Free returns the tokens that can still be reserved at now, at least 0.
func (r *Reservations) Free(now time.Time) int64 {
	return max(r.Limit(now)-r.reservedTokens, 0)
}

func (r *Reservations) add(h Reservation) {
	r.seq++
	h.seq = r.seq
	r.reservations[h.ID] = &h
	r.reservedTokens += h.Tokens
}

func (r *Reservations) remove(id string) bool {
	h := r.reservations[id]
	if h == nil {
		return false
	}
	r.reservedTokens -= h.Tokens
	delete(r.reservations, id)
	return true
}
