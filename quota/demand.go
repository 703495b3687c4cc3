package quota

import (
	"maps"
	"slices"
	"time"
)

// minInterval is the shortest interval over which a rate is computed. Over a shorter one
// a few requests would look like a high rate.
const minInterval = 100 * time.Millisecond

// Demand returns the demand to send to control under number seq, sorted by account name.
// It omits the accounts that have been idle for idleAfter, which returns their shares to
// the allocator: the limiter no longer uses them.
func (l *Limiter) Demand(now time.Time, seq uint64) []Share {
	interval := now.Sub(l.lastDemand)
	l.lastDemand = now
	var out []Share
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		if a.isIdle(now) {
			a.returnShare(seq)
			if now.Sub(a.lastUsed) > 2*idleAfter {
				delete(l.accounts, name)
			}
			continue
		}
		out = append(out, Share{Account: name, Amount: a.demand(max(interval, minInterval)), Seq: a.grantSeq})
	}
	return out
}

func (a *account) isIdle(now time.Time) bool {
	return a.inUse[Concurrent] == 0 && now.Sub(a.lastUsed) > idleAfter
}

// returnShare stops using the account's share, which demand seq returns. A bucket level
// below zero stays.
func (a *account) returnShare(seq uint64) {
	if a.granted {
		a.granted = false
		a.returnedSeq = seq
	}
	a.share, a.grantSeq = Amount{}, 0
}

// demand returns the demand of an account from the load offered during interval, and
// resets the counters for the next interval.
func (a *account) demand(interval time.Duration) Amount {
	var out Amount
	for k := range Kinds {
		offered := max(a.peak[k], a.inUse[k])
		if k == Concurrent {
			// A refused caller retries and is counted again each time, so refusals add
			// no more than the highest use.
			offered += min(a.refused, offered)
		}
		if int(k) < numRates {
			offered = a.offered[k] / interval.Seconds()
		}
		a.smoothed[k] = max(offered, decay*a.smoothed[k]+(1-decay)*offered)
		out[k] = max(demandGrowth*a.smoothed[k], a.limit[k]/idleDivisor)
	}
	a.offered, a.peak, a.refused = Amount{}, Amount{}, 0
	return out
}

// ApplyGrants puts granted shares into force. It ignores a share that answers a demand
// no newer than the one that returned the account's share, or than the one that the share
// in force answers.
func (l *Limiter) ApplyGrants(now time.Time, shares []Share) {
	for _, s := range shares {
		a, ok := l.accounts[s.Account]
		if !ok || s.Seq <= a.returnedSeq || s.Seq <= a.grantSeq {
			continue
		}
		a.refill(now)
		if !a.granted {
			a.refilledAt = now
		}
		a.share, a.grantSeq, a.granted = s.Amount, s.Seq, true
		for k := range numRates {
			a.level[k] = min(a.level[k], a.bucketCapacity(Kind(k)))
		}
	}
}

// Share returns the account's share in force, and whether there is one.
func (l *Limiter) Share(name string) (Amount, bool) {
	a, ok := l.accounts[name]
	if !ok {
		return Amount{}, false
	}
	return a.share, a.granted
}
