package admit

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// concurrencyRetryAfter is the retry delay for a request over its client account's
// concurrency limit.
const concurrencyRetryAfter = time.Second

// ConcurrencyLimiter limits the requests in flight of each client account. It is not
// safe for concurrent use; callers serialize access.
type ConcurrencyLimiter struct {
	inFlight map[string]int
}

// NewConcurrencyLimiter returns a limiter with no requests in flight.
func NewConcurrencyLimiter() *ConcurrencyLimiter {
	return &ConcurrencyLimiter{inFlight: map[string]int{}}
}

// Acquire adds a request to the account's requests in flight. If limit are in flight
// already, it returns a refusal with ReasonAccountLimit. A limit of 0 means no limit.
func (c *ConcurrencyLimiter) Acquire(account string, limit int) error {
	if limit > 0 && c.inFlight[account] >= limit {
		return verdict.Refuse(verdict.ReasonAccountLimit, concurrencyRetryAfter,
			"the client account has %d requests in flight", c.inFlight[account])
	}
	c.inFlight[account]++
	return nil
}

// Release removes a request from the account's requests in flight. It must be called
// once for each Acquire that returned nil.
func (c *ConcurrencyLimiter) Release(account string) {
	c.inFlight[account]--
	if c.inFlight[account] <= 0 {
		delete(c.inFlight, account)
	}
}

// InFlight returns the number of requests in flight of an account.
func (c *ConcurrencyLimiter) InFlight(account string) int { return c.inFlight[account] }
