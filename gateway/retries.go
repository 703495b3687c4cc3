package gateway

import (
	"slices"
	"sync"
	"time"
)

// RetryLimits limits how often requests are sent to another endpoint: in any Window at
// most Ratio times the number of requests, plus Extra, over all entries together.
type RetryLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// entryListDelay is the time in which all entries have learned of a new one.
const entryListDelay = 5 * time.Second

// entryCount decides among how many entries RetryLimits.Extra is divided, so that the shares never
// add up to more than the whole within a window, whichever entries start, end or are cut off.
type entryCount struct {
	// started is when this process started.
	started time.Time
	// counts are the numbers of entries known, and until when; the last one has no end.
	counts []countUntil
}

// countUntil is a number of entries that was known until a time.
type countUntil struct {
	entries int64
	until   time.Time
}

// record replaces the number of entries known.
func (c *entryCount) record(now time.Time, entries int64, window time.Duration) {
	if n := len(c.counts); n > 0 {
		if c.counts[n-1].entries == entries {
			return
		}
		c.counts[n-1].until = now
	}
	c.counts = append(c.dropBefore(now.Add(-window)), countUntil{entries: entries})
}

// dropBefore drops the numbers that were replaced before from, and returns the others.
func (c *entryCount) dropBefore(from time.Time) []countUntil {
	c.counts = slices.DeleteFunc(c.counts, func(n countUntil) bool { return !n.until.IsZero() && n.until.Before(from) })
	return c.counts
}

// sharing returns the number of entries that share Extra, or 0 if this entry has no share. It has
// none in the first window, because an earlier start of it, or the other entries, may have spent
// the whole. Entries that are gone count for another window, because of what they have spent.
func (c *entryCount) sharing(now time.Time, window time.Duration) int64 {
	if now.Sub(c.started) < window+entryListDelay {
		return 0
	}
	var most int64
	for _, n := range c.dropBefore(now.Add(-window)) {
		most = max(most, n.entries)
	}
	return most
}

// retryBudget is this entry's share of the limits, counted for each service. Its lock
// is "gateway.retries" of kernel.LockOrder.
type retryBudget struct {
	mu       sync.Mutex
	limits   RetryLimits
	entries  entryCount
	services map[string]*serviceUsage
}

// serviceUsage holds the times of one service's requests and retries within the window,
// in ascending order.
type serviceUsage struct {
	requests []time.Time
	retries  []time.Time
}

// newRetryBudget returns the budget of a process that started at the given time.
func newRetryBudget(l RetryLimits, started time.Time) *retryBudget {
	return &retryBudget{limits: l, entries: entryCount{started: started}, services: map[string]*serviceUsage{}}
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

// recordEntries replaces the number of entries known.
func (b *retryBudget) recordEntries(now time.Time, entries int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries.record(now, entries, b.limits.Window)
}

// sharing returns the number of entries that share Extra, or 0 if this entry has no share.
func (b *retryBudget) sharing(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries.sharing(now, b.limits.Window)
}

// trySpend counts a retry and returns true if this entry's share allows it; entries is
// the number of entries that share the limits, or 0 if this entry has no share of Extra.
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

// giveBack undoes the trySpend of a service at a time, for a retry that was not sent.
func (b *retryBudget) giveBack(service string, spent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage(service).remove(spent)
}

// moveTo counts a retry of a service, granted at the time spent, from now on: that is when it is sent.
func (b *retryBudget) moveTo(now time.Time, service string, spent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.usage(service)
	s.remove(spent)
	s.retries = append(s.retries, now)
}

// remove removes a retry, which may have left the window.
func (s *serviceUsage) remove(spent time.Time) {
	if i := slices.IndexFunc(s.retries, spent.Equal); i >= 0 {
		s.retries = slices.Delete(slices.Clone(s.retries), i, i+1)
	}
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
	allowed := b.limits.Ratio * float64(len(s.requests))
	if entries > 0 {
		allowed += b.limits.Extra / float64(entries)
	}
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
