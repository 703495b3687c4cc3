package gateway

import (
	"sync"
	"time"
)

// RetryLimits limits how often requests are sent to another endpoint: in any Window at
// most Ratio times the number of requests, plus Extra, over all entries together.
type RetryLimits struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// retryBudget is this entry's share of the limits, counted for each service. Its lock
// is "gateway.retries" of kernel.LockOrder.
type retryBudget struct {
	mu       sync.Mutex
	limits   RetryLimits
	services map[string]*serviceUsage
}

// serviceUsage holds the times of one service's requests and retries within the window,
// in ascending order.
type serviceUsage struct {
	requests []time.Time
	retries  []time.Time
}

func newRetryBudget(l RetryLimits) *retryBudget {
	return &retryBudget{limits: l, services: map[string]*serviceUsage{}}
}

// usage returns the usage of a service. The caller holds b.mu.
func (b *retryBudget) usage(name string) *serviceUsage {
	s := b.services[name]
	if s == nil {
		s = &serviceUsage{}
		b.services[name] = s
	}
	return s
}

// setLimits replaces the limits.
func (b *retryBudget) setLimits(l RetryLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// recordRequest counts a request of a caller.
func (b *retryBudget) recordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.usage(service)
	s.requests = append(dropBefore(s.requests, now.Add(-b.limits.Window)), now)
}

// trySpend counts a retry and returns true if this entry's share allows it; entries is
// the number of entries that share the limits.
func (b *retryBudget) trySpend(now time.Time, service string, entries int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.usage(service)
	if b.remainingLocked(s, now, entries) < 1 {
		return false
	}
	s.retries = append(s.retries, now)
	return true
}

// remaining returns how many retries this entry's share allows now.
func (b *retryBudget) remaining(now time.Time, service string, entries int64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remainingLocked(b.usage(service), now, entries)
}

// remainingLocked is remaining for callers that hold b.mu.
func (b *retryBudget) remainingLocked(s *serviceUsage, now time.Time, entries int64) float64 {
	from := now.Add(-b.limits.Window)
	s.requests, s.retries = dropBefore(s.requests, from), dropBefore(s.retries, from)
	allowed := b.limits.Ratio*float64(len(s.requests)) + float64(b.limits.Extra)/float64(max(entries, 1))
	return allowed - float64(len(s.retries))
}

// dropBefore returns the ascending times without those before from.
func dropBefore(times []time.Time, from time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(from) {
		i++
	}
	return times[i:]
}
