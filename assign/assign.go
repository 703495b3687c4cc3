// Package assign decides which endpoints serve a request: one, or a group that reads
// a long prompt together. It does no I/O and reads no clock; its host serialises the
// calls.
//
// The load that decides is long prompts that come in bursts beside short ones. An
// engine reads prompts between the steps of the streams that it writes, so a long
// prompt makes all of them pause. Short prompts therefore fill the endpoints in an
// order that all entries share, and long ones are read by groups of the others.
package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// unobtrusivePrefill is the reading of a group's member that hardly delays the streams
	// beside it.
	unobtrusivePrefill = 75 * time.Millisecond
	// preferredGapFraction is the part of a pause that callers accept which a group's reading takes,
	// and leastPart the most that is taken when endpoints are busy: the endpoint that
	// writes reads its part between the events of other answers.
	preferredGapFraction = 0.12
	maxGapFraction = 0.35
	// idleBacklog is the reading ahead at which an endpoint counts as idle: a new part
	// goes ahead of it.
	idleBacklog = 15 * time.Millisecond
	// overdueAfter is how long after its time a prompt that is not answered counts as
	// being read still, and overdueFor when it is given up as a measure.
	overdueAfter = 150 * time.Millisecond
	overdueIgnoredAfter   = 1500 * time.Millisecond
	// shortGapFraction is the part of the shortest pause that callers of the service accept which
	// a prompt may take to read and still count as short, and defaultPause stands in for
	// that pause where no route names one.
	shortGapFraction    = 0.3
	defaultEventGapTarget = 250 * time.Millisecond
	// MaxHelpers bounds the helpers of one request, as engines do.
	MaxHelpers = 16
	// usableMemoryFraction is the part of an engine's memory that is given out; the rest is for
	// what other entries place at the same moment.
	usableMemoryFraction = 0.95
	// fillSlotFraction is the part of an endpoint's slots that short prompts fill before they
	// go on to the next endpoint.
	fillSlotFraction = 0.8
	// fillBacklogFraction is the part of the reading that streams hardly notice which may wait at an
	// endpoint that a short prompt goes to: the prompt is read within the same time.
	fillBacklogFraction = 0.5
	// localMemoryFraction is the part of an engine's memory up to which a prompt is kept by the
	// endpoint that writes its answer: it is not worth orders to others.
	localMemoryFraction = 0.1
	// decodeSlotFraction is the part of an endpoint's slots that answers to long prompts fill
	// before they go on to another endpoint.
	decodeSlotFraction = 0.4
	// maxMemoryHelpers is how many helpers share a prompt's memory: each costs two orders.
	maxMemoryHelpers = 3
	// maxBacklog is the reading ahead above which a request waits here rather than at the
	// endpoint: what waits here can still be served elsewhere or overtaken.
	maxBacklog = 350 * time.Millisecond
	// longLaneDivisor is the part of the endpoints that long prompts may use however many
	// short ones there are: one in so many.
	longLaneDivisor = 5
	// runningCost is what one more running request weighs against waiting time.
	runningCost = 4 * time.Millisecond
	// otherZoneCost is what another availability zone weighs against waiting time.
	otherZoneCost = 3 * time.Millisecond
	// noSlotCost weighs a request that finds no free slot.
	noSlotCost = 200 * time.Millisecond
	// coldCost weighs an endpoint that is cold.
	coldCost = 100 * time.Millisecond
	// minDistrust and maxDistrust bound how long an endpoint that failed is left
	// alone. Each failure in a row doubles the time, up to maxDoublings.
	minDistrust = 500 * time.Millisecond
	maxDistrust   = 4 * time.Second
	maxDistrustDoublings  = 4
	// rejectionBackoff is how long an endpoint that turned a request away counts as reading.
	rejectionBackoff = 150 * time.Millisecond
	// busyRetryAfter is when a request that found no room is worth another try.
	busyRetryAfter = 300 * time.Millisecond
)

