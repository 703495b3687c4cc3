package quota

import (
	"math"
	"slices"
	"time"
)

// headroom is how much more than it wants a holder is lent while the limit
// allows it, so that a rise in traffic meets a share that is there already.
const headroom = 2

// Allocator is what is lent of every account's limit. A new leader starts with an
// empty one: what its predecessor lent must lapse first.
type Allocator struct {
	valid time.Duration
	// from is when everything lent by a predecessor has lapsed.
	from     time.Time
	accounts map[string]map[string]*loan
	holders  map[string]*holder
}

// holder is what the ledger knows of one holder over all accounts.
type holder struct {
	seq      uint64
	at       time.Time
	accounts map[string]bool
}

// loan is what one holder wants and has of one account.
type loan struct {
	wanted Amount
	grants []grant
}

// grant is one share that may be in force at its holder.
type grant struct {
	seq    uint64
	amount Amount
	until  time.Time
}

// NewAllocator returns the ledger of a leader that began to lead at now. Shares are
// lent for valid, counted from the moment that the holder sent its demand.
func NewAllocator(now time.Time, valid time.Duration) *Allocator {
	return &Allocator{
		valid:    valid,
		from:     now.Add(valid),
		accounts: map[string]map[string]*loan{},
		holders:  map[string]*holder{},
	}
}

// LeaseDuration is the time for which shares are lent.
func (l *Allocator) LeaseDuration() time.Duration { return l.valid }

// Allocate answers the demand seq of a holder, which came in at now, with shares.
// It lists all accounts of which the holder wants or has something: what is not
// listed, the holder has given back before it sent the demand. A demand that was
// overtaken by a later one is ignored.
func (l *Allocator) Allocate(now time.Time, name string, seq uint64, wanted []Share, limits func(account string) Amount) []Share {
	h := l.holder(name)
	if seq <= h.seq && now.Sub(h.at) < l.valid {
		return nil
	}
	h.seq, h.at = seq, now
	l.drop(name, h, wanted)
	for _, w := range wanted {
		l.note(name, w)
		h.accounts[w.Account] = true
	}
	if now.Before(l.from) {
		return nil
	}
	shares := make([]Share, 0, len(wanted))
	for _, w := range wanted {
		amount := l.lend(now, name, w.Account, limits(w.Account))
		held := l.accounts[w.Account][name]
		held.grants = append(held.grants, grant{seq: seq, amount: amount, until: now.Add(l.valid)})
		shares = append(shares, Share{Account: w.Account, Amount: amount, Seq: seq})
	}
	return shares
}

func (l *Allocator) holder(name string) *holder {
	h, ok := l.holders[name]
	if !ok {
		h = &holder{accounts: map[string]bool{}}
		l.holders[name] = h
	}
	return h
}

// drop forgets what the holder has given back.
func (l *Allocator) drop(name string, h *holder, wanted []Share) {
	listed := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		listed[w.Account] = true
	}
	for account := range h.accounts {
		if !listed[account] {
			l.remove(account, name)
		}
	}
}

func (l *Allocator) remove(account, name string) {
	delete(l.holders[name].accounts, account)
	delete(l.accounts[account], name)
	if len(l.accounts[account]) == 0 {
		delete(l.accounts, account)
	}
}

// note enters what the holder wants. The grants before the one that it says is in
// force can no longer come into force.
func (l *Allocator) note(name string, w Share) {
	loans := l.accounts[w.Account]
	if loans == nil {
		loans = map[string]*loan{}
		l.accounts[w.Account] = loans
	}
	held := loans[name]
	if held == nil {
		held = &loan{}
		loans[name] = held
	}
	held.wanted = sane(w.Amount)
	held.grants = slices.DeleteFunc(held.grants, func(g grant) bool { return g.seq < w.Seq })
}

// sane keeps a damaged demand from spoiling the sums.
func sane(a Amount) Amount {
	for k, v := range a {
		if !(v > 0) || math.IsInf(v, 0) {
			a[k] = 0
		}
	}
	return a
}

// lend works out the holder's new share of one account: in proportion to what all
// want, and never more than what the others' shares leave.
func (l *Allocator) lend(now time.Time, name, account string, limit Amount) Amount {
	var others, wanted Amount
	loans := l.accounts[account]
	for other, held := range loans {
		for k := range Kinds {
			wanted[k] += held.wanted[k]
			if other != name {
				others[k] += held.outstanding(now, k)
			}
		}
	}
	want := loans[name].wanted
	var out Amount
	for k := range Kinds {
		left := max(0, limit[k]-others[k])
		switch {
		case limit[k] == 0:
			out[k] = want[k]
		case k == Concurrent:
			out[k] = math.Floor(min(left, slots(loans, name, limit[k], wanted[k])))
		default:
			out[k] = min(left, proportion(limit[k], want[k], wanted[k]))
		}
	}
	return out
}

// proportion divides a limit by what the holders want.
func proportion(limit, want, all float64) float64 {
	if want == 0 {
		return 0
	}
	share := limit * want / all
	if all <= limit {
		share = min(share, headroom*want)
	}
	return share
}

// slots returns a holder's part of the requests in flight, which come whole. Each
// holder that wants any gets one at least, and those that are left over by rounding
// go to the first by name. An idle holder, which wants less than one, gets one only
// while there are enough for all.
func slots(loans map[string]*loan, name string, limit, all float64) float64 {
	var crowd, given float64
	rank := 0.0
	for other, held := range loans {
		crowd += max(1, held.wanted[Concurrent])
		if want := held.wanted[Concurrent]; want >= 1 {
			given += wholeSlots(limit, want, all)
			if other < name {
				rank++
			}
		}
	}
	want := loans[name].wanted[Concurrent]
	switch {
	case want < 1 && crowd > limit:
		return 0
	case want < 1:
		return 1
	case rank < limit-given:
		return wholeSlots(limit, want, all) + 1
	}
	return wholeSlots(limit, want, all)
}

func wholeSlots(limit, want, all float64) float64 {
	return max(1, math.Floor(proportion(limit, want, all)))
}

// outstanding is the most of a kind that may be in force at the holder.
func (h *loan) outstanding(now time.Time, k Kind) float64 {
	var most float64
	for _, g := range h.grants {
		if now.Before(g.until) {
			most = max(most, g.amount[k])
		}
	}
	return most
}

// Expire forgets what has lapsed. The host calls it now and then.
func (l *Allocator) Expire(now time.Time) {
	for name, h := range l.holders {
		for account := range h.accounts {
			held := l.accounts[account][name]
			held.grants = slices.DeleteFunc(held.grants, func(g grant) bool { return !now.Before(g.until) })
			if len(held.grants) == 0 && now.Sub(h.at) >= l.valid {
				l.remove(account, name)
			}
		}
		if len(h.accounts) == 0 && now.Sub(h.at) >= l.valid {
			delete(l.holders, name)
		}
	}
}

// Granted returns the most that may be in force of an account over all holders.
func (l *Allocator) Granted(now time.Time, account string) Amount {
	var sum Amount
	for _, h := range l.accounts[account] {
		for k := range Kinds {
			sum[k] += h.outstanding(now, k)
		}
	}
	return sum
}
