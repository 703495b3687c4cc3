package assign

import (
	"cmp"
	"slices"
	"time"
)

// spreadCost is the cost of a short prompt at a holder that runs none: the endpoint can no longer read parts of
// long prompts, for which short prompts are packed on few endpoints. It is an estimate, the prefill time
// of 2,000 tokens, and not measured.
const spreadCost = 10 * time.Millisecond

// Incarnation returns the current incarnation of an endpoint, and false if it is not known.
func (f *Fleet) Incarnation(name string) (uint64, bool) {
	m := f.members[name]
	if m == nil {
		return 0, false
	}
	return m.Incarnation, true
}

// saved returns the prefill time that the endpoint is expected to save for the request. It is zero at one without
// a slot or memory for the request, so that a saving never outweighs what is missing, and for a prompt
// that a group reads, because it is not known which of its endpoints holds which part.
func (m *member) saved(now time.Time, r *Request) time.Duration {
	kept := min(r.Kept[m.Name], r.PromptTokens)
	if kept <= 0 || r.Engine == nil || r.grouped() || m.Slots > 0 && m.running >= m.Slots || m.freeTokens(now, r.Engine) < r.totalTokens() {
		return 0
	}
	// The rest of the prompt attends to the tokens that are kept, so only their own prefill is saved.
	return r.Engine.PrefillTime(kept)
}

// prefillTime is the prefill time of the request at the endpoint alone.
func (m *member) prefillTime(now time.Time, r *Request) time.Duration {
	return r.Engine.PrefillTime(r.PromptTokens) - m.saved(now, r)
}

// preferHolder returns the endpoint that is expected to hold a part of the short prompt, if that costs less than
// the one that was picked by load. It addresses loads of requests with long shared prefixes; a popular
// prefix must not draw its requests to one endpoint, so a holder has to save more than the request waits there.
func (f *Fleet) preferHolder(now time.Time, r *Request, all []*member, picked *member) *member {
	if len(r.Kept) == 0 || picked == nil {
		return picked
	}
	overdue, avoidSlow := f.overdue(now), avoidsSlow(now, all)
	holders := slices.DeleteFunc(slices.Clone(all), func(m *member) bool {
		saved := m.saved(now, r)
		return saved <= 0 || m.backlog(now) >= saved || m.Cold || overdue[m.Name] || avoidSlow && m.slow(now) || m.running != m.shortRunning ||
			!m.mayRead(r.Engine, m.prefillTime(now, r)) || !m.letsDecode(r)
	})
	cost := func(m *member) time.Duration {
		if m != picked && m.shortRunning == 0 {
			return m.cost(now, r) + spreadCost
		}
		return m.cost(now, r)
	}
	return slices.MinFunc(append(holders, picked), func(a, b *member) int { return cmp.Compare(cost(a), cost(b)) })
}
