package sidecar

import (
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/once"
	"github.com/rosemaryproxy/rosemaryproxy/ramp"
	"github.com/rosemaryproxy/rosemaryproxy/reserve"
	"github.com/rosemaryproxy/rosemaryproxy/route"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// elsewhereRetryAfter is the retry delay for a request that another endpoint may
	// accept.
	elsewhereRetryAfter = 100 * time.Millisecond
	// reservationGrace is how long after its deadline an attempt keeps its memory
	// reservation if its end was not recorded.
	reservationGrace = 5 * time.Second
	// aloneReservation is how long an endpoint refuses other requests so that it drains
	// for a request that has to run alone. Each further dispatch of such a request
	// restarts it.
	aloneReservation = time.Second
	// serviceTokens is the reported memory of a plain service, which has no KV memory.
	serviceTokens = 1
)

// gate makes the final admission decision before the engine, and keeps the state that
// the decision needs. kernel.LockOrder lists its lock as "sidecar.gate".
type gate struct {
	name    string
	service bool

	mu          sync.Mutex
	incarnation uint64
	leaving     bool
	// down is set from a broken connection to the engine until the engine's next report.
	down bool
	// aloneRunning is set while a request runs alone. Until reservedForAloneUntil only a
	// request that has to run alone is admitted.
	aloneRunning          bool
	reservedForAloneUntil time.Time
	// drained is closed once the endpoint is leaving and no attempt is in flight.
	// running is the number of attempts in flight, and long is the number of those with a
	// long prompt.
	drained chan struct{}
	running int
	long    int
	// backlog estimates the prompt tokens that wait for prefill, and engine is the last
	// report of the engine.
	backlog      reserve.Backlog
	reservations *reserve.Reservations
	ramp         *ramp.Ramp
	claims       *once.Gate
	engine       engine.Load
}

// admission is an attempt that the gate has admitted. The gate's lock guards prefilled and
// remaining.
type admission struct {
	// id is the request ID at the engine.
	id string
	// prompt is the number of prompt tokens, and tokens that of prompt and output. long is
	// set for a long prompt.
	prompt    int64
	tokens    int64
	long      bool
	prefilled bool
	// remaining is the part of tokens that the engine has not processed yet.
	remaining int64
}

func newGate(name string, incarnation uint64, service bool) *gate {
	return &gate{
		name:         name,
		service:      service,
		incarnation:  incarnation,
		drained:      make(chan struct{}),
		reservations: reserve.NewReservations(reserve.DefaultSettings()),
		ramp:         ramp.New(ramp.DefaultSettings()),
		claims:       once.NewGate(incarnation),
	}
}

// checkPermitted returns a refusal if the configuration does not allow new work at the
// endpoint. It uses the sidecar's configuration doc, and only while the sidecar's
// permission, the parameter own, proves that doc was current recently. The permission is
// renewed by control, or by a message of an entry that returns a recent timestamp of this
// sidecar (see wire.Permission).
func checkPermitted(doc *config.Document, own wire.Permission, name, zone string) error {
	switch {
	case own.Left <= 0:
		return verdict.Refuse(verdict.ReasonStaleConfiguration, time.Second, "nobody has proven to endpoint %s that revision %d is current", name, own.Revision)
	case doc.EndpointState(name, zone) != config.In:
		return verdict.Refuse(verdict.ReasonZoneOut, elsewhereRetryAfter, "endpoint %s or its availability zone is out", name)
	}
	return nil
}

// checkEntry returns a refusal if the entry that sends an attempt may have looked the caller's key and route up
// in a configuration that is no longer in force. The sidecar's own permission proves that its revision is
// current, so an entry with the same revision needs none.
func checkEntry(entry, own wire.Permission, name string) error {
	if entry.Left > 0 || entry.Revision >= own.Revision {
		return nil
	}
	return verdict.Refuse(verdict.ReasonStaleConfiguration, time.Second,
		"the permission of entry %s has lapsed at revision %d, and revision %d is in force", name, entry.Revision, own.Revision)
}

