package quota

import (
	"math"
	"slices"
	"time"
)

// headroom is the factor by which a granted share may exceed the holder's demand while
// the demands of all holders are within the limit, so that a rise in traffic does not
// have to wait for the next grant.
const headroom = 2

// Allocator divides the limit of each account among the holders, which are the processes
// with a Limiter. A new leader of control starts with an empty allocator, which grants
// nothing until the leases granted by the previous leader have ended.
type Allocator struct {
	leaseDuration time.Duration
	// grantsFrom is when all leases granted by the previous leader have ended.
	grantsFrom time.Time
	// accounts holds the allocations by account and holder.
	accounts map[string]map[string]*allocation
	holders  map[string]*holder
}

// holder is the state of one holder over all accounts.
type holder struct {
	// seq is the number of the holder's last demand, and demandedAt when the demand
	// arrived.
	seq        uint64
	demandedAt time.Time
	// accounts are the accounts of which the holder demands or may have a share.
	accounts map[string]bool
}

// allocation is the demand of one holder for one account, and the grants that may be in
// force there.
type allocation struct {
	demand Amount
	grants []grant
}

// grant is a granted share that may be in force at its holder until its lease ends.
type grant struct {
	seq    uint64
	amount Amount
	// until is a lease after the demand arrived. The lease at the holder ends earlier,
	// because it counts from the sending of the demand.
	until time.Time
}

// NewAllocator returns the allocator of a leader that was elected at now. The lease of a
// share lasts leaseDuration from the moment the holder sent its demand.
func NewAllocator(now time.Time, leaseDuration time.Duration) *Allocator {
	return &Allocator{
		leaseDuration: leaseDuration,
		grantsFrom:    now.Add(leaseDuration),
		accounts:      map[string]map[string]*allocation{},
		holders:       map[string]*holder{},
	}
}

// LeaseDuration returns the duration of the lease of a share.
func (a *Allocator) LeaseDuration() time.Duration { return a.leaseDuration }

// Allocate answers demand seq of the holder called name, which arrived at now, with new
// shares. demand lists all accounts of which the holder demands or has a share; the share
// of an account that is not listed was returned by the holder before it sent the demand.
// Allocate ignores a demand with a lower number than one that arrived less than a lease
// ago. After that time it accepts the lower number, because the holder may be a new process
// that counts from a lower start. Allocate grants nothing until the leases of the previous
// leader have ended.
func (a *Allocator) Allocate(now time.Time, name string, seq uint64, demand []Share, limits func(account string) Amount) []Share {
	h := a.holder(name)
	if seq <= h.seq && now.Sub(h.demandedAt) < a.leaseDuration {
		return nil
	}
	h.seq, h.demandedAt = seq, now
	a.dropReturned(name, h, demand)
	for _, d := range demand {
		a.recordDemand(name, d)
		h.accounts[d.Account] = true
	}
	if now.Before(a.grantsFrom) {
		return nil
	}
	shares := make([]Share, 0, len(demand))
	for _, d := range demand {
		amount := a.computeShare(now, name, d.Account, limits(d.Account))
		alloc := a.accounts[d.Account][name]
		alloc.grants = append(alloc.grants, grant{seq: seq, amount: amount, until: now.Add(a.leaseDuration)})
		shares = append(shares, Share{Account: d.Account, Amount: amount, Seq: seq})
	}
	return shares
}

func (a *Allocator) holder(name string) *holder {
	h, ok := a.holders[name]
	if !ok {
		h = &holder{accounts: map[string]bool{}}
		a.holders[name] = h
	}
	return h
}

// dropReturned removes the holder's allocations of accounts that demand does not list.
func (a *Allocator) dropReturned(name string, h *holder, demand []Share) {
	listed := make(map[string]bool, len(demand))
	for _, d := range demand {
		listed[d.Account] = true
	}
	for account := range h.accounts {
		if !listed[account] {
			a.remove(account, name)
		}
	}
}

func (a *Allocator) remove(account, name string) {
	delete(a.holders[name].accounts, account)
	delete(a.accounts[account], name)
	if len(a.accounts[account]) == 0 {
		delete(a.accounts, account)
	}
}

