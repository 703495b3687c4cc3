package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// testDialect is a minimal dialect with one header for each field.
type testDialect struct{}

func (testDialect) DecodeDeployment([]byte) (*Deployment, error) { return &Deployment{}, nil }

func (testDialect) ReadRequest(h http.Header) Request {
	r := Request{ID: h.Get("Id"), LastEvent: h.Get("Last")}
	r.PromptTokens, _ = strconv.Atoi(h.Get("Tokens"))
	r.OutputTokens, _ = strconv.Atoi(h.Get("Output"))
	r.ExpectedTokens, _ = strconv.Atoi(h.Get("Expected"))
	if ms, err := strconv.Atoi(h.Get("Wait")); err == nil {
		r.Deadline = time.Duration(ms) * time.Millisecond
	}
	r.Parts = h.Values("Part")
	return r
}

func (testDialect) WriteDispatch(h http.Header, d *Dispatch) {
	h.Set("Instance", d.Instance)
	h.Set("Account", d.Account)
	h.Set("Last", d.LastEvent)
	h.Set("Wait", strconv.FormatInt(d.Deadline.Milliseconds(), 10))
}

func (testDialect) ClassifyAnswer(res *http.Response, id string) (Outcome, string) {
	switch {
	case res.Header.Get("Id") != id:
		return Mismatched, ""
	case res.StatusCode == http.StatusMisdirectedRequest:
		return Misdirected, ""
	case res.Header.Get("Not-Run") != "":
		return NotRun, ""
	}
	return Answered, ""
}

func (testDialect) ReadLimit(h http.Header) (NamedLimit, error) {
	raw := h.Get("Limit")
	if raw == "" {
		return NamedLimit{}, nil
	}
	perSecond, err := strconv.ParseFloat(raw, 64)
	return NamedLimit{Named: true, PerSecond: perSecond, Header: "Limit"}, err
}

func (testDialect) ReadLeaving(h http.Header) (bool, error) { return h.Get("Leaving") != "", nil }

func (testDialect) ReadPause(_ time.Time, res *http.Response) (time.Duration, error) {
	raw := res.Header.Get("Pause")
	if raw == "" {
		return 0, nil
	}
	return time.ParseDuration(raw)
}

// fakeControlClient is a controlClient whose permission a test sets.
type fakeControlClient struct {
	expired atomic.Bool
	// published is the version of the newest publication that the session has received.
	published atomic.Uint64
	// permitsFrom is the number of the command from which permits are granted; zero for never.
	permitsFrom, commands atomic.Int64
}

func (s *fakeControlClient) Run(ctx context.Context) error { <-ctx.Done(); return nil }
func (s *fakeControlClient) Fresh() bool                   { return !s.expired.Load() }
func (s *fakeControlClient) SetReplicas([]string)          {}
func (s *fakeControlClient) Permission() wire.Permission   { return wire.Permission{Left: time.Second} }
func (s *fakeControlClient) Do(_ context.Context, _, _ string, _, out any) error {
	permitted, ok := out.(*command.Permitted)
	if from := s.permitsFrom.Load(); ok && from > 0 && s.commands.Add(1) >= from {
		*permitted = command.Permitted{Granted: true, Status: uint8(quarantine.Suspect)}
		return nil
	}
	return verdict.Refuse(verdict.ReasonNoQuorum, 0, "the test has no control")
}
func (s *fakeControlClient) Config() *config.Document {
	doc := config.NewDocument()
	doc.Publication = &config.Publication{Version: s.published.Load()}
	return doc
}

// fakeEngines records the memory reservations.
type fakeEngines struct {
	mu       sync.Mutex
	reserved map[string]int64
	full     bool
	// dead is set if the engines answer no health checks.
	dead atomic.Bool
	// slow are the addresses of slow engines. mu guards it.
	slow map[string]float64
}

func (e *fakeEngines) TicketUsed(string, string) (bool, error) { return true, nil }

