package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// assignGroup places a long prompt: the primary endpoint decodes its answer, and
// helpers prefill parts of the prompt and hold its memory. The answers are concentrated on a
// few endpoints, because each run of decode steps costs the same for one answer and for many.
//
// An engine prefills the part that arrived last first. A part in its backlog may
// therefore wait for as long as others arrive, so only endpoints without a backlog get a part.
func (f *Fleet) assignGroup(now time.Time, r *Request, all []*member) (*Assignment, error) {
	primary := pickPrimary(now, r, all)
	others := f.helperCandidates(now, r, primary)
	readers := f.readers(now, r, all, others)
	free := f.freeReaders(now, r, readers)
	size := r.bestSize(free)
	if !r.mayStart(now, size, 1+len(readers)) {
		return nil, verdict.Refuse(verdict.ReasonOverloaded, busyRetryAfter, "%d of %d endpoints of %s are free to read %d tokens",
			size, 1+len(readers), r.Service, r.PromptTokens)
	}
	chosen := append([]*member{primary}, free[:size-1]...)
	parts, unallocated := allocateMemory(now, r, chosen)
	rest := without(readers, chosen)
	if r.totalTokens() > r.Engine.MemoryTokens*int64(1+len(readers)) {
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
	a := &Assignment{Primary: primary.Endpoint, Candidates: len(all), Readers: 1 + len(readers)}
	a.Booking = Booking{Primary: parts[0], Helpers: parts[1:], PrefillTime: r.Engine.SharedPrefillTime(r.PromptTokens, len(chosen)), EventGapTarget: r.EventGapTarget}
	for i, m := range chosen {
		if i > 0 {
			a.Helpers = append(a.Helpers, m.Endpoint)
		}
		a.PredictedPrefill = max(a.PredictedPrefill, m.backlog(now)+a.Booking.PrefillTime)
	}
	return a, nil
}

// Readers returns how many endpoints read long prompts like this one now, including those that are busy.
func (f *Fleet) Readers(now time.Time, r *Request) int {
	all := f.eligible(now, r, true)
	return len(f.readers(now, r, all, all))
}

// StartBy returns when the request has to be placed for an answer that begins when it is due, if
// readers endpoints read it together. It returns the zero time if it is not known when it is due.
func (r *Request) StartBy(readers int) time.Time {
	if r.Due.IsZero() || r.Engine == nil {
		return r.Due
	}
	size := 1
	if r.grouped() {
		size = r.preferredSize(max(1, readers))
	}
	reading := time.Duration(readMargin * float64(r.Engine.SharedPrefillTime(r.PromptTokens, size)))
	return r.Due.Add(-reading - 2*r.Engine.DecodeRunTime())
}

// readers returns the endpoints among others that may read parts of long prompts, also while they are
// busy: those that running short prompts do not need. The ones with the fewest answers come first.
func (f *Fleet) readers(now time.Time, r *Request, all, others []*member) []*member {
	avoidSlow, forShort := avoidsSlow(now, all), shortFront(all)
	out := slices.DeleteFunc(slices.Clone(others), func(m *member) bool {
		return !m.mayHelp(now) || avoidSlow && m.slow(now) || m.shortRunning > 0 && slices.Contains(forShort, m)
	})
	slices.Reverse(out)
	slices.SortStableFunc(out, func(a, b *member) int { return cmp.Compare(a.running, b.running) })
	slices.SortStableFunc(out, unlimitedFirst)
	return out
}

// freeReaders returns the readers that can take a part of the prompt now, without a long pause of the
// answers that they decode.
func (f *Fleet) freeReaders(now time.Time, r *Request, readers []*member) []*member {
	overdue := f.overdue(now)
	free := slices.DeleteFunc(slices.Clone(readers), func(m *member) bool {
		return m.backlog(now) > idleBacklog || overdue[m.Name] && m.running == 0
	})
	for {
		// Fewer readers make longer parts, which still fewer can take.
		part := r.Engine.SharedPrefillTime(r.PromptTokens, r.preferredSize(1+len(free)))
		able := slices.DeleteFunc(slices.Clone(free), func(m *member) bool { return !m.mayRead(r.Engine, part) })
		if len(able) == len(free) {
			return free
		}
		free = able
	}
}

// mayStart reports whether a group of this size starts to read the prompt, rather than wait for a larger
// one of up to readers. One that is too small makes other answers pause, holds its endpoints for long,
// and may make an answer late that a larger one can still begin in time.
func (r *Request) mayStart(now time.Time, size, readers int) bool {
	part := r.Engine.SharedPrefillTime(r.PromptTokens, size)
	fullPart := r.Engine.SharedPrefillTime(r.PromptTokens, r.preferredSize(readers))
	longest := max(unobtrusivePrefill, time.Duration(maxGapFraction*float64(r.EventGapTarget)), time.Duration(fullGroupTolerance*float64(fullPart)))
	late := r.StartBy(size).Before(now)
	mayBeInTime := !r.StartBy(readers).Before(now)
	return float64(part)*(1-r.relaxed()) <= float64(longest) && !(late && mayBeInTime)
}

// relaxed returns how far the demand for a large group has fallen, from 0 to 1.
func (r *Request) relaxed() float64 {
	if !r.Alone || r.RelaxAfter <= 0 {
		return 0
	}
	return min(1, float64(r.Waited)/float64(r.RelaxAfter))
}

// shortFront returns the first endpoints, in the order that all entries share, that could hold all
// running short prompts.
func shortFront(all []*member) []*member {
	running, room := 0, 0.0
	for _, m := range all {
		running += m.shortRunning
	}
	for i, m := range all {
		if room >= float64(running) {
			return all[:i]
		}
		room += fillSlotFraction * float64(m.Slots)
	}
	return all
}

// bestSize returns how many of the free readers, which those without answers lead, read the prompt with its
// primary. Ones with answers join only if that saves more than the runs of decode steps in which they begin to
// read: until then the others of the group wait for them.
func (r *Request) bestSize(free []*member) int {
	size := r.preferredSize(1 + len(free))
	idle := 1
	for idle < size && free[idle-1].running == 0 {
		idle++
	}
	saved := r.Engine.SharedPrefillTime(r.PromptTokens, idle) - r.Engine.SharedPrefillTime(r.PromptTokens, size)
	if saved <= 2*r.Engine.DecodeRunTime() {
		return idle
	}
	return size
}

// preferredSize returns the number of endpoints, up to available, whose parts delay running answers only a
// little.
func (r *Request) preferredSize(available int) int {
	part := max(unobtrusivePrefill, time.Duration(preferredGapFraction*float64(r.EventGapTarget)))
	return min(r.Engine.EnginesWithin(r.PromptTokens, part), available, 1+MaxHelpers)
}

// pickPrimary returns the primary endpoint for a long prompt: the last one, in the
// order that all entries share, that runs no short prompts, decodes few answers, has
// little prefill backlog, and can read its part without pauses of its answers.
func pickPrimary(now time.Time, r *Request, all []*member) *member {
	maxRunning := max(1, int(decodeSlotFraction*float64(r.Engine.Slots)))
	part, avoidSlow := r.Engine.SharedPrefillTime(r.PromptTokens, r.preferredSize(len(all))), avoidsSlow(now, all)
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
