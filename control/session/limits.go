package session

import (
	"math"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/quota"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Limits enforces the client accounts' limits in an entry with the shares that
// control lends. All methods are safe for concurrent use; none sends a message.
type Limits struct {
	// mu is "session.Limits" of kernel.LockOrder.
	mu     sync.Mutex
	holder *quota.Limiter
}

// NewLimits returns limits without any share yet.
func NewLimits() *Limits { return &Limits{holder: quota.NewLimiter()} }

// Take lets a request of the client account through, or refuses it with a
// *verdict.Refusal. What it let through is ended with Release.
func (l *Limits) Take(now time.Time, a *config.Account, cost quota.Cost) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Take(now, a.Name, LimitAmount(a.Limits), cost)
}

// Release ends a request that Take let through: booked is the cost given to Take,
// spent the true one.
func (l *Limits) Release(now time.Time, account string, booked, spent quota.Cost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Release(now, account, booked, spent)
}

func (l *Limits) demand(now time.Time, seq uint64) []wire.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return SharesToWire(l.holder.Demand(now, seq), 0)
}

func (l *Limits) grant(now time.Time, shares []wire.Share) {
	if len(shares) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.ApplyGrants(now, SharesFromWire(shares))
}

// LimitAmount returns an account's limits as package quota takes them.
func LimitAmount(l config.Limits) quota.Amount {
	return quota.Amount{
		quota.Requests:   l.RequestsPerSecond,
		quota.Tokens:     l.TokensPerSecond,
		quota.Concurrent: float64(l.Concurrent),
		quota.HeldBytes:  float64(l.HeldBytes),
	}
}

// SharesToWire returns the shares as messages carry them, valid for the time given.
func SharesToWire(shares []quota.Share, valid time.Duration) []wire.Share {
	out := make([]wire.Share, len(shares))
	for i, s := range shares {
		out[i] = wire.Share{
			Account:       s.Account,
			Requests:      s.Amount[quota.Requests],
			Tokens:        s.Amount[quota.Tokens],
			Concurrent:    wholeSlots(s.Amount[quota.Concurrent]),
			HeldBytes:     int64(s.Amount[quota.HeldBytes]),
			LeaseDuration: valid,
			Seq:           s.Seq,
		}
	}
	return out
}

// SharesFromWire returns the shares of messages as package quota takes them.
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

// wholeSlots rounds up to whole requests; less than one, which an idle account
// wants, becomes none.
func wholeSlots(v float64) int {
	if v < 1 {
		return 0
	}
	return int(math.Ceil(v))
}
