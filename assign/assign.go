// Package assign decides which endpoints serve a request: one endpoint, or a group that
// prefills a long prompt together. In a group, the primary endpoint decodes the answer,
// and helpers only prefill parts of the prompt and hold its KV memory. The package does
// no I/O and reads no clock. It has no locks; the caller serialises the calls.
//
// The placement rules are made for bursts of long prompts beside short ones. An engine
// prefills prompts between the decode steps of its streams, so a long prompt makes all
// of these streams pause. Therefore short prompts fill the endpoints one after the
// other, in an order that all entries share, and long prompts are prefilled by groups
// of the remaining endpoints.
package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// unobtrusivePrefill is a prefill time that is too short to delay the streams of an
	// endpoint noticeably. Groups are not enlarged to get below it.
	unobtrusivePrefill = 75 * time.Millisecond
	// preferredGapFraction is the preferred prefill time per endpoint of a group, as a
	// fraction of the event gap target, and maxGapFraction the maximum when endpoints
	// are busy. Both follow the event gap target because the primary endpoint prefills
	// its part between the events of other answers.
	preferredGapFraction = 0.12
	maxGapFraction       = 0.2
	// idleBacklog is the prefill backlog up to which an endpoint counts as idle:
	// engines prefill the part that arrived last first, so a short backlog does not
	// delay a new part.
	idleBacklog = 15 * time.Millisecond
	// If an answer has not begun overdueAfter after the predicted end of the prefill,
	// the helpers count as still busy, but only until overdueIgnoredAfter after that
	// predicted end.
	overdueAfter        = 150 * time.Millisecond
	overdueIgnoredAfter = 1500 * time.Millisecond
	// shortGapFraction is the prefill time of the longest short prompt, as a fraction
	// of the smallest event gap target of the service: the engine can read it between two events of
	// its answers (readGapFraction). defaultEventGapTarget is used
	// when no route has a target.
	shortGapFraction      = 0.6
	defaultEventGapTarget = 250 * time.Millisecond
	// MaxHelpers bounds the helpers of one request. Engines have the same limit.
	MaxHelpers = 16
	// usableMemoryFraction is the fraction of an engine's KV memory that is assigned.
	// The rest is for placements that other entries make at the same moment.
	usableMemoryFraction = 0.95
	// fillSlotFraction is the fraction of an endpoint's slots that short prompts fill
	// before they go to the next endpoint.
	fillSlotFraction = 0.95
	// fillBacklogFraction bounds the prefill backlog of an endpoint that gets another
	// short prompt, as a fraction of maxShortPrefill: the prompt is then prefilled
	// within the same time.
	fillBacklogFraction = 0.25
	// readGapFraction is the fraction of an event gap target that one run of decode steps may
	// take, with the prompts that the engine reads in it.
	readGapFraction = 0.95
	// localMemoryFraction is the fraction of an engine's KV memory up to which a prompt
	// is kept by the primary endpoint alone. For such a prompt, reservations at helpers
	// cost more than they save.
	localMemoryFraction = 0.1
	// decodeSlotFraction is the fraction of an endpoint's slots that answers to long
	// prompts fill before they go to another endpoint.
	decodeSlotFraction = 0.4
	// maxMemoryHelpers is the preferred number of helpers that hold a prompt's memory,
	// as each one costs two requests, to reserve the memory and to release it.
	maxMemoryHelpers = 3
	// maxBacklog is the prefill backlog above which a request waits at the entry rather
	// than at the endpoint. While it waits at the entry, it can still be sent to
	// another endpoint or be overtaken.
	maxBacklog = 350 * time.Millisecond
	// longPromptDivisor sets the minimum share of the endpoints that long prompts may
	// use, however many short prompts are running: one endpoint in longPromptDivisor.
	longPromptDivisor = 5
	// runningCost is the cost of each running request, in backlog time.
	runningCost = 4 * time.Millisecond
	// otherZoneCost is the cost of an endpoint in another availability zone.
	otherZoneCost = 3 * time.Millisecond
	// noSlotCost is the cost of an endpoint without a free slot.
	noSlotCost = 200 * time.Millisecond
	// coldCost is the cost of a cold endpoint, and slowCost that of a slow one.
	coldCost = 100 * time.Millisecond
	slowCost = 100 * time.Millisecond
	// minDistrust and maxDistrust bound how long an endpoint is excluded after a
	// failure. Each consecutive failure doubles the time, up to maxDistrustDoublings
	// times.
	minDistrust          = 500 * time.Millisecond
	maxDistrust          = 4 * time.Second
	maxDistrustDoublings = 4
	// rejectionBackoff is how long an endpoint that refused a request or a reservation
	// counts as busy or as out of memory.
	rejectionBackoff = 150 * time.Millisecond
	// busyRetryAfter is the Retry-After of a request for which no capacity was found.
	busyRetryAfter = 300 * time.Millisecond
)