// admit decides on an attempt of the entry with the name owner, and reserves the engine's
// resources for it. Its error is a *verdict.Refusal.
func (g *gate) admit(now time.Time, d *wire.Dispatch, owner string) (*admission, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkAvailable(now, d); err != nil {
		return nil, err
	}
	if err := g.checkAlone(now, d); err != nil {
		return nil, err
	}
	a := &admission{
		id:        engineRequestID(d.Attempt),
		prompt:    int64(d.PromptTokens),
		tokens:    int64(d.PromptTokens) + int64(d.OutputTokens),
		remaining: int64(d.PromptTokens) + int64(d.OutputTokens),
		long:      route.ClassOf(d.PromptTokens) == route.Long,
	}
	if err := g.reserveEngine(now, d, a, owner); err != nil {
		return nil, err
	}
	if d.Claim != nil {
		if err := g.claims.Admit(d.Claim.Fence, d.Incarnation); err != nil {
			return nil, err
		}
	}
	g.running++
	g.aloneRunning = d.Alone
	if d.Alone {
		g.reservedForAloneUntil = time.Time{}
	}
	return a, nil
}

// checkAvailable checks whether the endpoint accepts the dispatch, apart from memory and
// from requests that run alone. The caller holds the lock.
func (g *gate) checkAvailable(now time.Time, d *wire.Dispatch) error {
	switch {
	case d.Endpoint != g.name:
		return verdict.Refuse(verdict.ReasonNoEndpoint, 0, "endpoint %s is not here", d.Endpoint)
	case d.Incarnation != g.incarnation:
		return verdict.Refuse(verdict.ReasonEndpointRestarted, elsewhereRetryAfter, "endpoint %s has started anew", g.name)
	case g.down:
		return verdict.Refuse(verdict.ReasonUnreachable, elsewhereRetryAfter, "endpoint %s has just broken off", g.name)
	case g.leaving:
		return verdict.Refuse(verdict.ReasonEndpointLeaving, elsewhereRetryAfter, "endpoint %s is leaving", g.name)
	case d.MaxPending > 0 && g.backlog.Pending(now, g.engine.PrefillRate) > d.MaxPending:
		return verdict.Refuse(verdict.ReasonOverloaded, elsewhereRetryAfter, "endpoint %s has more than %d prompt tokens waiting", g.name, d.MaxPending)
	}
	return nil
}

// checkAlone separates a request that has to run alone from all others. Such a request is
// refused while others are in flight. For the time aloneReservation after that, no other
// request is admitted, so that the endpoint drains. The caller holds the lock.
func (g *gate) checkAlone(now time.Time, d *wire.Dispatch) error {
	switch {
	case g.aloneRunning:
		return verdict.Refuse(verdict.ReasonEndpointBusy, elsewhereRetryAfter, "endpoint %s runs a request apart", g.name)
	case d.Alone && g.running > 0:
		g.reservedForAloneUntil = now.Add(aloneReservation)
		return verdict.Refuse(verdict.ReasonEndpointBusy, elsewhereRetryAfter, "endpoint %s is not idle yet", g.name)
	case !d.Alone && now.Before(g.reservedForAloneUntil):
		return verdict.Refuse(verdict.ReasonEndpointBusy, elsewhereRetryAfter, "endpoint %s falls idle for a request apart", g.name)
	}
	return nil
}

// reserveEngine reserves memory of the engine and, if the engine is cold, a part of its
// slow-start allowance. The caller holds the lock.
func (g *gate) reserveEngine(now time.Time, d *wire.Dispatch, a *admission, owner string) error {
	if g.service {
		return nil
	}
	expires := now.Add(d.Deadline + reservationGrace)
	if err := g.reservations.Reserve(now, a.id, owner, a.tokens, expires); err != nil {
		return err
	}
	if err := g.ramp.Admit(a.tokens); err != nil {
		g.reservations.Release(now, a.id)
		return err
	}
	g.backlog.Add(now, a.id, a.prompt)
	if a.long {
		g.long++
	}
	return nil
}

// seal prevents the claim of a refused attempt from being admitted later, and returns the
// verdict on the claimed call: NotRun if the call has not run and never will.
func (g *gate) seal(c *wire.Claim, incarnation uint64) verdict.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claims.Seal(c.Fence, incarnation)
}

// markUnsent seals an admitted claim of which no byte was sent to the endpoint.
func (g *gate) markUnsent(c *wire.Claim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claims.MarkUnsent(c.Fence)
}

// openClaims makes the gate admit claims from now on, if their fencing number is above
// newest. It is called when incarnation is registered, and does nothing if the endpoint has
// restarted since.
func (g *gate) openClaims(incarnation, newest uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if incarnation == g.incarnation {
		g.claims.Open(newest)
	}
}

