// Package assign decides which endpoints serve a request: one, or a group that reads
// a long prompt together. It does no I/O and reads no clock; its host serialises the
// calls.
package assign

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// shareLimit is the reading of a group's member that hardly delays the streams
	// and short prompts beside it: less than the pause that callers accept.
	shareLimit = 100 * time.Millisecond
	// soloLimit is the reading that is not worth a group.
	soloLimit = 160 * time.Millisecond
	// MaxHelpers bounds the helpers of one request, as engines do.
	MaxHelpers = 16
	// memoryPart is the part of an engine's memory that is given out; the rest is for
	// outputs that grow and for requests of other entries.
	memoryPart = 0.85
	// runningCost is what one more running request weighs against waiting time.
	runningCost = 4 * time.Millisecond
	// otherZoneCost is what another availability zone weighs against waiting time.
	otherZoneCost = 3 * time.Millisecond
	// queuedCost weighs a request that finds no free slot.
	queuedCost = 200 * time.Millisecond
	// coldCost weighs an endpoint that is cold.
	coldCost = 100 * time.Millisecond
	// firstDistrust and maxDistrust bound how long an endpoint that failed is left
	// alone. Each failure in a row doubles the time.
	firstDistrust = 500 * time.Millisecond
	maxDistrust   = 4 * time.Second
	// retryWhenBusy is when a request that found no room is worth another try.
	retryWhenBusy = 300 * time.Millisecond
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
	// ColdPerSecond is what a cold endpoint may get from this process in a second;
	// zero is no bound.
	ColdPerSecond float64
}

// Ticket is memory to be set aside at a helper.
type Ticket struct {
	Endpoint Endpoint
	// Tokens is zero for a helper that only reads.
	Tokens int64
}

// Assignment is who serves a request.
type Assignment struct {
	First   Endpoint
	Helpers []Ticket
	// Read is the predicted time until the prompt is read, with waiting.
	Read time.Duration
	// Considered is how many endpoints could have served the request.
	Considered int
}

// member is an endpoint and what this process has given it.
type member struct {
	Endpoint
	running int
	tokens  int64
	// helping counts the groups in which it only reads.
	helping int
	// readUntil is when the prompts given to it are read.
	readUntil time.Time
	failures  int
	// distrusted is until when it is left alone after failures.
	distrusted time.Time
	// sent are the times of requests in the last second.
	sent []time.Time
}

// Fleet is the endpoints and their load, as far as this process knows.
type Fleet struct {
	members map[string]*member
	out     map[string]bool
	rand    *rand.Rand
}

// NewFleet returns an empty fleet.
func NewFleet(r *rand.Rand) *Fleet {
	return &Fleet{members: map[string]*member{}, out: map[string]bool{}, rand: r}
}

// Update enters an endpoint. One that started anew has no load and no failures.
func (f *Fleet) Update(e Endpoint) {
	m, ok := f.members[e.Name]
	if !ok || m.Incarnation != e.Incarnation || m.Addr != e.Addr {
		f.members[e.Name] = &member{Endpoint: e}
		return
	}
	m.Endpoint = e
}

// Remove drops an endpoint.
func (f *Fleet) Remove(name string) { delete(f.members, name) }

// Keep drops all endpoints but those named.
func (f *Fleet) Keep(names map[string]bool) {
	for name := range f.members {
		if !names[name] {
			delete(f.members, name)
		}
	}
}

// SetOut says which availability zones take no new work.
func (f *Fleet) SetOut(zones map[string]bool) { f.out = zones }

// Len returns the number of endpoints.
func (f *Fleet) Len() int { return len(f.members) }

// Choose returns who serves the request.
func (f *Fleet) Choose(now time.Time, r *Request) (*Assignment, error) {
	all := f.able(now, r, true)
	if len(all) == 0 {
		all = f.able(now, r, false)
	}
	if len(all) == 0 {
		return nil, verdict.Refuse(verdict.ReasonNoEndpoint, retryWhenBusy, "no endpoint of %s can take the request", r.Service)
	}
	f.rank(now, r, all)
	if r.Engine == nil || r.PromptTokens == 0 {
		return &Assignment{First: all[0].Endpoint, Considered: len(all)}, nil
	}
	return f.group(now, r, all)
}

// able lists the endpoints that may get the request: trusted ones only, or any.
func (f *Fleet) able(now time.Time, r *Request, trusted bool) []*member {
	var out []*member
	for _, m := range f.members {
		switch {
		case m.Service != r.Service || m.Leaving || f.out[m.Zone] || slices.Contains(r.Tried, m.Name):
		case trusted && now.Before(m.distrusted):
		case !m.mayTake(now, r.ColdPerSecond):
		default:
			out = append(out, m)
		}
	}
	return out
}

