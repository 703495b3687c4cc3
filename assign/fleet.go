package assign

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
)

// Endpoint is a member of the fleet.
type Endpoint struct {
	Name        string
	Service     string
	Addr        string
	Zone        string
	Incarnation uint64
	Slots       int
	// Leaving endpoints and those of an availability zone that is out take nothing new.
	Leaving bool
	Cold    bool
}

// Part is one endpoint's part of a request.
type Part struct {
	Endpoint string
	// Tokens is the memory that the request takes there.
	Tokens int64
}

// Booking is the work that one request puts on endpoints.
type Booking struct {
	// Primary runs the request, and Helpers read parts of its prompt.
	Primary Part
	Helpers []Part
	// PrefillTime is how long each of them reads.
	PrefillTime time.Duration
	// Short is set for a prompt that one endpoint reads alone within a short pause.
	Short bool

	// prefillDue is when the prompt should be read, and done is set once its answer began.
	prefillDue  time.Time
	answered bool
}

// bookingKey names a booking: the entry that made it and its number there.
type bookingKey struct {
	owner string
	id    uint64
}

// member is an endpoint and the work that entries have given it.
type member struct {
	Endpoint
	// rank orders the endpoints in the same way at every entry.
	rank uint64
	// running counts requests that it runs, and shortRunning those of them with shortRunning prompts.
	running, shortRunning int
	// helping counts the groups in which it only reads.
	helping int
	bookedTokens  int64
	// prefillUntil is when the prompts given to it are read.
	prefillUntil time.Time
	failures  int
	// distrustedUntil is until when it is left alone after failures.
	distrustedUntil time.Time
	// lastAlive is when it last gave this entry a sign of life.
	lastAlive time.Time
	// memoryFullUntil is until when its memory counts as given out, after it said so.
	memoryFullUntil time.Time
	// recentSent are the times of this entry's requests in the last second, and recentPlaced those of
	// all entries.
	recentSent, recentPlaced []time.Time
}

// Fleet is the endpoints and their load, as far as the entries tell one another.
type Fleet struct {
	members  map[string]*member
	zonesOut      map[string]bool
	bookings map[bookingKey]*Booking
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{members: map[string]*member{}, zonesOut: map[string]bool{}, bookings: map[bookingKey]*Booking{}}
}

// Update enters an endpoint. One that started anew has no load and no failures.
func (f *Fleet) Update(e Endpoint) {
	m, ok := f.members[e.Name]
	if ok && m.Incarnation == e.Incarnation && m.Addr == e.Addr {
		m.Endpoint = e
		return
	}
	f.members[e.Name] = &member{Endpoint: e, rank: xxhash.Sum64String(e.Name)}
	for key, b := range f.bookings {
		if b.includes(e.Name) {
			// What the earlier incarnation held is gone.
			delete(f.bookings, key)
			f.addLoad(b, -1, e.Name)
		}
	}
}

// allParts lists the allParts of all endpoints, the first one's before the others.
func (b *Booking) allParts() []Part { return append([]Part{b.Primary}, b.Helpers...) }

// includes reports whether the booking is on the endpoint.
func (b *Booking) includes(endpoint string) bool {
	return slices.ContainsFunc(b.allParts(), func(p Part) bool { return p.Endpoint == endpoint })
}

// Remove drops an endpoint.
func (f *Fleet) Remove(name string) { delete(f.members, name) }

// RetainOnly drops all endpoints but those named.
func (f *Fleet) RetainOnly(names map[string]bool) {
	for name := range f.members {
		if !names[name] {
			delete(f.members, name)
		}
	}
}

// Count returns how many endpoints are known, and how many of them are trusted.
func (f *Fleet) Count(now time.Time) (known, trusted int) {
	for _, m := range f.members {
		if !now.Before(m.distrustedUntil) {
			trusted++
		}
	}
	return len(f.members), trusted
}

// SetZonesOut says which availability zones take no new work.
func (f *Fleet) SetZonesOut(zones map[string]bool) { f.zonesOut = zones }

// Book enters the work of a request that the entry called owner placed; this entry
// itself is "".
func (f *Fleet) Book(now time.Time, owner string, id uint64, b *Booking) {
	key := bookingKey{owner, id}
	if _, ok := f.bookings[key]; ok {
		return
	}
	f.bookings[key] = b
	f.addLoad(b, 1, "")
	b.prefillDue = now
	for _, p := range b.allParts() {
		if m := f.members[p.Endpoint]; m != nil {
			m.addPrefill(now, b.PrefillTime)
			b.prefillDue = later(b.prefillDue, m.prefillUntil)
		}
	}
	if m := f.members[b.Primary.Endpoint]; m != nil {
		m.recentPlaced = append(keepLastSecond(now, m.recentPlaced), now)
		if owner == "" {
			m.recentSent = append(keepLastSecond(now, m.recentSent), now)
		}
	}
}

// EndBooking takes a booking back. One that is not there was taken back before. Unread is set
// when its prompt has not been read and will not be.
func (f *Fleet) EndBooking(owner string, id uint64, unread bool) {
	key := bookingKey{owner, id}
	b, ok := f.bookings[key]
	if !ok {
		return
	}
	delete(f.bookings, key)
	f.addLoad(b, -1, "")
	if !unread {
		return
	}
	for _, p := range b.allParts() {
		if m := f.members[p.Endpoint]; m != nil {
			m.prefillUntil = m.prefillUntil.Add(-b.PrefillTime)
		}
	}
}

