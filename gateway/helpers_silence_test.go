package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// silentEngines answer no memory order until going is closed. Their client waits orderTimeout.
type silentEngines struct {
	*fakeEngines
	going    chan struct{}
	reserves atomic.Int64
}

// orderTimeout is the wait for the answer to an order.
const orderTimeout = 500 * time.Millisecond

func (e *silentEngines) Alive(string, uint64) bool {
	select {
	case <-e.going:
		return true
	default:
		return false
	}
}

func (e *silentEngines) Reserve(addr, ticket string, tokens int64, ttl time.Duration) error {
	e.reserves.Add(1)
	select {
	case <-e.going:
		return e.fakeEngines.Reserve(addr, ticket, tokens, ttl)
	case <-time.After(orderTimeout):
		return errors.New("no answer")
	}
}

// All helpers are silent for a while, and go on: the request for which their memory is to be reserved
// is served, with attempts left.
func TestRequestOutlastsSilentHelpers(t *testing.T) {
	for _, silence := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newTestGateway(t, streaming(9, 9, nil), streaming(9, 9, nil), streaming(9, 9, nil))
			d := *w.g.deployment.Load()
			// With a slow engine, the prompt counts as long.
			d.Services["scribe"].Engine.PrefillTokensPerSecond = 5000
			for i := range d.Routes {
				d.Routes[i].Timeout = 20 * time.Second
			}
			w.g.deployment.Store(d.Index())
			e := &silentEngines{fakeEngines: w.engines, going: make(chan struct{})}
			w.g.engines = e
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(queuePollInterval):
						w.g.pollOnce()
					}
				}
			}()
			time.AfterFunc(silence, func() { close(e.going) })
			got := w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "1500") })
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, allEvents(1, 9))
			is.True(e.reserves.Load() > 0)
			t.Log("reservations tried:", e.reserves.Load())
		})
	}
}
