package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pausingEndpoint answers with total events, or with a call's answer, and sends nothing for silence
// after the first events. It goes on whether or not its caller is still there.
type pausingEndpoint struct {
	total, events int
	silence       time.Duration
	// once is set if only the first request meets the silence.
	once   bool
	asked  atomic.Int32
	silent func()
}

func (e *pausingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pauses := e.asked.Add(1) == 1 || !e.once
	if strings.HasPrefix(r.URL.Path, "/status/") {
		e.pause(pauses)
		answering(http.StatusOK, "done")(w, r)
		return
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	for n := last + 1; n <= e.total; n++ {
		if n == last+e.events+1 {
			e.pause(pauses)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *pausingEndpoint) pause(pauses bool) {
	if !pauses {
		return
	}
	if e.silent != nil {
		e.silent()
	}
	time.Sleep(e.silence)
}

// Requests were broken off, or failed, whose endpoints had fallen silent for a second and would have
// finished them, because their attempts were cancelled before another one could take their place.
func TestSilentEndpointsFinishTheirAnswers(t *testing.T) {
	const silence = 1200 * time.Millisecond
	situations := map[string]func(w *testGateway){
		"retries left": func(*testGateway) {},
		"just started": func(w *testGateway) {
			w.g.retries = newRetryBudget(RetryLimits{Window: 10 * time.Second}, w.g.clock.Now())
		},
		"budget spent":    func(w *testGateway) { w.g.retries.setLimits(RetryLimits{Window: 10 * time.Second}) },
		"one endpoint":    func(w *testGateway) { w.setMaxEndpoints(1) },
		"no other placed": func(w *testGateway) { w.g.fleet.Remove("scribe-2"); w.g.fleet.Remove("desk-2") },
		"stopping":        func(w *testGateway) { w.g.stopping.Store(true) },
	}
	requests := map[string]struct {
		path   string
		events int
	}{"stream, no event": {"/read/1", 0}, "stream, some events": {"/read/1", 4}, "call": {"/status/1", 0}}
	for situation, set := range situations {
		for request, r := range requests {
			for _, deaf := range []bool{true, false} {
				t.Run(fmt.Sprint(request, ", ", situation, ", deaf ", deaf), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					first := &pausingEndpoint{total: 9, events: r.events, silence: silence}
					second := &pausingEndpoint{total: 9, events: r.events, silence: silence}
					w := newTestGateway(t, first.ServeHTTP, second.ServeHTTP)
					w.engines.dead.Store(deaf)
					set(w)
					w.isAnswered(is, w.post(r.path, nil))
				})
			}
		}
	}
}

// isAnswered checks that the caller got the whole answer of pausing endpoints.
func (w *testGateway) isAnswered(is *is.I, got reply) {
	w.t.Helper()
	is.Equal(got.status, http.StatusOK)
	is.True(!got.broken)
	if strings.Contains(got.body, "event") {
		is.Equal(got.body, allEvents(1, 9))
		return
	}
	is.Equal(got.body, "done")
}

// setMaxEndpoints bounds the endpoints of each request on all routes.
func (w *testGateway) setMaxEndpoints(n int) {
	d := *w.g.deployment.Load()
	d.Routes = append([]Route(nil), d.Routes...)
	for i := range d.Routes {
		d.Routes[i].MaxEndpoints = n
	}
	w.g.deployment.Store(d.Index())
}

// The entry's permission lapsed while the endpoint was silent, so that nothing else could be sent.
func TestSilentEndpointFinishesItsAnswerWithoutAPermission(t *testing.T) {
	for _, path := range []string{"/read/1", "/status/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var w *testGateway
			e := &pausingEndpoint{total: 9, events: 4, silence: 1200 * time.Millisecond, silent: func() { w.session.expired.Store(true) }}
			w = newTestGateway(t, e.ServeHTTP, answering(http.StatusOK, "another"))
			w.addLoad("scribe", 1, 7)
			w.addLoad("desk", 1, 7)
			w.engines.dead.Store(true)
			w.isAnswered(is, w.post(path, nil))
			is.Equal(w.arrivalCount(), 1)
		})
	}
}

