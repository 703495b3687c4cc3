package assign

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// Endpoint is a process that serves requests of one service.
type Endpoint struct {
	Name    string
	Service string
	Addr    string
	Zone    string
	// Incarnation distinguishes the starts of an endpoint. Slots is how many requests
	// it runs at once; 0 means no limit.
	Incarnation uint64
	Slots       int
	// Leaving endpoints get no new requests, and neither do those of an availability
	// zone that is out of service. Cold endpoints have not warmed up yet.
	Leaving bool
	Cold    bool
	// LearnedAt is when this entry learned of the incarnation.
	LearnedAt time.Time
}

// Part is the share of one endpoint in a request.
type Part struct {
	Endpoint string
	// Tokens is the KV memory that the request takes at the endpoint.
	Tokens int64
}

// Booking is the load that one request puts on endpoints.
type Booking struct {
	// Primary decodes the answer, and Helpers prefill parts of the prompt.
	Primary Part
	Helpers []Part
	// PrefillTime is the predicted prefill time at each of these endpoints.
	PrefillTime time.Duration
	// Short is set for a prompt that one endpoint prefills alone.
	Short bool
	// EventGapTarget is the longest gap between two events of the answer that its caller wants; 0
	// means none.
	EventGapTarget time.Duration

	// prefillDue is the predicted end of the prefill, and answered is set once the
	// answer has begun.
	prefillDue time.Time
	answered   bool
}

// bookingKey identifies a booking by the entry that made it and its ID there.
type bookingKey struct {
	owner string
	id    uint64
}

// member is an endpoint and the load that entries have placed on it.
type member struct {
	Endpoint
	// rank orders the endpoints in the same way at every entry.
	rank uint64
	// elsewhere is set if entries of another cell choose the endpoint.
	elsewhere bool
	// running counts the requests for which the endpoint is the primary, and
	// shortRunning those of them with short prompts.
	running, shortRunning int
	// helping counts the requests for which the endpoint is a helper.
	helping int
	// gapTargets counts the running requests by their event gap target.
	gapTargets map[time.Duration]int
	// unread is the prefill time of the parts whose answers have not begun. An engine that decodes
	// starts to read them only when a run of steps ends, so unlike the backlog they do not
	// get less as time passes.
	unread time.Duration
	// bookedTokens is the KV memory of the bookings at the endpoint.
	bookedTokens int64
	// prefillUntil is the predicted time at which the prompts booked so far are
	// prefilled.
	prefillUntil time.Time
	// failures counts consecutive failures. The endpoint is avoided until
	// distrustedUntil.
	failures        int
	distrustedUntil time.Time
	// slowUntil is when the last report that the endpoint is slow ends to count.
	slowUntil time.Time
	// lastAlive is when the endpoint last showed activity to this entry.
	lastAlive time.Time
	// memoryFullUntil is when the memory stops counting as full after a refused
	// reservation.
	memoryFullUntil time.Time
	// limit is the request rate that the endpoint names, and coldRate the one that its
	// service bears when cold; zero means none. The pacer keeps requests to the lower one.
	limit    namedLimit
	coldRate float64
	pace     pacer
	pause    pause
}

// Fleet holds the known endpoints and the load that this entry and its peers have
// booked on them. It has no lock; the caller serialises the calls.
type Fleet struct {
	members map[string]*member
	// choices caches the result of choicesOf by service.
	choices  map[string][]*member
	zonesOut map[string]bool
	bookings map[bookingKey]*Booking
	// groups are the bookings with helpers.
	groups  map[bookingKey]*Booking
	sharing Sharing
	// cells is the division of the deployment; nil if there is none.
	cells *Cells
	// coldRates are the rates that endpoints bear when cold, by service.
	coldRates map[string]float64
	// unplacedLimits are the limits of incarnations that are not known yet, by endpoint.
	unplacedLimits map[string]Limit
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{
		members: map[string]*member{}, choices: map[string][]*member{}, zonesOut: map[string]bool{}, bookings: map[bookingKey]*Booking{}, groups: map[bookingKey]*Booking{},
		sharing: Sharing{Entries: 1, Connected: true}, unplacedLimits: map[string]Limit{},
	}
}