// Request is what the choice depends on.
type Request struct {
	Service string
	// PromptTokens and OutputTokens are zero for calls to plain services.
	PromptTokens int
	OutputTokens int
	// Tried are endpoints that are no good for this request any more.
	Tried []string
	// Zone is where the request came in.
	Zone string
	// Engine describes the service's engines; nil for plain services.
	Engine *costmodel.Engine
	// EventGapTarget is the longest pause between events that callers want.
	EventGapTarget time.Duration
	// MinEventGapTarget is the shortest that callers of any route to the service want.
	MinEventGapTarget time.Duration
	// Waited is how long the request has waited, and RelaxAfter after how long any place
	// will do.
	Waited, RelaxAfter time.Duration
	// ColdRateLimit is what an endpoint may get in a second while it may be cold; zero is
	// no bound. It counts what all entries placed there. Where ColdRateShare is set, not all
	// of them tell this one what they place, and it is this one's part.
	ColdRateLimit, ColdRateShare float64
}

// totalTokens is the memory that the request takes in the end.
func (r *Request) totalTokens() int64 { return int64(r.PromptTokens + r.OutputTokens) }

// Short reports whether one endpoint reads the prompt alone: within the same steps as
// another one of its kind, it delays the streams beside it by less than a pause that
// their callers accept.
func (r *Request) Short() bool { return r.Engine.PrefillTime(r.PromptTokens) <= r.maxShortPrefill() }

// maxShortPrefill is the reading that streams beside it hardly notice.
func (r *Request) maxShortPrefill() time.Duration {
	pause := r.MinEventGapTarget
	if pause <= 0 {
		pause = defaultEventGapTarget
	}
	return time.Duration(shortGapFraction * float64(pause))
}

// Assignment is who serves a request.
type Assignment struct {
	Primary Endpoint
	// Helpers go with the helpers of Booking, by index.
	Helpers []Endpoint
	Booking Booking
	// PredictedPrefill is the predicted time until the prompt is read.
	PredictedPrefill time.Duration
	// Candidates is how many endpoints could have served the request.
	Candidates int
}

// Choose returns who serves the request.
func (f *Fleet) Choose(now time.Time, r *Request) (*Assignment, error) {
	all := f.eligible(now, r, true)
	if len(all) == 0 {
		all = f.eligible(now, r, false)
	}
	if len(all) == 0 {
		return nil, f.refuseIneligible(now, r)
	}
	slices.SortFunc(all, byRank)
	var a *Assignment
	var err error
	switch {
	case r.Engine == nil || r.PromptTokens == 0:
		return assignSingle(now, r, all, cheapest(now, r, all)), nil
	case r.Short():
		a = assignSingle(now, r, all, f.pickForShort(now, r, all))
	default:
		if a, err = f.assignGroup(now, r, all); err != nil {
			return nil, err
		}
	}
	if ahead := a.PredictedPrefill - a.Booking.PrefillTime; ahead > maxBacklog {
		return nil, verdict.Refuse(verdict.ReasonOverloaded, ahead, "endpoints of %s read for %v yet", r.Service, ahead)
	}
	if m := f.members[a.Primary.Name]; m.Slots > 0 && m.running >= m.Slots {
		return nil, verdict.Refuse(verdict.ReasonOverloaded, busyRetryAfter, "all slots of %s are taken", r.Service)
	}
	return a, nil
}

// refuseIneligible says why no endpoint may get the request. Those that only had their part for
// now are worth waiting for.
func (f *Fleet) refuseIneligible(now time.Time, r *Request) error {
	unbound := *r
	unbound.ColdRateLimit, unbound.ColdRateShare = 0, 0
	if n := len(f.eligible(now, &unbound, false)); n > 0 {
		return verdict.Refuse(verdict.ReasonOverloaded, busyRetryAfter, "%d endpoints of %s, which may be cold, have had their %v requests for this second",
			n, r.Service, max(r.ColdRateLimit, r.ColdRateShare))
	}
	return verdict.Refuse(verdict.ReasonNoEndpoint, busyRetryAfter, "no endpoint of %s can take the request", r.Service)
}

// eligible lists the endpoints that may get the request: trusted ones only, or any.
func (f *Fleet) eligible(now time.Time, r *Request, trusted bool) []*member {
	var out []*member
	for _, m := range f.members {
		switch {
		case m.Service != r.Service || m.Leaving || f.zonesOut[m.Zone] || slices.Contains(r.Tried, m.Name):
		case trusted && now.Before(m.distrustedUntil):
		case !m.withinColdLimit(now, r):
		default:
			out = append(out, m)
		}
	}
	return out
}