func (e *fakeEngines) Requests(string) (running, waiting int, err error) { return 0, 0, nil }

func (e *fakeEngines) Alive(string, uint64) bool { return !e.dead.Load() }

func (e *fakeEngines) Slowdown(addr string) (float64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slow[addr], nil
}

func (e *fakeEngines) Reserve(addr, ticket string, tokens int64, _ time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.full {
		return fmt.Errorf("endpoint %s has no memory", addr)
	}
	e.reserved[addr+"/"+ticket] = tokens
	return nil
}

func (e *fakeEngines) Release(addr, ticket string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.reserved, addr+"/"+ticket)
	return nil
}

func (e *fakeEngines) tickets() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.reserved)
}

// testGateway is a gateway whose endpoints are HTTP servers of the test.
type testGateway struct {
	t       *testing.T
	g       *Gateway
	session *fakeControlClient
	engines *fakeEngines
	url     string
	// arrivals are the requests that reached endpoints. mu guards them.
	mu       sync.Mutex
	arrivals []*http.Request
}

// newTestGateway returns a gateway with two endpoints for each handler, one of each
// service.
func newTestGateway(t *testing.T, endpoints ...http.HandlerFunc) *testGateway {
	t.Helper()
	w := &testGateway{t: t, session: &fakeControlClient{}, engines: &fakeEngines{reserved: map[string]int64{}}}
	g := New(Settings{Retries: RetryLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, TicketTTL: time.Second}, testDialect{}, w.engines)
	g.log, g.clock, g.node = hclog.NewNullLogger(), kernel.SystemClock{}, settings.Node{Name: "entry-1", Zone: "hall"}
	g.client, g.http, g.metrics = w.session, NewTransport(), newMetrics(metrics.NewSet())
	g.retries = newRetryBudget(g.Retries, time.Time{})
	g.retries.recordEntries(time.Time{}, 1)
	g.suspects = session.NewSuspects(w.session, g.clock)
	g.background, g.stopBackground = context.WithCancel(context.Background())
	t.Cleanup(g.stopBackground)
	g.entries.Store(1)
	w.g = g
	g.deployment.Store((&Deployment{
		Version: 1, MaxBodyBytes: 1000,
		Services: map[string]*Service{"desk": {Name: "desk"}, "scribe": {Name: "scribe", Engine: &costmodel.Engine{Slots: 8, MemoryTokens: 1000, PrefillTokensPerSecond: 1e6}}},
		Accounts: []Account{{Name: "parish", Keys: []string{"key-1"}}},
		Routes: []Route{
			{Name: "seal", Host: "h", Prefix: "/seal/", Kind: AtMostOnce, Timeout: 2 * time.Second, LatencyTarget: 100 * time.Millisecond, MaxEndpoints: 1, Services: singleService("desk")},
			{Name: "status", Host: "h", Prefix: "/status/", Kind: Repeatable, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, MaxEndpoints: 2, Services: singleService("desk")},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: Repeatable, Timeout: 2 * time.Second, MaxEndpoints: 2, Anonymous: true, Services: singleService("desk")},
			{Name: "read", Host: "h", Prefix: "/read/", Kind: Repeatable, Stream: true, Timeout: 3 * time.Second, LatencyTarget: time.Second, EventGapTarget: 200 * time.Millisecond, MaxEndpoints: 2, Services: singleService("scribe")},
			{Name: "tell", Host: "h", Prefix: "/tell/", Kind: AtMostOnce, Stream: true, Timeout: 3 * time.Second, LatencyTarget: time.Second, MaxEndpoints: 1, Services: singleService("scribe")},
		},
	}).Index())
	for i, handler := range endpoints {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			w.mu.Lock()
			w.arrivals = append(w.arrivals, r)
			w.mu.Unlock()
			// An http.Server notices a disconnected client only after it has read the body.
			_, _ = io.Copy(io.Discard, r.Body)
			handler(rw, r)
		}))
		t.Cleanup(s.Close)
		for _, service := range []string{"desk", "scribe"} {
			g.fleet.Update(assign.Endpoint{
				Name: fmt.Sprintf("%s-%d", service, i+1), Service: service, Addr: strings.TrimPrefix(s.URL, "http://"), Zone: fmt.Sprint("zone-", i), Slots: 8, Incarnation: 1,
			})
		}
	}
	front := httptest.NewServer(http.HandlerFunc(g.serve))
	t.Cleanup(front.Close)
	w.url = front.URL
	return w
}

