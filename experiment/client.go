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
	// headerTimeout is the request header with the time left until the deadline.
	headerTimeout = "X-Request-Timeout"
	// answerGrace is how long after the deadline a final answer is still accepted.
	answerGrace = 2 * time.Second
	// retryDelay is the wait before a request is retried.
	retryDelay = 200 * time.Millisecond
	// maxAttempts bounds how often one request is sent.
	maxAttempts = 5
	// attemptsPerDeadline divides the deadline of an at-most-once call into the time
	// limits of its attempts.
	attemptsPerDeadline = 3
	// clientConns is the number of idle connections kept to each entry.
	clientConns = 1024
)

// client sends requests, retries some of those that failed, and checks the answers.
type client struct {
	scenario *Scenario
	// entries are the base URLs of the entries.
	entries []string
	clock   kernel.Clock
	http    *http.Client
	// start is the start of the part on the clock.
	start time.Time
}

func newClient(s *Scenario, entries []string, clock kernel.Clock) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: clientConns, DisableCompression: true}
	return &client{scenario: s, entries: entries, clock: clock, http: &http.Client{Transport: transport}}
}

// close closes the idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// due returns the time on the clock at which an arrival is due.
func (c *client) due(a *Arrival) time.Time { return c.start.Add(c.scenario.real(a.Due)) }

// attempt is the result of sending a request once.
type attempt struct {
	outcome Outcome
	verdict string
	reason  string
	// first is when the first token or the complete answer was received.
	first time.Time
}

// send sends a request until it has a final answer. After a failure, a call that must
// not run twice is retried with the same idempotency key, as its caller cannot know
// whether it ran; a prompt that crashes engines is retried too.
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

// shouldRetry reports whether the caller sends the request again after t.
func shouldRetry(a *Arrival, t *attempt) bool {
	if t.outcome != Failed {
		return false
	}
	if a.Item.Prompt != nil {
		return a.Item.Prompt.Crashes
	}
	return a.Item.Call.AtMostOnce
}

// waitBeforeRetry waits for retryDelay. It reports false if ctx ends first.
func (c *client) waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-c.clock.After(retryDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

// fillResult fills res with the outcome of the last attempt and the times.
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

// attemptOnce sends the request once and reads the answer to its end. An attempt of an
// at-most-once call may take only a part of the deadline, so that retries have time.
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

// connectionFailure returns the attempt for a connection or stream that failed: Late
// after the deadline of ctx, else Failed with the reason.
func connectionFailure(ctx context.Context, reason string) attempt {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt{outcome: Late, reason: "no final answer in time"}
	}
	return attempt{outcome: Failed, reason: reason}
}

// request makes the HTTP request of an arrival, and sets the idempotency key or the
// prompt digest in res.
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

// onlyReader hides all methods of a body but Read, so that net/http cannot rewind the
// body and send the request a second time by itself.
func onlyReader(r io.Reader) io.Reader {
	if r == nil {
		return nil
	}
	return struct{ io.Reader }{r}
}

// setHeader sets the headers of a request, and the idempotency key of an at-most-once
// call also in res.
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

// path returns the path of the call for an arrival.
func (k *Call) path(a *Arrival) string {
	return strings.ReplaceAll(k.Path, "{n}", strconv.Itoa(a.Number))
}

// fixedPath returns the path up to the request's number, which all requests of the
// call have in common.
func (k *Call) fixedPath() string {
	fixed, _, _ := strings.Cut(k.Path, "{n}")
	return fixed
}
