package admit

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// concurrencyRetryAfter is when a request over its account's concurrency is worth trying again.
const concurrencyRetryAfter = time.Second

// ConcurrencyLimiter counts the requests in flight by client account. Calls are serialised
// by the host.
type ConcurrencyLimiter struct {
	inFlight map[string]int
}

// NewConcurrencyLimiter returns a count with nothing in flight.
func NewConcurrencyLimiter() *ConcurrencyLimiter {
	return &ConcurrencyLimiter{inFlight: map[string]int{}}
}

// Acquire counts a request in, or refuses it with account_limit. A limit of 0 is none.
func (c *ConcurrencyLimiter) Acquire(account string, limit int) error {
	if limit > 0 && c.inFlight[account] >= limit {
		return verdict.Refuse(verdict.ReasonAccountLimit, concurrencyRetryAfter,
			"the client account has %d requests in flight", c.inFlight[account])
	}
	c.inFlight[account]++
	return nil
}

// Release counts a request out. It is called once for each Enter that returned nil.
func (c *ConcurrencyLimiter) Release(account string) {
	c.inFlight[account]--
	if c.inFlight[account] <= 0 {
		delete(c.inFlight, account)
	}
}

// InFlight returns the requests in flight of an account.
func (c *ConcurrencyLimiter) InFlight(account string) int { return c.inFlight[account] }