// singleService returns the services of a route that has only one.
func singleService(service string) []WeightedService {
	return []WeightedService{{Name: service, Weight: 1}}
}

// reply is what a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// broken is set when the answer was incomplete.
	broken bool
}

// post sends a request as a caller does; adjust may change it before.
func (w *testGateway) post(path string, adjust func(*http.Request)) reply {
	w.t.Helper()
	r, err := http.NewRequest(http.MethodPost, w.url+path, strings.NewReader("body"))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "attempt-1")
	r.Header.Set("Authorization", "Bearer key-1")
	if adjust != nil {
		adjust(r)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{broken: true}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(body), broken: err != nil}
}

// arrivalCount returns the number of requests that reached endpoints.
func (w *testGateway) arrivalCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.arrivals)
}

// answering is an endpoint that answers with a status and a body.
func answering(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "seal of "+r.Header.Get("Instance"))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// answeringOtherAttempt is an endpoint that answers with the ID of another attempt.
func answeringOtherAttempt(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", "another attempt")
	_, _ = io.WriteString(w, "not yours")
}

// refusing is an endpoint that states that it has not executed the request.
func refusing(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
	}
}

// truncating is an endpoint that sends less than its Content-Length and breaks the
// connection.
func truncating(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, "part")
	panic(http.ErrAbortHandler)
}

// resetting is an endpoint that resets the connection before it answers.
func resetting(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func TestAnswersOfEndpoints(t *testing.T) {
	good := answering(http.StatusOK, "good")
	tests := map[string]struct {
		path      string
		endpoints []http.HandlerFunc
		status    int
		body      string // "" is not compared
		arrivals  int    // 0 is not compared
	}{
		"complete answer":                               {"/seal/1", []http.HandlerFunc{good}, 200, "good", 1},
		"error answer":                                  {"/seal/1", []http.HandlerFunc{answering(500, "bad")}, 500, "bad", 1},
		"error answers, repeatable":                     {"/status/1", []http.HandlerFunc{answering(500, "bad"), answering(500, "bad")}, 500, "bad", 2},
		"other status is passed on":                     {"/seal/1", []http.HandlerFunc{answering(418, "tea")}, 418, "tea", 1},
		"answer to another attempt, at most once":       {"/seal/1", []http.HandlerFunc{answeringOtherAttempt, good}, 502, "", 1},
		"truncated answer, at most once":                {"/seal/1", []http.HandlerFunc{truncating, good}, 502, "", 1},
		"connection reset, at most once":                {"/seal/1", []http.HandlerFunc{resetting, good}, 502, "", 1},
		"503 that does not state not run, at most once": {"/seal/1", []http.HandlerFunc{answering(503, "busy")}, 502, "", 1},
		"408 that does not state not run, at most once": {"/seal/1", []http.HandlerFunc{answering(408, "late")}, 502, "", 1},
		"all refuse":                                    {"/seal/1", []http.HandlerFunc{refusing(503), refusing(503)}, 503, "", 2},
		"another endpoint at the address":               {"/seal/1", []http.HandlerFunc{refusing(421), refusing(421)}, 503, "", 2},
		"answers to another attempt, repeatable":        {"/status/1", []http.HandlerFunc{answeringOtherAttempt, answeringOtherAttempt, answeringOtherAttempt}, 502, "", 2},
		"truncated answers, repeatable":                 {"/status/1", []http.HandlerFunc{truncating, truncating, truncating}, 502, "", 2},
		"no endpoint":                                   {"/seal/1", nil, 503, "", 0},
		"stream, connection reset, at most once":        {"/tell/1", []http.HandlerFunc{resetting, good}, 502, "", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, test.endpoints...)
			// The endpoints are tried in the order of the table.
			for i := range test.endpoints {
				w.addLoad("desk", i, i)
				w.addLoad("scribe", i, i)
			}
			got := w.post(test.path, nil)
			is.Equal(got.status, test.status)
			if test.body != "" {
				is.Equal(got.body, test.body)
				is.True(got.header.Get("Seal") != "")
			} else {
				is.Equal(got.header.Get("Seal"), "") // endpoints set the header, the gateway does not
			}
			if test.arrivals > 0 {
				is.Equal(w.arrivalCount(), test.arrivals)
			}
			if got.status == http.StatusServiceUnavailable {
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after > 0)
			}
		})
	}
}