// recordDemand records the holder's demand for one account. It removes the grants older
// than the one that the holder reports to be in force, because the holder ignores them.
func (a *Allocator) recordDemand(name string, d Share) {
	allocations := a.accounts[d.Account]
	if allocations == nil {
		allocations = map[string]*allocation{}
		a.accounts[d.Account] = allocations
	}
	alloc := allocations[name]
	if alloc == nil {
		alloc = &allocation{}
		allocations[name] = alloc
	}
	alloc.demand = sanitize(d.Amount)
	alloc.grants = slices.DeleteFunc(alloc.grants, func(g grant) bool { return g.seq < d.Seq })
}

// sanitize replaces quantities that are not positive and finite by zero, so that an
// invalid demand does not corrupt the sums over all holders.
func sanitize(amount Amount) Amount {
	for k, v := range amount {
		if !(v > 0) || math.IsInf(v, 0) {
			amount[k] = 0
		}
	}
	return amount
}

// computeShare returns the holder's new share of one account: in proportion to the
// demands of all holders, and at most what the shares of the other holders leave of the
// limit. A kind without a limit gets what was demanded.
func (a *Allocator) computeShare(now time.Time, name, account string, limit Amount) Amount {
	var others, demand Amount
	allocations := a.accounts[account]
	for other, alloc := range allocations {
		for k := range Kinds {
			demand[k] += alloc.demand[k]
			if other != name {
				others[k] += alloc.outstanding(now, k)
			}
		}
	}
	want := allocations[name].demand
	var share Amount
	for k := range Kinds {
		left := max(0, limit[k]-others[k])
		switch {
		case limit[k] == 0:
			share[k] = want[k]
		case k == Concurrent:
			share[k] = math.Floor(min(left, concurrentSlots(allocations, name, limit[k], demand[k])))
		default:
			share[k] = min(left, proportionalShare(limit[k], want[k], demand[k]))
		}
	}
	return share
}

// proportionalShare returns the part of a limit for a holder with demand want when the
// demands of all holders add up to total.
func proportionalShare(limit, want, total float64) float64 {
	if want == 0 {
		return 0
	}
	share := limit * want / total
	if total <= limit {
		share = min(share, headroom*want)
	}
	return share
}

// concurrentSlots returns a holder's share of Concurrent, which is a whole number. Each
// holder with a demand of 1 or more gets at least one slot, and the slots left over by
// rounding go one each to the first holders by name. An idle holder, whose demand is less
// than 1, gets one slot if the limit suffices for the demands of all holders, each
// counted as at least 1, and none otherwise.
func concurrentSlots(allocations map[string]*allocation, name string, limit, total float64) float64 {
	var paddedDemand, assigned float64
	rank := 0.0
	for other, alloc := range allocations {
		paddedDemand += max(1, alloc.demand[Concurrent])
		if want := alloc.demand[Concurrent]; want >= 1 {
			assigned += wholeSlots(limit, want, total)
			if other < name {
				rank++
			}
		}
	}
	want := allocations[name].demand[Concurrent]
	switch {
	case want < 1 && paddedDemand > limit:
		return 0
	case want < 1:
		return 1
	case rank < limit-assigned:
		return wholeSlots(limit, want, total) + 1
	}
	return wholeSlots(limit, want, total)
}

// wholeSlots returns the proportional share rounded down, but at least 1.
func wholeSlots(limit, want, total float64) float64 {
	return max(1, math.Floor(proportionalShare(limit, want, total)))
}

// outstanding returns the largest share of a kind that may be in force at the holder.
func (al *allocation) outstanding(now time.Time, k Kind) float64 {
	var most float64
	for _, g := range al.grants {
		if now.Before(g.until) {
			most = max(most, g.amount[k])
		}
	}
	return most
}

// Expire removes the grants whose leases have ended, and the allocations and holders that
// sent no demand for the duration of a lease. The caller calls it periodically.
func (a *Allocator) Expire(now time.Time) {
	for name, h := range a.holders {
		for account := range h.accounts {
			alloc := a.accounts[account][name]
			alloc.grants = slices.DeleteFunc(alloc.grants, func(g grant) bool { return !now.Before(g.until) })
			if len(alloc.grants) == 0 && now.Sub(h.demandedAt) >= a.leaseDuration {
				a.remove(account, name)
			}
		}
		if len(h.accounts) == 0 && now.Sub(h.demandedAt) >= a.leaseDuration {
			delete(a.holders, name)
		}
	}
}

// Granted returns the largest sum of shares of an account that may be in force over all
// holders.
func (a *Allocator) Granted(now time.Time, account string) Amount {
	var sum Amount
	for _, alloc := range a.accounts[account] {
		for k := range Kinds {
			sum[k] += alloc.outstanding(now, k)
		}
	}
	return sum
}
