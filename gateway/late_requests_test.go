package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// lateGrace is the grace time of an entry that accepts connections for lateDelay of it.
	// Requests are answered until 2.3 s.
	lateGrace = 3 * time.Second
	lateDelay = 800 * time.Millisecond
)

// shortThenSlow is an endpoint whose first answers end at once. Later ones work for workTime, streams
// after their first event.
func shortThenSlow(short int, workTime time.Duration) http.HandlerFunc {
	var mu sync.Mutex
	answers := 0
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		answers++
		slow := answers > short
		mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		if strings.HasPrefix(r.URL.Path, "/read/") || strings.HasPrefix(r.URL.Path, "/tell/") {
			_, _ = io.WriteString(w, "id: 1\ndata: first\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		if !slow {
			return
		}
		select {
		case <-time.After(workTime):
		case <-r.Context().Done():
		}
	}
}

// startAfterShortAnswers starts an entry whose routes allow longer than its grace time, and
// lets it see short answers.
func startAfterShortAnswers(t *testing.T, paths ...string) *runningGateway {
	t.Helper()
	const short = 12
	s := startGateway(t, lateGrace, lateDelay, shortThenSlow(short*len(paths), 2*time.Second))
	s.allow(10 * time.Second)
	for _, path := range paths {
		for range short {
			if got := s.post(path, nil); got.status != http.StatusOK {
				t.Fatalf("%s: status %d: %s", path, got.status, got.body)
			}
		}
	}
	return s
}

// Requests that were complete late in a stop were passed on since earlier answers had been short, and cut at its end.
func TestLateRequestIsPassedOnSinceEarlierAnswersWereShort(t *testing.T) {
	bodies := map[string]func(c *rawCaller, path string, stop func()){
		"body in pieces": func(c *rawCaller, path string, stop func()) {
			c.send(requestHead("POST", path, "Content-Length: 4"), "b")
			time.Sleep(20 * time.Millisecond)
			stop()
			time.Sleep(lateDelay)
			c.send("od")
			time.Sleep(200 * time.Millisecond)
			c.trySend("y")
		},
		"body in chunks": func(c *rawCaller, path string, stop func()) {
			c.send(requestHead("POST", path, "Transfer-Encoding: chunked"), "2\r\nbo\r\n")
			time.Sleep(20 * time.Millisecond)
			stop()
			time.Sleep(lateDelay + 200*time.Millisecond)
			c.trySend("2\r\ndy\r\n0\r\n\r\n")
		},
		"first request on an open connection": func(c *rawCaller, path string, stop func()) {
			stop()
			time.Sleep(lateDelay - 100*time.Millisecond)
			fresh := dialRaw(c.t, "http://"+c.conn.RemoteAddr().String())
			time.Sleep(200 * time.Millisecond)
			fresh.send(requestHead("POST", path, "Content-Length: 4"), "body")
			*c = *fresh
		},
		"next request on a kept connection": func(c *rawCaller, path string, stop func()) {
			stop()
			time.Sleep(lateDelay - 100*time.Millisecond)
			c.send(requestHead("POST", path, "Content-Length: 4"), "body")
		},
	}
	for name, send := range bodies {
		for _, path := range []string{"/seal/1", "/status/1", "/open/1", "/read/1", "/tell/1"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := startAfterShortAnswers(t, path)
				before := s.arrivalCount()
				c := dialRaw(t, s.url)
				send(c, path, s.stop)
				sent := time.Now()
				got := c.receive()
				is.True(!got.broken)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(s.arrivalCount(), before)
				is.True(time.Since(sent) < 500*time.Millisecond) // told at once
				is.True(got.header.Get("Retry-After") != "")
				is.Equal(got.header.Get("Connection"), "close")
				is.NoErr(<-s.stopped)
			})
		}
	}
}

// trySend writes a part of a request that may have been refused already.
func (c *rawCaller) trySend(part string) { _, _ = io.WriteString(c.conn, part) }

