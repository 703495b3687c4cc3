package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// countingEngines count the renewals of reservations, and how often a holder of memory is asked.
type countingEngines struct {
	*fakeEngines
	// used and queued are what the engines say of the memory and of waiting requests. running is how many requests
	// they say to run, and late how long they take to say anything.
	used, queued func() (bool, error)
	running      int
	late         time.Duration
	asked        atomic.Int64
	mu           sync.Mutex
	reserved     map[string][]time.Time
	released     map[string]time.Time // the first release of each ticket
}

func (e *countingEngines) Release(addr, ticket string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.released[ticket]; !ok {
		e.released[ticket] = time.Now()
	}
	return e.fakeEngines.Release(addr, ticket)
}

func (e *countingEngines) TicketUsed(string, string) (bool, error) {
	e.asked.Add(1)
	time.Sleep(e.late)
	return e.used()
}

func (e *countingEngines) Requests(string) (running, waiting int, err error) {
	time.Sleep(e.late)
	queued, err := e.queued()
	if queued {
		return e.running, 1, err
	}
	return e.running, 0, err
}

func (e *countingEngines) Reserve(addr, ticket string, tokens int64, ttl time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reserved[ticket] = append(e.reserved[ticket], time.Now())
	return e.fakeEngines.Reserve(addr, ticket, tokens, ttl)
}

// lastReserve returns when a reservation was last made or renewed, and whether one has expired before that.
func (e *countingEngines) lastReserve(ttl time.Duration) (last time.Time, expired bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, times := range e.reserved {
		for i, at := range times {
			if at.After(last) {
				last = at
			}
			expired = expired || i > 0 && at.Sub(times[i-1]) > ttl
		}
	}
	return last, expired
}

const (
	// quiet is for how long the endpoint of these tests sends nothing.
	quiet = 5 * time.Second
	// testTicketTTL is the TTL of their reservations.
	testTicketTTL = 1500 * time.Millisecond
)

// slowPrefill and fastPrefill are rates, in tokens per second, at which the first event of the prompt is due long
// after the endpoint is quiet, and long before.
const (
	slowPrefill = 300
	fastPrefill = 5000
)

// postQuiet sends a long prompt to an endpoint that sends nothing for a while, and returns when that began.
func postQuiet(t *testing.T, path string, e *countingEngines, prefill float64) (w *testGateway, sent time.Time, got reply) {
	t.Helper()
	var first atomic.Bool
	var at atomic.Int64
	endpoint := func(rw http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			at.Store(time.Now().UnixNano())
			select {
			case <-time.After(quiet):
			case <-r.Context().Done():
				return
			}
		}
		streaming(3, 3, nil)(rw, r)
	}
	w = newTestGateway(t, endpoint, endpoint)
	e.fakeEngines, e.reserved, e.released = w.engines, map[string][]time.Time{}, map[string]time.Time{}
	w.g.engines = e
	w.g.ticketTTL.Store(int64(testTicketTTL))
	d := *w.g.deployment.Load()
	d.Services["scribe"].Engine.PrefillTokensPerSecond = prefill
	d.Services["scribe"].Engine.MemoryTokens = 10_000
	for i := range d.Routes {
		d.Routes[i].Timeout = 20 * time.Second
	}
	w.g.deployment.Store(d.Index())
	got = w.post(path, func(r *http.Request) { r.Header.Set("Tokens", "1500") })
	return w, time.Unix(0, at.Load()), got
}

func says(v bool) func() (bool, error) { return func() (bool, error) { return v, nil } }

func saysNothing() (bool, error) { return false, errors.New("the engine does not say") }

// usedOnce is said by an engine that has finished after it was first asked.
func usedOnce() func() (bool, error) {
	var asked atomic.Bool
	return func() (bool, error) { return asked.CompareAndSwap(false, true), nil }
}

