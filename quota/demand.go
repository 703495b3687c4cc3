package quota

import (
	"maps"
	"slices"
	"time"
)

// minInterval keeps a rate over a very short time from being taken for real.
const minInterval = 100 * time.Millisecond

// Demand returns what the holder wants, to be sent as the demand seq, in the
// order of the accounts' names. An account that was idle for a while is left out,
// which gives its share back; its share is void from this moment on.
func (h *Limiter) Demand(now time.Time, seq uint64) []Share {
	interval := now.Sub(h.demanded)
	h.demanded = now
	var out []Share
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[name]
		if a.idle(now) {
			a.drop(seq)
			if now.Sub(a.used) > 2*idleAfter {
				delete(h.accounts, name)
			}
			continue
		}
		out = append(out, Share{Account: name, Amount: a.want(max(interval, minInterval)), Seq: a.ack})
	}
	return out
}

func (a *account) idle(now time.Time) bool {
	return a.inUse[Concurrent] == 0 && now.Sub(a.used) > idleAfter
}

// drop gives the account's share back. Debt stays.
func (a *account) drop(seq uint64) {
	if a.answered {
		a.answered = false
		a.dropped = seq
	}
	a.share, a.ack = Amount{}, 0
}

// want returns the demand of an account after interval and starts the next count.
func (a *account) want(interval time.Duration) Amount {
	var out Amount
	for k := range Kinds {
		offered := max(a.peak[k], a.inUse[k])
		if k == Concurrent {
			// Refused callers come back, so they count once at most.
			offered += min(a.refused, offered)
		}
		if int(k) < rates {
			offered = a.offered[k] / interval.Seconds()
		}
		a.recent[k] = max(offered, decay*a.recent[k]+(1-decay)*offered)
		out[k] = max(growth*a.recent[k], a.limit[k]/idleParts)
	}
	a.offered, a.peak, a.refused = Amount{}, Amount{}, 0
	return out
}

// ApplyGrants takes in shares that were lent. A share that answers a demand before the
// account was given back is void, and so is one that is older than the share in
// force.
func (h *Limiter) ApplyGrants(now time.Time, shares []Share) {
	for _, s := range shares {
		a, ok := h.accounts[s.Account]
		if !ok || s.Seq <= a.dropped || s.Seq <= a.ack {
			continue
		}
		a.fill(now)
		if !a.answered {
			a.filled = now
		}
		a.share, a.ack, a.answered = s.Amount, s.Seq, true
		for k := range rates {
			a.level[k] = min(a.level[k], a.capacity(Kind(k)))
		}
	}
}

// Share returns the account's share and whether one was lent.
func (h *Limiter) Share(name string) (Amount, bool) {
	a, ok := h.accounts[name]
	if !ok {
		return Amount{}, false
	}
	return a.share, a.answered
}
