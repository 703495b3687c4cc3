package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// TestBodiesOfManyRequestsHoldNoMoreThanTheProcessMay guards against an entry that was killed for its
// memory while clients sent large bodies at once.
func TestBodiesOfManyRequestsHoldNoMoreThanTheProcessMay(t *testing.T) {
	const (
		size     = 4 << 20
		fitting  = maxAccountBodyBytes / size
		callers  = 3 * fitting
		accounts = 3
	)
	is := is.New(t)
	release := make(chan struct{})
	var reached atomic.Int64
	w := newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		<-release
		answering(200, "good")(rw, r)
	})
	end := sync.OnceFunc(func() { close(release) })
	t.Cleanup(end) // before the endpoint, which waits for its handlers, is closed
	d := *w.g.deployment.Load()
	d.MaxBodyBytes = size
	for i := range accounts {
		d.Accounts = append(d.Accounts, Account{Name: "account-" + strconv.Itoa(i), Keys: []string{"key of " + strconv.Itoa(i)}})
	}
	d.Routes = append([]Route{{Name: "large", Host: "h", Prefix: "/large/", Timeout: time.Minute, MaxEndpoints: 1, Services: singleService("desk")}}, d.Routes...)
	w.g.deployment.Store(d.Index())
	w.announce("desk-1", func(e *wire.Endpoint) { e.Target, e.Slots = "desk", accounts*callers })
	post := func(account, bytes int) reply {
		return w.post("/large/1", func(r *http.Request) {
			r.Header.Set("Authorization", "Bearer key of "+strconv.Itoa(account))
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", bytes))), int64(bytes)
		})
	}
	var served, refused [accounts]atomic.Int64
	var senders sync.WaitGroup
	send := func(account int) {
		for range callers {
			senders.Go(func() {
				switch got := post(account, size); {
				case got.status == 200:
					served[account].Add(1)
				case got.status == 503 && got.header.Get("Retry-After") != "":
					refused[account].Add(1)
				default:
					t.Errorf("status %d, broken %v", got.status, got.broken)
				}
			})
		}
	}
	// The first account can't use what is left for the others.
	send(0)
	eventually(t, "all requests reached the endpoint or were refused", func() bool { return reached.Load()+refused[0].Load() == callers })
	is.True(reached.Load() <= fitting)
	is.True(reached.Load() > 0)
	send(1)
	send(2)
	eventually(t, "all requests reached the endpoint or were refused", func() bool {
		return reached.Load()+refused[0].Load()+refused[1].Load()+refused[2].Load() == accounts*callers
	})
	is.True(reached.Load() <= maxBodyBytes/size)
	end()
	senders.Wait()
	is.True(served[1].Load()+served[2].Load() > 0)
	now, peak := w.g.bodyBytes.Held()
	is.Equal(now, int64(0))
	is.True(peak <= maxBodyBytes)
	is.Equal(post(0, 1000).status, 200)
	is.Equal(post(0, size+1).status, 413)
}
