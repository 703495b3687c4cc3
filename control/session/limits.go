package session

import (
	"math"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/quota"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Limits enforces the limits of the client accounts in one entry, within the shares of the
// limits that control grants to the entry. All methods are safe for concurrent use, and none
// sends a message.
type Limits struct {
	// mu is "session.Limits" of kernel.LockOrder.
	mu      sync.Mutex
	limiter *quota.Limiter
}

// NewLimits returns a Limits without any shares.
func NewLimits() *Limits { return &Limits{limiter: quota.NewLimiter()} }

// Take admits a request of the client account and deducts its cost, or refuses the request
// with a *verdict.Refusal. The caller ends an admitted request with Release.
func (l *Limits) Take(now time.Time, a *config.Account, cost quota.Cost) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Take(now, a.Name, LimitAmount(a.Limits), cost)
}

// Release ends a request that Take admitted. booked is the cost given to Take, and spent is
// the actual cost.
func (l *Limits) Release(now time.Time, account string, booked, spent quota.Cost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(now, account, booked, spent)
}

// demand returns the entry's demand for shares, to be sent with heartbeat seq.
func (l *Limits) demand(now time.Time, seq uint64) []wire.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return SharesToWire(l.limiter.Demand(now, seq), 0)
}

// applyGrants puts the shares granted by control into force.
func (l *Limits) applyGrants(now time.Time, shares []wire.Share) {
	if len(shares) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.ApplyGrants(now, SharesFromWire(shares))
}

// LimitAmount converts the limits of a client account to the type of package quota.
func LimitAmount(l config.Limits) quota.Amount {
	return quota.Amount{
		quota.Requests:   l.RequestsPerSecond,
		quota.Tokens:     l.TokensPerSecond,
		quota.Concurrent: float64(l.Concurrent),
		quota.HeldBytes:  float64(l.HeldBytes),
	}
}

// SharesToWire converts shares to their form in messages. leaseDuration is the time for which the
// shares are granted; it is zero in a demand.
func SharesToWire(shares []quota.Share, leaseDuration time.Duration) []wire.Share {
	out := make([]wire.Share, len(shares))
	for i, s := range shares {
		out[i] = wire.Share{
			Account:       s.Account,
			Requests:      s.Amount[quota.Requests],
			Tokens:        s.Amount[quota.Tokens],
			Concurrent:    wholeSlots(s.Amount[quota.Concurrent]),
			HeldBytes:     int64(s.Amount[quota.HeldBytes]),
			LeaseDuration: leaseDuration,
			Seq:           s.Seq,
		}
	}
	return out
}

// SharesFromWire converts shares in messages to the type of package quota.
func SharesFromWire(shares []wire.Share) []quota.Share {
	out := make([]quota.Share, len(shares))
	for i, s := range shares {
		out[i] = quota.Share{Account: s.Account, Seq: s.Seq, Amount: quota.Amount{
			quota.Requests:   s.Requests,
			quota.Tokens:     s.Tokens,
			quota.Concurrent: float64(s.Concurrent),
			quota.HeldBytes:  float64(s.HeldBytes),
		}}
	}
	return out
}

// wholeSlots rounds a number of concurrent requests up, except that a number below one, the
// demand of an idle account, becomes zero.
func wholeSlots(v float64) int {
	if v < 1 {
		return 0
	}
	return int(math.Ceil(v))
}