// assignSingle assigns the request to one endpoint.
func assignSingle(now time.Time, r *Request, all []*member, m *member) *Assignment {
	a := &Assignment{Primary: m.Endpoint, Candidates: len(all), Booking: Booking{Primary: Part{Endpoint: m.Name, Tokens: r.totalTokens()}, Short: true}}
	if r.Engine != nil {
		a.Booking.PrefillTime = r.Engine.PrefillTime(r.PromptTokens)
		a.PredictedPrefill = m.backlog(now) + a.Booking.PrefillTime
	}
	return a
}

// cheapest returns the endpoint with the cheapest work.
func cheapest(now time.Time, r *Request, all []*member) *member {
	return slices.MinFunc(all, func(a, b *member) int { return cmp.Compare(a.cost(now, r), b.cost(now, r)) })
}

func (m *member) cost(now time.Time, r *Request) time.Duration {
	total := m.backlog(now) + time.Duration(m.running)*runningCost
	if m.Slots > 0 && m.running >= m.Slots {
		total += noSlotCost
	}
	if m.Zone != r.Zone {
		total += otherZoneCost
	}
	if m.Cold {
		total += coldCost
	}
	return total
}

// pickForShort returns the first endpoint, in the order of all entries, that has room for a
// short prompt and reads nothing long. When all are busy it is the least busy one.
func (f *Fleet) pickForShort(now time.Time, r *Request, all []*member) *member {
	late := f.overdue(now)
	calm := time.Duration(fillBacklogFraction * float64(r.maxShortPrefill()))
	for _, m := range all {
		room := float64(m.running) < fillSlotFraction*float64(m.Slots) && m.freeTokens(now, r.Engine) >= r.totalTokens()
		if room && m.backlog(now) <= calm && !m.Cold && !late[m.Name] && m.running == m.shortRunning {
			return m
		}
	}
	return cheapest(now, r, all)
}

// assignGroup places a long prompt: one endpoint writes its answer, and others read parts of
// the prompt and hold its memory. Endpoints that read without writing lose no time to
// the steps of streams, so the writers of long answers share a few endpoints.
//
// An engine reads the part that came last first. A part that waits at an engine may
// therefore wait for as long as others come, so only idle endpoints get one.
func (f *Fleet) assignGroup(now time.Time, r *Request, all []*member) (*Assignment, error) {
	first := pickDecoder(now, r, all)
	readers := withoutDecoders(longLane(all, first))
	late := f.overdue(now)
	idle := slices.DeleteFunc(slices.Clone(readers), func(m *member) bool { return late[m.Name] || m.backlog(now) > idleBacklog })
	engines := r.groupSize(1+len(idle), 1+len(readers))
	if engines == 0 {
		return nil, verdict.Refuse(verdict.ReasonOverloaded, busyRetryAfter, "%d of %d endpoints of %s are free to read %d tokens",
			len(idle), len(readers), r.Service, r.PromptTokens)
	}
	slices.Reverse(idle)
	chosen := append([]*member{first}, idle[:engines-1]...)
	parts, lacking := allocateMemory(now, r, chosen)
	rest := without(readers, chosen)
	if r.totalTokens() > r.Engine.MemoryTokens*int64(1+len(readers)) {
		// It fits only where short prompts run, too.
		rest = without(all, chosen)
	}
	for ; lacking > 0 && len(rest) > 0 && len(chosen) <= MaxHelpers; rest = rest[1:] {
		chosen = append(chosen, rest[0])
		parts, lacking = allocateMemory(now, r, chosen)
	}
	if lacking > 0 {
		return nil, verdict.Refuse(verdict.ReasonEndpointMemory, busyRetryAfter, "%d of %d tokens find no memory at %d endpoints of %s",
			lacking, r.totalTokens(), len(all), r.Service)
	}
	a := &Assignment{Primary: first.Endpoint, Candidates: len(all)}
	a.Booking = Booking{Primary: parts[0], Helpers: parts[1:], PrefillTime: r.Engine.SharedPrefillTime(r.PromptTokens, len(chosen))}
	for i, m := range chosen {
		if i > 0 {
			a.Helpers = append(a.Helpers, m.Endpoint)
		}
		a.PredictedPrefill = max(a.PredictedPrefill, m.backlog(now)+a.Booking.PrefillTime)
	}
	return a, nil
}

