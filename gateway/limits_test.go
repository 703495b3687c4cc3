package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/schedule"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// limiting is an endpoint that names a limit, which a test may change, in the answers of
// another.
func limiting(limit *string, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if *limit != "" {
			w.Header().Set("Limit", *limit)
		}
		answer(w, r)
	}
}

// limitOf returns the limit of the desk's first endpoint; zero if it has none.
func (w *testGateway) limitOf() float64 {
	w.g.mu.Lock()
	defer w.g.mu.Unlock()
	for _, l := range w.g.fleet.Limits() {
		if l.Endpoint == "desk-1" {
			return l.PerSecond
		}
	}
	return 0
}

func TestLimitInTheHeadOfAnAnswer(t *testing.T) {
	tests := map[string]struct {
		answer http.HandlerFunc
		value  string
		want   float64
	}{
		"success":                 {answering(http.StatusOK, "good"), "2.5", 2.5},
		"error":                   {answering(http.StatusInternalServerError, "bad"), "2.5", 2.5},
		"not run":                 {refusing(http.StatusServiceUnavailable), "2.5", 2.5},
		"no number":               {answering(http.StatusOK, "good"), "soon", 0},
		"answer of another one":   {answeringOtherAttempt, "2.5", 0},
		"another endpoint's name": {refusing(http.StatusMisdirectedRequest), "2.5", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, limiting(&test.value, test.answer))
			w.g.bookings.peers["peer"] = &peerQueue{open: true, wake: make(chan struct{}, 1), reopen: make(chan struct{}, 1)}
			w.post("/seal/1", nil)
			is.Equal(w.limitOf(), test.want)
			sent := w.g.bookings.takePending(w.g.bookings.peers["peer"]).Limits
			is.Equal(len(sent) > 0, test.want > 0) // the other entries are told
		})
	}
}

func TestRequestsOverTheOnlyLimitAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	limit := "0.1"
	w := newTestGateway(t, limiting(&limit, answering(http.StatusOK, "good")))
	is.Equal(w.post("/seal/1", nil).status, http.StatusOK) // names the limit
	is.Equal(w.post("/seal/2", nil).status, http.StatusOK)
	refused := w.post("/seal/3", nil)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 3 && after < 10.5) // one request in ten seconds
	is.Equal(w.arrivalCount(), 2)
}

func TestAnswerWithoutALimitEndsIt(t *testing.T) {
	is := is.New(t)
	limit := "100"
	w := newTestGateway(t, limiting(&limit, answering(http.StatusOK, "good")))
	is.Equal(w.post("/seal/1", nil).status, http.StatusOK)
	is.Equal(w.limitOf(), 100.0)
	limit = ""
	is.Equal(w.post("/seal/2", nil).status, http.StatusOK)
	is.Equal(w.limitOf(), 0.0)
}

func TestLimitsOfPeers(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "good"))
	w.g.started = time.Now()
	w.g.entryAddrs = []string{"10.0.0.1:7000", "10.0.0.2:7000"}
	is.True(w.g.awaitsPeers()) // it may not know a limit that the other entry knows
	w.g.bookingStreams["entry-2"] = 1
	is.True(!w.g.awaitsPeers())
	w.g.applyBookings("entry-2", &wire.Bookings{Full: true, Limits: []wire.EndpointLimit{{Endpoint: "desk-1", Incarnation: 1, PerSecond: 3, Version: 7}}})
	is.Equal(w.limitOf(), 3.0)
	delete(w.g.bookingStreams, "entry-2")
	w.g.started = time.Now().Add(-limitsReceiveTime)
	is.True(!w.g.awaitsPeers()) // the other entry may have ended
}

func TestLongPromptsGetTheirTurnAtLimitedEndpoints(t *testing.T) {
	tests := map[string]struct {
		limited                   bool
		shortStartBy, longStartBy time.Duration
		want                      uint64
	}{
		"no limit, short first":          {false, 2 * time.Second, time.Second, 1},
		"limit, earlier start first":     {true, 2 * time.Second, time.Second, 2},
		"limit, short starts earlier":    {true, time.Second, 2 * time.Second, 1},
		"limit, late ones after others":  {true, time.Second, -time.Second, 1},
		"limit, both late, first to end": {true, -time.Second, -2 * time.Second, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, answering(http.StatusOK, "good"))
			now := time.Now()
			w.addLoad("scribe", 0, 8) // all slots are taken
			if test.limited {
				w.g.applyBookings("entry-2", &wire.Bookings{Limits: []wire.EndpointLimit{{Endpoint: "scribe-1", Incarnation: 1, PerSecond: 0.5, Version: 1}}})
			}
			engine := w.g.deployment.Load().Services["scribe"].Engine
			var waiters []*waiter
			for i, startBy := range []time.Duration{test.shortStartBy, test.longStartBy} {
				waiters = append(waiters, newWaiter(schedule.Request{
					Request: &assign.Request{Service: "scribe", Engine: engine, PromptTokens: 10 + i*500_000}, BookingID: uint64(i + 1), Arrived: now,
					StartBy: now.Add(startBy), GiveUpAt: now.Add(time.Minute - time.Duration(i)*time.Second),
				}))
				engine.MemoryTokens = 10_000_000
				w.g.placeOrEnqueue(waiters[i])
			}
			w.g.mu.Lock()
			w.g.fleet.EndBooking("other", 1, false) // one slot is free
			w.g.placeQueued(now)
			w.g.mu.Unlock()
			is.Equal(len(waiters[test.want-1].result), 1)
			is.Equal(len(waiters[2-test.want].result), 0)
		})
	}
}

