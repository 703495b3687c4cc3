package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// httpEngine is an engine that runs in real time, at 200 times its normal speed, and
// serves on a loopback port.
type httpEngine struct {
	*Engine
	url string
}

// serveEngine returns an engine with the default settings for tests, changed by
// configure. Requests can be resumed until the test ends.
func serveEngine(t *testing.T, configure func(*EngineConfig)) httpEngine {
	t.Helper()
	cfg := DefaultEngineConfig()
	cfg.Model = "scribe"
	cfg.TimeScale = 200
	cfg.ResumeWindow = 1 << 50
	cfg.RestartDelay = 0
	if configure != nil {
		configure(&cfg)
	}
	e := NewEngine(cfg, kernel.SystemClock{})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.Close()
		server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return httpEngine{Engine: e, url: server.URL}
}

// call sends one request with headers, given as names and values in turn, and returns
// the status and the body.
func call(t *testing.T, method, url, body string, header ...string) (int, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// streamText returns the output of a stream, its usage, and whether it ended with the
// [DONE] event.
func streamText(t *testing.T, body string) (text string, usage *Usage, done bool) {
	t.Helper()
	scan := bufio.NewScanner(strings.NewReader(body))
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, usage, true
		}
		var a Answer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			t.Fatal(err)
		}
		text += a.Text()
		usage = a.Usage
	}
	return text, usage, false
}

const (
	streamed = `{"model":"scribe","prompt":"a letter from Lesneven","max_tokens":9,"stream":true}`
	prompt   = "a letter from Lesneven"
)

func TestAnswersAreComplete(t *testing.T) {
	e := serveEngine(t, nil)
	want := ExpectedText(PromptDigest(prompt), 9)
	cases := []struct {
		name, path, body string
		stream           bool
	}{
		{"completion streamed", engine.PathCompletions, streamed, true},
		{"completion not streamed", engine.PathCompletions, `{"model":"scribe","prompt":"a letter from Lesneven","max_tokens":9}`, false},
		{"chat streamed", engine.PathChat, `{"messages":[{"role":"user","content":"a letter from Lesneven"}],"max_tokens":9,"stream":true}`, true},
		{"chat not streamed", engine.PathChat, `{"messages":[{"role":"user","content":"a letter from Lesneven"}],"max_tokens":9}`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, body, err := call(t, http.MethodPost, e.url+c.path, c.body)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			if c.stream {
				text, usage, done := streamText(t, body)
				is.True(done)
				is.Equal(text, want)
				is.Equal(*usage, Usage{PromptTokens: 6, CompletionTokens: 9, TotalTokens: 15})
				return
			}
			var a Answer
			is.NoErr(json.Unmarshal([]byte(body), &a))
			is.Equal(a.Text(), want)
			is.Equal(a.Usage.CompletionTokens, int64(9))
		})
	}
}

func TestRefusals(t *testing.T) {
	e := serveEngine(t, nil)
	_, _, err := call(t, http.MethodPost, e.url+engine.PathCompletions, streamed, engine.HeaderRequestID, "known")
	is.New(t).NoErr(err)
	cases := []struct {
		name, method, path, body string
		header                   []string
		want                     int
	}{
		{"malformed body", http.MethodPost, engine.PathCompletions, `{`, nil, http.StatusBadRequest},
		{"other model", http.MethodPost, engine.PathCompletions, `{"model":"other"}`, nil, http.StatusNotFound},
		{"duplicate id", http.MethodPost, engine.PathCompletions, streamed, []string{engine.HeaderRequestID, "known"}, http.StatusConflict},
		{"bad offset", http.MethodPost, engine.PathCompletions, streamed, []string{engine.HeaderOffset, "-1"}, http.StatusBadRequest},
		{"resume of an unknown id", http.MethodGet, engine.PathRequests + "x", "", nil, http.StatusNotFound},
		{"cancel of an unknown id", http.MethodDelete, engine.PathRequests + "x", "", nil, http.StatusNotFound},
		{"unknown action", http.MethodPost, engine.PathOrders, `{"action":"dance"}`, nil, http.StatusBadRequest},
		{"export of an unknown prefix", http.MethodPost, engine.PathKVExport, `{"prefix":1}`, nil, http.StatusNotFound},
		{"unknown handle", http.MethodDelete, engine.PathKV + "/x", "", nil, http.StatusNotFound},
		{"import from an unreachable source", http.MethodPost, engine.PathKVImport, `{"source":"http://127.0.0.1:1","handle":"x"}`, nil, http.StatusBadGateway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, _, err := call(t, c.method, e.url+c.path, c.body, c.header...)
			is.NoErr(err)
			is.Equal(status, c.want)
			is.Equal(e.FreeTokens(), e.cfg.KVTokens)
		})
	}
}

func TestResumeFromEveryOffset(t *testing.T) {
	is := is.New(t)
	e := serveEngine(t, nil)
	_, complete, err := call(t, http.MethodPost, e.url+engine.PathCompletions, streamed, engine.HeaderRequestID, "r")
	is.NoErr(err)
	other := serveEngine(t, nil)
	for offset := 0; offset <= len(complete); offset += 53 {
		at := itoa(offset)
		_, rest, err := call(t, http.MethodGet, e.url+engine.PathRequests+"r?offset="+at, "")
		is.NoErr(err)
		is.Equal(rest, complete[offset:])
		_, rest, err = call(t, http.MethodPost, other.url+engine.PathCompletions, streamed, engine.HeaderOffset, at)
		is.NoErr(err)
		is.Equal(rest, complete[offset:]) // another engine continues at the same byte
	}
}

