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

// postCrashingPrompt sends a prompt that crashes the engine which runs it. The reply
// has status 0 when the connection broke.
func postCrashingPrompt(entry string) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s of 1911","max_tokens":8}`, SmallRoute, standin.CrashMarker)
	res, err := post(entry, "/v1/completions", body, nil)
	if err != nil {
		return reply{}
	}
	defer func() { _ = res.Body.Close() }()
	raw, _ := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, verdict: res.Header.Get("X-Verdict"), body: string(raw)}
}

// A request that crashes every engine which runs it is retried through both entries,
// beside requests that are harmless. Control convicts the request, so that both
// entries refuse it before it has crashed more than quarantine.MaxLostEndpoints
// endpoints, and no harmless request fails.
func TestCrashingRequestIsRefusedAndOthersAreServed(t *testing.T) {
	is := is.New(t)
	p := Small(t.TempDir())
	for i := range p.Endpoints[:3] {
		p.Endpoints[i].Engine["restart_delay"] = "100ms"
	}
	d := startDeployment(t, p)
	l := startLoad(t, d, 6)
	l.awaitCompleted(t, 30)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			for range 4 {
				postCrashingPrompt(d.Files.Entries[i])
			}
		})
	}
	wg.Wait()
	for _, entry := range d.Files.Entries {
		eventually(t, "the crashing request is refused", func() bool {
			r := postCrashingPrompt(entry)
			return r.status == http.StatusUnprocessableEntity && r.verdict == "may_have_run"
		})
	}
	l.awaitCompleted(t, 30)
	l.stopAndWait()
	is.Equal(l.failed.Load(), int64(0))
	crashes := 0.0
	for i := range 3 {
		crashes += d.Metric(fmt.Sprintf("scribe-%d", i+1), "sidecar_engine_restarts_total")
	}
	t.Logf("%v engine restarts", crashes)
	is.True(crashes <= quarantine.MaxLostEndpoints)
}
