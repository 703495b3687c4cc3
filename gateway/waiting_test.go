package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
)

// TestWaitingRequestIsRefusedBeforeItsCallerAbandonsIt takes all slots. The caller
// abandons a stream without events long before its deadline, and must be refused before
// that.
func TestWaitingRequestIsRefusedBeforeItsCallerAbandonsIt(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, streaming(3, 3, nil))
	for i := range 8 {
		w.g.fleet.Book(time.Now(), "entry-2", uint64(i), &assign.Booking{Primary: assign.Part{Endpoint: "scribe-1"}, Short: true})
	}
	d := *w.g.deployment.Load()
	for i := range d.Routes {
		d.Routes[i].AbandonAfter = 300 * time.Millisecond
	}
	w.g.deployment.Store(d.Index())
	got := w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "10") })
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(w.arrivalCount(), 0)
	// Without AbandonAfter, the request would wait for half of its time limit of 3 s.
	c := &call{started: time.Unix(0, 0), deadline: time.Unix(3, 0), route: &Route{}}
	is.Equal(c.newAttempt(context.Background()).maxWait(), 1500*time.Millisecond)
	c.route.AbandonAfter = 300 * time.Millisecond
	is.Equal(c.newAttempt(context.Background()).maxWait(), 180*time.Millisecond)
}

// A begun stream broke off if its endpoint did after the request's usual wait for endpoints, and the
// others had no room at that moment.
func TestBegunStreamWaitsForRoomToItsDeadline(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, streaming(9, 4, func(http.ResponseWriter) {
		time.Sleep(400 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}), streaming(9, 9, nil))
	d := *w.g.deployment.Load()
	for i := range d.Routes {
		d.Routes[i].Timeout = 20 * time.Second
		d.Routes[i].AbandonAfter = 300 * time.Millisecond // the usual wait is 0.6 of it
	}
	w.g.deployment.Store(d.Index())
	w.addLoad("scribe", 1, 8)
	go func() {
		time.Sleep(800 * time.Millisecond)
		w.g.mu.Lock()
		defer w.g.mu.Unlock()
		w.g.fleet.EndAll("other")
		w.g.placeQueued(w.g.clock.Now())
	}()
	got := w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "10") })
	is.True(!got.broken)
	is.Equal(got.body, allEvents(1, 9))
}