// addLoad books n requests on an endpoint.
func (w *testGateway) addLoad(service string, endpoint, n int) {
	for i := range n {
		b := &assign.Booking{Primary: assign.Part{Endpoint: fmt.Sprintf("%s-%d", service, endpoint+1)}, Short: true}
		w.g.fleet.Book(time.Now(), "other", uint64(1000*endpoint+i+1), b)
	}
}

func TestRepeatableCallsGoToAnotherEndpoint(t *testing.T) {
	for name, bad := range map[string]http.HandlerFunc{
		"answer to another attempt": answeringOtherAttempt, "truncated answer": truncating, "connection reset": resetting, "error answer": answering(500, "bad"), "refusing": refusing(503),
		"another endpoint at the address": refusing(421), "silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, bad, answering(200, "good"))
			w.addLoad("desk", 1, 5)
			got := w.post("/status/1", nil)
			is.Equal(got.status, 200)
			is.Equal(got.body, "good")
			is.Equal(got.header.Get("Seal"), "seal of desk-2")
		})
	}
}

func TestFailedConnectionProvesThatRequestHasNotRun(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	w.g.fleet.Update(assign.Endpoint{Name: "gone", Service: "desk", Addr: addr, Slots: 1})
	is.Equal(w.post("/seal/1", nil).status, 503)
}

func TestForwardedRequest(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(200, "good"))
	got := w.post("/seal/a%2Fb?q=1", func(r *http.Request) {
		r.Header.Set("Wait", "700")
		r.Header.Set("Account", "forged")
		r.Header.Set("Keep-Alive", "timeout=5")
		r.Header.Set("X-Other", "kept")
	})
	is.Equal(got.status, 200)
	sent := w.arrivals[0]
	is.Equal(sent.RequestURI, "/seal/a%2Fb?q=1")
	is.Equal(sent.Host, "h")
	is.Equal(sent.Header.Get("Account"), "parish")
	is.Equal(sent.Header.Get("Authorization"), "") // the key is not forwarded
	is.Equal(sent.Header.Get("Keep-Alive"), "")
	is.Equal(sent.Header.Get("X-Other"), "kept")
	left, err := strconv.Atoi(sent.Header.Get("Wait"))
	is.NoErr(err)
	is.True(left > 0 && left <= 700)
}

func TestRequestsRefusedBeforePlacement(t *testing.T) {
	tests := map[string]struct {
		path    string
		adjust  func(*http.Request)
		expired bool
		status  int
	}{
		"no key":      {"/seal/1", func(r *http.Request) { r.Header.Del("Authorization") }, false, 401},
		"unknown key": {"/seal/1", func(r *http.Request) { r.Header.Set("Authorization", "Bearer no") }, false, 401},
		"no route":    {"/none/1", nil, false, 404},
		"other host":  {"/seal/1", func(r *http.Request) { r.Host = "other" }, false, 404},
		"body too long": {"/seal/1", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		}, false, 413},
		"permission expired":               {"/seal/1", nil, true, 503},
		"permission expired, unknown key":  {"/seal/1", func(r *http.Request) { r.Header.Set("Authorization", "Bearer no") }, true, 503},
		"permission expired, unknown path": {"/none/1", nil, true, 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, answering(200, "good"))
			w.session.expired.Store(test.expired)
			is.Equal(w.post(test.path, test.adjust).status, test.status)
			is.Equal(w.arrivalCount(), 0)
		})
	}
}