// A caller must not wait for a silent endpoint when another one answers, nor get events of both.
func TestRequestOfASilentEndpointIsAnsweredElsewhere(t *testing.T) {
	for _, path := range []string{"/read/1", "/status/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			goneOn := make(chan bool)
			first := &pausingEndpoint{total: 9, events: 4, silent: func() { <-goneOn }}
			second := &pausingEndpoint{total: 9}
			w := newTestGateway(t, first.ServeHTTP, second.ServeHTTP)
			t.Cleanup(func() { close(goneOn) })
			w.addLoad("scribe", 1, 7)
			w.addLoad("desk", 1, 7)
			w.engines.dead.Store(true)
			w.isAnswered(is, w.post(path, nil))
			is.Equal(w.arrivalCount(), 2)
		})
	}
}

// A replacement that fails must not end the answer of the silent endpoint, which goes on.
func TestSilentEndpointGoesOnAfterItsReplacementFailed(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"broken": resetting, "refused": refusing(503), "error": answering(500, "bad"), "another answer": answeringOtherAttempt,
	} {
		for _, path := range []string{"/read/1", "/status/1"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				first := &pausingEndpoint{total: 9, events: 4, silence: 1500 * time.Millisecond}
				w := newTestGateway(t, first.ServeHTTP, second)
				w.addLoad("scribe", 1, 7)
				w.addLoad("desk", 1, 7)
				w.engines.dead.Store(true)
				w.isAnswered(is, w.post(path, nil))
			})
		}
	}
}

// An endpoint that never goes on must not hold its caller past the deadline.
func TestStalledAnswersEndAtTheDeadline(t *testing.T) {
	for path, status := range map[string]int{"/read/1": http.StatusOK, "/status/1": http.StatusGatewayTimeout} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			goneOn := make(chan bool)
			e := &pausingEndpoint{total: 9, events: 4, silent: func() { <-goneOn }}
			w := newTestGateway(t, e.ServeHTTP)
			t.Cleanup(func() { close(goneOn) })
			w.engines.dead.Store(true)
			got := w.post(path, nil)
			is.Equal(got.status, status)
			is.Equal(got.broken, path == "/read/1")
			is.Equal(w.arrivalCount(), 1)
		})
	}
}

// A dead endpoint kept the memory of its helpers, so that no other endpoint had room for its prompt.
func TestLongPromptOfADeadPrimaryIsAnsweredElsewhere(t *testing.T) {
	is := is.New(t)
	var died atomic.Bool
	endpoint := func(rw http.ResponseWriter, r *http.Request) {
		if died.CompareAndSwap(false, true) {
			<-r.Context().Done()
			return
		}
		streaming(9, 9, nil)(rw, r)
	}
	w := newTestGateway(t, endpoint, endpoint, endpoint)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.g.pollQueues(ctx)
	w.engines.dead.Store(true)
	w.setTimeouts(20 * time.Second)
	w.g.deployment.Load().Services["scribe"].Engine.PrefillTokensPerSecond = 10_000
	w.isAnswered(is, w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "1500") }))
}

// An endpoint goes on while its replacement is being placed or waits for a permission.
func TestSilentEndpointGoesOnBeforeItsReplacementIsSent(t *testing.T) {
	for i := range 8 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			var w *testGateway
			e := &pausingEndpoint{total: 9, events: 4, silence: time.Duration(780+20*i) * time.Millisecond, silent: func() { w.session.expired.Store(true) }}
			w = newTestGateway(t, e.ServeHTTP, answering(http.StatusOK, "another"))
			w.g.retries.setLimits(RetryLimits{Ratio: 100, Window: 10 * time.Second})
			w.addLoad("scribe", 1, 7)
			w.engines.dead.Store(true)
			w.isAnswered(is.New(t), w.post("/read/1", nil))
		})
	}
}

// An endpoint that had fallen silent was ended for the memory of its helpers before another attempt had
// a place, and its request failed though it would have gone on.
func TestSilentPrimaryKeepsItsHelpers(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	pausing := &pausingEndpoint{total: 9, events: 4, silence: 1500 * time.Millisecond}
	endpoint := func(rw http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) > 1 {
			resetting(rw, r)
			return
		}
		pausing.ServeHTTP(rw, r)
	}
	w := newTestGateway(t, endpoint, endpoint, endpoint)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.g.pollQueues(ctx)
	w.engines.dead.Store(true)
	w.setTimeouts(20 * time.Second)
	w.g.deployment.Load().Services["scribe"].Engine.PrefillTokensPerSecond = 10_000
	w.isAnswered(is, w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "1500") }))
}