func TestCrashingRequestAbortsOtherRequests(t *testing.T) {
	is := is.New(t)
	e := serveEngine(t, func(c *EngineConfig) { c.DecodeRate = 0.001 })
	boot := e.Boot()
	neighbour, err := http.Post(e.url+engine.PathCompletions, "application/json", strings.NewReader(streamed))
	is.NoErr(err)
	defer neighbour.Body.Close()
	_, _, err = call(t, http.MethodPost, e.url+engine.PathCompletions, `{"prompt":"`+CrashMarker+`"}`)
	is.True(err != nil)
	rest, err := io.ReadAll(neighbour.Body)
	is.True(err != nil)
	_, _, done := streamText(t, string(rest))
	is.True(!done)
	is.True(e.Boot() > boot)
	is.Equal(e.FreeTokens(), e.cfg.KVTokens)
}

func TestCancelFreesMemory(t *testing.T) {
	is := is.New(t)
	e := serveEngine(t, func(c *EngineConfig) { c.DecodeRate = 0.001 })
	resp, err := http.DefaultClient.Do(withID(t, e.url, "c"))
	is.NoErr(err)
	defer resp.Body.Close()
	is.True(e.FreeTokens() < e.cfg.KVTokens)
	status, _, err := call(t, http.MethodDelete, e.url+engine.PathRequests+"c", "")
	is.NoErr(err)
	is.Equal(status, http.StatusNoContent)
	is.Equal(e.FreeTokens(), e.cfg.KVTokens)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // a cancelled stream ends with an error
}

func withID(t *testing.T, url, id string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+engine.PathCompletions, strings.NewReader(streamed))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(engine.HeaderRequestID, id)
	return req
}

func TestOrdersCarryFencingNumbers(t *testing.T) {
	cases := []struct {
		name   string
		checks bool
		fences []string
		want   []int
	}{
		{"checked", true, []string{"5", "5", "4", "6"}, []int{200, 200, 409, 200}},
		{"ignored", false, []string{"5", "5", "4", "6"}, []int{200, 200, 200, 200}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := serveEngine(t, func(cfg *EngineConfig) { cfg.ChecksFence = c.checks })
			for i, fence := range c.fences {
				status, body, err := call(t, http.MethodPost, e.url+engine.PathOrders, `{"fence":`+fence+`,"action":"role","value":"long"}`)
				is.NoErr(err)
				is.Equal(status, c.want[i])
				if status == http.StatusConflict {
					is.Equal(strings.TrimSpace(body), `{"newest":5}`)
				}
			}
		})
	}
}

func TestLoadOrderReadsTheWeightStore(t *testing.T) {
	is := is.New(t)
	store := httptest.NewServer(NewWeightStore(DefaultWeightStoreConfig()).Handler())
	defer store.Close()
	e := serveEngine(t, func(c *EngineConfig) {
		c.WeightStore = store.URL
		c.WeightBytes = 300_000
	})
	boot := e.Boot()
	status, _, err := call(t, http.MethodPost, e.url+engine.PathOrders, `{"fence":1,"action":"load","value":"other"}`)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	_, body, err := call(t, http.MethodGet, e.url+engine.PathLoad, "")
	is.NoErr(err)
	var load engine.Load
	is.NoErr(json.Unmarshal([]byte(body), &load))
	is.Equal(load.Model, "other")
	is.True(load.Boot > boot)
	store.Close()
	status, _, err = call(t, http.MethodPost, e.url+engine.PathOrders, `{"fence":2,"action":"load","value":"third"}`)
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway) // the weight store is unreachable
}

func TestExportAndImport(t *testing.T) {
	is := is.New(t)
	from, to := serveEngine(t, nil), serveEngine(t, nil)
	_, _, err := call(t, http.MethodPost, from.url+engine.PathCompletions, streamed)
	is.NoErr(err)
	prefix := prefixBlocks(prompt)[0]
	var handle engine.KVHandle
	_, body, err := call(t, http.MethodPost, from.url+engine.PathKVExport, `{"prefix":`+utoa(prefix)+`}`)
	is.NoErr(err)
	is.NoErr(json.Unmarshal([]byte(body), &handle))
	is.Equal(handle.Tokens, int64(6))
	is.Equal(from.FreeTokens(), from.cfg.KVTokens-6)
	_, body, err = call(t, http.MethodPost, to.url+engine.PathKVImport, `{"source":"`+from.url+`","handle":"`+handle.Handle+`"}`)
	is.NoErr(err)
	is.NoErr(json.Unmarshal([]byte(body), &handle))
	is.Equal(to.cache.hitShare(prefixBlocks(prompt)), 1.0)
	for _, e := range []httpEngine{from, to} {
		_, body, err := call(t, http.MethodGet, e.url+engine.PathKV, "")
		is.NoErr(err)
		var list engine.KVList
		is.NoErr(json.Unmarshal([]byte(body), &list))
		is.Equal(len(list.Held), 1)
		status, _, err := call(t, http.MethodDelete, e.url+engine.PathKV+"/"+list.Held[0].Handle, "")
		is.NoErr(err)
		is.Equal(status, http.StatusNoContent)
		is.Equal(e.FreeTokens(), e.cfg.KVTokens)
	}
}
