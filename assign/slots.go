package assign

import "time"

// nearlyFullFraction is the fraction of all slots above which endpoints count as nearly full.
const nearlyFullFraction = 0.9

// freePerEntry is how many slots are free for each entry when endpoints no longer count as nearly full. All
// entries fill the endpoints in the same order: with 1, some engines of the load replay in package schedule got
// more than one request in ten beyond their slots at 1.1 times what fits.
const freePerEntry = 2

// claimAge is the time at the end of a claim slot in which no free slot is claimed: the entries that claim in the
// next slot would not hear of it in time. Bookings reach other entries after about 5 ms.
const claimAge = 6 * time.Millisecond

// NearlyFull reports whether most slots of the endpoints that may serve the request are taken and only a few are
// free for each entry, so that several entries are likely to use the same one.
func (f *Fleet) NearlyFull(now time.Time, r *Request) bool {
	free, slots := 0, 0
	for _, m := range f.choicesOf(r.Service) {
		if m.Slots > 0 && f.serves(m, r) && !now.Before(m.distrustedUntil) {
			free, slots = free+max(0, m.Slots-m.running), slots+m.Slots
		}
	}
	return free < freePerEntry*f.sharing.Entries && float64(slots-free) >= nearlyFullFraction*float64(slots) && slots > 0
}

// claimable returns the endpoints that may get a short prompt now. Of a contended request, these are the ones
// with free slots that this entry may claim: in a slot of time, as many entries may claim the slots of an
// endpoint as are free. Otherwise all entries with waiting requests would use a slot as it becomes free,
// before they learn of one another, and the endpoint would queue the requests that come too late for it.
//
// Load pattern: short prompts at more than what fits, from many entries.
func (f *Fleet) claimable(now time.Time, r *Request, all []*member) []*member {
	if !r.Contended {
		return all
	}
	var out []*member
	ending := f.sharing.Entries > 1 && slotEnd(now) <= claimAge
	for _, m := range all {
		if free := m.Slots - m.running; m.Slots == 0 || free > 0 && !ending && f.sharing.claimWait(now, free, m.rank) == 0 {
			out = append(out, m)
		}
	}
	return out
}
