package route

import "time"

// Defaults of RetryBudget.
const (
	// DefaultRetryRatio is the number of retries that each first attempt adds.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst is the maximum number of retries that can accumulate.
	DefaultRetryBurst = 20
	// DefaultMinRetriesPerSecond is the number of retries added per second regardless
	// of traffic, so that an entry with little traffic can also retry.
	DefaultMinRetriesPerSecond = 1.0
)

// RetryBudget limits retries to a ratio of first attempts, as a token bucket. When all
// endpoints fail, retries then increase the load by at most that ratio, apart from the
// burst and the minimum per second. The caller serialises all calls.
type RetryBudget struct {
	// Ratio is the number of retries that each first attempt adds.
	Ratio float64
	// Burst is the maximum number of retries that can accumulate.
	Burst float64
	// MinPerSecond is the number of retries added per second regardless of traffic.
	MinPerSecond float64

	available float64 // retries
	updatedAt time.Time
}

// NewRetryBudget returns a full budget with the default limits.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{
		Ratio:        DefaultRetryRatio,
		Burst:        DefaultRetryBurst,
		MinPerSecond: DefaultMinRetriesPerSecond,
		available:    DefaultRetryBurst,
	}
}

// RecordFirstAttempt adds Ratio retries for the first attempt of a request.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.accrue(now)
	b.available = min(b.available+b.Ratio, b.Burst)
}

// Take reports whether a retry may be sent now, and if so takes it from the budget.
func (b *RetryBudget) Take(now time.Time) bool {
	b.accrue(now)
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// accrue adds MinPerSecond retries for the time since the last update.
func (b *RetryBudget) accrue(now time.Time) {
	age := now.Sub(b.updatedAt).Seconds()
	if !b.updatedAt.IsZero() && age > 0 {
		b.available = min(b.available+age*b.MinPerSecond, b.Burst)
	}
	if b.updatedAt.Before(now) {
		b.updatedAt = now
	}
}
