package assign

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// paceTolerance is for how long an unused right to send stays valid, and turnTolerance
	// for how long an unused turn does.
	paceTolerance = 300 * time.Millisecond
	turnTolerance = 500 * time.Millisecond
	// ClaimSlot is the time in which a booking reaches the other entries. Rights to send and free slots are
	// claimed by a few entries at a time.
	ClaimSlot = 20 * time.Millisecond
	// extraClaimants and extraClaimantsPerRate, which is per request per second, are how many entries
	// more than there are rights to send may claim one in a slot. Bookings of two slots cross, so that
	// all entries together may send more than the rate: in a span W of a second and more, at
	// most rate * (W + 0.5 s) + 5 requests.
	extraClaimants        = 1
	extraClaimantsPerRate = 0.1
	// ticketSends is how many requests a memory reservation adds to a part of a prompt: the
	// order that makes it and the one that ends it.
	ticketSends = 2
)

// Sharing is what an entry knows of the entries with which it shares the limits of endpoints.
type Sharing struct {
	// Entries is the number of entries, and Position the index of this one in an order that
	// is the same at all of them.
	Entries, Position int
	// Connected is set while all others send their bookings to this one.
	Connected bool
	// SettledFrom is the time from which all entries know one another. Until then this one
	// lets the others go first.
	SettledFrom time.Time
}

// contention says how likely other entries are to use the same right to send in the same moment.
type contention int

const (
	// contended requests may be sent by any entry.
	contended contention = iota
	// soleChooser is for requests that one entry places for all.
	soleChooser
)

// pacer limits the requests to one endpoint. It has two modes.
//
// While the entries hear one another's bookings, they share one count: next is the time from
// which the endpoint takes another request, and every entry advances it with each booking,
// its own or heard. So that entries with waiting requests do not all use the same right to
// send, only a few of them may use it in each slot of time, and others in the next one. What has gathered
// while the endpoint was idle is used by all of them, each a share in a slot.
//
// An entry that does not hear all others sends only in its own turns. Those of all entries are
// spaced evenly by the time of day, so that together they do not exceed the rate either. A
// turn that is not used within turnTolerance is lost.
type pacer struct {
	next time.Time
	// usedTurn is the time of the latest own turn that was used.
	usedTurn time.Time
	// claims is the number of requests that this entry has sent in the slot of time claimedSlot.
	claimedSlot int64
	claims      int
}

// interval is the time between two requests at a rate per second.
func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// record counts n requests.
func (p *pacer) record(now time.Time, rate float64, n int) {
	p.next = later(p.next, now.Add(-paceTolerance)).Add(time.Duration(n) * interval(rate))
}

// takeTurn counts a request of this entry, and uses the earliest own turn that is still valid.
func (p *pacer) takeTurn(now time.Time, s *Sharing, rate float64, phase uint64) {
	if slot := slotOf(now); slot != p.claimedSlot {
		p.claimedSlot, p.claims = slot, 0
	}
	p.claims++
	if turn, ok := p.turn(now, s, rate, phase); ok {
		p.usedTurn = turn
	}
}

// wait returns how long the entry has to wait before it may send a request; zero means that it
// may send now. Where others are likely to choose the endpoint in the same moment, only the entries
// that the slot of time belongs to may use a right; contention says how likely that is.
func (p *pacer) wait(now time.Time, s *Sharing, rate float64, phase uint64, c contention) time.Duration {
	next := later(p.next, now.Add(-paceTolerance))
	if now.Before(s.SettledFrom) {
		next = next.Add(paceTolerance)
	}
	wait := max(0, next.Sub(now))
	switch {
	case s.Entries <= 1:
		return wait
	case !s.Connected:
		if turn, ok := p.turn(now, s, rate, phase); !ok {
			wait = max(wait, turn.Sub(now))
		}
		return wait
	case wait > 0 || c == soleChooser:
		return wait
	}
	rights := 1 + int(now.Sub(next)/interval(rate))
	claimants := rights + extraClaimants + int(extraClaimantsPerRate*rate)
	if p.claimedSlot == slotOf(now) && p.claims >= max(1, claimants/s.Entries) {
		return slotEnd(now)
	}
	return s.claimWait(now, claimants, phase)
}

// slotOf returns the number of the slot of time that now is in, and slotEnd how long it lasts.
func slotOf(now time.Time) int64 { return now.UnixNano() / int64(ClaimSlot) }

func slotEnd(now time.Time) time.Duration {
	return ClaimSlot - time.Duration(now.UnixNano()%int64(ClaimSlot))
}

// claimWait returns how long this entry leaves rights to send to others, if so many entries may
// claim them at once. The entries are divided into groups, and each slot belongs to one group,
// drawn anew: groups in a fixed order would get unequal parts of evenly spaced rights.
func (s *Sharing) claimWait(now time.Time, atOnce int, phase uint64) time.Duration {
	groups := uint64(s.Entries+atOnce-1) / uint64(atOnce)
	if groups <= 1 {
		return 0
	}
	var slot [8]byte
	binary.LittleEndian.PutUint64(slot[:], uint64(slotOf(now))+phase)
	if xxhash.Sum64(slot[:])%groups == uint64(s.Position)%groups {
		return 0
	}
	return slotEnd(now)
}

// turn returns the earliest valid own turn that is not used. If there is none, ok is false and
// the turn is the next one.
func (p *pacer) turn(now time.Time, s *Sharing, rate float64, phase uint64) (turn time.Time, ok bool) {
	gap := interval(rate)
	period := int64(gap) * int64(s.Entries)
	if gap <= 0 || period <= 0 {
		return now, true
	}
	own := int64(gap)*int64(s.Position) + int64(phase%uint64(period))
	from := now.Add(-turnTolerance).UnixNano()
	// A used turn in the future is from before the time of day was set back.
	if used := p.usedTurn.UnixNano() + 1; used <= now.UnixNano() {
		from = max(from, used)
	}
	turns := (from - own + period - 1) / period
	turn = time.Unix(0, own+turns*period)
	return turn, !turn.After(now)
}
