package reserve

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// Reclaimable is a holding whose lease has lapsed. The host cancels the request or frees
// the handle at the engine and calls Release once the engine has confirmed it.
type Reclaimable struct {
	ID     string
	Kind   Kind
	Owner  string
	Tokens int64
}

// UnknownOwner owns the handles that were found at the engine and in no book.
const UnknownOwner = "unknown"

// Expired lists the holdings whose lease has lapsed, oldest first. It lists them again
// each time until they are released, because a release can fail; their memory stays
// counted until then.
func (b *Reservations) Expired(now time.Time) []Reclaimable {
	var found []*Reservation
	for _, h := range b.holdings {
		if !h.Expires.After(now) {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, func(x, y *Reservation) int { return cmp.Compare(x.seq, y.seq) })
	return listed(found)
}

func listed(found []*Reservation) []Reclaimable {
	var orphans []Reclaimable
	for _, h := range found {
		orphans = append(orphans, Reclaimable{ID: h.ID, Kind: h.Kind, Owner: h.Owner, Tokens: h.Tokens})
	}
	return orphans
}

// Excess lists attempts to cancel, newest first, so that the rest fits again. It is
// empty unless the engine's memory has shrunk or a prompt was longer than estimated.
func (b *Reservations) Excess(now time.Time) []Reclaimable {
	over := b.held - b.Limit(now)
	if over <= 0 {
		return nil
	}
	var attempts []*Reservation
	for _, h := range b.holdings {
		if h.Kind == Attempt {
			attempts = append(attempts, h)
		}
	}
	slices.SortFunc(attempts, func(x, y *Reservation) int { return cmp.Compare(y.seq, x.seq) })
	var shed []*Reservation
	for _, h := range attempts {
		if over <= 0 {
			break
		}
		shed = append(shed, h)
		over -= h.Tokens
	}
	return listed(shed)
}

// Reconcile takes in the list of caches that the engine holds. A handle that no book
// knows, such as one left by a sidecar that died, is given a lease until adopted
// ends: time for its owner to name it. A handle that the engine no longer holds is
// dropped.
func (b *Reservations) Reconcile(now time.Time, list engine.KVList, adopted time.Time) {
	at := map[string]bool{}
	for _, held := range list.Held {
		at[held.Handle] = true
		if b.holdings[held.Handle] != nil {
			continue
		}
		b.Track(now, Reservation{
			ID: held.Handle, Kind: Exported, Owner: UnknownOwner,
			Tokens: held.Tokens, Expires: adopted,
		})
	}
	for id, h := range b.holdings {
		if (h.Kind == Exported || h.Kind == Imported) && !at[id] {
			b.Release(now, id)
		}
	}
}
