package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	endpointName = "scribe-1"
	zoneName     = "kerlouan-hall"
)

// fakeControl is a ControlClient with a fixed configuration and permission.
type fakeControl struct {
	doc        *config.Document
	permission wire.Permission
}

func (f *fakeControl) Config() *config.Document                           { return f.doc }
func (f *fakeControl) Permission() wire.Permission                        { return f.permission }
func (f *fakeControl) PermissionFor(string) wire.Permission               { return f.permission }
func (f *fakeControl) RenewedByControl() bool                             { return f.permission.Left > 0 }
func (f *fakeControl) ReceivePermission(string, wire.Permission) bool     { return false }
func (f *fakeControl) Announce(wire.Endpoint)                             {}
func (f *fakeControl) Do(context.Context, string, string, any, any) error { return nil }

// fakeStream is the stream of an entry. It delivers the messages in in and records those
// sent to the entry in sent.
type fakeStream struct {
	ctx context.Context
	in  chan wire.Message

	mu   sync.Mutex
	sent []wire.Message
}

func (s *fakeStream) Send(m wire.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, m)
	return nil
}

// sentHeads returns the heads of answers that were sent to the entry so far.
func (s *fakeStream) sentHeads() []*wire.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	var heads []*wire.Head
	for _, m := range s.sent {
		if h, ok := m.(*wire.Head); ok {
			heads = append(heads, h)
		}
	}
	return heads
}