// Requests that waited when the stop began were sent late, as earlier answers had been short, and cut.
func TestWaitingRequestIsSentLateInAStop(t *testing.T) {
	const slots = 8
	is := is.New(t)
	tokens := func(r *http.Request) { r.Header.Set("Tokens", "10") }
	s := startAfterShortAnswers(t, "/read/1")
	var others sync.WaitGroup
	before := s.arrivalCount()
	for range slots {
		others.Go(func() { s.post("/read/1", tokens) })
	}
	eventually(t, "all slots taken", func() bool { return s.arrivalCount() == before+slots })
	waiting := make(chan reply, 1)
	go func() { waiting <- s.post("/read/1", tokens) }()
	time.Sleep(50 * time.Millisecond)
	s.stop()
	stopped := time.Now()
	got := <-waiting
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(time.Since(stopped) < lateDelay) // told at once
	is.Equal(s.arrivalCount(), before+slots)
	others.Wait()
	is.NoErr(<-s.stopped)
}

// A stream whose endpoint broke off late in a stop, and a request to be sent once more, were sent to another endpoint and cut.
func TestRequestIsSentOnceMoreLateInAStop(t *testing.T) {
	for name, path := range map[string]string{"stream begun": "/read/1", "nothing sent": "/status/1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const short = 12
			answer := shortThenSlow(short, lateDelay+300*time.Millisecond)
			breaking := func(w http.ResponseWriter, r *http.Request) {
				answer(w, r)
				if r.Header.Get("Break") != "" {
					resetting(w, r)
				}
			}
			s := startGateway(t, lateGrace, lateDelay, breaking, breaking)
			s.allow(10 * time.Second)
			for range short {
				is.Equal(s.post(path, nil).status, http.StatusOK)
			}
			got := make(chan reply, 1)
			go func() { got <- s.post(path, func(r *http.Request) { r.Header.Set("Break", "1") }) }()
			eventually(t, "request sent", func() bool { return s.arrivalCount() == short+1 })
			s.stop()
			<-got
			is.Equal(s.arrivalCount(), short+1)
			is.NoErr(<-s.stopped)
		})
	}
}

// Until the listener closes, requests are served whose longest time at their engine fits; others are told at once.
func TestRequestsThatFitAreServedInAStop(t *testing.T) {
	const soon, late = 100 * time.Millisecond, lateDelay + 100*time.Millisecond
	for _, test := range []struct {
		name, path               string
		prompt, output, expected int
		timeout, after           time.Duration
		status                   int
	}{
		{"short answer", "/read/1", 100, 100, 0, 10 * time.Second, soon, http.StatusOK},
		{"short answer, listener closed", "/read/1", 100, 100, 0, 10 * time.Second, late, http.StatusServiceUnavailable},
		{"long answer", "/read/1", 100, 5000, 0, 10 * time.Second, soon, http.StatusServiceUnavailable},
		{"short answer expected", "/read/1", 100, 5000, 100, 10 * time.Second, soon, http.StatusOK},
		{"long answer expected", "/read/1", 100, 5000, 3000, 10 * time.Second, soon, http.StatusServiceUnavailable},
		{"short answer expected, listener closed", "/read/1", 100, 5000, 100, 10 * time.Second, late, http.StatusServiceUnavailable},
		{"short answer expected, runs once", "/tell/1", 100, 5000, 100, 10 * time.Second, soon, http.StatusServiceUnavailable},
		{"long prompt", "/read/1", 500_000, 100, 0, 10 * time.Second, soon, http.StatusServiceUnavailable},
		{"unknown size", "/read/1", 0, 0, 0, 10 * time.Second, soon, http.StatusServiceUnavailable},
		{"call", "/status/1", 0, 0, 0, 10 * time.Second, soon, http.StatusServiceUnavailable},
		{"short time limit", "/read/1", 100, 5000, 0, 1200 * time.Millisecond, late, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startGateway(t, lateGrace, lateDelay, shortThenSlow(1, time.Minute))
			engine := &costmodel.Engine{Slots: 8, MemoryTokens: 1_000_000, PrefillTokensPerSecond: 1e5, Chunk: 1000, Stride: 10, StepTime: time.Millisecond}
			s.setEngine(engine)
			s.allow(test.timeout)
			c := dialRaw(t, s.url)
			head := requestHead("POST", test.path, "Content-Length: 4", fmt.Sprint("Tokens: ", test.prompt), fmt.Sprint("Output: ", test.output), fmt.Sprint("Expected: ", test.expected))
			c.send(head[:10])
			s.stop()
			time.Sleep(test.after)
			c.send(head[10:], "body")
			got := c.receive()
			is.True(!got.broken)
			is.Equal(got.status, test.status)
			is.NoErr(<-s.stopped)
		})
	}
}

