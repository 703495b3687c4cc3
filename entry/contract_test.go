package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const testKey = "demo-key"

// fakeControl is a ControlClient with a fixed configuration. Its commands and claims fail
// for lack of a quorum.
type fakeControl struct{ doc *config.Document }

func (f *fakeControl) Config() *config.Document                       { return f.doc }
func (f *fakeControl) PermissionFor(string) wire.Permission           { return wire.Permission{} }
func (f *fakeControl) ReceivePermission(string, wire.Permission) bool { return false }
func (f *fakeControl) Announce()                                      {}
func (f *fakeControl) Do(context.Context, string, string, any, any) error {
	return verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no quorum")
}

func (f *fakeControl) Claim(context.Context, string, command.Claim) (command.Claimed, error) {
	return command.Claimed{}, verdict.Refuse(verdict.ReasonNoQuorum, time.Second, "no quorum")
}

// script returns the messages with which a sidecar answers the dispatch of attempt a.
type script func(a wire.Attempt) []wire.Message

// fakeSidecars is a dialer of fake sidecars that all follow the same script. Without a
// script, no sidecar is reachable.
type fakeSidecars struct{ script script }

func (f *fakeSidecars) Replace(string) {}
func (f *fakeSidecars) Close()         {}
func (f *fakeSidecars) Open(context.Context, string) (wire.Stream, error) {
	if f.script == nil {
		return nil, io.ErrClosedPipe
	}
	return &fakeStream{script: f.script, out: make(chan wire.Message, 16)}, nil
}

type fakeStream struct {
	script script
	out    chan wire.Message
}

func (s *fakeStream) Peer() wire.Peer                 { return wire.Peer{Name: "scribe-1", Role: wire.RoleSidecar} }
func (s *fakeStream) SetDeadline(time.Time) error     { return nil }
func (s *fakeStream) SetSendDeadline(time.Time) error { return nil }
func (s *fakeStream) CloseSend() error                { return nil }
func (s *fakeStream) Abort()                          {}
func (s *fakeStream) Context() context.Context        { return context.Background() }
func (s *fakeStream) Send(m wire.Message) error {
	if d, ok := m.(*wire.Dispatch); ok {
		for _, answer := range s.script(d.Attempt) {
			s.out <- answer
		}
		close(s.out)
	}
	return nil
}

func (s *fakeStream) Recv() (wire.Message, error) {
	m, ok := <-s.out
	if !ok {
		return nil, io.EOF
	}
	return m, nil
}

// newEntry returns an entry with a fixed configuration, one model endpoint and one service
// endpoint.
func newEntry(t *testing.T, sc script) *Entry {
	t.Helper()
	doc := config.NewDocument()
	doc.Revision = 1
	doc.Zones["hall"] = config.Zone{Name: "hall", State: config.In}
	doc.Routes["scribe"] = config.Route{Name: "scribe", Kind: config.ModelRoute, Target: "scribe"}
	doc.Routes["closed"] = config.Route{Name: "closed", Kind: config.ModelRoute, Target: "scribe", Accounts: []string{"others"}}
	doc.Routes["desk"] = config.Route{
		Name: "desk", Kind: config.ServiceRoute, Target: "desk", NonIdempotent: []config.Call{{Method: "POST", Path: "/seal"}},
	}
	doc.Accounts["notaries"] = config.Account{Name: "notaries", KeyHashes: []string{
		config.HashKey(testKey),
	}}
	e := New(Settings{MaxBodyBytes: 4096})
	h := &kernel.Host{Node: settings.Node{Name: "entry-1", Zone: "hall"}, Log: hclog.NewNullLogger(), Clock: kernel.SystemClock{}, Metrics: metrics.NewSet()}
	dispatcher, err := newDispatcher(h, "route.round_robin")
	if err != nil {
		t.Fatal(err)
	}
	e.log, e.clock, e.node = h.Log, h.Clock, h.Node
	e.traffic, e.controlTraffic = &wire.Traffic{}, &wire.Traffic{}
	e.budget, e.quotas, e.healthMonitor = stream.NewBudget(e.Held), session.NewLimits(), newHealthMonitor()
	e.background = kernel.NewPool(1, 1)
	t.Cleanup(func() { _ = e.background.Close(context.Background()) })
	e.control, e.pool, e.dispatcher = &fakeControl{doc: doc}, &fakeSidecars{script: sc}, dispatcher
	e.suspects = session.NewSuspects(e.control, h.Clock)
	e.metrics = newMetrics(h.Metrics, e)
	load := wire.Load{FreeTokens: 9000, CapacityTokens: 9000, PrefillRate: 1e6, DecodeRate: 1e6, RampTokens: -1}
	e.dispatcher.updateEndpoints(doc, []wire.Endpoint{
		{Name: "scribe-1", Zone: "hall", Target: "scribe", Incarnation: 1, Load: load},
		{Name: "desk-1", Zone: "hall", Target: "desk", Incarnation: 1, Service: true, Load: load},
	}, nil, true)
	return e
}