// sharing returns the number of entries that share limits, and whether this one hears all others.
func (w *testGateway) sharing() (entries int, connected bool) {
	w.g.mu.Lock()
	defer w.g.mu.Unlock()
	s := w.g.fleet.Sharing()
	return s.Entries, s.Connected
}

func TestEntriesThatHaveLeftAreNotAwaited(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	stop := &peerQueue{open: true, wake: make(chan struct{}, 1), reopen: make(chan struct{}, 1)}
	w.g.bookings.peers["peer"] = stop
	w.g.bookings.leave("10.0.0.1:7000")
	is.Equal(w.g.bookings.takePending(stop).Leaving, "10.0.0.1:7000")
	list := func(addrs ...string) {
		w.g.mu.Lock()
		defer w.g.mu.Unlock()
		w.g.entryAddrs = addrs
		w.g.updateSharing()
	}
	w.g.bookingStreams["entry-3"] = 1
	list("a:1", "b:1", "c:1")
	_, connected := w.sharing()
	is.True(!connected) // entry-2 may be cut off and send on
	w.g.applyBookings("entry-2", &wire.Bookings{Leaving: "b:1"})
	entries, connected := w.sharing()
	is.True(connected)
	is.Equal(entries, 3)
	delete(w.g.bookingStreams, "entry-3")
	list("a:1", "c:1") // the one that has left is no longer listed
	_, connected = w.sharing()
	is.True(!connected) // it does not stand for entry-3
}

// An endpoint named its limit in answers to memory orders before it got a request of its own.
func TestLimitInTheAnswerToAnOrder(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "good"))
	w.g.fleet.RetainOnly(map[string]bool{"desk-1": true})
	a, ok := w.g.fleet.ResolveBooking(&assign.Booking{Primary: assign.Part{Endpoint: "desk-1"}})
	is.True(ok)
	addr := a.Primary.Addr
	w.g.ObserveEngineAnswer(addr, time.Now(), &http.Response{Header: http.Header{"Limit": {"2.5"}}})
	is.Equal(w.limitOf(), 2.5)
	w.g.ObserveEngineAnswer(addr, time.Now(), &http.Response{Header: http.Header{}})
	is.Equal(w.limitOf(), 2.5) // an order need not say it
	w.g.ObserveEngineAnswer(addr, time.Now(), &http.Response{Header: http.Header{"Limit": {"soon"}}})
	is.Equal(w.limitOf(), 2.5)
}

func TestAnswerSaysThatItsEndpointLeaves(t *testing.T) {
	leaving := func(answer http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			answer(w, r)
		}
	}
	stream := answering(http.StatusOK, "id: 1\ndata: x\n\n")
	tests := map[string]struct {
		path   string
		answer http.HandlerFunc
		leaves bool
	}{
		"success":                 {"/seal/1", answering(http.StatusOK, "good"), true},
		"error":                   {"/seal/1", answering(http.StatusInternalServerError, "bad"), true},
		"not run":                 {"/seal/1", refusing(http.StatusServiceUnavailable), true},
		"head of a stream":        {"/read/1", stream, true},
		"answer of another one":   {"/seal/1", answeringOtherAttempt, false},
		"another endpoint's name": {"/seal/1", refusing(http.StatusMisdirectedRequest), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, leaving(test.answer))
			w.g.bookings.peers["peer"] = &peerQueue{open: true, wake: make(chan struct{}, 1), reopen: make(chan struct{}, 1)}
			w.post(test.path, nil)
			w.g.mu.Lock()
			is.Equal(w.g.fleet.Leaving("desk-1") || w.g.fleet.Leaving("scribe-1"), test.leaves)
			w.g.mu.Unlock()
			sent := w.g.bookings.takePending(w.g.bookings.peers["peer"]).Limits
			is.Equal(len(sent) == 1 && sent[0].Leaving, test.leaves) // the other entries are told
			arrived := w.arrivalCount()
			w.post(test.path, nil)
			is.Equal(w.arrivalCount() > arrived, !test.leaves) // the only endpoint gets nothing more
		})
	}
}

func TestEndpointThatAsksForAPauseGetsNothingForItsTime(t *testing.T) {
	is := is.New(t)
	pausing := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Pause", "700ms")
		refusing(http.StatusServiceUnavailable)(w, r)
	}
	w := newTestGateway(t, pausing)
	ctx, cancel := context.WithCancel(context.Background())
	var polling sync.WaitGroup
	polling.Go(func() { w.g.pollQueues(ctx) })
	defer polling.Wait()
	defer cancel()
	began := time.Now()
	is.Equal(w.post("/seal/1", nil).status, http.StatusServiceUnavailable)
	is.Equal(w.arrivalCount(), 1)
	refused := w.post("/seal/2", func(r *http.Request) { r.Header.Set("Wait", "400") }) // can't be served in time
	is.Equal(refused.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0)
	is.Equal(w.arrivalCount(), 1)
	is.Equal(w.post("/seal/3", nil).status, http.StatusServiceUnavailable) // waits for the end of the pause
	is.Equal(w.arrivalCount(), 2)
	is.True(time.Since(began) >= 700*time.Millisecond)
}
