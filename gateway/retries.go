package gateway

import (
	"sync"
	"time"
)

// RetryLimits bound the requests that reach endpoints once more: in any Window at
// most Ratio of the requests and Extra, over all entries together.
type RetryLimits struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// retryBudget is this entry's part of the limits, for each service. Its lock is
// "gateway.retries" of kernel.LockOrder.
type retryBudget struct {
	mu       sync.Mutex
	limits   RetryLimits
	services map[string]*spending
}

// spending is the requests and repeats of one service within the window.
type spending struct {
	requests []time.Time
	repeats  []time.Time
}

func newRetryBudget(l RetryLimits) *retryBudget {
	return &retryBudget{limits: l, services: map[string]*spending{}}
}

func (b *retryBudget) service(name string) *spending {
	s := b.services[name]
	if s == nil {
		s = &spending{}
		b.services[name] = s
	}
	return s
}

// limit replaces the limits.
func (b *retryBudget) limit(l RetryLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// requested counts a request of a caller.
func (b *retryBudget) requested(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.requests = append(since(s.requests, now.Add(-b.limits.Window)), now)
}

// take spends a repeat if the part of one of so many entries allows it.
func (b *retryBudget) take(now time.Time, service string, entries int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	if b.leftOf(s, now, entries) < 1 {
		return false
	}
	s.repeats = append(s.repeats, now)
	return true
}

// left is how many repeats the part of one of so many entries allows now.
func (b *retryBudget) left(now time.Time, service string, entries int64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leftOf(b.service(service), now, entries)
}

func (b *retryBudget) leftOf(s *spending, now time.Time, entries int64) float64 {
	from := now.Add(-b.limits.Window)
	s.requests, s.repeats = since(s.requests, from), since(s.repeats, from)
	allowed := b.limits.Ratio*float64(len(s.requests)) + float64(b.limits.Extra)/float64(max(entries, 1))
	return allowed - float64(len(s.repeats))
}

// since drops the times before from; the times rise.
func since(times []time.Time, from time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(from) {
		i++
	}
	return times[i:]
}