// serveTest sends one request to the entry over HTTP and returns the answer. It returns an
// error if the connection breaks.
func serveTest(t *testing.T, e *Entry, method, path, body string, header map[string]string) (status int, head http.Header, got string, err error) {
	t.Helper()
	srv := httptest.NewServer(e.handler())
	defer srv.Close()
	req, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, string(raw), err
}

const goodPrompt = `{"model":"scribe","prompt":"hello","max_tokens":4}`

// withKey returns the headers of an authenticated request, with a timeout of two seconds and
// more headers as names and values in turn.
func withKey(more ...string) map[string]string {
	h := map[string]string{"Authorization": "Bearer " + testKey, HeaderTimeout: "2s"}
	for i := 0; i+1 < len(more); i += 2 {
		h[more[i]] = more[i+1]
	}
	return h
}

// TestCallerContract checks the status, reason and verdict of requests that the entry
// refuses by itself, without a dispatch to an endpoint.
func TestCallerContract(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		header             map[string]string
		status             int
		reason             verdict.Reason
	}{
		"no key":             {"POST", "/v1/completions", goodPrompt, nil, 401, verdict.ReasonUnauthenticated},
		"wrong key":          {"POST", "/v1/completions", goodPrompt, map[string]string{"Authorization": "Bearer x"}, 401, verdict.ReasonUnauthenticated},
		"not JSON":           {"POST", "/v1/completions", "{", withKey(), 400, verdict.ReasonBadRequest},
		"no model":           {"POST", "/v1/completions", `{"prompt":"a"}`, withKey(), 400, verdict.ReasonBadRequest},
		"no prompt":          {"POST", "/v1/completions", `{"model":"scribe"}`, withKey(), 400, verdict.ReasonBadRequest},
		"no output wanted":   {"POST", "/v1/completions", `{"model":"scribe","prompt":"a","max_tokens":0}`, withKey(), 400, verdict.ReasonBadRequest},
		"bad timeout":        {"POST", "/v1/completions", goodPrompt, withKey(HeaderTimeout, "soon"), 400, verdict.ReasonBadRequest},
		"unknown route":      {"POST", "/v1/completions", `{"model":"x","prompt":"a"}`, withKey(), 404, verdict.ReasonUnknownRoute},
		"route not allowed":  {"POST", "/v1/completions", `{"model":"closed","prompt":"a"}`, withKey(), 404, verdict.ReasonUnknownRoute},
		"service as model":   {"POST", "/v1/completions", `{"model":"desk","prompt":"a"}`, withKey(), 404, verdict.ReasonUnknownRoute},
		"model as service":   {"GET", "/services/scribe/a", "", withKey(), 404, verdict.ReasonUnknownRoute},
		"body too large":     {"POST", "/v1/completions", strings.Repeat(" ", 5000), withKey(), 413, verdict.ReasonTooLarge},
		"prompt too long":    {"POST", "/v1/completions", `{"model":"scribe","prompt":"a","max_tokens":90000}`, withKey(), 413, verdict.ReasonPromptTooLong},
		"seal without a key": {"POST", "/services/desk/seal", "{}", withKey(), 400, verdict.ReasonBadRequest},
		"seal, no quorum":    {"POST", "/services/desk/seal", "{}", withKey(HeaderIdempotencyKey, "k"), 503, verdict.ReasonNoQuorum},
		"key not UTF-8":      {"POST", "/services/desk/seal", "{}", withKey(HeaderIdempotencyKey, "k\xff"), 400, verdict.ReasonBadRequest},
		"no such path":       {"GET", "/v2", "", withKey(), 400, verdict.ReasonBadRequest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEntry(t, func(wire.Attempt) []wire.Message { t.Error("refused request was dispatched"); return nil })
			status, head, body, err := serveTest(t, e, tc.method, tc.path, tc.body, tc.header)
			is.NoErr(err)
			is.Equal(status, tc.status)
			is.Equal(head.Get("X-Verdict"), "not_run")
			is.True(strings.Contains(body, `"reason":"`+string(tc.reason)+`"`))
			held, _ := e.budget.Held()
			is.Equal(held, int64(0))
		})
	}
}