func (s *fakeStream) Peer() wire.Peer                 { return wire.Peer{Name: "entry-1", Role: wire.RoleEntry} }
func (s *fakeStream) SetDeadline(time.Time) error     { return nil }
func (s *fakeStream) SetSendDeadline(time.Time) error { return nil }
func (s *fakeStream) CloseSend() error                { return nil }
func (s *fakeStream) Abort()                          {}
func (s *fakeStream) Context() context.Context        { return s.ctx }
func (s *fakeStream) Recv() (wire.Message, error) {
	select {
	case m := <-s.in:
		return m, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

func newSidecar(t *testing.T, url string, service bool) *Sidecar {
	t.Helper()
	doc := config.NewDocument()
	doc.Revision = 3
	doc.Zones[zoneName] = config.Zone{Name: zoneName, State: config.In}
	s := New(Settings{Endpoint: url, Target: "scribe", Service: service})
	s.log, s.clock = hclog.NewNullLogger(), kernel.SystemClock{}
	s.node = settings.Node{Name: endpointName, Zone: zoneName}
	s.control = &fakeControl{doc: doc, permission: wire.Permission{Revision: 3, Left: time.Second}}
	s.traffic, s.controlTraffic = &wire.Traffic{}, &wire.Traffic{}
	s.budget = stream.NewBudget(s.Held)
	s.engine = newEngineClient(url)
	s.gate = newGate(endpointName, 7, service)
	s.gate.openClaims(7, 0)
	s.gate.applyReport(time.Now(), time.Now(), engine.Load{Boot: 1, TotalTokens: 100_000, FreeTokens: 100_000})
	s.orders = newOrders()
	s.metrics = newMetrics(metrics.NewSet(), s)
	return s
}

func dispatch() *wire.Dispatch {
	return &wire.Dispatch{
		Attempt: wire.Attempt{Request: [16]byte{1}, Number: 1}, Endpoint: endpointName, Incarnation: 7,
		Method: http.MethodPost, Path: engine.PathCompletions, PromptTokens: 10, OutputTokens: 10,
		Deadline: 5 * time.Second, BodyBytes: 2, Permission: wire.Permission{Revision: 3, Left: time.Second},
	}
}

// exchangeWith runs one dispatch and returns the messages sent to the entry.
func exchangeWith(t *testing.T, s *Sidecar, d *wire.Dispatch) []wire.Message {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st := &fakeStream{ctx: ctx, in: make(chan wire.Message, 1)}
	st.in <- &wire.Body{Data: []byte("{}"), Last: true}
	s.run(st, d)
	return st.sent
}

func last(t *testing.T, sent []wire.Message) wire.Message {
	t.Helper()
	if len(sent) == 0 {
		t.Fatal("no message was sent to the entry")
	}
	return sent[len(sent)-1]
}

// hijack answers with raw bytes and closes the connection.
func hijack(w http.ResponseWriter, raw string) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = buf.WriteString(raw)
	_ = buf.Flush()
	_ = conn.Close()
}

// TestEngineContract checks the last message to the entry for each way in which an engine
// answers or fails.
func TestEngineContract(t *testing.T) {
	events := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, body)
		}
	}
	tests := map[string]struct {
		handler  http.HandlerFunc
		complete bool
		reason   verdict.Reason
	}{
		"complete events":                     {events("data: {}\n\ndata: [DONE]\n\n"), true, ""},
		"events without end marker":           {events("data: {}\n\n"), false, verdict.ReasonEndpointLost},
		"no events at all":                    {events(""), false, verdict.ReasonEndpointLost},
		"complete JSON":                       {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"a":1}`) }, true, ""},
		"refused by the engine":               {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, true, ""},
		"engine error":                        {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, false, verdict.ReasonEngineError},
		"connection broken before the answer": {func(w http.ResponseWriter, _ *http.Request) { hijack(w, "") }, false, verdict.ReasonEndpointLost},
		"connection broken within the answer": {func(w http.ResponseWriter, _ *http.Request) {
			hijack(w, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
		}, false, verdict.ReasonEndpointLost},
	}
	for _, status := range []string{"000", "042", "099", "600", "999"} {
		tests["invalid status "+status] = struct {
			handler  http.HandlerFunc
			complete bool
			reason   verdict.Reason
		}{func(w http.ResponseWriter, _ *http.Request) {
			hijack(w, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\n{}")
		}, false, verdict.ReasonEndpointLost}
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mux := http.NewServeMux()
			mux.HandleFunc("POST "+engine.PathCompletions, tc.handler)
			mux.HandleFunc("DELETE "+engine.PathRequests, func(http.ResponseWriter, *http.Request) {})
			srv := httptest.NewServer(mux)
			defer srv.Close()
			s := newSidecar(t, srv.URL, false)
			free := s.gate.load(time.Now()).FreeTokens
			switch m := last(t, exchangeWith(t, s, dispatch())).(type) {
			case *wire.End:
				is.True(tc.complete)
			case *wire.Refused:
				is.Equal(m.Reason, tc.reason)
				is.Equal(m.Verdict, verdict.MayHaveRun)
			default:
				t.Fatalf("unexpected %T", m)
			}
			is.Equal(s.gate.load(time.Now()).FreeTokens, free) // the reservation is released
		})
	}
}

// An answer without a length whose engine reset the connection while the request was still being written counted as
// complete.
func TestResetUnderTheRequestIsNoCompleteAnswer(t *testing.T) {
	const runs = 24
	complete := 0
	for i := range runs {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				return
			}
			conn, buf, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}")
			_ = buf.Flush()
			time.Sleep(time.Duration(1+i%8*4) * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}))
		d := dispatch()
		d.BodyBytes = 6 << 20
		ctx, cancel := context.WithCancel(context.Background())
		st := &fakeStream{ctx: ctx, in: make(chan wire.Message, 1)}
		st.in <- &wire.Body{Data: make([]byte, d.BodyBytes), Last: true}
		newSidecar(t, srv.URL, false).run(st, d)
		if _, ok := last(t, st.sent).(*wire.End); ok {
			complete++
		}
		cancel()
		srv.Close()
	}
	t.Logf("%d of %d answers complete", complete, runs)
	is.New(t).Equal(complete, 0)
}

// TestEngineMayAnswerBeforeItHasTheWholeBody checks that the rest of the body still reaches
// an engine that starts to answer before it has read the complete body.
func TestEngineMayAnswerBeforeItHasTheWholeBody(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = control.Flush()
		close(answered)
		body, err := io.ReadAll(r.Body)
		if err == nil && len(body) == 4 {
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}
	}))
	defer srv.Close()
	s := newSidecar(t, srv.URL, false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st := &fakeStream{ctx: ctx, in: make(chan wire.Message, 2)}
	d := dispatch()
	d.BodyBytes = 4
	st.in <- &wire.Body{Data: []byte("{ ")}
	go func() {
		<-answered
		for len(st.sentHeads()) == 0 {
			time.Sleep(time.Millisecond)
		}
		st.in <- &wire.Body{Data: []byte(" }"), Last: true}
	}()
	s.run(st, d)
	_, complete := last(t, st.sent).(*wire.End)
	is.True(complete)
}

func TestEngineThatAcceptsNoConnectionHasNotRunTheRequest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	m, ok := last(t, exchangeWith(t, newSidecar(t, "http://"+addr, false), dispatch())).(*wire.Refused)
	is.True(ok)
	is.Equal(m.Verdict, verdict.NotRun)
	is.Equal(m.Reason, verdict.ReasonUnreachable)
}

// TestGateRefusesBeforeTheEngine checks, for one fault of the dispatch or of the endpoint at
// a time, that no request reaches the engine and that the refusal has the verdict NotRun.
func TestGateRefusesBeforeTheEngine(t *testing.T) {
	tests := map[string]struct {
		modify func(*Sidecar, *wire.Dispatch)
		reason verdict.Reason
	}{
		"deadline passed":      {func(_ *Sidecar, d *wire.Dispatch) { d.Deadline = 0 }, verdict.ReasonDeadline},
		"another endpoint":     {func(_ *Sidecar, d *wire.Dispatch) { d.Endpoint = "other" }, verdict.ReasonNoEndpoint},
		"an older incarnation": {func(_ *Sidecar, d *wire.Dispatch) { d.Incarnation = 6 }, verdict.ReasonEndpointRestarted},
		"endpoint leaving":     {func(s *Sidecar, _ *wire.Dispatch) { s.gate.leave() }, verdict.ReasonEndpointLeaving},
		"engine down":          {func(s *Sidecar, _ *wire.Dispatch) { s.gate.markDown() }, verdict.ReasonUnreachable},
		"no memory":            {func(_ *Sidecar, d *wire.Dispatch) { d.PromptTokens = 99_999 }, verdict.ReasonPromptTooLong},
		"permission expired": {func(s *Sidecar, _ *wire.Dispatch) {
			s.control.(*fakeControl).permission.Left = 0
		}, verdict.ReasonStaleConfiguration},
		"permission of the entry expired at an older revision": {func(_ *Sidecar, d *wire.Dispatch) {
			d.Permission = wire.Permission{Revision: 2}
		}, verdict.ReasonStaleConfiguration},
		"permission expired, entry states a valid one": {func(s *Sidecar, d *wire.Dispatch) {
			s.control.(*fakeControl).permission.Left = 0
			d.Permission = wire.Permission{Revision: 9, Left: time.Minute}
		}, verdict.ReasonStaleConfiguration},
		"zone out": {func(s *Sidecar, _ *wire.Dispatch) {
			s.control.Config().Zones[zoneName] = config.Zone{Name: zoneName, State: config.Out}
		}, verdict.ReasonZoneOut},
		"endpoint out": {func(s *Sidecar, _ *wire.Dispatch) {
			s.control.Config().Endpoints[endpointName] = config.Out
		}, verdict.ReasonZoneOut},
		"zone unknown": {func(s *Sidecar, _ *wire.Dispatch) {
			delete(s.control.Config().Zones, zoneName)
		}, verdict.ReasonZoneOut},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reached atomic.Bool
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Store(true) }))
			defer srv.Close()
			s := newSidecar(t, srv.URL, false)
			d := dispatch()
			tc.modify(s, d)
			m, ok := last(t, exchangeWith(t, s, d)).(*wire.Refused)
			is.True(ok)
			is.Equal(m.Reason, tc.reason)
			is.Equal(m.Verdict, verdict.NotRun)
			is.True(!reached.Load())
		})
	}
}

// TestLapsedEntryMayNotUseAnOldConfiguration guards against a key that was revoked while an entry was cut off
// from control and still reached sidecars.
func TestLapsedEntryMayNotUseAnOldConfiguration(t *testing.T) {
	own := wire.Permission{Revision: 3, Left: time.Second}
	tests := map[string]struct {
		entry   wire.Permission
		refused bool
	}{
		"valid, same revision":   {wire.Permission{Revision: 3, Left: time.Second}, false},
		"valid, older revision":  {wire.Permission{Revision: 2, Left: time.Second}, false},
		"lapsed, same revision":  {wire.Permission{Revision: 3}, false},
		"lapsed, newer revision": {wire.Permission{Revision: 4}, false},
		"lapsed, older revision": {wire.Permission{Revision: 2}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := checkEntry(test.entry, own, "entry-1")
			is.New(t).Equal(verdict.IsReason(err, verdict.ReasonStaleConfiguration), test.refused)
		})
	}
}

// breakingService answers the first call on each connection and closes the connection
// after reading the second. arrived counts both.
func breakingService(t *testing.T) (url string, arrived *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	arrived = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go breakAfterOneAnswer(conn, arrived)
		}
	}()
	return "http://" + l.Addr().String(), arrived
}

// TestPlainClientRetriesInterruptedCall shows the behavior of net/http that the sidecar has
// to avoid: net/http retries a call with an Idempotency-Key if a reused connection breaks
// during the call.
func TestPlainClientRetriesInterruptedCall(t *testing.T) {
	is := is.New(t)
	url, arrived := breakingService(t)
	client := &http.Client{Transport: &http.Transport{}}
	for n := range 2 {
		req, err := http.NewRequest(http.MethodPost, url+"/seal", strings.NewReader("{}"))
		is.NoErr(err)
		req.Header.Set("Idempotency-Key", fmt.Sprint("k", n))
		res, err := client.Do(req)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, res.Body)
		is.NoErr(res.Body.Close())
	}
	is.Equal(arrived.Load(), int64(3)) // three arrivals for two calls
}

func TestClaimedCallIsSentOnceWhenConnectionBreaks(t *testing.T) {
	is := is.New(t)
	url, arrived := breakingService(t)
	s := newSidecar(t, url, true)
	for fence := range uint64(4) {
		d := dispatch()
		d.Attempt.Request = [16]byte{byte(fence)}
		d.Path = "/seal"
		d.Header = map[string]string{"Idempotency-Key": fmt.Sprint("k", fence)}
		d.Claim = &wire.Claim{Key: fmt.Sprint("k", fence), Fence: fence + 1}
		exchangeWith(t, s, d)
		is.Equal(arrived.Load(), int64(fence)+1)
	}
}

// breakAfterOneAnswer answers the first request of a connection and closes the connection
// after reading the second.
func breakAfterOneAnswer(conn net.Conn, arrived *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		arrived.Add(1)
		if n == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func TestClaimIsAdmittedOnceAndSealedWhenRefused(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	defer srv.Close()
	s := newSidecar(t, srv.URL, true)
	claimed := func(fence uint64, deadline time.Duration) wire.Message {
		d := dispatch()
		d.Claim, d.Deadline = &wire.Claim{Key: "k", Fence: fence}, deadline
		return last(t, exchangeWith(t, s, d))
	}
	_, ok := claimed(1, time.Second).(*wire.End)
	is.True(ok)
	again, ok := claimed(1, time.Second).(*wire.Refused)
	is.True(ok)
	is.True(again.Verdict != verdict.NotRun) // the first dispatch has run
	late, ok := claimed(2, 0).(*wire.Refused)
	is.True(ok)
	is.Equal(late.Verdict, verdict.NotRun)
	copied, ok := claimed(2, time.Second).(*wire.Refused)
	is.True(ok)
	is.Equal(copied.Verdict, verdict.NotRun) // a copy of the refused dispatch is not admitted
	is.Equal(runs.Load(), int64(1))
}
