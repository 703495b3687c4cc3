package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// usageControl is a control that records usage as the state machine does.
type usageControl struct {
	*fakeControlClient
	mu sync.Mutex
	// failures is how many reports get no answer. oldestOpen is in the answers to the others.
	failures   int
	oldestOpen uint64
	windows    map[uint64]map[string]uint64
	sources    map[string]bool
	reports    int
	// ended is set once the session has ended, and late if a report came after that.
	ended, late bool
}

func newUsageControl(w *testGateway) *usageControl {
	return &usageControl{fakeControlClient: w.session, windows: map[uint64]map[string]uint64{}, sources: map[string]bool{}}
}

func (c *usageControl) Run(ctx context.Context) error {
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	return nil
}

func (c *usageControl) Do(ctx context.Context, name, id string, body, out any) error {
	if name != command.NameUsage {
		return c.fakeControlClient.Do(ctx, name, id, body, out)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = c.late || c.ended
	c.reports++
	report := body.(command.Usage)
	c.sources[report.Source] = true
	for _, w := range report.Windows {
		if c.windows[w.Window] == nil {
			c.windows[w.Window] = map[string]uint64{}
		}
		for account, n := range w.Counts {
			c.windows[w.Window][account] = max(n, c.windows[w.Window][account])
		}
	}
	if c.failures > 0 {
		c.failures--
		return verdict.Uncertain(verdict.ReasonNoQuorum, 0, "the answer was lost")
	}
	out.(*command.UsageRecorded).OldestOpen = c.oldestOpen
	return nil
}

// total returns the recorded requests of an account.
func (c *usageControl) total(account string) (total uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.windows {
		total += w[account]
	}
	return total
}

// noSuspension is the time for which a VM was suspended that never was.
func noSuspension() time.Duration { return 0 }

// countUsage makes a gateway count usage and send it to a recording control.
func (w *testGateway) countUsage(g *Gateway) *usageControl {
	c := newUsageControl(w)
	g.client, g.usage = c, newUsageCounts(5*time.Second, kernel.SystemClock{}, noSuspension)
	return c
}

// Runs that endpoints began were left out or counted twice, and requests were counted that no endpoint ran.
func TestWhatCountsAsUsage(t *testing.T) {
	anonymous := func(r *http.Request) { r.Header.Del("Authorization") }
	good, all := answering(http.StatusOK, "good"), streaming(9, 9, nil)
	cut := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_ = http.NewResponseController(w).Flush()
		abort(w)
	}
	comment := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = w.Write([]byte(": wait\n\n"))
	}
	tests := map[string]struct {
		path      string
		adjust    func(*http.Request)
		endpoints []http.HandlerFunc
		want      uint64
	}{
		"answer":                                   {"/seal/1", nil, []http.HandlerFunc{good}, 1},
		"failure of the endpoint":                  {"/seal/1", nil, []http.HandlerFunc{answering(500, "bad")}, 1},
		"deadline at the endpoint":                 {"/seal/1", nil, []http.HandlerFunc{answering(504, "late")}, 1},
		"failures at two endpoints":                {"/status/1", nil, []http.HandlerFunc{answering(500, "bad"), answering(500, "bad")}, 2},
		"answer broken off after its header":       {"/seal/1", nil, []http.HandlerFunc{cut}, 1},
		"rejected by all":                          {"/seal/1", nil, []http.HandlerFunc{refusing(503), refusing(503)}, 0},
		"rejected, then run":                       {"/seal/1", nil, []http.HandlerFunc{refusing(503), good}, 1},
		"another endpoint at the address":          {"/seal/1", nil, []http.HandlerFunc{refusing(421), refusing(421)}, 0},
		"answer to another attempt":                {"/seal/1", nil, []http.HandlerFunc{answeringOtherAttempt}, 0},
		"connection reset":                         {"/seal/1", nil, []http.HandlerFunc{resetting}, 0},
		"refused for its key":                      {"/seal/1", func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-9") }, []http.HandlerFunc{good}, 0},
		"no route":                                 {"/none/1", nil, []http.HandlerFunc{good}, 0},
		"without a client account":                 {"/open/1", anonymous, []http.HandlerFunc{good}, 0},
		"stream":                                   {"/read/1", nil, []http.HandlerFunc{all}, 1},
		"stream broken off":                        {"/tell/1", nil, []http.HandlerFunc{streaming(9, 4, abort)}, 1},
		"stream resumed at another endpoint":       {"/read/1", nil, []http.HandlerFunc{streaming(9, 4, abort), all}, 2},
		"stream that fails before its first event": {"/tell/1", nil, []http.HandlerFunc{answering(500, "bad")}, 0},
		"stream without an event":                  {"/tell/1", nil, []http.HandlerFunc{comment}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, test.endpoints...)
			c := w.countUsage(w.g)
			w.addLoad("scribe", 1, 7)
			w.post(test.path, test.adjust)
			_, err := w.g.sendUsage(context.Background())
			is.NoErr(err)
			is.Equal(c.total("parish"), test.want)
			is.Equal(c.total(""), uint64(0))
		})
	}
}

