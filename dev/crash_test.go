package dev

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

func crashing(entry string) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s of 1911","max_tokens":8}`, SmallRoute, standin.CrashMarker)
	res, err := ask(entry, "/v1/completions", body, nil)
	if err != nil {
		return reply{}
	}
	defer func() { _ = res.Body.Close() }()
	raw, _ := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, verdict: res.Header.Get("X-Verdict"), body: string(raw)}
}

// A request that crashes each engine that runs it is sent again and again through
// both entries, among others that are innocent.
func TestACrashingRequestIsRefusedEverywhereAndInnocentsAreServed(t *testing.T) {
	is := is.New(t)
	p := Small(t.TempDir())
	for i := range p.Endpoints[:3] {
		p.Endpoints[i].Engine["restart_delay"] = "100ms"
	}
	d := start(t, p)
	l := startLoad(t, d, 6)
	l.more(t, 30)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			for range 4 {
				crashing(d.Files.Entries[i])
			}
		})
	}
	wg.Wait()
	for _, entry := range d.Files.Entries {
		until(t, "the crashing request is refused", func() bool {
			r := crashing(entry)
			return r.status == http.StatusUnprocessableEntity && r.verdict == "may_have_run"
		})
	}
	l.more(t, 30)
	l.end()
	is.Equal(l.failed.Load(), int64(0))
	falls := 0.0
	for i := range 3 {
		falls += d.Metric(fmt.Sprintf("scribe-%d", i+1), "sidecar_engine_restarts_total")
	}
	t.Logf("%v endpoints fell", falls)
	is.True(falls <= quarantine.MaxLostEndpoints)
}
