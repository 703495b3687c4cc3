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
	// retryElsewhere is when a request refused by one endpoint is worth another try.
	retryElsewhere = 100 * time.Millisecond
	// reservationGrace is how long after its deadline an attempt keeps its memory
	// when nobody has said that it ended.
	reservationGrace = 5 * time.Second
	// aloneHold is how long an endpoint falls idle for a request that has to run
	// alone, unless it is asked again.
	aloneHold = time.Second
	// serviceRoom stands for the room of a plain service, which has no KV tokens.
	serviceRoom = 1
)

// gate is the last decision before the engine. Its lock is "sidecar.gate".
type gate struct {
	name    string
	service bool

	mu          sync.Mutex
	incarnation uint64
	leaving     bool
	// down is set when the engine broke off, until it reports again.
	down bool
	// aloneRuns is set while a request runs apart, and until aloneUntil nothing but
	// such a request is admitted.
	aloneRuns  bool
	aloneUntil time.Time
	// idle is closed once the endpoint is leaving and nothing runs any more.
	idle    chan struct{}
	running int
	long    int
	// backlog estimates the prompt tokens that wait for prefill.
	backlog reserve.Backlog
	book    *reserve.Reservations
	ramp    *ramp.Ramp
	claims  *once.Gate
	engine  engine.Load
}

// admission is what the gate granted to one attempt.
type admission struct {
	id      string
	prompt  int64
	tokens  int64
	long    bool
	started bool
	// left is the part of tokens that the engine has not yet worked on.
	left int64
}

func newGate(name string, incarnation uint64, service bool) *gate {
	return &gate{
		name:        name,
		service:     service,
		incarnation: incarnation,
		idle:        make(chan struct{}),
		book:        reserve.NewReservations(reserve.DefaultSettings()),
		ramp:        ramp.New(ramp.DefaultSettings()),
		claims:      once.NewGate(incarnation),
	}
}

// permitted says whether the configuration gives the endpoint new work. It is
// decided by our own document, while it is proven that this was current a moment
// ago: by control, or by an entry that answered to a stamp of ours.
func permitted(doc *config.Document, own wire.Permission, name, zone string) error {
	switch {
	case own.Left <= 0:
		return verdict.Refuse(verdict.ReasonStaleConfiguration, time.Second, "nobody has proven to endpoint %s that revision %d is current", name, own.Revision)
	case doc.EndpointState(name, zone) != config.In:
		return verdict.Refuse(verdict.ReasonZoneOut, retryElsewhere, "endpoint %s or its availability zone is out", name)
	}
	return nil
}

// admit decides on one attempt of the entry called owner and books what it needs.
// Its error is a *verdict.Refusal that promises that nothing has run.
func (g *gate) admit(now time.Time, d *wire.Dispatch, owner string) (*admission, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.open(now, d); err != nil {
		return nil, err
	}
	if err := g.apart(now, d); err != nil {
		return nil, err
	}
	a := &admission{
		id:     engineRequestID(d.Attempt),
		prompt: int64(d.PromptTokens),
		tokens: int64(d.PromptTokens) + int64(d.OutputTokens),
		left:   int64(d.PromptTokens) + int64(d.OutputTokens),
		long:   route.ClassOf(d.PromptTokens) == route.Long,
	}
	if err := g.bookEngine(now, d, a, owner); err != nil {
		return nil, err
	}
	if d.Claim != nil {
		if err := g.claims.Admit(d.Claim.Fence, d.Incarnation); err != nil {
			return nil, err
		}
	}
	g.running++
	g.aloneRuns = d.Alone
	if d.Alone {
		g.aloneUntil = time.Time{}
	}
	return a, nil
}

// open checks what does not depend on the engine's room.
func (g *gate) open(now time.Time, d *wire.Dispatch) error {
	switch {
	case d.Endpoint != g.name:
		return verdict.Refuse(verdict.ReasonNoEndpoint, 0, "endpoint %s is not here", d.Endpoint)
	case d.Incarnation != g.incarnation:
		return verdict.Refuse(verdict.ReasonEndpointRestarted, retryElsewhere, "endpoint %s has started anew", g.name)
	case g.down:
		return verdict.Refuse(verdict.ReasonUnreachable, retryElsewhere, "endpoint %s has just broken off", g.name)
	case g.leaving:
		return verdict.Refuse(verdict.ReasonEndpointLeaving, retryElsewhere, "endpoint %s is leaving", g.name)
	case d.MaxPending > 0 && g.backlog.Pending(now, g.engine.PrefillRate) > d.MaxPending:
		return verdict.Refuse(verdict.ReasonOverloaded, retryElsewhere, "endpoint %s has more than %d prompt tokens waiting", g.name, d.MaxPending)
	}
	return nil
}