// setEngine publishes a deployment with another model of the engines.
func (w *testGateway) setEngine(e *costmodel.Engine) {
	old := w.g.deployment.Load()
	next := *old
	next.Services = map[string]*Service{}
	for name, s := range old.Services {
		changed := *s
		if s.Engine != nil {
			changed.Engine = e
		}
		next.Services[name] = &changed
	}
	w.g.deployment.Store(&next)
}

// syncBuffer is a buffer that several goroutines write.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// The process ended before the handlers of requests that it cut, so that no line told how they had ended.
func TestRequestThatAStopCutsHasNoLine(t *testing.T) {
	is := is.New(t)
	event := "data: " + strings.Repeat("x", 64<<10) + "\n\n"
	var written atomic.Int64
	endless := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		for r.Context().Err() == nil {
			if _, err := fmt.Fprintf(w, "id: %d\n%s", written.Add(1), event); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
	var lines syncBuffer
	s := startAdjusted(t, time.Second, 50*time.Millisecond, func(g *Gateway) { g.log = hclog.New(&hclog.LoggerOptions{Output: &lines}) }, endless)
	s.allow(10 * time.Second)
	c := dialRaw(t, s.url)
	c.send(requestHead("POST", "/read/1", "Content-Length: 4"), "body")
	eventually(t, "stream held up by its caller, which reads nothing", func() bool {
		before := written.Load()
		time.Sleep(200 * time.Millisecond)
		return before > 0 && written.Load() == before
	})
	s.stop()
	is.NoErr(<-s.stopped)
	// On a busy machine the stream may still not be held up. It is then ended by the entry itself.
	cut := strings.Contains(lines.String(), "request cut at the end of the grace time: request=attempt-1")
	refused := strings.Contains(lines.String(), "request refused: request=attempt-1") && strings.Contains(lines.String(), "reason=stopping")
	is.True(cut != refused) // exactly one line of its end
}

// What the operating system has taken over is delivered after the end of the process.
func TestAnswerOfASlowReaderIsDeliveredAfterAStop(t *testing.T) {
	const events, size = 10, 10 << 10
	whole := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		for n := range events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", size))
		}
	}
	for _, path := range []string{"/read/1", "/status/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := startGateway(t, time.Second, 50*time.Millisecond, whole)
			s.allow(10 * time.Second)
			c := dialRaw(t, s.url)
			is.NoErr(c.conn.SetReadBuffer(64 << 10))
			c.send(requestHead("POST", path, "Content-Length: 4"), "body")
			eventually(t, "request sent", func() bool { return s.arrivalCount() == 1 })
			s.stop()
			is.NoErr(<-s.stopped)
			got := c.receive()
			is.Equal(got.status, http.StatusOK)
			is.True(!got.broken)
			is.True(len(got.body) >= events*size)
		})
	}
}

// The prefill counts, too, also the wait for prompts that the chosen endpoint reads before.
func TestSendLimitOfAStop(t *testing.T) {
	const (
		grace    = 8 * time.Second
		answerBy = grace - stopReserve - answerReserve
		listen   = 2500 * time.Millisecond
	)
	at := func(after time.Duration) time.Time { return time.Unix(1000, 0).Add(after) }
	s := &stop{began: make(chan struct{})}
	s.begin(at(listen), at(grace-stopReserve))
	engine := &costmodel.Engine{Slots: 1, Stride: 10, StepTime: 100 * time.Millisecond}
	for _, test := range []struct {
		name     string
		deadline time.Duration
		work     work
		want     time.Time
	}{
		{"deadline before the end", answerBy, work{prefill: time.Hour}, at(answerBy)},
		{"deadline after the end", answerBy + 1, work{}, time.Time{}},
		{"size unknown", time.Minute, work{engine: engine}, time.Time{}},
		{"speed unknown", time.Minute, work{engine: &costmodel.Engine{}, outputTokens: 1}, time.Time{}},
		{"fits until the listener closes", time.Minute, work{engine: engine, outputTokens: 20}, at(listen)},
		{"fits until earlier", time.Minute, work{engine: engine, outputTokens: 51}, at(answerBy - 6*time.Second)},
		{"fits until earlier, after a prefill", time.Minute, work{engine: engine, outputTokens: 20, prefill: 2 * time.Second}, at(answerBy - 2*time.Second - 2*2*time.Second)},
	} {
		test.work.deadline = at(test.deadline)
		if got := s.sendBy(&test.work); !got.Equal(test.want) {
			t.Errorf("%s: to be sent by %v, want %v", test.name, got, test.want)
		}
	}
}