// answerOf returns the script of a complete answer with one chunk. change may falsify its
// messages.
func answerOf(contentType string, change func(head *wire.Head, chunk *wire.Chunk, end *wire.End)) script {
	return func(a wire.Attempt) []wire.Message {
		head := &wire.Head{Attempt: a, Status: 200, Header: map[string]string{"Content-Type": contentType}}
		chunk := &wire.Chunk{Attempt: a, Seq: 1, Data: []byte("data: x\n\n")}
		end := &wire.End{Attempt: a, Chunks: 1, Bytes: int64(len(chunk.Data))}
		change(head, chunk, end)
		return []wire.Message{&wire.Grant{Attempt: a}, head, chunk, end}
	}
}

// TestSidecarContract checks that missing, truncated or falsified messages of a sidecar never
// become a complete answer: the caller gets a refusal, or an error event and a broken
// connection.
func TestSidecarContract(t *testing.T) {
	other := wire.Attempt{Request: [16]byte{9}, Number: 1}
	truncate := func(n int, complete script) script {
		return func(a wire.Attempt) []wire.Message { return complete(a)[:n] }
	}
	unchanged := func(*wire.Head, *wire.Chunk, *wire.End) {}
	tests := map[string]struct {
		change   func(*wire.Head, *wire.Chunk, *wire.End)
		messages int
		complete bool
	}{
		"complete":                 {unchanged, 4, true},
		"no end":                   {unchanged, 3, false},
		"no chunk":                 {unchanged, 2, false},
		"no head":                  {unchanged, 1, false},
		"no messages":              {unchanged, 0, false},
		"head of another attempt":  {func(h *wire.Head, _ *wire.Chunk, _ *wire.End) { h.Attempt = other }, 4, false},
		"chunk of another attempt": {func(_ *wire.Head, c *wire.Chunk, _ *wire.End) { c.Attempt = other }, 4, false},
		"end of another attempt":   {func(_ *wire.Head, _ *wire.Chunk, e *wire.End) { e.Attempt = other }, 4, false},
		"missing chunk":            {func(_ *wire.Head, c *wire.Chunk, _ *wire.End) { c.Seq = 2 }, 4, false},
		"missing bytes":            {func(_ *wire.Head, c *wire.Chunk, _ *wire.End) { c.Offset = 5 }, 4, false},
		"end counts more bytes":    {func(_ *wire.Head, _ *wire.Chunk, e *wire.End) { e.Bytes++ }, 4, false},
	}
	for name, tc := range tests {
		for _, kind := range []string{"text/event-stream", "application/json"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				is := is.New(t)
				e := newEntry(t, truncate(tc.messages, answerOf(kind, tc.change)))
				status, head, body, err := serveTest(t, e, "POST", "/v1/completions", goodPrompt, withKey(HeaderTimeout, "300ms"))
				if tc.complete {
					is.NoErr(err)
					is.Equal(body, "data: x\n\n")
					return
				}
				broken := err != nil && !strings.Contains(body, "[DONE]")
				refused := err == nil && status >= 500 && head.Get("X-Verdict") != ""
				is.True(broken || refused)
				if refused {
					is.Equal(head.Get("X-Verdict"), "may_have_run")
				}
			})
		}
	}
}

// TestUnreachableEndpointIsNotRun checks that a request whose endpoint cannot be reached is
// refused with the verdict not_run.
func TestUnreachableEndpointIsNotRun(t *testing.T) {
	is := is.New(t)
	e := newEntry(t, nil)
	status, head, _, err := serveTest(t, e, "POST", "/v1/completions", goodPrompt, withKey(HeaderTimeout, "300ms"))
	is.NoErr(err)
	is.True(status >= 500)
	is.Equal(head.Get("X-Verdict"), "not_run")
}
