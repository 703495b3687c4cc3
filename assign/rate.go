package assign

import "time"

const (
	// minRate is the lowest rate that an endpoint is held to, in requests per second. Answers
	// are what ends a limit, so an endpoint that names less still gets a request now and then.
	minRate = 0.1
	// maxRate is the highest rate that an endpoint is held to.
	maxRate = 1e5
)

// heldRate returns the rate to which an endpoint is held if it asks for the given one.
func heldRate(perSecond float64) float64 { return min(max(perSecond, minRate), maxRate) }

// rate returns how many requests per second the endpoint takes from all entries together:
// the lower one of the limit that it names and the rate that its service bears when cold.
// Zero means that it is not limited.
func (m *member) rate() float64 {
	if m.limit.perSecond > 0 && (m.coldRate == 0 || m.limit.perSecond < m.coldRate) {
		return m.limit.perSecond
	}
	return m.coldRate
}

// contention returns how likely other entries are to choose the endpoint in the same moment. Where
// endpoints name limits, their requests are scarce, and a long prompt takes several of them.
func (r *Request) contention(m *member) contention {
	switch {
	case m.limit.perSecond > 0:
		return contended
	case r.grouped():
		return soleChooser
	}
	return contended
}

// rateWait returns how long this entry has to wait before the endpoint may get the request from it.
func (f *Fleet) rateWait(now time.Time, m *member, r *Request) time.Duration {
	rate := m.rate()
	if rate == 0 {
		return 0
	}
	return m.pace.wait(now, &f.sharing, rate, m.rank, r.contention(m))
}

// SetSharing replaces what is known of the other entries.
func (f *Fleet) SetSharing(s Sharing) { f.sharing = s }

// Sharing returns what is known of the other entries.
func (f *Fleet) Sharing() Sharing { return f.sharing }

// SetColdRates replaces the rates that endpoints bear when they are cold, in requests per
// second by service. They bind all endpoints, because one may be cold without saying so.
func (f *Fleet) SetColdRates(rates map[string]float64) {
	f.coldRates = map[string]float64{}
	for service, rate := range rates {
		if rate > 0 {
			f.coldRates[service] = heldRate(rate)
		}
	}
	for _, m := range f.members {
		m.coldRate = f.coldRates[m.Service]
	}
}

// recordSends counts the requests of a booking against the rates of its endpoints. The
// argument here is set if this entry has chosen the endpoints.
func (f *Fleet) recordSends(now time.Time, b *Booking, here bool) {
	for i, p := range b.allParts() {
		m := f.members[p.Endpoint]
		if m == nil || m.rate() == 0 {
			continue
		}
		n := m.sends(p, i > 0)
		if n == 0 {
			continue
		}
		if here {
			m.pace.takeTurn(now, &f.sharing, m.rate(), m.rank)
		}
		m.pace.record(now, m.rate(), n)
	}
}

// sends returns how many requests a part of a booking counts for. The part of a helper counts
// only against a limit that the endpoint names: a cold endpoint is loaded by its own requests.
func (m *member) sends(p Part, helper bool) int {
	switch {
	case !helper:
		return 1
	case m.limit.perSecond == 0:
		return 0
	case p.Tokens > 0:
		return 1 + ticketSends
	}
	return 1
}

// RecordHealthCheck counts a health check against the limit that an endpoint names.
func (f *Fleet) RecordHealthCheck(now time.Time, endpoint string) {
	if m := f.members[endpoint]; m != nil && m.limit.perSecond > 0 {
		m.pace.record(now, m.rate(), 1)
	}
}

// LimitWait forecasts how long a request waits that only the rates and pauses of the endpoints keep
// waiting; ahead is the number of requests that wait before it. Zero means that something else
// keeps it waiting, or nothing.
func (f *Fleet) LimitWait(now time.Time, r *Request, ahead int) time.Duration {
	blocked := f.rateLimited(now, r)
	if blocked.endpoints == 0 || len(f.eligible(now, r, false)) > 0 {
		return 0
	}
	if blocked.unlimited {
		return blocked.wait
	}
	own := blocked.rate / float64(f.activeEntries(r.Service))
	return blocked.wait + time.Duration(float64(ahead)/own*float64(time.Second))
}

// rateBlock describes the endpoints that only their rates and pauses exclude.
type rateBlock struct {
	endpoints int
	// unlimited is set if one of them pauses and has no rate.
	unlimited bool
	// rate is the sum of their rates, and wait the time until the first may be used.
	rate float64
	wait time.Duration
}

// rateLimited returns the endpoints that only their rates and pauses exclude for the request.
func (f *Fleet) rateLimited(now time.Time, r *Request) rateBlock {
	var out rateBlock
	for _, m := range f.choicesOf(r.Service) {
		if !f.serves(m, r) {
			continue
		}
		if wait := f.sendWait(now, m, r); wait > 0 {
			if out.endpoints == 0 || wait < out.wait {
				out.wait = wait
			}
			out.endpoints++
			out.rate += m.rate()
			out.unlimited = out.unlimited || m.rate() == 0
		}
	}
	return out
}

// activeEntries returns the number of entries with requests at a service, this one included.
func (f *Fleet) activeEntries(service string) int {
	owners := map[string]bool{"": true}
	for key, b := range f.bookings {
		if m := f.members[b.Primary.Endpoint]; m != nil && m.Service == service {
			owners[key.owner] = true
		}
	}
	return len(owners)
}

// LimitedCount returns the number of endpoints that name a limit.
func (f *Fleet) LimitedCount() int {
	n := 0
	for _, m := range f.members {
		if m.limit.perSecond > 0 {
			n++
		}
	}
	return n
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// mayHelp reports whether the endpoint may read a part of a prompt whose primary is another one.
// One that names a limit needs all requests for it at once, so that long prompts do not use up
// what it takes from others.
func (m *member) mayHelp(now time.Time) bool {
	if m.limit.perSecond == 0 {
		return true
	}
	next := later(m.pace.next, now.Add(-paceTolerance))
	return !next.Add(ticketSends * interval(m.rate())).After(now)
}