// Entries renewed the memory reservations of a request that its endpoint had finished and whose answer was
// lost on the way, until another attempt had gone on.
func TestReservationsAreRenewedForALostAnswer(t *testing.T) {
	tests := map[string]struct {
		path string
		used func() (bool, error)
		// again is set if another endpoint is asked before the silence timer expires.
		again bool
	}{
		"seen at work":                 {path: "/read/1", used: usedOnce(), again: true},
		"seen at work, at most once":   {path: "/tell/1", used: usedOnce()},
		"done before the first report": {path: "/read/1", used: says(false)},
		"done, at most once":           {path: "/tell/1", used: says(false)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := &countingEngines{used: test.used, queued: says(false)}
			w, sent, got := postQuiet(t, test.path, e, slowPrefill)
			is.Equal(got.status, http.StatusOK)
			e.mu.Lock()
			defer e.mu.Unlock()
			firstTickets := 0
			for _, times := range e.reserved {
				if times[0].Before(sent) {
					firstTickets++
					is.True(times[len(times)-1].Sub(sent) < quiet/2) // the memory is given back a TTL later
				}
			}
			is.True(firstTickets > 0)
			is.Equal(w.arrivalCount() > 1, test.again)
		})
	}
}

// The memory of a request that is only silent is not given up: a request whose memory expires is cut off.
func TestSilentWorkKeepsItsReservations(t *testing.T) {
	tests := map[string]*countingEngines{
		"used":                       {used: says(true), queued: says(false)},
		"queued":                     {used: says(false), queued: says(true)},
		"holders do not say":         {used: saysNothing, queued: says(false), running: 3},
		"holders do not say, queued": {used: saysNothing, queued: says(true)},
		"the primary does not say":   {used: says(false), queued: saysNothing},
		"nobody says anything of it": {used: saysNothing, queued: saysNothing},
	}
	for name, e := range tests {
		for _, path := range []string{"/read/1", "/tell/1"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				e := &countingEngines{used: e.used, queued: e.queued, running: e.running}
				w, sent, got := postQuiet(t, path, e, slowPrefill)
				is.Equal(got.status, http.StatusOK)
				last, expired := e.lastReserve(testTicketTTL)
				is.True(!expired)
				is.True(sent.Add(quiet).Sub(last) < testTicketTTL)
				is.Equal(w.arrivalCount(), 1)
				is.True(e.asked.Load() > 0)
			})
		}
	}
}

// Entries renewed the memory reservations of a request that its endpoint had finished, as long as no engine said that
// nobody uses them.
func TestReservationsAreRenewedWithoutASignOfUse(t *testing.T) {
	tests := map[string]*countingEngines{
		"nothing runs at the primary":     {used: saysNothing, queued: says(false)},
		"others run at the primary":       {used: saysNothing, queued: says(false), running: 3},
		"only waiting requests are told":  {used: saysNothing, queued: says(false), running: -1},
		"nobody says anything":            {used: saysNothing, queued: saysNothing},
		"nobody says anything in time":    {used: saysNothing, queued: saysNothing, late: 300 * time.Millisecond},
		"held, and the primary is silent": {used: says(false), queued: saysNothing},
	}
	for name, test := range tests {
		for _, path := range []string{"/read/1", "/tell/1"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				e := &countingEngines{used: test.used, queued: test.queued, running: test.running, late: test.late}
				_, sent, _ := postQuiet(t, path, e, fastPrefill)
				e.mu.Lock()
				defer e.mu.Unlock()
				first := 0
				for ticket, times := range e.reserved {
					if times[0].Before(sent) {
						first++
						is.True(times[len(times)-1].Sub(sent) < quiet/2)
						is.True(e.released[ticket].Sub(sent) < quiet*9/10) // also at an engine that does not count the TTL
					}
				}
				is.True(first > 0)
			})
		}
	}
}

// An endpoint whose events keep coming is not asked about memory: each question is priced.
func TestHoldersAreNotAskedWhileEventsCome(t *testing.T) {
	is := is.New(t)
	endpoint := paced("id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", 100*time.Millisecond, 20)
	w := newTestGateway(t, endpoint, endpoint)
	e := &countingEngines{fakeEngines: w.engines, used: says(false), queued: says(false), reserved: map[string][]time.Time{}, released: map[string]time.Time{}}
	w.g.engines = e
	w.g.deployment.Load().Services["scribe"].Engine.PrefillTokensPerSecond = 5000
	is.Equal(w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "1500") }).status, http.StatusOK)
	_, expired := e.lastReserve(w.g.currentTicketTTL())
	is.True(!expired)
	is.Equal(e.asked.Load(), int64(0))
}