// Update adds or changes an endpoint. An endpoint with a new incarnation or address
// starts without load and failures. An incarnation that leaves does so until it ends: a list that says
// otherwise is older.
func (f *Fleet) Update(e Endpoint) {
	clear(f.choices)
	m, ok := f.members[e.Name]
	e.Leaving = e.Leaving || ok && m.Incarnation == e.Incarnation && m.leavesByList()
	if ok && m.Incarnation == e.Incarnation && m.Addr == e.Addr {
		e.LearnedAt = m.LearnedAt
		m.Endpoint, m.elsewhere = e, f.isElsewhere(&e)
		return
	}
	m = &member{Endpoint: e, rank: xxhash.Sum64String(e.Name), elsewhere: f.isElsewhere(&e), coldRate: f.coldRates[e.Service]}
	f.placeLimit(m)
	f.members[e.Name] = m
	for key, b := range f.bookings {
		if b.includes(e.Name) {
			// The load and memory of the earlier incarnation ended with it.
			f.forget(key)
			f.addLoad(b, -1, e.Name)
		}
	}
}

// allParts lists the parts of all endpoints, the primary's first.
func (b *Booking) allParts() []Part { return append([]Part{b.Primary}, b.Helpers...) }

// includes reports whether the endpoint has a part in the booking.
func (b *Booking) includes(endpoint string) bool {
	return slices.ContainsFunc(b.allParts(), func(p Part) bool { return p.Endpoint == endpoint })
}

// Remove removes an endpoint. What it has said is kept, because a list that lacks it, or the next one that
// has it, may be older.
func (f *Fleet) Remove(name string) {
	if m := f.members[name]; m != nil {
		said := m.currentLimit()
		said.Leaving = said.Leaving || m.leavesByList()
		if said.Version > 0 || said.Leaving {
			f.keepUnplaced(said)
		}
	}
	delete(f.members, name)
	clear(f.choices)
}

// choicesOf returns the endpoints of a service that the entries of this cell choose, sorted by rank.
func (f *Fleet) choicesOf(service string) []*member {
	choices, ok := f.choices[service]
	if ok {
		return choices
	}
	for _, m := range f.members {
		if m.Service == service && !m.elsewhere {
			choices = append(choices, m)
		}
	}
	slices.SortFunc(choices, byRank)
	f.choices[service] = choices
	return choices
}

// RetainOnly removes all endpoints except those in names.
func (f *Fleet) RetainOnly(names map[string]bool) {
	for name := range f.members {
		if !names[name] {
			f.Remove(name)
		}
	}
}

// Count returns the number of known endpoints, and of those that are not distrusted
// after failures.
func (f *Fleet) Count(now time.Time) (known, trusted int) {
	for _, m := range f.members {
		if !now.Before(m.distrustedUntil) {
			trusted++
		}
	}
	return len(f.members), trusted
}

// Leaving reports whether an endpoint is leaving.
func (f *Fleet) Leaving(name string) bool {
	m := f.members[name]
	return m != nil && m.leaves()
}

// SetZonesOut replaces the set of availability zones that are out of service.
func (f *Fleet) SetZonesOut(zones map[string]bool) { f.zonesOut = zones }

// Book adds a booking of the entry called owner, which is "" for this entry, for which
// another entry has chosen the endpoints. A booking that is already known is ignored.
func (f *Fleet) Book(now time.Time, owner string, id uint64, b *Booking) {
	if f.add(now, owner, id, b) {
		f.recordSends(now, b, false)
	}
}

// Place is Book for endpoints that this entry has chosen.
func (f *Fleet) Place(now time.Time, owner string, id uint64, b *Booking) {
	if f.add(now, owner, id, b) {
		f.recordSends(now, b, true)
	}
}

// Restore adds a booking whose requests were sent some time ago. They do not count against
// the rates of its endpoints.
func (f *Fleet) Restore(now time.Time, owner string, id uint64, b *Booking) { f.add(now, owner, id, b) }

// add adds a booking to the loads, and reports whether it was not known.
func (f *Fleet) add(now time.Time, owner string, id uint64, b *Booking) bool {
	key := bookingKey{owner, id}
	if _, ok := f.bookings[key]; ok {
		return false
	}
	f.bookings[key] = b
	if len(b.Helpers) > 0 {
		f.groups[key] = b
	}
	f.addLoad(b, 1, "")
	b.prefillDue = now
	for _, p := range b.allParts() {
		if m := f.members[p.Endpoint]; m != nil {
			m.addPrefill(now, b.PrefillTime)
			b.prefillDue = later(b.prefillDue, m.prefillUntil)
		}
	}
	return true
}

// forget removes a booking from the lists.
func (f *Fleet) forget(key bookingKey) {
	delete(f.bookings, key)
	delete(f.groups, key)
}

// EndBooking removes a booking; an unknown one is ignored. The argument unprefilled is set
// when the prompt was not prefilled and will not be.
func (f *Fleet) EndBooking(owner string, id uint64, unprefilled bool) {
	key := bookingKey{owner, id}
	b, ok := f.bookings[key]
	if !ok {
		return
	}
	f.forget(key)
	f.addLoad(b, -1, "")
	if !unprefilled {
		return
	}
	for _, p := range b.allParts() {
		if m := f.members[p.Endpoint]; m != nil {
			m.prefillUntil = m.prefillUntil.Add(-b.PrefillTime)
		}
	}
}

