package route

import "time"

// Defaults of the retry budget.
const (
	// DefaultRetryRatio is the retries earned by each first attempt.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst is the number of retries that may be saved up.
	DefaultRetryBurst = 20
	// DefaultMinRetriesPerSecond is the retries a second that are always earned, so that an
	// entry with little traffic can retry too.
	DefaultMinRetriesPerSecond = 1.0
)

// RetryBudget bounds the extra work that retries make: a share of the first
// attempts. When the whole fleet fails, the load grows by the share at most.
type RetryBudget struct {
	// Ratio is the retries earned by each first attempt.
	Ratio float64
	// Burst is the most retries saved up.
	Burst float64
	// MinPerSecond is the retries earned a second whatever the traffic.
	MinPerSecond float64

	saved float64
	at    time.Time
}

// NewRetryBudget returns a budget with the default bounds, full.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{
		Ratio:        DefaultRetryRatio,
		Burst:        DefaultRetryBurst,
		MinPerSecond: DefaultMinRetriesPerSecond,
		saved:        DefaultRetryBurst,
	}
}

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.earn(now)
	b.saved = min(b.saved+b.Ratio, b.Burst)
}

// Take reports whether a retry may be sent now, and spends it.
func (b *RetryBudget) Take(now time.Time) bool {
	b.earn(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *RetryBudget) earn(now time.Time) {
	age := now.Sub(b.at).Seconds()
	if !b.at.IsZero() && age > 0 {
		b.saved = min(b.saved+age*b.MinPerSecond, b.Burst)
	}
	if b.at.Before(now) {
		b.at = now
	}
}