// groupSize returns how many of the idle endpoints read the prompt, or 0 to wait for
// more: enough to delay the writer little, or at least not beyond what callers accept.
// The longer the request has waited, the fewer will do.
func (r *Request) groupSize(idle, lane int) int {
	most := min(lane, 1+MaxHelpers)
	want := min(r.Engine.EnginesWithin(r.PromptTokens, max(unobtrusivePrefill, time.Duration(preferredGapFraction*float64(r.EventGapTarget)))), most)
	least := min(r.Engine.EnginesWithin(r.PromptTokens, max(unobtrusivePrefill, time.Duration(maxGapFraction*float64(r.EventGapTarget)))), most)
	if r.RelaxAfter > 0 {
		least = int(float64(least) * (1 - float64(r.Waited)/float64(r.RelaxAfter)))
	}
	if idle < least {
		return 0
	}
	return min(want, idle)
}

// pickDecoder returns the endpoint that writes the answer to a long prompt: the last one, in
// the order of all entries, that writes few others and reads little.
func pickDecoder(now time.Time, r *Request, all []*member) *member {
	limit := max(1, int(decodeSlotFraction*float64(r.Engine.Slots)))
	for _, m := range slices.Backward(all) {
		if m.shortRunning == 0 && m.running < limit && m.backlog(now) <= r.maxShortPrefill() {
			return m
		}
	}
	return cheapest(now, r, longLane(all, nil))
}

// allocateMemory spreads the memory of a prompt over the helpers in even parts, at holders at
// most, and leaves the output and what finds no room to the first endpoint.
func allocateMemory(now time.Time, r *Request, chosen []*member) (parts []Part, lacking int64) {
	parts = make([]Part, len(chosen))
	for i, m := range chosen {
		parts[i].Endpoint = m.Name
	}
	lacking = int64(r.PromptTokens)
	first := chosen[0].freeTokens(now, r.Engine) - int64(r.OutputTokens)
	if float64(lacking) <= localMemoryFraction*float64(r.Engine.MemoryTokens) && lacking <= first {
		parts[0].Tokens = r.totalTokens()
		return parts, 0
	}
	helpers := len(chosen) - 1
	if helpers > 0 {
		even := lacking/int64(min(helpers, maxMemoryHelpers)) + 1
		for _, least := range []int64{even, 0} {
			for i, m := range chosen[1:] {
				room := m.freeTokens(now, r.Engine) - parts[i+1].Tokens
				if room < max(least, 1) || lacking == 0 || least > 0 && parts[i+1].Tokens > 0 {
					continue
				}
				n := min(lacking, room)
				if least > 0 {
					n = min(n, even)
				}
				parts[i+1].Tokens += n
				lacking -= n
			}
		}
	}
	own := min(lacking, max(0, first))
	parts[0].Tokens = own + int64(r.OutputTokens)
	return parts, lacking - own
}

// longLane returns the endpoints but first that run no short prompts, and at least the
// last few in the order of all entries.
func longLane(all []*member, first *member) []*member {
	atLeast := max(1, len(all)/longLaneDivisor)
	var lane []*member
	for i, m := range all {
		if m != first && (m.shortRunning == 0 || i >= len(all)-atLeast) {
			lane = append(lane, m)
		}
	}
	return lane
}

// withoutDecoders returns the endpoints of the lane that write nothing. Engines read parts
// for others ahead of their own prompts, so a writer that also helps keeps its own
// callers waiting for as long as others come. When all write, all are returned.
func withoutDecoders(lane []*member) []*member {
	pure := slices.DeleteFunc(slices.Clone(lane), func(m *member) bool { return m.running > 0 })
	if len(pure) == 0 {
		return lane
	}
	return pure
}

// without returns the members of all that are not in some.
func without(all, some []*member) []*member {
	return slices.DeleteFunc(slices.Clone(all), func(m *member) bool { return slices.Contains(some, m) })
}