// EndAll removes all bookings of the entry called owner.
func (f *Fleet) EndAll(owner string) {
	for key, b := range f.bookings {
		if key.owner == owner {
			f.forget(key)
			f.addLoad(b, -1, "")
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// MarkAlive records activity of an endpoint and resets its failures.
func (f *Fleet) MarkAlive(now time.Time, name string) {
	if m := f.members[name]; m != nil {
		m.failures = 0
		m.lastAlive = now
		if !m.paused(now) {
			m.pause.trial = false
		}
	}
}

// AliveSince reports whether an endpoint showed activity after from.
func (f *Fleet) AliveSince(from time.Time, name string) bool {
	m := f.members[name]
	return m != nil && m.lastAlive.After(from)
}

// MarkMemoryFull records that an endpoint refused a reservation for lack of memory.
func (f *Fleet) MarkMemoryFull(now time.Time, name string) {
	if m := f.members[name]; m != nil {
		m.memoryFullUntil = now.Add(rejectionBackoff)
	}
}

// MemoryFull lists the endpoints that have refused a reservation a moment ago.
func (f *Fleet) MemoryFull(now time.Time) []string {
	var names []string
	for _, m := range f.members {
		if now.Before(m.memoryFullUntil) {
			names = append(names, m.Name)
		}
	}
	return names
}

// MarkFailed records a failure of an endpoint and returns for how long it is
// distrusted.
func (f *Fleet) MarkFailed(now time.Time, name string) time.Duration {
	m := f.members[name]
	if m == nil {
		return 0
	}
	duration := min(minDistrust<<min(m.failures, maxDistrustDoublings), maxDistrust)
	m.failures++
	m.distrustedUntil = now.Add(duration)
	return duration
}

// MarkBusy records that an endpoint refused a request for lack of capacity.
func (f *Fleet) MarkBusy(now time.Time, name string) {
	if m := f.members[name]; m != nil {
		m.prefillUntil = now.Add(max(m.backlog(now), rejectionBackoff))
	}
}

// ResolveBooking returns the assignment for a booking that another entry made. It
// returns false if the booking names an unknown endpoint.
func (f *Fleet) ResolveBooking(b *Booking) (*Assignment, bool) {
	primary := f.members[b.Primary.Endpoint]
	if primary == nil {
		return nil, false
	}
	a := &Assignment{Primary: primary.Endpoint, Booking: *b}
	for _, p := range b.Helpers {
		m := f.members[p.Endpoint]
		if m == nil {
			return nil, false
		}
		a.Helpers = append(a.Helpers, m.Endpoint)
	}
	return a, true
}

// Withdrawn returns the first endpoint of an assignment that must not get the request by what is
// known now, and the reason. The reason is empty if there is none. Others may have made the
// assignment, or it may have been made before the endpoints changed.
func (f *Fleet) Withdrawn(now time.Time, a *Assignment, r *Request) (endpoint string, reason verdict.Reason) {
	for _, e := range append([]Endpoint{a.Primary}, a.Helpers...) {
		m := f.members[e.Name]
		switch {
		case m == nil:
			return e.Name, verdict.ReasonEndpointLost
		case m.Incarnation != e.Incarnation || m.Addr != e.Addr:
			return e.Name, verdict.ReasonEndpointRestarted
		case f.zonesOut[m.Zone]:
			return e.Name, verdict.ReasonZoneOut
		case m.leaves():
			return e.Name, verdict.ReasonEndpointLeaving
		case m.paused(now):
			return e.Name, verdict.ReasonOverloaded
		case !f.serves(m, r):
			return e.Name, verdict.ReasonNoEndpoint
		}
	}
	return "", ""
}

// Replaced reports whether a later incarnation has taken the name or the address of an endpoint.
func (f *Fleet) Replaced(e Endpoint) bool {
	for _, m := range f.members {
		if (m.Name == e.Name || m.Addr == e.Addr) && m.Incarnation > e.Incarnation {
			return true
		}
	}
	return false
}

// AtAddr returns the endpoint at an address.
func (f *Fleet) AtAddr(addr string) (Endpoint, bool) {
	for _, m := range f.members {
		if m.Addr == addr {
			return m.Endpoint, true
		}
	}
	return Endpoint{}, false
}

// byRank compares endpoints by rank, in the order that all entries share.
func byRank(a, b *member) int {
	switch {
	case a.rank < b.rank:
		return -1
	case a.rank > b.rank:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}
