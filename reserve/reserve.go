// Package reserve keeps the reservations of one engine's memory in KV tokens.
//
// A request reserves its prompt and its bound of output before it is dispatched.
// The total of all reservations and of the caches held for others never passes what
// the engine holds, less what others use and a margin that is learned from the
// engine's reports, which lag and have gaps. Everything in the book has a lease: an
// entry that dies stops renewing, and what it left is listed for release.
package reserve

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Kind says what holds engine memory.
type Kind uint8

// The kinds of holding.
const (
	// Attempt is a request in flight, with its prompt and its bound of output.
	Attempt Kind = iota
	// Stream is an attempt whose reader left and which can still be resumed.
	Stream
	// Exported is a cache exported from the engine.
	Exported
	// Imported is a cache imported into the engine.
	Imported
	// Pinned is a prefix kept in the cache on purpose.
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

// Settings bound the book.
type Settings struct {
	// MarginShare is the least part of the engine's memory that is kept free.
	MarginShare float64 `json:"margin_share"`
	// StaleAfter is the age from which a report widens the margin.
	StaleAfter time.Duration `json:"-"`
	// ClaimShare is the share of the memory from which a request that does not fit
	// keeps smaller ones from taking the room that it waits for.
	ClaimShare float64 `json:"claim_share"`
	// ClaimTime is how long such a claim holds without being renewed by a retry.
	ClaimTime time.Duration `json:"-"`
}

// DefaultSettings returns the usual bounds.
func DefaultSettings() Settings {
	return Settings{
		MarginShare: 0.02,
		StaleAfter:  3 * time.Second,
		ClaimShare:  0.25,
		ClaimTime:   2 * time.Second,
	}
}

// retryMemory is when a request refused for memory is worth trying again.
const retryMemory = 500 * time.Millisecond

// Reservation is one use of the engine's memory.
type Reservation struct {
	// ID names the holding at the engine: a request identifier or a handle.
	ID   string
	Kind Kind
	// Owner is the entry or task that renews the lease.
	Owner string
	// Tokens is the memory held, in KV tokens.
	Tokens int64
	// Expires is when the lease ends unless its owner renews it.
	Expires time.Time

	// used is the part known to be in use at the engine, in KV tokens, and usedSince
	// is when that was first known.
	used      int64
	usedSince time.Time
	// seq grows with each holding, so that the newest is shed first.
	seq uint64
}

// claim is the wait of a large request for room.
type claim struct {
	id      string
	expires time.Time
}

// Reservations is the reservations of one engine. Its calls are serialised by the host.
type Reservations struct {
	set      Settings
	holdings map[string]*Reservation
	held     int64
	seq      uint64
	reports  reports
	claim    claim
	// gone are holdings released of late, which a lagging report may still count.
	gone []gone
}

// gone is a released holding.
type gone struct {
	at     time.Time
	tokens int64
}

// NewReservations returns an empty book; it grants nothing before the first Report.
func NewReservations(s Settings) *Reservations {
	return &Reservations{set: s, holdings: map[string]*Reservation{}}
}

// Reserve books tokens for an attempt until its lease expires. The error is a
// *verdict.Refusal: prompt_too_long when the engine never has the room, and
// endpoint_memory when it has none now. A second Reserve of one id changes nothing.
func (b *Reservations) Reserve(now time.Time, id, owner string, tokens int64, expires time.Time) error {
	if _, ok := b.holdings[id]; ok {
		return nil
	}
	if most := b.MaxRequestTokens(); tokens > most {
		return verdict.Refuse(verdict.ReasonPromptTooLong, 0,
			"the request needs %d KV tokens and the endpoint holds %d at most", tokens, most)
	}
	if b.claimed(now, id) || tokens > b.Free(now) {
		b.stake(now, id, tokens)
		return verdict.Refuse(verdict.ReasonEndpointMemory, retryMemory,
			"the request needs %d KV tokens and the endpoint has %d free", tokens, b.Free(now))
	}
	if b.claim.id == id {
		b.claim = claim{}
	}
	b.add(Reservation{ID: id, Kind: Attempt, Owner: owner, Tokens: tokens, Expires: expires})
	return nil
}

// claimed reports whether a large request other than id waits for room.
func (b *Reservations) claimed(now time.Time, id string) bool {
	return b.claim.id != "" && b.claim.id != id && now.Before(b.claim.expires)
}

// stake lets a large request wait for room: until the claim lapses, nothing else is
// granted, so that a stream of small requests cannot keep it out for ever. The
// oldest claim holds.
func (b *Reservations) stake(now time.Time, id string, tokens int64) {
	if float64(tokens) < b.set.ClaimShare*float64(b.reports.total) {
		return
	}
	if !b.claimed(now, id) {
		b.claim = claim{id: id, expires: now.Add(b.set.ClaimTime)}
	}
}

// Track books memory that the engine already holds: an export, an import, a pin or
// a stream that its reader left. It is counted even when it does not fit, because
// it is in use whatever the book says.
func (b *Reservations) Track(now time.Time, h Reservation) {
	b.remove(h.ID)
	h.used = h.Tokens
	h.usedSince = now
	b.add(h)
}

// Resize changes an attempt's reservation once its real prompt length is known.
// It is never refused: the engine has the prompt already. When the total then
// passes the limit, Excess names what has to go.
func (b *Reservations) Resize(id string, tokens int64) {
	h := b.holdings[id]
	if h == nil {
		return
	}
	b.held += tokens - h.Tokens
	h.Tokens = tokens
	h.used = min(h.used, tokens)
}

// RecordUsage notes the tokens that an attempt is known to use at the engine: its
// prompt from the first token on, and its output so far.
func (b *Reservations) RecordUsage(now time.Time, id string, used int64) {
	h := b.holdings[id]
	if h == nil || used <= 0 {
		return
	}
	if h.used == 0 {
		h.usedSince = now
	}
	h.used = max(h.used, min(used, h.Tokens))
}

// Release frees a holding, once the engine has. It reports whether it was known.
func (b *Reservations) Release(now time.Time, id string) bool {
	if b.claim.id == id {
		b.claim = claim{}
	}
	if h := b.holdings[id]; h != nil {
		b.gone = append(b.gone, gone{at: now, tokens: h.Tokens})
	}
	return b.remove(id)
}

// Renew extends the leases of all holdings of owner.
func (b *Reservations) Renew(owner string, expires time.Time) {
	for _, h := range b.holdings {
		if h.Owner == owner && expires.After(h.Expires) {
			h.Expires = expires
		}
	}
}

// Reserved returns the total of all holdings, in KV tokens.
func (b *Reservations) Reserved() int64 { return b.held }

// Capacity returns the engine's whole memory by its last report, in KV tokens.
func (b *Reservations) Capacity() int64 { return b.reports.total }

// MaxRequestTokens returns the largest request that the engine can ever be granted, in KV
// tokens. Entries refuse larger ones at once, so it is what a sidecar announces as
// wire.Load.CapacityTokens.
func (b *Reservations) MaxRequestTokens() int64 { return b.reports.total - b.floor() }

// Free returns the tokens that can still be reserved, never below 0.
func (b *Reservations) Free(now time.Time) int64 {
	return max(b.Limit(now)-b.held, 0)
}

func (b *Reservations) add(h Reservation) {
	b.seq++
	h.seq = b.seq
	b.holdings[h.ID] = &h
	b.held += h.Tokens
}

func (b *Reservations) remove(id string) bool {
	h := b.holdings[id]
	if h == nil {
		return false
	}
	b.held -= h.Tokens
	delete(b.holdings, id)
	return true
}