// Request is the input for the choice of endpoints.
type Request struct {
	Service string
	// PromptTokens and OutputTokens are zero for requests to plain services.
	PromptTokens int
	OutputTokens int
	// Tried lists endpoints that must not be chosen again for this request.
	Tried []string
	// Zone is the availability zone of the entry that received the request.
	Zone string
	// Engine describes the service's engines; nil for plain services.
	Engine *costmodel.Engine
	// EventGapTarget is the longest gap between two events that callers want.
	EventGapTarget time.Duration
	// MinEventGapTarget is the smallest target among all routes to the service.
	MinEventGapTarget time.Duration
	// ForPeer is set for a request that another entry sends. The pauses that endpoints asked this
	// entry for do not concern it.
	ForPeer bool
	// Waited is how long the request has waited. The number of idle endpoints that a
	// long prompt requires falls with Waited and reaches none at RelaxAfter.
	Waited, RelaxAfter time.Duration
}

// totalTokens is the KV memory that the request uses once its answer is complete, in
// tokens.
func (r *Request) totalTokens() int64 { return int64(r.PromptTokens + r.OutputTokens) }

// Short reports whether the prompt is short enough for one endpoint to prefill it
// alone, beside the streams that it decodes.
func (r *Request) Short() bool { return r.Engine.PrefillTime(r.PromptTokens) <= r.maxShortPrefill() }

// grouped reports whether several endpoints may prefill the prompt together.
func (r *Request) grouped() bool { return r.Engine != nil && r.PromptTokens > 0 && !r.Short() }

// maxShortPrefill is the longest prefill time of a short prompt.
func (r *Request) maxShortPrefill() time.Duration {
	gap := r.MinEventGapTarget
	if gap <= 0 {
		gap = defaultEventGapTarget
	}
	return time.Duration(shortGapFraction * float64(gap))
}

// Assignment is the choice of endpoints for a request.
type Assignment struct {
	// Primary decodes the answer.
	Primary Endpoint
	// Helpers are the endpoints of Booking.Helpers, in the same order.
	Helpers []Endpoint
	Booking Booking
	// PredictedPrefill is the predicted time until the prompt is prefilled.
	PredictedPrefill time.Duration
	// Candidates is the number of endpoints that were eligible.
	Candidates int
	// Crowded is set for a short request that finds no endpoint with room for it. It may be
	// served better elsewhere.
	Crowded bool
}

// Choose returns the endpoints for the request. It changes no load: the caller books
// the assignment with Book. Its error is a refusal with the verdict that the request
// has not run.
func (f *Fleet) Choose(now time.Time, r *Request) (*Assignment, error) {
	all := f.eligible(now, r, true)
	if len(all) == 0 {
		all = f.eligible(now, r, false)
	}
	if len(all) == 0 {
		return nil, f.refuseIneligible(now, r)
	}
	var a *Assignment
	var err error
	switch {
	case r.Engine == nil || r.PromptTokens == 0:
		m := cheapest(now, r, all)
		a = assignSingle(now, r, all, m)
		a.Crowded = m.Slots > 0 && m.running >= m.Slots
		return a, nil
	case r.grouped():
		if a, err = f.assignGroup(now, r, all); err != nil {
			return nil, err
		}
	default:
		m := f.pickForShort(now, r, all)
		if m != nil {
			a = assignSingle(now, r, all, m)
			break
		}
		a = assignSingle(now, r, all, cheapest(now, r, all))
		a.Crowded = true
	}
	if backlog := a.PredictedPrefill - a.Booking.PrefillTime; backlog > maxBacklog {
		return nil, verdict.Refuse(verdict.ReasonOverloaded, backlog, "endpoints of %s read for %v yet", r.Service, backlog)
	}
	if m := f.members[a.Primary.Name]; m.Slots > 0 && m.running >= m.Slots {
		return nil, verdict.Refuse(verdict.ReasonOverloaded, busyRetryAfter, "all slots of %s are taken", r.Service)
	}
	return a, nil
}

