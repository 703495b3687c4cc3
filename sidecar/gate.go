package sidecar

import (
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// retryElsewhere is when a request refused by one endpoint is worth another try.
const retryElsewhere = 100 * time.Millisecond

// gate is the last decision before the engine. Its lock is "sidecar.gate".
type gate struct {
	name    string
	zone    string
	service bool

	mu          sync.Mutex
	incarnation uint64
	leaving     bool
	running     int
	reserved    int64
	engine      engine.Load
}

func newGate(name, zone string, incarnation uint64, service bool) *gate {
	return &gate{name: name, zone: zone, service: service, incarnation: incarnation}
}

// permitted says whether the configuration gives the endpoint new work. Our own
// document decides while we, or an entry whose revision is not above ours, prove
// that it was current a moment ago. An entry with a higher revision answers for
// it: it sends only where that revision allows.
func permitted(doc *config.Document, own, peer wire.Permission, name, zone string) error {
	proven := own.Left > 0 || peer.Left > 0
	switch {
	case !proven:
		return verdict.Refuse(verdict.ReasonStale, time.Second, "neither entry nor sidecar knows that revision %d is current", own.Revision)
	case own.Left <= 0 && peer.Revision > own.Revision:
		return nil
	case doc.EndpointState(name, zone) != config.In:
		return verdict.Refuse(verdict.ReasonZoneOut, retryElsewhere, "endpoint %s or its availability zone is out", name)
	}
	return nil
}

// admit decides on one attempt and reserves its memory. Its error is a
// *verdict.Refusal that promises that nothing has run.
func (g *gate) admit(d *wire.Dispatch) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case d.Endpoint != g.name:
		return verdict.Refuse(verdict.ReasonNoEndpoint, 0, "endpoint %s is not here", d.Endpoint)
	case d.Incarnation != g.incarnation:
		return verdict.Refuse(verdict.ReasonIncarnation, retryElsewhere, "endpoint %s has started anew", g.name)
	case g.leaving:
		return verdict.Refuse(verdict.ReasonEndpointLeaving, retryElsewhere, "endpoint %s is leaving", g.name)
	}
	need := int64(d.PromptTokens + d.OutputTokens)
	if !g.service && g.reserved+need > g.engine.TotalTokens {
		return verdict.Refuse(verdict.ReasonEndpointMemory, retryElsewhere, "endpoint %s has no room for %d tokens", g.name, need)
	}
	g.reserved += need
	g.running++
	return nil
}

// release gives back what admit reserved.
func (g *gate) release(d *wire.Dispatch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reserved -= int64(d.PromptTokens + d.OutputTokens)
	g.running--
}

// leave refuses all new work from now on.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// observe takes a report of the engine. It returns whether the engine has
// started anew, which begins a new incarnation.
func (g *gate) observe(l engine.Load, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	restarted := g.engine.Boot != 0 && l.Boot != g.engine.Boot
	if restarted {
		g.incarnation = newIncarnation(now)
	}
	g.engine = l
	return restarted
}

// load is the endpoint's load as the gate sees it.
func (g *gate) load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Load{
		FreeTokens:     g.engine.TotalTokens - g.reserved,
		CapacityTokens: g.engine.TotalTokens,
		PrefillRate:    g.engine.PrefillRate,
		DecodeRate:     g.engine.DecodeRate,
		RampTokens:     -1,
		Running:        g.running,
		Leaving:        g.leaving,
	}
}

// describe returns what the gate knows of the endpoint.
func (g *gate) describe() wire.Endpoint {
	load := g.load()
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
