package experiment

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestClient returns a client whose only entry is h, and the first arrival of the item
// in the small scenario.
func newTestClient(t *testing.T, item string, h http.HandlerFunc) (*client, *Arrival) {
	t.Helper()
	s := scenario(t, small)
	server := httptest.NewServer(h)
	c := newClient(s, []string{server.URL}, kernel.SystemClock{})
	t.Cleanup(func() {
		c.close()
		server.Close()
	})
	c.start = c.clock.Now()
	for _, a := range s.Arrivals(s.part("all"), 1) {
		if a.Item.Name == item {
			return c, &a
		}
	}
	t.Fatal("no such item")
	return nil, nil
}

// events returns the event stream of a text, with one word per event and the usage in
// the last one.
func events(text string, usage int) string {
	var b strings.Builder
	words := strings.SplitAfter(text, " ")
	for i, w := range words[:len(words)-1] {
		end := ""
		if i == len(words)-2 {
			end = fmt.Sprintf(`,"usage":{"completion_tokens":%d}`, usage)
		}
		fmt.Fprintf(&b, "data: {\"choices\":[{\"text\":%q}]%s}\n\n", w, end)
	}
	return b.String()
}

const endMarker = "data: [DONE]\n\n"

func TestAnswersOfModelsAreChecked(t *testing.T) {
	refusal := func(verdict string) string {
		return `{"error":{"verdict":"` + verdict + `","reason":"overloaded"}}`
	}
	cases := []struct {
		name    string
		status  int
		body    func(own, other string, n int) string
		outcome Outcome
		verdict string
	}{
		{"expected answer", 200, func(own, _ string, n int) string { return events(own, n) + endMarker }, Completed, "ran"},
		{"answer to another prompt", 200, func(_, other string, n int) string { return events(other, n) + endMarker }, Wrong, ""},
		{"answer with a gap", 200, func(own, _ string, n int) string { return events(own[strings.Index(own, " ")+1:], n) + endMarker }, Wrong, ""},
		{"cut answer with an end marker", 200, func(own, _ string, n int) string {
			return events(own[:strings.Index(own, " ")+1], n) + endMarker
		}, Wrong, ""},
		{"repeated answer", 200, func(own, _ string, n int) string { return events(own+own, n) + endMarker }, Wrong, ""},
		{"more after the end marker", 200, func(own, _ string, n int) string { return events(own, n) + endMarker + events(own, n) }, Wrong, ""},
		{"wrong usage", 200, func(own, _ string, n int) string { return events(own, n+1) + endMarker }, Wrong, ""},
		{"no end marker", 200, func(own, _ string, n int) string { return events(own, n) }, Failed, ""},
		{"empty stream", 200, func(string, string, int) string { return "" }, Failed, ""},
		{"error in the stream", 200, func(own, _ string, n int) string {
			return events(own[:strings.Index(own, " ")+1], n) + "event: error\ndata: " + refusal("may_have_run") + "\n\n"
		}, Failed, "may_have_run"},
		{"refused, not run", 503, func(string, string, int) string { return refusal("not_run") }, Refused, "not_run"},
		{"refused, may have run", 502, func(string, string, int) string { return refusal("may_have_run") }, Failed, "may_have_run"},
		{"no verdict", 502, func(string, string, int) string { return "bad gateway" }, Failed, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var arrival *Arrival
			client, arrival := newTestClient(t, "letter", func(w http.ResponseWriter, _ *http.Request) {
				text := newPromptText(arrival)
				own := standin.ExpectedText(text.digest(), arrival.OutputTokens)
				other := standin.ExpectedText(text.digest()+1, arrival.OutputTokens)
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body(own, other, arrival.OutputTokens))
			})
			res := client.send(context.Background(), arrival)
			is.Equal(res.Outcome, c.outcome)
			is.Equal(res.Verdict, c.verdict)
			is.Equal(res.Attempts, 1)
		})
	}
}

func TestFailedCallIsRetriedWithSameKey(t *testing.T) {
	is := is.New(t)
	worker := standin.NewWorker(standin.WorkerConfig{}, kernel.SystemClock{})
	worker.InjectFault(standin.CrashAfter, 1)
	var mu sync.Mutex
	keys := map[string]int{}
	c, a := newTestClient(t, "seal", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		keys[r.Header.Get(standin.HeaderIdempotencyKey)]++
		mu.Unlock()
		r.URL.Path = strings.TrimPrefix(r.URL.Path, "/services/desk")
		worker.Handler().ServeHTTP(w, r)
	})
	res := c.send(context.Background(), a)
	is.Equal(res.Outcome, Completed)
	is.Equal(res.Attempts, 2)
	is.Equal(keys, map[string]int{res.key: 2})
	is.Equal(worker.Executions(), []standin.Execution{{Key: res.key, Count: 2}}) // without an entry, nothing prevents the second run
}

// jumpClock is a clock whose time the test sets.
type jumpClock struct {
	kernel.SystemClock
	now time.Time
}

func (c *jumpClock) Now() time.Time { return c.now }

func TestLatencyCountsFromWhenTheRequestWasDue(t *testing.T) {
	is := is.New(t)
	clock := &jumpClock{now: time.Unix(100, 0)}
	s := scenario(t, small) // 10 seconds of model time per second
	c := newClient(s, nil, clock)
	c.start = clock.now
	a := &Arrival{Due: 20 * time.Second}
	is.Equal(c.due(a), time.Unix(102, 0))
	// The request was sent 5 s late (in real time) and the answer took 1 s.
	clock.now = time.Unix(108, 0)
	res := Result{Arrival: a}
	c.fillResult(&res, &attempt{outcome: Completed, first: time.Unix(107, 500_000_000)})
	is.Equal(res.TTFT, 55*time.Second)
	is.Equal(res.Latency, 60*time.Second)
	is.Equal(res.EndedAt, 80*time.Second)
}

func TestSendingNeverWaitsForAnswers(t *testing.T) {
	is := is.New(t)
	s := scenario(t, small)
	want := len(s.Arrivals(s.part("all"), 1))
	var mu sync.Mutex
	arrived := 0
	all := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrived++
		if arrived == want {
			close(all)
		}
		mu.Unlock()
		<-all // no answer before the last request has arrived
		http.Error(w, `{"error":{"verdict":"not_run","reason":"overloaded"}}`, http.StatusServiceUnavailable)
	}))
	defer server.Close()
	d := newDriver(s, s.part("all"), 1, &System{Entries: []string{server.URL}}, kernel.SystemClock{})
	defer d.client.close()
	d.drive(context.Background())
	is.Equal(d.run.Sent, want)
	is.Equal(d.record.total[Refused], want)
}