// refuseIneligible returns the refusal for a request without eligible endpoints. If
// endpoints are excluded only by their rates, the reason is overloaded, so that the request
// may wait for them.
func (f *Fleet) refuseIneligible(now time.Time, r *Request) error {
	if blocked := f.rateLimited(now, r); blocked.endpoints > 0 {
		return verdict.Refuse(verdict.ReasonOverloaded, blocked.wait, "%d endpoints of %s take no request for %v: they have had the %.3g per second that they take, or asked for a pause",
			blocked.endpoints, r.Service, blocked.wait, blocked.rate)
	}
	return verdict.Refuse(verdict.ReasonNoEndpoint, busyRetryAfter, "no endpoint of %s can take the request", r.Service)
}

// serves reports whether the endpoint serves requests like this one, and was not tried for it.
func (f *Fleet) serves(m *member, r *Request) bool {
	return m.Service == r.Service && !m.leaves() && !f.zonesOut[m.Zone] && !slices.Contains(r.Tried, m.Name)
}

// eligible lists the endpoints that may get the request, sorted by rank. With trusted set, it
// leaves out endpoints that failed recently.
func (f *Fleet) eligible(now time.Time, r *Request, trusted bool) []*member {
	var out []*member
	for _, m := range f.choicesOf(r.Service) {
		switch {
		case !f.serves(m, r):
		case trusted && now.Before(m.distrustedUntil):
		case f.sendWait(now, m, r) > 0:
		default:
			out = append(out, m)
		}
	}
	return out
}

// helperCandidates lists the endpoints, other than primary, that may prefill a part of the prompt,
// sorted by rank. The rate of a cold endpoint does not bind its parts: its own requests load it.
func (f *Fleet) helperCandidates(now time.Time, r *Request, primary *member) []*member {
	var out []*member
	for _, m := range f.choicesOf(r.Service) {
		switch {
		case m == primary || !f.serves(m, r) || now.Before(m.distrustedUntil):
		case !r.ForPeer && f.pauseWait(now, m) > 0:
		case m.limit.perSecond > 0 && f.rateWait(now, m, r) > 0:
		default:
			out = append(out, m)
		}
	}
	return out
}

// assignSingle assigns the request to endpoint m alone.
func assignSingle(now time.Time, r *Request, all []*member, m *member) *Assignment {
	a := &Assignment{Primary: m.Endpoint, Candidates: len(all), Booking: Booking{Primary: Part{Endpoint: m.Name, Tokens: r.totalTokens()}, Short: true, EventGapTarget: r.EventGapTarget}}
	if r.Engine != nil {
		a.Booking.PrefillTime = r.Engine.PrefillTime(r.PromptTokens)
		a.PredictedPrefill = m.backlog(now) + a.Booking.PrefillTime
	}
	return a
}

// cheapest returns the endpoint with the lowest cost.
func cheapest(now time.Time, r *Request, all []*member) *member {
	return slices.MinFunc(all, func(a, b *member) int { return cmp.Compare(a.cost(now, r), b.cost(now, r)) })
}

// cost ranks the endpoint for the request. It is the prefill backlog plus the costs of
// running requests, missing slots, another zone, coldness and slowness, all expressed as time.
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
	if m.slow(now) {
		total += slowCost
	}
	return total
}

// pickForShort returns the first endpoint, in the order that all entries share, that
// has capacity for a short prompt and runs no long one, or nil.
func (f *Fleet) pickForShort(now time.Time, r *Request, all []*member) *member {
	overdue, avoidSlow := f.overdue(now), avoidsSlow(now, all)
	backlogLimit := time.Duration(fillBacklogFraction * float64(r.maxShortPrefill()))
	for _, m := range all {
		hasRoom := float64(m.running) < fillSlotFraction*float64(m.Slots) && m.freeTokens(now, r.Engine) >= r.totalTokens()
		if hasRoom && m.backlog(now) <= backlogLimit && !m.Cold && !overdue[m.Name] && !(avoidSlow && m.slow(now)) && m.running == m.shortRunning &&
			m.mayRead(r.Engine, r.Engine.PrefillTime(r.PromptTokens)) {
			return m
		}
	}
	return nil
}