func TestAnonymousRoutesNeedNeitherKeyNorPermission(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(200, "good"))
	w.session.expired.Store(true)
	is.Equal(w.post("/open/1", func(r *http.Request) { r.Header.Del("Authorization") }).status, 200)
	is.Equal(w.arrivals[0].Header.Get("Account"), "")
}

func TestRequestWaitsForPermissionRenewal(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(200, "good"))
	w.session.expired.Store(true)
	time.AfterFunc(100*time.Millisecond, func() { w.session.expired.Store(false) })
	is.Equal(w.post("/seal/1", nil).status, 200)
}

// withoutKeys returns a deployment in which the account has lost its key.
func withoutKeys(d *Deployment, version uint64) *Deployment {
	next := &Deployment{Version: version, MaxBodyBytes: d.MaxBodyBytes, Services: d.Services, Routes: d.Routes, Accounts: []Account{{Name: "parish"}}}
	return next.Index()
}

func TestKeyRevokedDuringWaitForPermissionIsRefused(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(200, "good"))
	w.session.expired.Store(true)
	time.AfterFunc(100*time.Millisecond, func() {
		w.session.published.Store(2)
		w.g.deployment.Store(withoutKeys(w.g.deployment.Load(), 2))
		w.session.expired.Store(false)
	})
	is.Equal(w.post("/seal/1", nil).status, 401)
	is.Equal(w.arrivalCount(), 0)
}

// TestRequestWaitsForPendingPublication guards against authentication by an outdated
// publication: the session renews the permission shortly before the gateway has decoded
// the publication that came with it.
func TestRequestWaitsForPendingPublication(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(200, "good"))
	w.session.published.Store(2)
	time.AfterFunc(100*time.Millisecond, func() { w.g.deployment.Store(withoutKeys(w.g.deployment.Load(), 2)) })
	is.Equal(w.post("/seal/1", nil).status, 401)
	is.Equal(w.arrivalCount(), 0)
}

