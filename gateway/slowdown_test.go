package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Slow engines got as many prompts as the others.
func TestSlowEngineGetsNoPromptsWhileOthersHaveRoom(t *testing.T) {
	prompts := func(w *testGateway, n int) map[string]int {
		served := map[string]int{}
		for range n {
			got := w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "100") })
			served[got.header.Get("Seal")]++
		}
		return served
	}
	t.Run("by its own report", func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, streaming(3, 3, nil), streaming(3, 3, nil))
		preferred := "scribe-1"
		if prompts(w, 1)["seal of scribe-2"] > 0 {
			preferred = "scribe-2"
		}
		a, _ := w.g.fleet.ResolveBooking(&assign.Booking{Primary: assign.Part{Endpoint: preferred}})
		w.engines.slow = map[string]float64{a.Primary.Addr: 2.8}
		w.g.mu.Lock()
		w.g.suspectSlow(preferred, assign.Load{Running: 3, Backlog: time.Millisecond}) // what it reads explains it
		is.Equal(len(w.g.slowSuspects), 0)
		w.g.suspectSlow(preferred, assign.Load{Running: 3})
		w.g.mu.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.g.checkSlowdowns(ctx)
		deadline := time.Now().Add(5 * time.Second)
		for w.g.metrics.slowdowns.Get() == 0 && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(prompts(w, 4)["seal of "+preferred], 0)
		w.engines.mu.Lock()
		w.engines.slow[a.Primary.Addr] = 1
		w.engines.mu.Unlock()
		for w.g.metrics.slowdowns.Get() < 2 && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(prompts(w, 4)["seal of "+preferred], 4)
	})
	t.Run("by another entry", func(t *testing.T) {
		is := is.New(t)
		w := newTestGateway(t, streaming(3, 3, nil), streaming(3, 3, nil))
		for _, slow := range []string{"scribe-1", "scribe-2"} {
			w.g.applyBookings("entry-2", &wire.Bookings{Slowdowns: []wire.EndpointSlowdown{
				{Endpoint: "scribe-1", Incarnation: 1, Factor: 1}, {Endpoint: "scribe-2", Incarnation: 1, Factor: 1},
			}})
			w.g.applyBookings("entry-2", &wire.Bookings{Slowdowns: []wire.EndpointSlowdown{{Endpoint: slow, Incarnation: 1, Factor: 3}}})
			is.Equal(prompts(w, 4)["seal of "+slow], 0)
		}
		// A report on an earlier start says nothing of this one.
		w.g.applyBookings("entry-2", &wire.Bookings{Slowdowns: []wire.EndpointSlowdown{
			{Endpoint: "scribe-2", Incarnation: 1, Factor: 1}, {Endpoint: "scribe-2", Incarnation: 7, Factor: 3}, {Endpoint: "scribe-1", Incarnation: 1, Factor: 3},
		}})
		is.Equal(prompts(w, 4), map[string]int{"seal of scribe-2": 4})
	})
}
