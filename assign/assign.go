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
	// are busy. Both follow the event gap target because endpoints prefill
	// their parts between the events of other answers.
	preferredGapFraction = 0.12
	maxGapFraction       = 0.2
	// fullGroupTolerance is how much longer the parts of a group may be than those of one with all
	// endpoints that long prompts use.
	fullGroupTolerance = 1.75
	// readMargin is the time in which a group reads a prompt, as a multiple of the prefill time of a part:
	// the answer waits for the last part, and an endpoint with answers begins to read only between two
	// runs of decode steps.
	readMargin = 1.25
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
	// Due is when the caller wants the first event; zero if that is not known.
	Due time.Time
	// Waited is how long the request has waited, and Alone is set if no other long prompt waits. Then
	// the number of endpoints that a long prompt requires falls with Waited, to one at RelaxAfter. With others
	// waiting it does not fall: a small group holds its endpoints for long, and makes the others late, too.
	Waited, RelaxAfter time.Duration
	Alone              bool
	// Contended is set if other entries are likely to want the same free slots. Entries then claim them in turn.
	Contended bool
	// Kept are the tokens of the prompt that endpoints are expected to hold still, by endpoint.
	Kept map[string]int
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
	// Candidates is the number of endpoints that were eligible, and Readers the number of those that
	// read long prompts, also while they are busy; zero for a short one.
	Candidates, Readers int
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
		if all = f.claimable(now, r, all); len(all) == 0 {
			return nil, verdict.Refuse(verdict.ReasonOverloaded, busyRetryAfter, "no endpoint of %s has a free slot that this entry may claim now", r.Service)
		}
		m := f.preferHolder(now, r, all, f.pickForShort(now, r, all))
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
		a.Booking.PrefillTime = m.prefillTime(now, r)
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
	total := m.backlog(now) + time.Duration(m.running)*runningCost - m.saved(now, r)
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
			m.mayRead(r.Engine, r.Engine.PrefillTime(r.PromptTokens)) && m.letsDecode(r) {
			return m
		}
	}
	return nil
}

// letsDecode reports whether the engine can read the parts that it has not read yet between two
// events of the request's own answer.
func (m *member) letsDecode(r *Request) bool {
	return r.EventGapTarget <= 0 || m.unread+r.Engine.PrefillTime(r.PromptTokens)+r.Engine.DecodeRunTime() <= time.Duration(readGapFraction*float64(r.EventGapTarget))
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
