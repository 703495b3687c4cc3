package gateway

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// limitsReceiveTime is for how long an entry that has started waits for the other entries to
// tell it the limits of endpoints.
const limitsReceiveTime = time.Second

// observeHead records what an endpoint says of itself in the head of its answer: the limit that
// it names, or that it names none, and whether it leaves. What cannot be decoded changes nothing.
func (a *attempt) observeHead(res *http.Response) {
	g, e := a.c.g, a.placed.Primary
	g.observeLeaving(a.sentAt, e, res.Header)
	g.observePause(a.sentAt, e, res)
	named, err := g.dialect.ReadLimit(res.Header)
	if err != nil {
		a.log().Warn("endpoint limit not understood", "limited", e.Name, "status", res.StatusCode, "error", err)
		return
	}
	if limit, changed := g.recordLimit(a.sentAt, e.Name, e.Incarnation, named); changed {
		a.log().Info("endpoint limit changed", "limited", e.Name, "incarnation", e.Incarnation, "per_second", limit.PerSecond, "version", limit.Version,
			"status", res.StatusCode, "header", named.Header, "age", g.clock.Now().Sub(a.sentAt))
	}
}

// observeLeaving records that an endpoint says in the head of an answer that it leaves, and informs
// the other entries. It gets nothing more, and what runs there goes on to its end.
func (g *Gateway) observeLeaving(sent time.Time, e assign.Endpoint, h http.Header) {
	leaving, err := g.dialect.ReadLeaving(h)
	if err != nil {
		g.log.Warn("endpoint notice not understood", "endpoint", e.Name, "error", err)
	}
	if !leaving {
		return
	}
	g.mu.Lock()
	notice, changed := g.fleet.ObserveLeaving(sent, e.Name, e.Incarnation)
	if changed {
		g.losses.Leaving(e.Name)
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	g.bookings.limitChanged(notice)
	g.metrics.leavingNotices.Inc()
	g.log.Info("endpoint says that it leaves", "endpoint", e.Name, "incarnation", e.Incarnation, "age", g.clock.Now().Sub(sent))
}

// observePause records that an endpoint asks this entry for a pause. Requests that wait choose others,
// or wait for its end if they can. Other entries are not told: the pause is for this one.
func (g *Gateway) observePause(sent time.Time, e assign.Endpoint, res *http.Response) {
	now := g.clock.Now()
	span, err := g.dialect.ReadPause(now, res)
	if err != nil {
		g.log.Warn("endpoint notice not understood", "endpoint", e.Name, "error", err)
	}
	if span <= 0 {
		return
	}
	g.mu.Lock()
	until, changed := g.fleet.ObservePause(now, sent, e.Name, e.Incarnation, span)
	g.mu.Unlock()
	if changed {
		g.metrics.pauses.Inc()
		g.log.Info("endpoint asks for a pause", "endpoint", e.Name, "incarnation", e.Incarnation, "status", res.StatusCode, "asked", span, "kept", until.Sub(now))
	}
}

// ObserveEngineAnswer records what the engine at an address says of itself in the head of its
// answer to a memory order or health check. Such an answer without a limit does not end one.
func (g *Gateway) ObserveEngineAnswer(addr string, sent time.Time, res *http.Response) {
	h := res.Header
	g.mu.Lock()
	e, known := g.fleet.AtAddr(addr)
	g.mu.Unlock()
	if known {
		g.observeLeaving(sent, e, h)
		g.observePause(sent, e, res)
	}
	named, err := g.dialect.ReadLimit(h)
	if err != nil {
		g.log.Warn("endpoint limit not understood", "addr", addr, "error", err)
		return
	}
	if !named.Named || !known {
		return
	}
	if limit, changed := g.recordLimit(sent, e.Name, e.Incarnation, named); changed {
		g.log.Info("endpoint limit changed", "limited", e.Name, "incarnation", e.Incarnation, "per_second", limit.PerSecond, "version", limit.Version,
			"header", named.Header, "age", g.clock.Now().Sub(sent))
	}
}

// recordLimit records what an answer says of an endpoint's limit, and informs the other entries if
// the limit has changed.
func (g *Gateway) recordLimit(sent time.Time, endpoint string, incarnation uint64, named NamedLimit) (assign.Limit, bool) {
	perSecond := named.PerSecond
	if !named.Named {
		perSecond = -1
	}
	now := g.clock.Now()
	g.mu.Lock()
	limit, changed := g.fleet.ObserveLimit(now, sent, endpoint, incarnation, perSecond)
	if changed {
		g.placeQueued(now)
	}
	g.mu.Unlock()
	if changed {
		g.bookings.limitChanged(limit)
		g.metrics.limitChanges.Inc()
	}
	return limit, changed
}

// mergeLimits records the limits that another entry has learned of. The caller holds g.mu.
func (g *Gateway) mergeLimits(now time.Time, peer string, limits []wire.EndpointLimit) {
	for _, l := range limits {
		if !g.fleet.MergeLimit(now, assign.Limit(l)) {
			continue
		}
		if l.Leaving {
			g.losses.Leaving(l.Endpoint)
		}
		g.metrics.limitChanges.Inc()
		g.log.Info("endpoint limit received", "peer", peer, "limited", l.Endpoint, "incarnation", l.Incarnation, "per_second", l.PerSecond, "version", l.Version, "leaving", l.Leaving)
	}
}

// updateSharing tells the fleet with which entries it shares the limits of endpoints. An entry
// that has left sends nothing that has to be heard. The caller holds g.mu.
func (g *Gateway) updateSharing() {
	heard := 0
	for name := range g.bookingStreams {
		if addr := g.streamAddrs[name]; addr == "" || slices.Contains(g.entryAddrs, addr) {
			heard++
		}
	}
	for name, addr := range g.leftEntries {
		switch {
		case !slices.Contains(g.entryAddrs, addr):
			delete(g.leftEntries, name)
		case g.bookingStreams[name] == 0:
			heard++
		}
	}
	sharing := assign.Sharing{
		Entries: len(g.entryAddrs), Position: max(0, slices.Index(g.entryAddrs, string(g.Peers))),
		Connected: heard >= len(g.entryAddrs)-1, SettledFrom: g.started.Add(entryListDelay),
	}
	if old := g.fleet.Sharing(); old.Entries != sharing.Entries || old.Connected != sharing.Connected {
		g.log.Info("limit sharing changed", "entries", sharing.Entries, "connected", sharing.Connected, "streams", len(g.bookingStreams), "left", len(g.leftEntries))
	}
	g.fleet.SetSharing(sharing)
}

// awaitsPeers reports whether this entry has just started and other entries may still tell it
// the limits of endpoints.
func (g *Gateway) awaitsPeers() bool {
	if g.clock.Now().Sub(g.started) >= limitsReceiveTime {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.bookingStreams) < len(g.entryAddrs)-1
}

// helperNames lists the helpers of an assignment for a log line.
func helperNames(a *assign.Assignment) string {
	names := make([]string, len(a.Helpers))
	for i, h := range a.Helpers {
		names[i] = h.Name
	}
	return strings.Join(names, ",")
}