// apart keeps a request that has to run alone from all others. Such a request is
// refused while others run, and then for a moment nothing else is admitted, so
// that the endpoint falls idle for it.
func (g *gate) apart(now time.Time, d *wire.Dispatch) error {
	switch {
	case g.aloneRuns:
		return verdict.Refuse(verdict.ReasonEndpointBusy, retryElsewhere, "endpoint %s runs a request apart", g.name)
	case d.Alone && g.running > 0:
		g.aloneUntil = now.Add(aloneHold)
		return verdict.Refuse(verdict.ReasonEndpointBusy, retryElsewhere, "endpoint %s is not idle yet", g.name)
	case !d.Alone && now.Before(g.aloneUntil):
		return verdict.Refuse(verdict.ReasonEndpointBusy, retryElsewhere, "endpoint %s falls idle for a request apart", g.name)
	}
	return nil
}

// bookEngine reserves the engine's memory and a part of a cold engine's allowance.
func (g *gate) bookEngine(now time.Time, d *wire.Dispatch, a *admission, owner string) error {
	if g.service {
		return nil
	}
	expires := now.Add(d.Deadline + reservationGrace)
	if err := g.book.Reserve(now, a.id, owner, a.tokens, expires); err != nil {
		return err
	}
	if err := g.ramp.Admit(a.tokens); err != nil {
		g.book.Release(now, a.id)
		return err
	}
	g.backlog.Add(now, a.id, a.prompt)
	if a.long {
		g.long++
	}
	return nil
}

// seal makes sure that the claim of a refused attempt does not pass later, and
// returns what is proven about it.
func (g *gate) seal(c *wire.Claim, incarnation uint64) verdict.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claims.Seal(c.Fence, incarnation)
}

// unused takes back a claim that passed when no byte has left for the endpoint.
func (g *gate) unused(c *wire.Claim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claims.MarkUnsent(c.Fence)
}

// openClaims lets claims above newest pass, once incarnation is registered.
func (g *gate) openClaims(incarnation, newest uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if incarnation == g.incarnation {
		g.claims.Open(newest)
	}
}

// firstToken notes that the attempt's prompt has been processed.
func (g *gate) firstToken(now time.Time, a *admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.started || g.service {
		return
	}
	a.started = true
	g.backlog.Remove(now, a.id)
	g.worked(a, a.prompt)
	g.book.RecordUsage(now, a.id, a.prompt)
}

// worked counts work that the engine has done towards its being warm. The caller
// holds the lock.
func (g *gate) worked(a *admission, tokens int64) {
	tokens = min(tokens, a.left)
	a.left -= tokens
	g.ramp.Complete(tokens)
}

// finish takes back an attempt. freed is set once the engine holds nothing of it
// any more; else its memory stays booked until sweep has freed it. output is the
// tokens of output of a whole answer.
func (g *gate) finish(now time.Time, a *admission, freed bool, output int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.aloneRuns = false
	g.checkIdle()
	if g.service {
		return
	}
	g.backlog.Remove(now, a.id)
	if a.long {
		g.long--
	}
	g.worked(a, output)
	g.ramp.EndAttempt(a.left)
	if freed {
		g.book.Release(now, a.id)
	}
}

// current returns the endpoint's incarnation.
func (g *gate) current() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// broke notes that the engine broke off. Nothing is sent there before it reports,
// because what was in flight with a crashing request would be taken for its like.
func (g *gate) broke() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = !g.service
}

// leave refuses all new work from now on.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return
	}
	g.leaving = true
	g.checkIdle()
}

// checkIdle closes idle when the last attempt of a leaving endpoint has ended.
// Nothing is admitted after that, so it happens once. The caller holds the lock.
func (g *gate) checkIdle() {
	if g.leaving && g.running == 0 {
		close(g.idle)
	}
}

// observe takes in a report of the engine that was true at the given time. It
// returns whether the engine has started anew, which begins an incarnation.
func (g *gate) observe(now, at time.Time, l engine.Load) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engine = l
	g.down = false
	if g.service {
		return false
	}
	if g.book.ApplyReport(at, l) {
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

// orphans lists what has to be cancelled or freed at the engine: holdings whose
// lease has lapsed, and attempts that no longer fit an engine that shrank.
func (g *gate) orphans(now time.Time) (lapsed, excess []reserve.Reclaimable) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Expired(now), g.book.Excess(now)
}

// reconcile takes in the caches that the engine holds for others.
func (g *gate) reconcile(now time.Time, list engine.KVList, adopted time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Reconcile(now, list, adopted)
}

// released notes that the engine has freed a holding.
func (g *gate) released(now time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Release(now, id)
}

// load is the endpoint's load as the gate sees it.
func (g *gate) load(now time.Time) wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.service {
		return wire.Load{FreeTokens: serviceRoom, CapacityTokens: serviceRoom, RampTokens: ramp.Warm, Running: g.running, Leaving: g.leaving}
	}
	return wire.Load{
		FreeTokens:         g.book.Free(now),
		CapacityTokens:     g.book.MaxRequestTokens(),
		PendingPrefill:     g.backlog.Pending(now, g.engine.PrefillRate),
		PrefillRate:        g.engine.PrefillRate,
		DecodeRate:         g.engine.DecodeRate,
		RampTokens:         g.ramp.Remaining(),
		Running:            g.running,
		Leaving:            g.leaving,
		LongPromptsRunning: g.long,
	}
}

// describe returns what the gate knows of the endpoint.
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
