package quota

import (
	"math"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// floorParts is the floor as a part of the limit: one in so many.
	floorParts = 64
	// idleParts is what an idle account's share is kept at, as a part of the limit.
	idleParts = 2048
	// answerWait is about how long it takes until control has answered a demand.
	answerWait = 200 * time.Millisecond
	// burst is the time whose rate a bucket holds at most.
	burst = time.Second
	// idleAfter is when an account without requests is given back.
	idleAfter = time.Minute
	// growth is how much more than was offered a holder asks for.
	growth = 1.25
	// decay is the weight of the past in what was offered.
	decay = 0.5
)

// Cost is what one request takes of its account's limits.
type Cost struct {
	Tokens    int64
	HeldBytes int64
}

// Limiter spends the shares that an entry was lent. Take and Release cost no
// message.
type Limiter struct {
	accounts map[string]*account
	// demanded is when the newest demand was made up.
	demanded time.Time
}

// account is what the holder has of one client account.
type account struct {
	limit Amount
	share Amount
	// answered is set by the first share; before it the floor counts.
	answered bool
	// ack is the number of the grant in force.
	ack uint64
	// dropped is the number of the demand with which the account was given back:
	// grants up to it are void.
	dropped uint64
	// level is what the buckets hold at filled; below zero is debt.
	level  [rates]float64
	filled time.Time
	// inUse counts Concurrent and HeldBytes.
	inUse Amount
	// offered counts what callers asked for since the last demand, refused or not,
	// and peak the most of Concurrent and HeldBytes that was wanted at once.
	offered Amount
	peak    Amount
	// refused counts the requests that were refused since the last demand.
	refused float64
	// recent is the offered rate over the past demands.
	recent Amount
	used   time.Time
}

// rates is the number of kinds that are rates: they come first.
const rates = int(Tokens) + 1

// NewLimiter returns a holder that was lent nothing.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*account{}} }

// Take lets a request of the account through and books its cost, or refuses it.
// limit is the account's limit in the newest configuration. The error is a
// *verdict.Refusal. A request that was let through is ended with Release.
func (h *Limiter) Take(now time.Time, name string, limit Amount, cost Cost) error {
	a := h.account(now, name, limit)
	a.used = now
	a.fill(now)
	a.offer(cost)
	if wait := a.wait(cost); wait > 0 {
		a.refused++
		return verdict.Refuse(verdict.ReasonAccountLimit, wait, "client account %s is at its limit", name)
	}
	a.level[Requests]--
	a.level[Tokens] -= float64(cost.Tokens)
	a.inUse[Concurrent]++
	a.inUse[HeldBytes] += float64(cost.HeldBytes)
	return nil
}

// Release ends a request that Take let through. spent is its true cost: tokens
// that were booked and not spent are given back.
func (h *Limiter) Release(now time.Time, name string, booked, spent Cost) {
	a, ok := h.accounts[name]
	if !ok {
		return
	}
	a.fill(now)
	a.level[Tokens] += float64(booked.Tokens - spent.Tokens)
	a.inUse[Concurrent] = max(0, a.inUse[Concurrent]-1)
	a.inUse[HeldBytes] = max(0, a.inUse[HeldBytes]-float64(booked.HeldBytes))
}

func (h *Limiter) account(now time.Time, name string, limit Amount) *account {
	a, ok := h.accounts[name]
	if !ok {
		a = &account{filled: now}
		a.limit = limit
		for k := range rates {
			a.level[k] = a.capacity(Kind(k))
		}
		h.accounts[name] = a
	}
	a.limit = limit
	return a
}

// part is how much of a kind the holder may use now.
func (a *account) part(k Kind) float64 {
	switch {
	case a.limit[k] == 0:
		return math.Inf(1)
	case a.answered:
		return min(a.share[k], a.limit[k])
	}
	return a.floor(k)
}

// floor is what passes before the first answer about the account.
func (a *account) floor(k Kind) float64 {
	part := a.limit[k] / floorParts
	if k == Concurrent || k == Requests {
		return max(1, math.Floor(part))
	}
	return part
}

// capacity is the most that a kind's bucket holds. One request always fits.
func (a *account) capacity(k Kind) float64 { return max(1, a.part(k)*burst.Seconds()) }

// fill refills the buckets up to now. Before the first answer nothing refills:
// the floor is an amount, not a rate, so that its sum over all holders is bounded.
func (a *account) fill(now time.Time) {
	passed := now.Sub(a.filled).Seconds()
	a.filled = now
	if !a.answered || passed <= 0 {
		return
	}
	for k := range rates {
		kind := Kind(k)
		if a.limit[kind] == 0 {
			a.level[kind] = a.capacity(kind)
			continue
		}
		a.level[kind] = min(a.capacity(kind), a.level[kind]+passed*a.part(kind))
	}
}

// wait returns zero when the request may pass, or when it makes sense to retry.
func (a *account) wait(cost Cost) time.Duration {
	if a.inUse[Concurrent]+1 > a.part(Concurrent) || a.inUse[HeldBytes]+float64(cost.HeldBytes) > a.heldPart() {
		return a.retry(time.Second)
	}
	for k := range rates {
		kind := Kind(k)
		if a.limit[kind] == 0 || a.level[kind] > 0 {
			continue
		}
		rate := a.part(kind)
		if !a.answered || rate <= 0 {
			return a.retry(time.Second)
		}
		missing := time.Duration((1 - a.level[kind]) / rate * float64(time.Second))
		return max(missing, time.Millisecond)
	}
	return 0
}

// heldPart lets a single request pass whatever it holds, because a request larger
// than the share would else never pass.
func (a *account) heldPart() float64 {
	if a.inUse[HeldBytes] == 0 && a.part(HeldBytes) > 0 {
		return math.Inf(1)
	}
	return a.part(HeldBytes)
}

func (a *account) retry(d time.Duration) time.Duration {
	if !a.answered {
		return answerWait
	}
	return d
}

// offer notes what callers ask for, so that the demand follows it.
func (a *account) offer(cost Cost) {
	a.offered[Requests]++
	a.offered[Tokens] += float64(cost.Tokens)
	a.peak[Concurrent] = max(a.peak[Concurrent], a.inUse[Concurrent]+1)
	a.peak[HeldBytes] = max(a.peak[HeldBytes], a.inUse[HeldBytes]+float64(cost.HeldBytes))
}