// streaming is an endpoint that streams the events after Last up to total. If they are
// more than limit, it calls end after limit events.
func streaming(total, limit int, end func(http.ResponseWriter)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "seal of "+r.Header.Get("Instance"))
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		for i := last + 1; i <= total; i++ {
			if i-last > limit {
				end(w)
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// allEvents returns the text of the events whose IDs lie between from and to, inclusive.
func allEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// abort breaks the connection.
func abort(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// abortWithin breaks the connection in the middle of an event.
func abortWithin(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "id: 99\nda")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// endWithin ends the stream in the middle of an event.
func endWithin(w http.ResponseWriter) { _, _ = io.WriteString(w, "id: 99\nda") }

func TestStreamsAreResumedAfterTheLastWholeEvent(t *testing.T) {
	for name, end := range map[string]func(http.ResponseWriter){
		"broken between events": abort, "broken within an event": abortWithin, "ended within an event": endWithin,
		"silent": func(http.ResponseWriter) { time.Sleep(8 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, streaming(9, 4, end), streaming(9, 9, nil))
			if name == "silent" {
				w.g.engines = unresponsiveEngines{w.engines}
			}
			w.addLoad("scribe", 1, 7)
			got := w.post("/read/1", nil)
			is.True(!got.broken)
			is.Equal(got.body, allEvents(1, 9))
			is.Equal(got.header.Get("Seal"), "seal of scribe-1") // the head is from the first endpoint
			is.Equal(w.arrivals[1].Header.Get("Last"), "4")
		})
	}
}

// unresponsiveEngines answer no health checks.
type unresponsiveEngines struct{ *fakeEngines }

func (unresponsiveEngines) Alive(string, uint64) bool { return false }

func TestStreamThatCannotBeResumedIsAborted(t *testing.T) {
	tests := map[string]struct {
		path      string
		endpoints []http.HandlerFunc
	}{
		"at most once":                              {"/tell/1", []http.HandlerFunc{streaming(9, 4, abort), streaming(9, 9, nil)}},
		"at most once, ended within an event":       {"/tell/1", []http.HandlerFunc{streaming(9, 4, endWithin), streaming(9, 9, nil)}},
		"every endpoint breaks the connection":      {"/read/1", []http.HandlerFunc{streaming(9, 4, abort), streaming(9, 2, abort), streaming(9, 9, nil)}},
		"the second endpoint answers with an error": {"/read/1", []http.HandlerFunc{streaming(9, 4, abort), answering(500, "bad")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, test.endpoints...)
			for i := range test.endpoints {
				w.addLoad("scribe", i, i)
			}
			got := w.post(test.path, nil)
			is.Equal(got.status, 200)
			is.True(got.broken)
			is.True(strings.HasPrefix(allEvents(1, 9), got.body)) // no event is repeated or from another stream
		})
	}
}

func TestDeliveredEventsAreNotRepeated(t *testing.T) {
	is := is.New(t)
	// The second endpoint ignores Last and sends all events again.
	ignoringLast := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Last", "0")
		streaming(9, 9, nil)(w, r)
	}
	w := newTestGateway(t, streaming(9, 4, abort), ignoringLast)
	w.addLoad("scribe", 1, 7)
	got := w.post("/read/1", nil)
	is.True(!got.broken)
	is.Equal(got.body, allEvents(1, 9))
}

func TestCallerDisconnectCancelsEndpointRequest(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan struct{})
	w := newTestGateway(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(disconnected)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.True(w.post("/seal/1", func(r *http.Request) { *r = *r.WithContext(ctx) }).broken)
	select {
	case <-disconnected:
	case <-time.After(10 * time.Second):
		t.Fatal("the endpoint request was not cancelled after the caller disconnected")
	}
}

func TestDeadlineEndsRequest(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	got := w.post("/seal/1", func(r *http.Request) { r.Header.Set("Wait", "300") })
	is.Equal(got.status, http.StatusGatewayTimeout) // 503 would state that it has not run
}

func TestMemoryReservationsAreReleased(t *testing.T) {
	longPrompt := func(r *http.Request) { r.Header.Set("Tokens", "1500") }
	tests := map[string]struct {
		first  http.HandlerFunc
		full   bool
		status int
	}{
		"answered":  {streaming(3, 3, nil), false, 200},
		"failed":    {answering(500, "bad"), false, 500},
		"refused":   {refusing(503), false, 503},
		"no memory": {streaming(3, 3, nil), true, 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, test.first, test.first)
			w.engines.full = test.full
			// With a slow engine, the prompt counts as long.
			w.g.deployment.Load().Services["scribe"].Engine.PrefillTokensPerSecond = 5000
			got := w.post("/read/1", longPrompt)
			is.Equal(got.status, test.status)
			for deadline := time.Now().Add(10 * time.Second); w.engines.tickets() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d tickets were never released", w.engines.tickets())
				}
			}
		})
	}
}

