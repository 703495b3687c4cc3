package assign

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
)

// addLoad adds a booking to the loads of its endpoints, or subtracts it if sign is -1.
// It leaves out the endpoint called except.
func (f *Fleet) addLoad(b *Booking, sign int, except string) {
	if m := f.members[b.Primary.Endpoint]; m != nil && b.Primary.Endpoint != except {
		m.running += sign
		m.bookedTokens += int64(sign) * b.Primary.Tokens
		m.countGapTarget(b.EventGapTarget, sign)
		if b.Short {
			m.shortRunning += sign
		}
	}
	for _, p := range b.Helpers {
		if m := f.members[p.Endpoint]; m != nil && p.Endpoint != except {
			m.helping += sign
			m.bookedTokens += int64(sign) * p.Tokens
		}
	}
	if !b.answered {
		f.addUnread(b, sign, except)
	}
}

// addUnread adds the prefill time of a booking to its endpoints other than except, or subtracts it
// if sign is -1.
func (f *Fleet) addUnread(b *Booking, sign int, except string) {
	for _, p := range b.allParts() {
		if m := f.members[p.Endpoint]; m != nil && p.Endpoint != except {
			m.unread += time.Duration(sign) * b.PrefillTime
		}
	}
}

// countGapTarget adds a running request with an event gap target, or removes it if sign is -1.
func (m *member) countGapTarget(target time.Duration, sign int) {
	if target <= 0 {
		return
	}
	if m.gapTargets == nil {
		m.gapTargets = map[time.Duration]int{}
	}
	if m.gapTargets[target] += sign; m.gapTargets[target] <= 0 {
		delete(m.gapTargets, target)
	}
}

// MarkAnswered records that the answer to a request has begun, which shows that its
// prompt is prefilled.
func (f *Fleet) MarkAnswered(owner string, id uint64) {
	if b, ok := f.bookings[bookingKey{owner, id}]; ok && !b.answered {
		f.addUnread(b, -1, "")
		b.answered = true
	}
}

// overdue returns the helpers that count as still busy, because a prefill should have
// ended at least overdueAfter ago and the answer has not begun.
func (f *Fleet) overdue(now time.Time) map[string]bool {
	helpers := map[string]bool{}
	for _, b := range f.groups {
		overdueBy := now.Sub(b.prefillDue)
		if b.answered || overdueBy < overdueAfter || overdueBy > overdueIgnoredAfter {
			continue
		}
		for _, p := range b.Helpers {
			helpers[p.Endpoint] = true
		}
	}
	return helpers
}

// addPrefill adds a prefill to the backlog.
func (m *member) addPrefill(now time.Time, prefill time.Duration) {
	if m.prefillUntil.Before(now) {
		m.prefillUntil = now
	}
	m.prefillUntil = m.prefillUntil.Add(prefill)
}

// backlog is the predicted time until the endpoint has prefilled its booked prompts.
func (m *member) backlog(now time.Time) time.Duration { return max(0, m.prefillUntil.Sub(now)) }

// freeTokens is the KV memory that may still be assigned, in tokens.
func (m *member) freeTokens(now time.Time, e *costmodel.Engine) int64 {
	if now.Before(m.memoryFullUntil) {
		return 0
	}
	return int64(float64(e.MemoryTokens)*usableMemoryFraction) - m.bookedTokens
}

// Load is what this entry knows to run at an endpoint.
type Load struct {
	// Running counts the requests for which it is the primary, ShortRunning those of them with short
	// prompts, and Helping those for which it is a helper.
	Running, ShortRunning, Helping int
	// Backlog is the predicted time until the booked prompts are prefilled.
	Backlog time.Duration
}

// LoadOf returns the load of an endpoint, which is zero if the endpoint is unknown.
func (f *Fleet) LoadOf(now time.Time, name string) Load {
	m := f.members[name]
	if m == nil {
		return Load{}
	}
	return Load{Running: m.running, ShortRunning: m.shortRunning, Helping: m.helping, Backlog: m.backlog(now)}
}