// mayRead reports whether the engine can read a part of this prefill time, beside the parts that it
// has not read yet, without a pause of the running answers over their event gap target: it reads
// what has arrived within one run of decode steps.
func (m *member) mayRead(e *costmodel.Engine, part time.Duration) bool {
	for target := range m.gapTargets {
		if m.unread+part+e.DecodeRunTime() > time.Duration(readGapFraction*float64(target)) {
			return false
		}
	}
	return true
}

// assignGroup places a long prompt: the primary endpoint decodes its answer, and
// helpers prefill parts of the prompt and hold its memory. Endpoints that prefill
// without decoding lose no time to the decode steps of streams, so the answers to long
// prompts are concentrated on a few endpoints.
//
// An engine prefills the part that arrived last first. A part in its backlog may
// therefore wait for as long as others arrive, so only idle endpoints get a part.
func (f *Fleet) assignGroup(now time.Time, r *Request, all []*member) (*Assignment, error) {
	primary := pickPrimary(now, r, all)
	others := f.helperCandidates(now, r, primary)
	candidates := slices.DeleteFunc(prefillOnly(longPromptMembers(others)), func(m *member) bool { return !m.mayHelp(now) })
	overdue, avoidSlow := f.overdue(now), avoidsSlow(now, all)
	idle := slices.DeleteFunc(slices.Clone(candidates), func(m *member) bool {
		return overdue[m.Name] || avoidSlow && m.slow(now) || m.backlog(now) > idleBacklog
	})
	slices.Reverse(idle)
	slices.SortStableFunc(idle, unlimitedFirst)
	size := r.groupSize(1+len(idle), 1+len(candidates))
	if size == 0 {
		return nil, verdict.Refuse(verdict.ReasonOverloaded, busyRetryAfter, "%d of %d endpoints of %s are free to read %d tokens",
			len(idle), len(candidates), r.Service, r.PromptTokens)
	}
	chosen := append([]*member{primary}, idle[:size-1]...)
	parts, unallocated := allocateMemory(now, r, chosen)
	slices.SortStableFunc(candidates, unlimitedFirst)
	rest := without(candidates, chosen)
	if r.totalTokens() > r.Engine.MemoryTokens*int64(1+len(candidates)) {
		// The prompt fits only if endpoints with short prompts hold a part of it, too.
		rest = without(others, chosen)
	}
	for ; unallocated > 0 && len(rest) > 0 && len(chosen) <= MaxHelpers; rest = rest[1:] {
		chosen = append(chosen, rest[0])
		parts, unallocated = allocateMemory(now, r, chosen)
	}
	if unallocated > 0 {
		return nil, verdict.Refuse(verdict.ReasonEndpointMemory, busyRetryAfter, "%d of %d tokens find no memory at %d endpoints of %s",
			unallocated, r.totalTokens(), 1+len(others), r.Service)
	}
	a := &Assignment{Primary: primary.Endpoint, Candidates: len(all)}
	a.Booking = Booking{Primary: parts[0], Helpers: parts[1:], PrefillTime: r.Engine.SharedPrefillTime(r.PromptTokens, len(chosen)), EventGapTarget: r.EventGapTarget}
	for i, m := range chosen {
		if i > 0 {
			a.Helpers = append(a.Helpers, m.Endpoint)
		}
		a.PredictedPrefill = max(a.PredictedPrefill, m.backlog(now)+a.Booking.PrefillTime)
	}
	return a, nil
}

// groupSize returns how many of the idle endpoints prefill the prompt, or 0 to wait for
// more. The preferred size delays the primary's streams only a little; the minimum size
// keeps the delay within the event gap target. The minimum falls with the time that the
// request has waited. Both arguments include the primary: idle counts the idle
// endpoints, and usable also those that are busy now.
func (r *Request) groupSize(idle, usable int) int {
	maxSize := min(usable, 1+MaxHelpers)
	preferred := r.preferredSize(maxSize)
	minSize := min(r.Engine.EnginesWithin(r.PromptTokens, max(unobtrusivePrefill, time.Duration(maxGapFraction*float64(r.EventGapTarget)))), maxSize)
	if r.RelaxAfter > 0 {
		minSize = int(float64(minSize) * (1 - float64(r.Waited)/float64(r.RelaxAfter)))
	}
	if idle < minSize {
		return 0
	}
	return min(preferred, idle)
}