// Entries renewed the memory reservations for an endpoint that had failed silently.
func TestReservationsAreRenewedForAnEndpointThatFailedSilently(t *testing.T) {
	tests := map[string]func(w *testGateway, instance string){
		"no health checks answered": func(w *testGateway, _ string) { w.engines.dead.Store(true) },
		"started again": func(w *testGateway, instance string) {
			w.announce(instance, func(e *wire.Endpoint) { e.Incarnation++ })
		},
		"address taken by another": func(w *testGateway, instance string) {
			w.announce(instance, func(e *wire.Endpoint) { e.Name, e.Incarnation = "scribe-9", e.Incarnation+1 })
		},
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var failed atomic.Bool
			var w *testGateway
			silentOnce := func(rw http.ResponseWriter, r *http.Request) {
				if failed.CompareAndSwap(false, true) {
					fail(w, r.Header.Get("Instance"))
					<-r.Context().Done()
					return
				}
				streaming(3, 3, nil)(rw, r)
			}
			w = newTestGateway(t, silentOnce, silentOnce)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go w.g.pollQueues(ctx)
			// The prefill of the prompt is predicted to take longer than a reservation lasts.
			engine := w.g.deployment.Load().Services["scribe"].Engine
			engine.PrefillTokensPerSecond, engine.MemoryTokens = 600, 10_000
			got := w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "1500") })
			is.Equal(got.status, http.StatusOK)
		})
	}
}

// announce announces the scribe of this name with changes.
func (w *testGateway) announce(name string, change func(*wire.Endpoint)) {
	w.g.mu.Lock()
	a, ok := w.g.fleet.ResolveBooking(&assign.Booking{Primary: assign.Part{Endpoint: name}})
	w.g.mu.Unlock()
	if !ok {
		w.t.Errorf("endpoint %q is not known", name)
		return
	}
	e := wire.Endpoint{Name: name, Target: "scribe", Addr: a.Primary.Addr, Zone: a.Primary.Zone, Slots: a.Primary.Slots, Incarnation: a.Primary.Incarnation}
	change(&e)
	w.g.updateEndpoints(&wire.Update{Endpoints: []wire.Endpoint{e}})
}

func TestRetriesStayWithinThisEntrysShare(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(0, 0)
	b := newRetryBudget(RetryLimits{Ratio: 0.2, Extra: 10, Window: 10 * time.Second}, t0)
	for i := range 100 {
		b.recordRequest(t0.Add(time.Duration(i)*time.Millisecond), "desk")
	}
	spent := 0
	for range 100 {
		if b.trySpend(t0.Add(time.Second), "desk", 5) {
			spent++
		}
	}
	is.Equal(spent, 22) // 0.2 of 100 requests, and a fifth of the 10 extra ones
	is.True(!b.trySpend(t0.Add(time.Second), "desk", 5))
	is.True(b.trySpend(t0.Add(12*time.Second), "desk", 5)) // the earlier requests and retries have left the window
}

// TestEndpointSilentUntilDeadlineIsDistrusted sends a call to an endpoint that accepts
// it and never answers. The call is executed at most once and cannot be tried
// elsewhere, but later calls must avoid the endpoint.
func TestEndpointSilentUntilDeadlineIsDistrusted(t *testing.T) {
	is := is.New(t)
	silent := make(chan bool)
	var first atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		if !first.Swap(true) {
			<-silent
			return
		}
		answering(http.StatusOK, "done")(w, r)
	}
	w := newTestGateway(t, handler, handler)
	t.Cleanup(func() { close(silent) })
	got := w.post("/seal/1", func(r *http.Request) { r.Header.Set("Wait", "300") })
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.Equal(w.g.metrics.distrusts.Get(), uint64(1))
}

// TestTicketsAreUniqueAcrossRestarts guards against tickets that repeat after a crash:
// engines may still execute requests of the killed process on the memory reserved for
// them.
func TestTicketsAreUniqueAcrossRestarts(t *testing.T) {
	is := is.New(t)
	killed, started := newTestGateway(t), newTestGateway(t)
	is.Equal(killed.g.node.Name, started.g.node.Name)
	used := map[string]bool{}
	for range 100 {
		used[killed.g.newTicket()] = true
	}
	for range 100 {
		is.True(!used[started.g.newTicket()])
	}
}
