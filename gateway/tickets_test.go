package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// refusingForAWhile are engines that refuse reservations for a while, and record when they grant one.
type refusingForAWhile struct {
	*fakeEngines
	from, until time.Time
	mu          sync.Mutex
	granted     map[string][]time.Time
}

func (e *refusingForAWhile) Reserve(addr, ticket string, tokens int64, ttl time.Duration) error {
	now := time.Now()
	if now.After(e.from) && now.Before(e.until) {
		return errors.Errorf("endpoint %s does not answer", addr)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.granted[ticket] = append(e.granted[ticket], now)
	return e.fakeEngines.Reserve(addr, ticket, tokens, ttl)
}

// A helper that was silent when its reservation was to be renewed was asked again only after the
// reservation had expired, and a request whose memory expires is cut off.
func TestReservationOutlastsASilentHelper(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, paced("id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", 100*time.Millisecond, 20), paced("id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", 100*time.Millisecond, 20))
	start := time.Now()
	engines := &refusingForAWhile{fakeEngines: w.engines, from: start.Add(400 * time.Millisecond), until: start.Add(700 * time.Millisecond), granted: map[string][]time.Time{}}
	w.g.engines = engines
	w.g.deployment.Load().Services["scribe"].Engine.PrefillTokensPerSecond = 5000
	is.Equal(w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "1500") }).status, http.StatusOK)
	engines.mu.Lock()
	defer engines.mu.Unlock()
	is.True(len(engines.granted) > 0)
	for _, times := range engines.granted {
		is.True(len(times) > 1)
		for i, at := range times[1:] {
			is.True(at.Sub(times[i]) < w.g.currentTicketTTL())
		}
	}
}