// mayTake bounds the requests to an endpoint that may be cold without a word.
func (m *member) mayTake(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	m.sent = slices.DeleteFunc(m.sent, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	return float64(len(m.sent)+1) <= max(perSecond, 1)
}

// rank sorts the endpoints from best to worst; equal ones stay in random order.
func (f *Fleet) rank(now time.Time, r *Request, all []*member) {
	slices.SortFunc(all, func(a, b *member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	f.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *member) int {
		return int(cost(a, now, r) - cost(b, now, r))
	})
}

func cost(m *member, now time.Time, r *Request) time.Duration {
	total := m.wait(now) + time.Duration(m.running)*runningCost
	if m.Slots > 0 && m.running >= m.Slots {
		total += queuedCost
	}
	if m.Zone != r.Zone {
		total += otherZoneCost
	}
	if m.Cold {
		total += coldCost
	}
	return total
}

// wait is the reading that is ahead of a new prompt.
func (m *member) wait(now time.Time) time.Duration { return max(0, m.readUntil.Sub(now)) }

// free is the memory that may still be given out.
func (m *member) free(e *costmodel.Engine) int64 {
	return int64(float64(e.MemoryTokens)*memoryPart) - m.tokens
}

// group places a prompt on the best endpoint and lets others read parts of it. Memory
// that the first one lacks is set aside at helpers.
func (f *Fleet) group(now time.Time, r *Request, ranked []*member) (*Assignment, error) {
	need := int64(r.PromptTokens + r.OutputTokens)
	first := firstFor(r.Engine, ranked, need)
	others := slices.DeleteFunc(slices.Clone(ranked), func(m *member) bool { return m == first })
	lacking := max(0, need-max(0, first.free(r.Engine)))
	a := &Assignment{First: first.Endpoint, Considered: len(ranked)}
	engines := 1
	if r.Engine.Read(r.PromptTokens) > soloLimit {
		engines = min(r.Engine.Engines(r.PromptTokens, shareLimit), 1+MaxHelpers, len(ranked))
	}
	for _, m := range others {
		if len(a.Helpers) == MaxHelpers || len(a.Helpers)+1 >= engines && lacking == 0 {
			break
		}
		if r.Engine.Slots > 0 && m.helping >= r.Engine.Slots {
			continue
		}
		t := Ticket{Endpoint: m.Endpoint}
		if room := m.free(r.Engine); lacking > 0 && room > 0 {
			t.Tokens = min(lacking, room)
			lacking -= t.Tokens
		}
		a.Helpers = append(a.Helpers, t)
	}
	if lacking > 0 {
		return nil, verdict.Refuse(verdict.ReasonEndpointMemory, retryWhenBusy, "%d of %d tokens find no memory at %d endpoints of %s",
			lacking, need, len(ranked), r.Service)
	}
	share := r.Engine.Share(r.PromptTokens, len(a.Helpers)+1)
	a.Read = first.wait(now) + share
	for _, t := range a.Helpers {
		a.Read = max(a.Read, f.members[t.Endpoint.Name].wait(now)+share)
	}
	return a, nil
}

// firstFor returns the best endpoint with room for all of it, or that with most room.
func firstFor(e *costmodel.Engine, ranked []*member, need int64) *member {
	best := ranked[0]
	for _, m := range ranked {
		if m.free(e) >= need {
			return m
		}
		if m.free(e) > best.free(e) {
			best = m
		}
	}
	return best
}

// Start books an assignment. The returned function ends the booking; it may be called
// once more without effect.
func (f *Fleet) Start(now time.Time, r *Request, a *Assignment) (end func()) {
	var share time.Duration
	if r.Engine != nil {
		share = r.Engine.Share(r.PromptTokens, len(a.Helpers)+1)
	}
	need := int64(r.PromptTokens + r.OutputTokens)
	var undo []func()
	for _, t := range a.Helpers {
		need -= t.Tokens
		if m := f.members[t.Endpoint.Name]; m != nil {
			m.read(now, share)
			m.helping++
			m.tokens += t.Tokens
			undo = append(undo, func() { m.helping--; m.tokens -= t.Tokens })
		}
	}
	if m := f.members[a.First.Name]; m != nil {
		m.read(now, share)
		m.running++
		m.tokens += need
		m.sent = append(m.sent, now)
		undo = append(undo, func() { m.running--; m.tokens -= need })
	}
	return func() {
		for _, u := range undo {
			u()
		}
		undo = nil
	}
}

func (m *member) read(now time.Time, share time.Duration) {
	if m.readUntil.Before(now) {
		m.readUntil = now
	}
	m.readUntil = m.readUntil.Add(share)
}

// Served notes that an endpoint answered.
func (f *Fleet) Served(name string) {
	if m := f.members[name]; m != nil {
		m.failures = 0
	}
}

// Failed notes that an endpoint failed and returns for how long it is left alone.
func (f *Fleet) Failed(now time.Time, name string) time.Duration {
	m := f.members[name]
	if m == nil {
		return 0
	}
	span := min(firstDistrust<<min(m.failures, 4), maxDistrust)
	m.failures++
	m.distrusted = now.Add(span)
	return span
}

// Full notes that an endpoint had no room.
func (f *Fleet) Full(now time.Time, name string) {
	if m := f.members[name]; m != nil {
		m.readUntil = now.Add(max(m.wait(now), retryWhenBusy/2))
	}
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
