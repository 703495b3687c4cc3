package experiment

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/standin"
)

const (
	// headerTimeout tells the system the time that is left for a request.
	headerTimeout = "X-Request-Timeout"
	// answerGrace is how long after its deadline a request's final answer may come.
	answerGrace = 2 * time.Second
	// retryDelay is the pause before a request is sent again.
	retryDelay = 200 * time.Millisecond
	// maxAttempts bounds how often one request is sent.
	maxAttempts = 5
	// attemptsPerDeadline is how many sendings of a call fit into its deadline.
	attemptsPerDeadline = 3
	// clientConns is the count of idle connections kept to each entry.
	clientConns = 1024
)

// client sends requests like a careful caller and checks the answers.
type client struct {
	scenario *Scenario
	entries  []string
	clock    kernel.Clock
	http     *http.Client
	start    time.Time
}

func newClient(s *Scenario, entries []string, clock kernel.Clock) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: clientConns, DisableCompression: true}
	return &client{scenario: s, entries: entries, clock: clock, http: &http.Client{Transport: transport}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// due returns when an arrival is due on the clock.
func (c *client) due(a *Arrival) time.Time { return c.start.Add(c.scenario.real(a.Due)) }

// attempt is one sending of a request.
type attempt struct {
	outcome Outcome
	verdict string
	reason  string
	first   time.Time
}

// send carries an arrival to its final answer. A call that must not run twice is
// sent again with the same key while its caller cannot know whether it ran; a
// prompt that crashes engines is sent again too.
func (c *client) send(ctx context.Context, a *Arrival) Result {
	deadline := c.due(a).Add(c.scenario.real(c.scenario.deadline(a.Item)))
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	res := Result{Arrival: a}
	var t attempt
	for {
		res.Attempts++
		t = c.attemptOnce(ctx, a, &res, deadline)
		if res.Attempts >= maxAttempts || !shouldRetry(a, &t) || !c.waitBeforeRetry(ctx) {
			break
		}
	}
	c.fillResult(&res, &t)
	return res
}

func shouldRetry(a *Arrival, t *attempt) bool {
	if t.outcome != Failed {
		return false
	}
	if a.Item.Prompt != nil {
		return a.Item.Prompt.Crashes
	}
	return a.Item.Call.AtMostOnce
}

// waitBeforeRetry waits before a request is sent again. It reports false when time is up.
func (c *client) waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-c.clock.After(retryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *client) fillResult(res *Result, t *attempt) {
	now := c.clock.Now()
	due := c.due(res.Arrival)
	res.Outcome, res.Verdict, res.Reason = t.outcome, t.verdict, t.reason
	res.Latency = c.scenario.model(now.Sub(due))
	res.TTFT = res.Latency
	if !t.first.IsZero() {
		res.TTFT = c.scenario.model(t.first.Sub(due))
	}
	res.EndedAt = c.scenario.model(now.Sub(c.start))
}

// attemptOnce sends the request attemptOnce and reads the answer to its end. It gives a call
// that can be sent again only a part of the time that is left.
func (c *client) attemptOnce(ctx context.Context, a *Arrival, res *Result, deadline time.Time) attempt {
	attemptCtx := ctx
	if a.Item.Call != nil && a.Item.Call.AtMostOnce {
		var cancel context.CancelFunc
		attemptCtx, cancel = context.WithTimeout(ctx, c.scenario.real(c.scenario.deadline(a.Item))/attemptsPerDeadline)
		defer cancel()
	}
	req, err := c.request(attemptCtx, a, res, deadline)
	if err != nil {
		return attempt{outcome: Failed, reason: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return connectionFailure(ctx, "connection")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(ctx, resp)
	}
	if a.Item.Call != nil {
		return c.readCall(ctx, resp, a, res)
	}
	return c.readPrompt(ctx, resp, a, res.digest)
}

func connectionFailure(ctx context.Context, reason string) attempt {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt{outcome: Late, reason: "no final answer in time"}
	}
	return attempt{outcome: Failed, reason: reason}
}

func (c *client) request(ctx context.Context, a *Arrival, res *Result, deadline time.Time) (*http.Request, error) {
	base := c.entries[a.Entry%len(c.entries)]
	method, path := http.MethodPost, engine.PathCompletions
	var body io.Reader
	var length int64
	if call := a.Item.Call; call != nil {
		method, path = call.Method, servicesPath+call.Service+call.path(a)
		if method != http.MethodGet {
			body, length = strings.NewReader(a.uniqueText), int64(len(a.uniqueText))
		}
	} else {
		text := newPromptText(a)
		res.digest = text.digest()
		body, length = text.body(a)
		if a.Item.Prompt.Chat {
			path = engine.PathChat
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, onlyReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.ContentLength = length
	c.setHeader(req, a, res, deadline)
	return req, nil
}

// onlyReader hides a body's other methods, so that net/http cannot rewind it and
// send the request a second time by itself.
func onlyReader(r io.Reader) io.Reader {
	if r == nil {
		return nil
	}
	return struct{ io.Reader }{r}
}

func (c *client) setHeader(req *http.Request, a *Arrival, res *Result, deadline time.Time) {
	req.Header.Set("Authorization", "Bearer "+a.Account.Key)
	req.Header.Set(headerTimeout, max(deadline.Sub(c.clock.Now()), time.Millisecond).String())
	if a.Item.Call == nil {
		req.Header.Set("Content-Type", "application/json")
	} else if a.Item.Call.AtMostOnce {
		res.key = a.Account.Name + " " + a.uniqueText
		req.Header.Set(standin.HeaderIdempotencyKey, res.key)
	}
}

// path returns the call's path for an arrival.
func (k *Call) path(a *Arrival) string {
	return strings.ReplaceAll(k.Path, "{n}", strconv.Itoa(a.Number))
}

// fixedPath returns the part of the path that all calls have in common.
func (k *Call) fixedPath() string {
	fixed, _, _ := strings.Cut(k.Path, "{n}")
	return fixed
}