// A slow engine takes longer than its size says.
func TestRequestPlacedAtASlowEngineIsNotSentInAStop(t *testing.T) {
	for name, slow := range map[string]bool{"slow": true, "sound": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, answering(http.StatusOK, "done"))
			w.g.stop.begin(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
			c := w.call("/status/1", 0)
			c.deadline = time.Now().Add(time.Hour)
			c.service = &Service{Name: "desk", Engine: &costmodel.Engine{StepTime: time.Millisecond}}
			c.OutputTokens = 10
			a := c.newAttempt(t.Context())
			placed, err := w.g.placeInCell(t.Context(), a.newWaiter())
			is.NoErr(err)
			a.placed = placed
			if slow {
				w.g.mu.Lock()
				w.g.fleet.ObserveSlowdown(time.Now(), assign.Slowdown{Endpoint: a.endpoint(), Incarnation: 1, Factor: 10})
				w.g.mu.Unlock()
			}
			is.Equal(a.tooLateToSend(), slow)
		})
	}
}

// placedCall returns a call with a placed attempt that is about to be sent, and whose time limit ends long after
// a stop.
func (w *testGateway) placedCall(t *testing.T) (*call, *attempt) {
	t.Helper()
	c := w.call("/status/1", 0)
	c.deadline = time.Now().Add(time.Hour)
	a := c.newAttempt(t.Context())
	placed, err := w.g.placeInCell(t.Context(), a.newWaiter())
	if err != nil {
		t.Fatal(err)
	}
	a.placed = placed
	c.open = []*attempt{a}
	return c, a
}

// A request whose own check came before the stop was sent after it.
func TestRequestIsAgreedToAfterTheStopBegan(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "done"))
	c, a := w.placedCall(t)
	w.g.stop.begin(time.Now(), time.Now().Add(time.Minute))
	done, err := c.take(t.Context(), message{from: a, sending: true})
	is.True(done)
	is.True(verdict.IsReason(err, verdict.ReasonStopping))
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	is.True(a.withdrawn && !a.sent)
}

// A request whose sent attempt failed late in a stop waited on for endpoints that it would not be sent to.
func TestUnsentAttemptWaitsOnAfterTheSentOneFailed(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "done"))
	c, sent := w.placedCall(t)
	sent.sent, sent.ran = true, true
	close(sent.done)
	c.open = append(c.open, c.newAttempt(t.Context()))
	w.g.stop.begin(time.Now(), time.Now().Add(time.Minute))
	done, err := c.take(t.Context(), message{from: sent, err: verdict.Uncertain(verdict.ReasonEndpointLost, 0, "gone")})
	is.True(done)
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	is.Equal(len(c.open), 0)
}

// slowReports are engines that take long to tell their speed.
type slowReports struct {
	*fakeEngines
	asked chan struct{}
	end   chan struct{}
}

func (e *slowReports) Slowdown(string) (float64, error) {
	close(e.asked)
	<-e.end
	return 1, nil
}

// The end of the process waited for an engine that was asked for its speed.
func TestStoppingEntryWaitsForTheSpeedOfAnEngine(t *testing.T) {
	w := newTestGateway(t, answering(http.StatusOK, "done"))
	engines := &slowReports{w.engines, make(chan struct{}), make(chan struct{})}
	defer close(engines.end)
	w.g.engines = engines
	w.g.mu.Lock()
	w.g.slowSuspects["scribe-1"] = true
	w.g.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.g.checkSlowdowns(ctx)
	}()
	<-engines.asked
	cancel()
	select {
	case <-ended:
	case <-time.After(answerTimeout):
		t.Fatal("it waits on")
	}
}
