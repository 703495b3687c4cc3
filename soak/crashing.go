package soak

import (
	"slices"
	"time"
)

const (
	// crashesBeforeRefusal is the number of crashes after which a request must be refused, and
	// partCrashesBeforeRefusal the number after which all requests with a part must be.
	crashesBeforeRefusal     = 3
	partCrashesBeforeRefusal = 5
	// maxLateArrivals is the number of arrivals that are allowed once the crashes must be
	// known to all entries.
	maxLateArrivals = 3
)

// crashingContent is what the checker knows of a request that crashes endpoints.
type crashingContent struct {
	crashes int
	// lastCounted is the time of the crash after which the request must be refused, or of the last one if
	// there were fewer.
	lastCounted time.Time
	// arrivals counts all arrivals, and late those that came too late.
	arrivals, late int
	// before and after count the sound requests beside it: those sent before the first crash, and
	// those sent once the crashes must be known to all entries.
	before, after share
}

// Crashed records that an endpoint ended while it ran request id.
func (c *Checker) Crashed(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	content := c.crashingContent(r.Content)
	content.crashes++
	if content.crashes <= r.crashLimit() {
		content.lastCounted = now
	}
}

// crashingContent returns what is known of a content, which may not have crashed anything yet. The
// caller holds mu.
func (c *Checker) crashingContent(name string) *crashingContent {
	content := c.crashing[name]
	if content == nil {
		content = &crashingContent{}
		c.crashing[name] = content
	}
	return content
}

// crashLimit returns the number of crashes after which the request must be refused.
func (r *Request) crashLimit() int {
	if r.PartCrashes {
		return partCrashesBeforeRefusal
	}
	return crashesBeforeRefusal
}

// Crashes returns the number of endpoints that ended under the request with this content, and
// the number of its arrivals.
func (c *Checker) Crashes(content string) (crashes, arrivals int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.crashing[content]; known != nil {
		return known.crashes, known.arrivals
	}
	return 0, 0
}

// checkCrashing checks the arrival of a request whose content has crashed endpoints. The
// caller holds mu.
func (c *Checker) checkCrashing(now time.Time, r *trackedRequest, endpoint string) {
	content := c.crashing[r.Content]
	if !r.Crashes || content == nil {
		return
	}
	content.arrivals++
	if content.crashes < r.crashLimit() || now.Sub(content.lastCounted) <= c.bounds.Reconnect || !now.After(c.boundsSuspended) {
		return
	}
	content.late++
	if content.late > maxLateArrivals {
		c.addFinding(now, PromiseCrashing, "request %s reached endpoint %s %v after %q had crashed endpoint number %d; %d endpoints have ended under it",
			r.ID, endpoint, now.Sub(content.lastCounted), r.Content, r.crashLimit(), content.crashes)
	}
}

// Quarantined records that request id was refused because its content crashes endpoints.
func (c *Checker) Quarantined(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil && !r.Crashes {
		c.addFinding(now, PromiseInnocent, "request %s to %q crashes no endpoint and was refused as if it did", id, r.Path)
	}
}

// RetryBounds limits how often requests arrive at a service again: in any Window at most Ratio
// times the requests that callers sent for it, plus Extra.
type RetryBounds struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// arrivalTimes are the times in the last two windows at which requests for a service were sent, and
// arrived there again.
type arrivalTimes struct{ sent, repeated []time.Time }

// retriesOf returns the times of a service. The caller holds mu.
func (c *Checker) retriesOf(service string) *arrivalTimes {
	s := c.retries[service]
	if s == nil {
		s = &arrivalTimes{}
		c.retries[service] = s
	}
	return s
}

// recordSent counts a request for a service. The caller holds mu.
func (c *Checker) recordSent(now time.Time, service string) {
	s := c.retriesOf(service)
	s.sent = append(keepSince(s.sent, now.Add(-2*c.bounds.Retries.Window)), now)
}

// onlyService returns the service of a request, and false if configurations route it to several.
func (r *Request) onlyService() (service string, ok bool) {
	for service = range r.Services {
		return service, len(r.Services) == 1
	}
	return "", false
}

// Arrived records that request id reached an endpoint of a service, whether it runs or not, and
// checks the limits on retries.
func (c *Checker) Arrived(now time.Time, id, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bounds.Retries
	r := c.requests[id]
	if b.Window == 0 || r == nil {
		return
	}
	s := c.retriesOf(service)
	r.arrivals++
	if r.arrivals == 1 {
		if _, counted := r.onlyService(); !counted {
			c.recordSent(now, service)
		}
		return
	}
	s.repeated = append(keepSince(s.repeated, now.Add(-b.Window)), now)
	// Retries may follow the requests that they belong to by up to a window.
	requests := max(countBetween(s.sent, now.Add(-b.Window), now), countBetween(s.sent, now.Add(-2*b.Window), now.Add(-b.Window)),
		countBetween(s.sent, now.Add(-3*b.Window/2), now.Add(-b.Window/2)))
	if allowed := b.Ratio*float64(requests) + float64(b.Extra); float64(len(s.repeated)) > allowed {
		c.addFinding(now, PromiseRetries, "service %s got %d repeated arrivals in %v; %.0f are allowed for %d requests", service, len(s.repeated), b.Window, allowed, requests)
	}
}

// keepSince returns the ascending times that are not before from.
func keepSince(times []time.Time, from time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	return times[i:]
}

// countBetween returns how many of the ascending times are in [from, to].
func countBetween(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, found := slices.BinarySearchFunc(times, to, time.Time.Compare)
	if found {
		last++
	}
	return last - first
}