// firstToken records the start of the answer, which shows that the prefill is complete.
func (g *gate) firstToken(now time.Time, a *admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.prefilled || g.service {
		return
	}
	a.prefilled = true
	g.backlog.Remove(now, a.id)
	g.completeWork(a, a.prompt)
	g.reservations.RecordUsage(now, a.id, a.prompt)
}

// completeWork records that the engine has processed tokens of the attempt, which raises the
// slow-start allowance. The caller holds the lock.
func (g *gate) completeWork(a *admission, tokens int64) {
	tokens = min(tokens, a.remaining)
	a.remaining -= tokens
	g.ramp.Complete(tokens)
}

// finish ends an attempt. freed is set if the engine holds no memory for the attempt any
// more; otherwise the memory stays reserved until sweep has freed it. output is the
// number of output tokens of a complete answer, or zero.
func (g *gate) finish(now time.Time, a *admission, freed bool, output int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.aloneRunning = false
	g.closeIfDrained()
	if g.service {
		return
	}
	g.backlog.Remove(now, a.id)
	if a.long {
		g.long--
	}
	g.completeWork(a, output)
	g.ramp.EndAttempt(a.remaining)
	if freed {
		g.reservations.Release(now, a.id)
	}
}

// currentIncarnation returns the current incarnation of the endpoint.
func (g *gate) currentIncarnation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// markDown records that the engine broke a connection. A model engine gets no requests
// until its next report: the requests in flight at a crash are suspected of having caused
// it, so no new request may join them.
func (g *gate) markDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = !g.service
}

// leave refuses all new attempts from now on.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return
	}
	g.leaving = true
	g.closeIfDrained()
}

// closeIfDrained closes drained when the last attempt of a leaving endpoint has ended.
// Later attempts are not admitted, so the channel is closed only once. The caller holds
// the lock.
func (g *gate) closeIfDrained() {
	if g.leaving && g.running == 0 {
		close(g.drained)
	}
}

// applyReport records a report that describes the engine at the time at. It reports
// whether the engine has restarted, which begins a new incarnation.
func (g *gate) applyReport(now, at time.Time, l engine.Load) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engine = l
	g.down = false
	if g.service {
		return false
	}
	if g.reservations.ApplyReport(at, l) {
		g.incarnation = newIncarnation(now)
		g.claims = once.NewGate(g.incarnation)
		g.ramp.Reset()
		g.backlog.Clear()
		return true
	}
	if g.backlog.Pending(now, l.PrefillRate) > 0 && l.PrefillRate > 0 {
		g.ramp.ObserveRate(l.PrefillRate)
	}
	return false
}

// reclaimable lists what has to be cancelled or freed at the engine: reservations whose
// lease has expired, and attempts that exceed the memory that the engine can give.
func (g *gate) reclaimable(now time.Time) (expired, excess []reserve.Reclaimable) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reservations.Expired(now), g.reservations.Excess(now)
}

// reconcile compares the reservations with the list of caches that the engine holds. The
// reservation of a cache that was unknown until now has a lease until expires.
func (g *gate) reconcile(now time.Time, list engine.KVList, expires time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reservations.Reconcile(now, list, expires)
}

// releaseReservation releases a reservation whose memory the engine has freed.
func (g *gate) releaseReservation(now time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reservations.Release(now, id)
}

// load returns the current load of the endpoint.
func (g *gate) load(now time.Time) wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.service {
		return wire.Load{FreeTokens: serviceTokens, CapacityTokens: serviceTokens, RampTokens: ramp.Warm, Running: g.running, Leaving: g.leaving}
	}
	return wire.Load{
		FreeTokens:         g.reservations.Free(now),
		CapacityTokens:     g.reservations.MaxRequestTokens(),
		PendingPrefill:     g.backlog.Pending(now, g.engine.PrefillRate),
		PrefillRate:        g.engine.PrefillRate,
		DecodeRate:         g.engine.DecodeRate,
		RampTokens:         g.ramp.Remaining(),
		Running:            g.running,
		Leaving:            g.leaving,
		LongPromptsRunning: g.long,
	}
}

// describe returns the part of the endpoint's description that the gate knows.
func (g *gate) describe(now time.Time) wire.Endpoint {
	load := g.load(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Endpoint{
		Incarnation: g.incarnation,
		Version:     g.engine.Version,
		Adapters:    g.engine.Adapters,
		Role:        g.engine.Role,
		Load:        load,
	}
}
