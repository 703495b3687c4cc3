package dev

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

// All engines of the deployment stop, with their HTTP interfaces, and go on: neither entry nor sidecar
// ends a request for that.
func TestSilentEnginesEndNoRequest(t *testing.T) {
	is := is.New(t)
	p := Small(t.TempDir())
	var engines []*standin.Engine
	for i := range p.Endpoints[:3] {
		cfg := standin.DefaultEngineConfig()
		cfg.Name, cfg.Model, cfg.DecodeRate, cfg.KVTokens = p.Endpoints[i].Name, SmallModel, 200, 1_200_000
		e := standin.NewEngine(cfg, kernel.SystemClock{})
		t.Cleanup(e.Close)
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		engines, p.Endpoints[i].URL = append(engines, e), server.URL
	}
	d := startDeployment(t, p)
	prompt := func(entry, text string, stream bool) (*http.Response, error) {
		return post(entry, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"%s","max_tokens":100,"stream":%v}`, SmallRoute, text, stream), nil)
	}
	for _, silence := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		begun, err := prompt(d.Files.Entries[0], fmt.Sprint("Begun before ", silence), true)
		is.NoErr(err)
		read := bufio.NewReader(begun.Body)
		_, err = read.ReadString('\n')
		is.NoErr(err)
		for _, e := range engines {
			e.Suspend()
		}
		var wg sync.WaitGroup
		for i, entry := range d.Files.Entries {
			for _, stream := range []bool{true, false} {
				wg.Go(func() {
					res, err := prompt(entry, fmt.Sprint("Sent in ", silence, i, stream), stream)
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = res.Body.Close() }()
					body, err := io.ReadAll(res.Body)
					if err != nil || res.StatusCode != http.StatusOK || stream && !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
						t.Errorf("silence of %v, stream %v: status %d, error %v, body %s", silence, stream, res.StatusCode, err, body)
					}
				})
			}
		}
		time.Sleep(silence)
		for _, e := range engines {
			e.Resume()
		}
		rest, err := io.ReadAll(read)
		is.NoErr(err)
		is.True(strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
		is.NoErr(begun.Body.Close())
		wg.Wait()
	}
	for _, name := range []string{"scribe-1", "scribe-2", "scribe-3"} {
		is.Equal(d.Metric(name, "sidecar_engine_restarts_total"), 0.0)
	}
}
