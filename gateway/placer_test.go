package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// joinPeers connects the gateways as entries of one deployment, whose endpoints are those of the
// first, and returns the addresses in the order in which entries are asked to place. The entries answer
// once serve is called; what the test changes in them before is known to them.
func joinPeers(t *testing.T, gateways ...*testGateway) (addrs []string, serve func()) {
	t.Helper()
	is := is.New(t)
	for i, w := range gateways {
		w.g.node.Name = []string{"entry-1", "entry-2", "entry-3"}[i]
		id, err := wire.OpenIdentity(&settings.TLS{Trust: settings.TrustNetwork}, w.g.node, wire.RoleEntry)
		is.NoErr(err)
		w.g.peers, err = wire.Listen("127.0.0.1:0", id, &wire.Traffic{}, w.g.servePeer)
		is.NoErr(err)
		w.g.Peers = settings.Addr(w.g.peers.Addr())
		w.g.dialer = session.NewDialer(id, wire.PoolOptions{}, &wire.Traffic{})
		addrs = append(addrs, string(w.g.Peers))
		w.g.deployment.Load().Services["scribe"].Engine = longPromptEngine()
	}
	for _, w := range gateways {
		w.g.placer.setCells(nil, addrs)
		for i := range 2 {
			w.g.fleet.Update(scribe(i))
		}
	}
	return addrs, func() {
		for _, w := range gateways {
			ctx, cancel := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- w.g.peers.Serve(ctx) }()
			t.Cleanup(func() { w.g.dialer.Close(); cancel(); is.NoErr(<-served) })
		}
	}
}

// scribe returns an endpoint of the model service.
func scribe(i int) assign.Endpoint {
	return assign.Endpoint{Name: fmt.Sprint("scribe-", i+1), Service: "scribe", Addr: fmt.Sprint("127.0.0.1:", i+1), Zone: fmt.Sprint("zone-", i), Slots: 8, Incarnation: 1}
}

// longPromptEngine returns an engine that needs helpers for prompts of some thousand tokens.
func longPromptEngine() *costmodel.Engine {
	return &costmodel.Engine{Slots: 8, MemoryTokens: 1_000_000, PrefillTokensPerSecond: 1e5}
}

// call returns a call as the gateway has it before it looks for endpoints.
func (w *testGateway) call(path string, tokens int) *call { return w.callWith(path, tokens, true) }

// callWith is call, with or without the account's key.
func (w *testGateway) callWith(path string, tokens int, key bool) *call {
	w.t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, http.NoBody)
	r.Host = "h"
	if key {
		r.Header.Set("Authorization", "Bearer key-1")
	}
	r.Header.Set("Tokens", strconv.Itoa(tokens))
	c := w.g.newCall(httptest.NewRecorder(), r)
	// The recorder has no deadlines, so the body, which is empty, is not read.
	if err := c.prepare(); c.service == nil {
		w.t.Fatal(err)
	}
	return c
}

// An entry sent a long prompt as another one had placed it, against what it knew itself.
func TestPlacementByAnotherEntryHoldsAtTheAskingEntry(t *testing.T) {
	const zoneOfFirst = "zone-0"
	tests := map[string]struct {
		// prepare changes what the asking entry knows, or the state of the placing one.
		prepare func(asking, placing, next *testGateway)
		// endpoints are those that may get the request, and placers the entries that may have
		// chosen, by name; "" stands for the asking one.
		endpoints, placers string
	}{
		"all agree":                      {func(_, _, _ *testGateway) {}, "scribe-1 scribe-2", "entry-1"},
		"permission of the first lapsed": {func(_, placing, _ *testGateway) { placing.session.expired.Store(true) }, "scribe-1 scribe-2", "entry-2"},
		"permissions of both lapsed": {func(_, placing, next *testGateway) {
			placing.session.expired.Store(true)
			next.session.expired.Store(true)
		}, "scribe-1 scribe-2", ""},
		"first has no configuration": {func(_, placing, _ *testGateway) { placing.g.deployment.Store(nil) }, "scribe-1 scribe-2", "entry-2"},
		"zone out at the asking and the next entry": {func(asking, placing, next *testGateway) {
			for _, w := range []*testGateway{asking, next} {
				w.g.fleet.SetZonesOut(map[string]bool{zoneOfFirst: true})
			}
			// The placing entry would choose the first endpoint.
			placing.addLoad("scribe", 1, 3)
		}, "scribe-2", "entry-2"},
		"zone out at the asking entry only": {func(asking, placing, next *testGateway) {
			asking.g.fleet.SetZonesOut(map[string]bool{zoneOfFirst: true})
			placing.addLoad("scribe", 1, 3)
			next.addLoad("scribe", 1, 3)
		}, "scribe-2", ""},
		"endpoint leaves at the asking entry": {func(asking, placing, _ *testGateway) {
			e := scribe(0)
			e.Leaving = true
			asking.g.fleet.Update(e)
			placing.addLoad("scribe", 1, 3)
		}, "scribe-2", ""},
		"endpoint unknown at the asking entry": {func(asking, placing, _ *testGateway) {
			asking.g.fleet.Remove("scribe-1")
			placing.addLoad("scribe", 1, 3)
		}, "scribe-2", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			placing, next, asking := newTestGateway(t), newTestGateway(t), newTestGateway(t)
			addrs, serve := joinPeers(t, placing, next, asking)
			test.prepare(asking, placing, next)
			serve()
			c := asking.call("/read/1", 50_000)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			p, err := asking.g.place(ctx, c.newAttempt(ctx))
			is.NoErr(err)
			is.True(strings.Contains(test.endpoints, p.Primary.Name))
			for _, h := range p.Helpers {
				is.True(strings.Contains(test.endpoints, h.Name))
			}
			placers := map[string]string{"": "", addrs[0]: "entry-1", addrs[1]: "entry-2"}
			is.Equal(placers[p.placer], test.placers)
		})
	}
}

