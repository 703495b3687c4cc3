package reserve

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// Reclaimable identifies a reservation to free. The caller cancels the request or frees the
// handle at the engine, and calls Release once the engine has confirmed.
type Reclaimable struct {
	ID     string
	Kind   Kind
	Owner  string
	Tokens int64
}

// UnknownOwner is the Owner of caches found at the engine without a reservation.
const UnknownOwner = "unknown"

// Expired lists the reservations whose leases have expired, oldest first. It lists a
// reservation on each call until Release, because freeing it at the engine can fail; until
// then its memory counts as reserved.
func (r *Reservations) Expired(now time.Time) []Reclaimable {
	var expired []*Reservation
	for _, h := range r.reservations {
		if !h.Expires.After(now) {
			expired = append(expired, h)
		}
	}
	slices.SortFunc(expired, func(x, y *Reservation) int { return cmp.Compare(x.seq, y.seq) })
	return reclaimables(expired)
}

func reclaimables(reservations []*Reservation) []Reclaimable {
	var result []Reclaimable
	for _, h := range reservations {
		result = append(result, Reclaimable{ID: h.ID, Kind: h.Kind, Owner: h.Owner, Tokens: h.Tokens})
	}
	return result
}

// Excess lists the attempts to cancel, newest first, so that the other reservations are
// within the limit again. They can exceed it when the engine's memory shrinks, others use
// more memory, the margin grows, or a prompt is longer than estimated.
func (r *Reservations) Excess(now time.Time) []Reclaimable {
	excess := r.reservedTokens - r.Limit(now)
	if excess <= 0 {
		return nil
	}
	var attempts []*Reservation
	for _, h := range r.reservations {
		if h.Kind == Attempt {
			attempts = append(attempts, h)
		}
	}
	slices.SortFunc(attempts, func(x, y *Reservation) int { return cmp.Compare(y.seq, x.seq) })
	var cancelled []*Reservation
	for _, h := range attempts {
		if excess <= 0 {
			break
		}
		cancelled = append(cancelled, h)
		excess -= h.Tokens
	}
	return reclaimables(cancelled)
}

// Reconcile compares the reservations with the list of caches that the engine holds. A
// cache without a reservation, such as one left by a sidecar that died, gets one with
// UnknownOwner and a lease until unknownExpires, which gives its owner time to claim the
// cache. A cache reservation whose handle the engine no longer holds is released.
func (r *Reservations) Reconcile(now time.Time, list engine.KVList, unknownExpires time.Time) {
	atEngine := map[string]bool{}
	for _, held := range list.Held {
		atEngine[held.Handle] = true
		if r.reservations[held.Handle] != nil {
			continue
		}
		r.Track(now, Reservation{
			ID: held.Handle, Kind: Exported, Owner: UnknownOwner,
			Tokens: held.Tokens, Expires: unknownExpires,
		})
	}
	for id, h := range r.reservations {
		if (h.Kind == Exported || h.Kind == Imported) && !atEngine[id] {
			r.Release(now, id)
		}
	}
}