// A request that an endpoint began to run shortly before the end of a window was counted in the next one, in which
// its answer came.
func TestRequestCountsInTheWindowInWhichItsRunBegan(t *testing.T) {
	const window = 500 * time.Millisecond
	is := is.New(t)
	nextWindow := func() time.Duration { return window - time.Duration(time.Now().UnixNano()%int64(window)) }
	w := newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(nextWindow() + window/10)
		answering(http.StatusOK, "good")(rw, r)
	})
	c := newUsageControl(w)
	w.g.client, w.g.usage = c, newUsageCounts(window, kernel.SystemClock{}, noSuspension)
	time.Sleep(nextWindow() + window/5) // so that the run begins well within a window
	number := uint64(time.Now().UnixNano() / int64(window))
	is.Equal(w.post("/seal/1", nil).status, http.StatusOK)
	_, err := w.g.sendUsage(context.Background())
	is.NoErr(err)
	is.Equal(c.windows, map[uint64]map[string]uint64{number: {"parish": 1}})
}

// A stream that had begun was counted only at its end.
func TestStreamCountsAtItsFirstEvent(t *testing.T) {
	is := is.New(t)
	release := make(chan bool)
	w := newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		streaming(9, 1, func(http.ResponseWriter) { <-release })(rw, r)
	})
	c := w.countUsage(w.g)
	ended := make(chan reply, 1)
	go func() { ended <- w.post("/tell/1", nil) }()
	for w.g.usage.pending() == 0 {
		time.Sleep(time.Millisecond) // until the event has come
	}
	_, err := w.g.sendUsage(context.Background())
	is.NoErr(err)
	is.Equal(c.total("parish"), uint64(1))
	close(release)
	<-ended
	is.Equal(w.g.usage.pending(), uint64(0))
}

// Counts were lost with the process although it was asked to stop: its last requests ended after the last
// report, or a report that failed then was not repeated.
func TestLastUsageIsSentBeforeTheSessionEnds(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan bool, 1), make(chan bool)
	var c *usageControl
	s := startAdjusted(t, 5*time.Second, 50*time.Millisecond, func(g *Gateway) {
		c = (&testGateway{session: &fakeControlClient{}}).countUsage(g)
		c.failures = 2
	}, func(w http.ResponseWriter, r *http.Request) {
		arrived <- true
		<-release
		answering(http.StatusOK, "done")(w, r)
	})
	slow := make(chan reply, 1)
	go func() { slow <- s.post("/seal/1", nil) }()
	<-arrived
	s.stop()
	for s.isReady() {
		time.Sleep(time.Millisecond) // until the gateway has started to drain
	}
	close(release)
	is.Equal((<-slow).status, http.StatusOK)
	is.NoErr(<-s.stopped)
	is.Equal(c.total("parish"), uint64(1))
	is.Equal(s.running.usage.pending(), uint64(0))
	is.Equal(c.reports, 3)
	is.Equal(len(c.sources), 1)
	is.True(c.ended && !c.late)
}

// A report that got no answer was not repeated, or its repeats counted requests twice.
func TestUsageIsReportedAgainUntilControlAnswers(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	c := w.countUsage(w.g)
	c.failures = 2
	var lines bytes.Buffer
	w.g.log = hclog.New(&hclog.LoggerOptions{Output: &lines})
	w.g.usage.began("parish", 0)
	end := w.g.startUsageReports()
	for w.g.usage.pending() > 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * usageInterval) // nothing is new
	end()
	is.Equal(c.total("parish"), uint64(1))
	is.Equal(c.reports, 3)
	is.Equal(strings.Count(lines.String(), "usage not reported"), 1) // one line for failures in a row
	is.True(strings.Contains(lines.String(), "usage reported again: failures=2"))
}

// A process did not end in its grace time when control did not answer the last report.
func TestLastUsageIsGivenUpInTime(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	c := w.countUsage(w.g)
	c.failures = 1 << 30
	var lines bytes.Buffer
	w.g.log = hclog.New(&hclog.LoggerOptions{Output: &lines})
	w.g.usage.began("parish", 0)
	w.g.stop.begin(time.Now(), time.Now())
	w.g.startUsageReports()()
	is.True(strings.Contains(lines.String(), "usage lost at the end of the process: pending=1"))
}

// Counts of a window that control had closed disappeared without a line in the log.
func TestDroppedUsageIsLogged(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t)
	c := w.countUsage(w.g)
	c.oldestOpen = 1 << 60
	var lines bytes.Buffer
	w.g.log = hclog.New(&hclog.LoggerOptions{Output: &lines})
	w.g.usage.began("parish", 0)
	w.g.usage.began("parish", 0)
	window := w.g.usage.report()[0].Window
	_, err := w.g.sendUsage(context.Background())
	is.NoErr(err)
	is.True(strings.Contains(lines.String(), fmt.Sprintf(`usage counts dropped: window=%d requests=2 reason="window closed"`, window)))
	var text bytes.Buffer
	w.g.metrics.set.WritePrometheus(&text)
	is.True(strings.Contains(text.String(), "rosemary_gateway_usage_dropped_total 2"))
	is.True(strings.Contains(text.String(), `rosemary_gateway_usage_reports_total{outcome="sent"} 1`))
}

// Without the setting, requests were counted or reports sent.
func TestUsageIsOffWithoutAWindow(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "good"))
	c := newUsageControl(w)
	w.g.client = c
	w.g.usage = newUsageCounts(0, kernel.SystemClock{}, noSuspension)
	is.Equal(w.post("/seal/1", nil).status, http.StatusOK)
	w.g.startUsageReports()()
	is.Equal(c.reports, 0)
}