// EndAll takes back all bookings of an entry that is gone or out of reach.
func (f *Fleet) EndAll(owner string) {
	for key, b := range f.bookings {
		if key.owner == owner {
			delete(f.bookings, key)
			f.addLoad(b, -1, "")
		}
	}
}

// addLoad adds a booking to its endpoints' loads, or takes it off with sign -1, but for
// the endpoint called except.
func (f *Fleet) addLoad(b *Booking, sign int, except string) {
	if m := f.members[b.Primary.Endpoint]; m != nil && b.Primary.Endpoint != except {
		m.running += sign
		m.bookedTokens += int64(sign) * b.Primary.Tokens
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
}

// MarkAnswered notes that the answer to a request has begun, so that its prompt is read.
func (f *Fleet) MarkAnswered(owner string, id uint64) {
	if b, ok := f.bookings[bookingKey{owner, id}]; ok {
		b.answered = true
	}
}

// overdue returns the endpoints that still read what they should have read by now.
func (f *Fleet) overdue(now time.Time) map[string]bool {
	late := map[string]bool{}
	for _, b := range f.bookings {
		past := now.Sub(b.prefillDue)
		if b.answered || past < overdueAfter || past > overdueIgnoredAfter {
			continue
		}
		for _, p := range b.Helpers {
			late[p.Endpoint] = true
		}
	}
	return late
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (m *member) addPrefill(now time.Time, share time.Duration) {
	if m.prefillUntil.Before(now) {
		m.prefillUntil = now
	}
	m.prefillUntil = m.prefillUntil.Add(share)
}

// backlog is the reading that is ahead of a new prompt.
func (m *member) backlog(now time.Time) time.Duration { return max(0, m.prefillUntil.Sub(now)) }

// freeTokens is the memory that may still be given out.
func (m *member) freeTokens(now time.Time, e *costmodel.Engine) int64 {
	if now.Before(m.memoryFullUntil) {
		return 0
	}
	return int64(float64(e.MemoryTokens)*usableMemoryFraction) - m.bookedTokens
}

// withinColdLimit bounds the requests to an endpoint that may be cold without a word.
func (m *member) withinColdLimit(now time.Time, r *Request) bool {
	m.recentSent, m.recentPlaced = keepLastSecond(now, m.recentSent), keepLastSecond(now, m.recentPlaced)
	switch {
	case r.ColdRateShare > 0:
		return float64(len(m.recentSent)+1) <= max(r.ColdRateShare, 1)
	case r.ColdRateLimit > 0:
		return float64(len(m.recentPlaced)+1) <= max(r.ColdRateLimit, 1)
	}
	return true
}

// keepLastSecond drops the times that are a second old; the times rise.
func keepLastSecond(now time.Time, times []time.Time) []time.Time {
	return slices.DeleteFunc(times, func(t time.Time) bool { return now.Sub(t) >= time.Second })
}

// MarkAlive notes a sign of life of an endpoint.
func (f *Fleet) MarkAlive(now time.Time, name string) {
	if m := f.members[name]; m != nil {
		m.failures = 0
		m.lastAlive = now
	}
}

// AliveSince reports whether an endpoint gave a sign of life after from.
func (f *Fleet) AliveSince(from time.Time, name string) bool {
	m := f.members[name]
	return m != nil && m.lastAlive.After(from)
}

// MarkMemoryFull notes that an endpoint had no memory to set aside.
func (f *Fleet) MarkMemoryFull(now time.Time, name string) {
	if m := f.members[name]; m != nil {
		m.memoryFullUntil = now.Add(rejectionBackoff)
	}
}

// MarkFailed notes that an endpoint failed and returns for how long it is left alone.
func (f *Fleet) MarkFailed(now time.Time, name string) time.Duration {
	m := f.members[name]
	if m == nil {
		return 0
	}
	span := min(minDistrust<<min(m.failures, maxDistrustDoublings), maxDistrust)
	m.failures++
	m.distrustedUntil = now.Add(span)
	return span
}

// MarkBusy notes that an endpoint had no room.
func (f *Fleet) MarkBusy(now time.Time, name string) {
	if m := f.members[name]; m != nil {
		m.prefillUntil = now.Add(max(m.backlog(now), rejectionBackoff))
	}
}

// ResolveBooking rebuilds an assignment that another entry made. It reports false when an
// endpoint is not known here.
func (f *Fleet) ResolveBooking(b *Booking) (*Assignment, bool) {
	first := f.members[b.Primary.Endpoint]
	if first == nil {
		return nil, false
	}
	a := &Assignment{Primary: first.Endpoint, Booking: *b}
	for _, p := range b.Helpers {
		m := f.members[p.Endpoint]
		if m == nil {
			return nil, false
		}
		a.Helpers = append(a.Helpers, m.Endpoint)
	}
	return a, true
}

// FindAddr returns the name of the endpoint at an address.
func (f *Fleet) FindAddr(addr string) (string, bool) {
	for name, m := range f.members {
		if m.Addr == addr {
			return name, true
		}
	}
	return "", false
}

// byRank compares endpoints by their order, which all entries share.
func byRank(a, b *member) int {
	switch {
	case a.rank < b.rank:
		return -1
	case a.rank > b.rank:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}