// preferredSize returns the number of endpoints, up to maxSize, whose prefill delays the primary's
// streams only a little.
func (r *Request) preferredSize(maxSize int) int {
	part := max(unobtrusivePrefill, time.Duration(preferredGapFraction*float64(r.EventGapTarget)))
	return min(r.Engine.EnginesWithin(r.PromptTokens, part), maxSize)
}

// pickPrimary returns the primary endpoint for a long prompt: the last one, in the
// order that all entries share, that runs no short prompts, decodes few answers, has
// little prefill backlog, and can read its part without pauses of its answers.
func pickPrimary(now time.Time, r *Request, all []*member) *member {
	maxRunning := max(1, int(decodeSlotFraction*float64(r.Engine.Slots)))
	part, avoidSlow := r.Engine.SharedPrefillTime(r.PromptTokens, r.preferredSize(1+MaxHelpers)), avoidsSlow(now, all)
	for _, m := range slices.Backward(all) {
		if avoidSlow && m.slow(now) {
			continue
		}
		if m.shortRunning == 0 && m.running < maxRunning && m.backlog(now) <= r.maxShortPrefill() && m.mayRead(r.Engine, part) {
			return m
		}
	}
	return cheapest(now, r, longPromptMembers(all))
}

// allocateMemory distributes the memory for a prompt evenly over at most
// maxMemoryHelpers helpers if they have the memory, and otherwise over any helpers with
// free memory. The primary endpoint holds the output and the remaining tokens. It
// returns the parts in the order of chosen and the number of tokens that could not be
// allocated.
func allocateMemory(now time.Time, r *Request, chosen []*member) (parts []Part, unallocated int64) {
	parts = make([]Part, len(chosen))
	for i, m := range chosen {
		parts[i].Endpoint = m.Name
	}
	unallocated = int64(r.PromptTokens)
	primaryFree := chosen[0].freeTokens(now, r.Engine) - int64(r.OutputTokens)
	if float64(unallocated) <= localMemoryFraction*float64(r.Engine.MemoryTokens) && unallocated <= primaryFree {
		parts[0].Tokens = r.totalTokens()
		return parts, 0
	}
	helpers := len(chosen) - 1
	if helpers > 0 {
		evenShare := unallocated/int64(min(helpers, maxMemoryHelpers)) + 1
		// The first pass uses only helpers with free memory for an even share, and the
		// second pass any free memory.
		for _, minFree := range []int64{evenShare, 0} {
			for i, m := range chosen[1:] {
				free := m.freeTokens(now, r.Engine) - parts[i+1].Tokens
				if free < max(minFree, 1) || unallocated == 0 || minFree > 0 && parts[i+1].Tokens > 0 {
					continue
				}
				n := min(unallocated, free)
				if minFree > 0 {
					n = min(n, evenShare)
				}
				parts[i+1].Tokens += n
				unallocated -= n
			}
		}
	}
	primaryTokens := min(unallocated, max(0, primaryFree))
	parts[0].Tokens = primaryTokens + int64(r.OutputTokens)
	return parts, unallocated - primaryTokens
}

// longPromptMembers returns the endpoints that long prompts may use: those that run no
// short prompts, and always the last ones in the order that all entries share, one
// endpoint in longPromptDivisor but at least one.
func longPromptMembers(all []*member) []*member {
	minSize := max(1, len(all)/longPromptDivisor)
	var members []*member
	for i, m := range all {
		if m.shortRunning == 0 || i >= len(all)-minSize {
			members = append(members, m)
		}
	}
	return members
}

// prefillOnly returns the members that decode no answers. Engines prefill parts of
// prompts whose primary is another endpoint before their own prompts, so a decoding
// endpoint that also helps keeps its own callers waiting for as long as such parts
// arrive. If all endpoints decode, all are returned.
func prefillOnly(members []*member) []*member {
	free := slices.DeleteFunc(slices.Clone(members), func(m *member) bool { return m.running > 0 })
	if len(free) == 0 {
		return members
	}
	return free
}

// unlimitedFirst orders the candidates for helpers. A helper costs an endpoint that names a
// limit up to three of its requests.
func unlimitedFirst(a, b *member) int {
	switch limitedA, limitedB := a.limit.perSecond > 0, b.limit.perSecond > 0; {
	case limitedA == limitedB:
		return 0
	case limitedA:
		return 1
	}
	return -1
}

// without returns the members of all that are not in some.
func without(all, some []*member) []*member {
	return slices.DeleteFunc(slices.Clone(all), func(m *member) bool { return slices.Contains(some, m) })
}
