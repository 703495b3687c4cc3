package quota

import (
	"math"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// initialDivisor divides the limit into the initial allowance: 1/64 of the limit.
	initialDivisor = 64
	// idleDivisor divides the limit into the smallest demand for an account: 1/2048 of
	// the limit, also while the account sends no requests.
	idleDivisor = 2048
	// grantDelay is about the time that control takes to answer a demand.
	grantDelay = 200 * time.Millisecond
	// burstDuration is the time after which an empty bucket is full: the burst size is
	// the rate times burstDuration.
	burstDuration = time.Second
	// idleAfter is the time without requests after which an account's share is returned.
	idleAfter = time.Minute
	// demandGrowth is the factor by which a demand exceeds the offered load.
	demandGrowth = 1.25
	// decay is the weight of the past in the moving average of the offered load.
	decay = 0.5
)

// Cost is the amount of its account's limits that one request uses, besides the request
// itself.
type Cost struct {
	Tokens    int64
	HeldBytes int64
}

// Limiter enforces the shares that were granted to an entry. Take and Release send no
// message.
type Limiter struct {
	accounts map[string]*account
	// lastDemand is the time of the last call of Demand.
	lastDemand time.Time
}

// account is the state of one client account in a Limiter.
type account struct {
	limit Amount
	share Amount
	// granted is set while a granted share is in force. Before the first grant, and
	// after the share was returned, only the initial allowance applies.
	granted bool
	// grantSeq is the Seq of the share in force.
	grantSeq uint64
	// returnedSeq is the number of the last demand that returned the account's share.
	// Grants with a Seq up to it are ignored.
	returnedSeq uint64
	// level holds the levels of the token buckets at refilledAt. A level below zero is
	// paid off by later refills.
	level      [numRates]float64
	refilledAt time.Time
	// inUse is the current use of Concurrent and HeldBytes; the other kinds stay zero.
	inUse Amount
	// offered is the load of Requests and Tokens offered since the last demand, admitted
	// or refused. peak is the highest use of Concurrent and HeldBytes in that time, with
	// the request being admitted or refused.
	offered Amount
	peak    Amount
	// refused is the number of requests refused since the last demand.
	refused float64
	// smoothed is the offered load smoothed over past demands: it rises at once and
	// falls with decay.
	smoothed Amount
	lastUsed time.Time
}

// numRates is the number of kinds that are rates. They are the first kinds.
const numRates = int(Tokens) + 1

// NewLimiter returns a limiter without any shares.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*account{}} }

// Take admits a request of the account and deducts its cost, or refuses it with a
// *verdict.Refusal. limit is the account's limit in the newest configuration. The caller
// ends an admitted request with Release.
func (l *Limiter) Take(now time.Time, name string, limit Amount, cost Cost) error {
	a := l.account(now, name, limit)
	a.lastUsed = now
	a.refill(now)
	a.recordOffered(cost)
	if waitTime := a.waitTime(cost); waitTime > 0 {
		a.refused++
		return verdict.Refuse(verdict.ReasonAccountLimit, waitTime, "client account %s is at its limit", name)
	}
	a.level[Requests]--
	a.level[Tokens] -= float64(cost.Tokens)
	a.inUse[Concurrent]++
	a.inUse[HeldBytes] += float64(cost.HeldBytes)
	return nil
}

// Release ends a request that Take admitted. booked is the cost given to Take and spent
// the actual cost. Booked tokens that were not spent return to the bucket; spent tokens
// that were not booked are deducted.
func (l *Limiter) Release(now time.Time, name string, booked, spent Cost) {
	a, ok := l.accounts[name]
	if !ok {
		return
	}
	a.refill(now)
	a.level[Tokens] += float64(booked.Tokens - spent.Tokens)
	a.inUse[Concurrent] = max(0, a.inUse[Concurrent]-1)
	a.inUse[HeldBytes] = max(0, a.inUse[HeldBytes]-float64(booked.HeldBytes))
}

func (l *Limiter) account(now time.Time, name string, limit Amount) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = &account{refilledAt: now}
		a.limit = limit
		for k := range numRates {
			a.level[k] = a.bucketCapacity(Kind(k))
		}
		l.accounts[name] = a
	}
	a.limit = limit
	return a
}

// allowance returns the amount of a kind that the limiter may use now. For rates it is
// per second.
func (a *account) allowance(k Kind) float64 {
	switch {
	case a.limit[k] == 0:
		return math.Inf(1)
	case a.granted:
		return min(a.share[k], a.limit[k])
	}
	return a.initialAllowance(k)
}

// initialAllowance returns the amount of a kind that the limiter may use while no share
// is in force.
func (a *account) initialAllowance(k Kind) float64 {
	allowance := a.limit[k] / initialDivisor
	if k == Concurrent || k == Requests {
		return max(1, math.Floor(allowance))
	}
	return allowance
}

// bucketCapacity returns the capacity of a kind's bucket. It is at least 1, so that a
// full bucket admits a request.
func (a *account) bucketCapacity(k Kind) float64 {
	return max(1, a.allowance(k)*burstDuration.Seconds())
}

// refill refills the buckets up to now. It adds nothing while no share is in force: the
// initial allowance is an amount, not a rate, so that its sum over all limiters is
// bounded.
func (a *account) refill(now time.Time) {
	passed := now.Sub(a.refilledAt).Seconds()
	a.refilledAt = now
	if !a.granted || passed <= 0 {
		return
	}
	for k := range numRates {
		kind := Kind(k)
		if a.limit[kind] == 0 {
			a.level[kind] = a.bucketCapacity(kind)
			continue
		}
		a.level[kind] = min(a.bucketCapacity(kind), a.level[kind]+passed*a.allowance(kind))
	}
}

// waitTime returns zero when the request may be admitted, or else the time after which
// the caller should retry.
func (a *account) waitTime(cost Cost) time.Duration {
	if a.inUse[Concurrent]+1 > a.allowance(Concurrent) || a.inUse[HeldBytes]+float64(cost.HeldBytes) > a.heldBytesAllowance() {
		return a.retryDelay(time.Second)
	}
	for k := range numRates {
		kind := Kind(k)
		if a.limit[kind] == 0 || a.level[kind] > 0 {
			continue
		}
		rate := a.allowance(kind)
		if !a.granted || rate <= 0 {
			return a.retryDelay(time.Second)
		}
		missing := time.Duration((1 - a.level[kind]) / rate * float64(time.Second))
		return max(missing, time.Millisecond)
	}
	return 0
}

// heldBytesAllowance returns the allowance of HeldBytes. It is unlimited while no bytes
// are in use and the share is above zero, because a request larger than the share would
// otherwise never be admitted.
func (a *account) heldBytesAllowance() float64 {
	if a.inUse[HeldBytes] == 0 && a.allowance(HeldBytes) > 0 {
		return math.Inf(1)
	}
	return a.allowance(HeldBytes)
}

// retryDelay returns d, or grantDelay while no share is in force, because a grant then
// changes the allowance soon.
func (a *account) retryDelay(d time.Duration) time.Duration {
	if !a.granted {
		return grantDelay
	}
	return d
}

// recordOffered adds a request to the offered load from which the next demand is made.
func (a *account) recordOffered(cost Cost) {
	a.offered[Requests]++
	a.offered[Tokens] += float64(cost.Tokens)
	a.peak[Concurrent] = max(a.peak[Concurrent], a.inUse[Concurrent]+1)
	a.peak[HeldBytes] = max(a.peak[HeldBytes], a.inUse[HeldBytes]+float64(cost.HeldBytes))
}