// An entry that places a request after it was silent may learn that the asking one has gone on without
// it before it has booked. The endpoints stayed booked until the stream between the entries ended.
func TestPlacementThatTheAskingEntryDoesNotUseEnds(t *testing.T) {
	is := is.New(t)
	placing, asking := newTestGateway(t), newTestGateway(t)
	addrs, serve := joinPeers(t, placing, asking)
	for i := range 2 {
		e := scribe(i)
		e.Slots = 1
		placing.g.fleet.Update(e)
	}
	serve()
	c := asking.call("/read/1", 1_000)
	w := c.newAttempt(context.Background()).newWaiter()
	answer, _ := asking.g.askPlacer(context.Background(), addrs[0], w.toWire(time.Now()), false)
	is.True(answer.Booking != nil)
	confirmed := c.newAttempt(context.Background()).newWaiter()
	used, _ := asking.g.askPlacer(context.Background(), addrs[0], confirmed.toWire(time.Now()), false)
	is.True(used.Booking != nil)
	probe := placing.call("/read/1", 1_000)
	is.True(!placing.canChoose(probe)) // both endpoints are booked
	placing.g.applyBookings("entry-2", &wire.Bookings{Begun: []wire.Booking{*used.Booking}})
	eventually(t, "end of the booking that is not used", func() bool { return placing.canChoose(probe) })
	placing.g.mu.Lock()
	a, err := placing.g.fleet.Choose(time.Now(), &probe.placementRequest)
	placing.g.mu.Unlock()
	is.NoErr(err)
	is.Equal(a.Primary.Name, answer.Booking.Primary.Endpoint) // the other one is still booked
}

// The entry that places long prompts did not learn that an endpoint had refused to reserve memory, chose it
// again ten times within 0.1 s, and the request was refused.
func TestMemoryRefusedToOneEntryIsAssignedAgainByThePlacingOne(t *testing.T) {
	is := is.New(t)
	placing, asking := newTestGateway(t), newTestGateway(t)
	_, serve := joinPeers(t, placing, asking)
	for _, w := range []*testGateway{placing, asking} {
		w.g.fleet.Update(scribe(2))
	}
	serve()
	c := asking.call("/read/1", 150_000)
	refused := map[string]bool{}
	for range 2 {
		a := c.newAttempt(context.Background())
		p, err := asking.g.place(a.ctx, a)
		is.NoErr(err)
		is.True(p.placer != "")
		a.placed = p
		var reserved []ticket
		for i, h := range p.Helpers {
			if p.Booking.Helpers[i].Tokens > 0 {
				is.True(!refused[h.Name])
				reserved = append(reserved, ticket{endpoint: h.Name})
			}
		}
		is.True(len(reserved) > 0)
		refused[reserved[0].endpoint] = true
		failures := make([]error, len(reserved))
		failures[0] = errors.New("status 409")
		is.True(verdict.IsReason(a.markMemoryFull(reserved, failures), verdict.ReasonEndpointMemory))
		p.release(true)
		placing.g.mu.Lock()
		placing.g.fleet.EndBooking("entry-2", p.id, true)
		placing.g.mu.Unlock()
	}
}
