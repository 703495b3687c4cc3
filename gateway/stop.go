package gateway

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/costmodel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// answerReserve is how long before connections are closed at the end of a stop the last requests are
	// answered.
	answerReserve = 200 * time.Millisecond
	// prefillMargin is the time allowed for a prefill, as a multiple of the predicted one: other prompts and
	// decode runs take turns with it.
	prefillMargin = 2
	// expectedMargin is the length allowed for an answer, as a multiple of what its caller expects.
	expectedMargin = 2
	// stoppingRetryAfter is the Retry-After of requests that a stopping process refuses. Another entry can
	// serve them at once.
	stoppingRetryAfter = 100 * time.Millisecond
	// handlerEndTime is how long handlers have to end once their connections are closed, and
	// handlerPollInterval the time between two looks for them.
	handlerEndTime      = 100 * time.Millisecond
	handlerPollInterval = 5 * time.Millisecond
)

// errStopping is the cause with which attempts are cancelled at the end of a stop.
var errStopping = errors.New("the entry stops")

// stop is the planned end of the process.
type stop struct {
	// began is closed when it begins; the others are set before.
	began chan struct{}
	// listenUntil is when the listener closes, and answerBy when the last requests are answered.
	listenUntil, answerBy time.Time
}

// begin begins a stop. The listener closes at listenUntil, and connections at end.
func (s *stop) begin(listenUntil, end time.Time) {
	s.listenUntil, s.answerBy = listenUntil, end.Add(-answerReserve)
	close(s.began)
}

// hasBegun reports whether the process stops.
func (s *stop) hasBegun() bool {
	select {
	case <-s.began:
		return true
	default:
		return false
	}
}

// work is what bounds the time of a request at its endpoints.
type work struct {
	deadline time.Time
	// engine is nil for a plain service, and outputTokens zero if the length of the answer is not known.
	engine       *costmodel.Engine
	outputTokens int
	// prefill is the predicted time until the prompt is prefilled.
	prefill time.Duration
}

// sendBy is when a request has to be sent by a stopping process so that it ends before connections are
// closed; zero means that it is not sent. Until the listener closes, the load balancer may still send requests here;
// those are served that fit at a full engine by their size, which a silent engine or other prompts can still
// exceed. Later, only requests whose own deadline comes before.
func (s *stop) sendBy(w *work) time.Time {
	if !w.deadline.After(s.answerBy) {
		return s.answerBy
	}
	if w.engine == nil || w.outputTokens <= 0 {
		return time.Time{}
	}
	decode, ok := w.engine.FullDecodeTime(w.outputTokens)
	if !ok {
		return time.Time{}
	}
	by := s.answerBy.Add(-decode - prefillMargin*w.prefill)
	if by.After(s.listenUntil) {
		return s.listenUntil
	}
	return by
}

// work returns the work of the request if its prompt is prefilled in this time.
func (c *call) work(prefill time.Duration) *work {
	return &work{deadline: c.deadline, engine: c.service.Engine, outputTokens: c.longestOutput(), prefill: prefill}
}

// longestOutput returns the length of the answer to allow for, in tokens. A request that may be repeated may
// exceed it: its caller can have the rest elsewhere.
func (c *call) longestOutput() int {
	if c.route.Kind == Repeatable && c.ExpectedTokens > 0 {
		return min(c.OutputTokens, expectedMargin*c.ExpectedTokens)
	}
	return c.OutputTokens
}

// sendBy is when the request has to be sent by the stopping process, if the largest group of endpoints
// prefills its prompt.
func (c *call) sendBy() time.Time {
	prefill := time.Duration(0)
	if e := c.service.Engine; e != nil {
		prefill = e.SharedPrefillTime(c.PromptTokens, 1+assign.MaxHelpers)
	}
	return c.g.stop.sendBy(c.work(prefill))
}

// tooLateToSend reports whether the request might not be answered before the process ends.
func (c *call) tooLateToSend() bool {
	return c.g.stop.hasBegun() && c.g.clock.Now().After(c.sendBy())
}

// tooLateToSend is that of the call, once endpoints are chosen.
func (a *attempt) tooLateToSend() bool {
	g := a.c.g
	if !g.stop.hasBegun() {
		return false
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.After(g.stop.sendBy(a.c.work(a.placed.PredictedPrefill))) ||
		a.c.deadline.After(g.stop.answerBy) && g.fleet.Slow(now, a.placed.Assignment)
}

// refuseToSend returns the refusal for an attempt that the stopping process no longer sends.
func (g *Gateway) refuseToSend() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonStopping, stoppingRetryAfter, "entry %s stops before the request would be answered", g.node.Name)
}

// refuseStopping returns the refusal for a request that the stopping process no longer sends.
func (c *call) refuseStopping() error { return c.adjustVerdict(c.g.refuseToSend()) }

// stopped ends the attempts when the process ends and returns the refusal for the caller.
func (c *call) stopped() error {
	if c.endAttempts(errStopping) && c.committed {
		return nil // all of the stream was passed on, only its end is late
	}
	if c.runs == 0 {
		return c.refuseStopping()
	}
	return verdict.Uncertain(verdict.ReasonStopping, 0, "entry %s stops while endpoint %s is at work", c.g.node.Name, c.endpoint)
}

// endUnsent ends the request if none of its open attempts has been sent, since none will be. It returns the
// refusal for the caller.
func (c *call) endUnsent() (done bool, err error) {
	if c.hasSent() {
		return false, nil
	}
	c.endAttempts(errStopping)
	return true, c.refuseStopping()
}

// hasSent reports whether an open attempt has been sent.
func (c *call) hasSent() bool {
	return slices.ContainsFunc(c.open, func(a *attempt) bool { return a.sent })
}

// awaitHandlers waits until no request is in flight, for at most handlerEndTime after connections were closed.
func (g *Gateway) awaitHandlers() {
	for end := g.clock.Now().Add(handlerEndTime); ; {
		left := g.metrics.inFlight.Load() - g.lingering.Load()
		if left <= 0 {
			return
		}
		if g.clock.Now().After(end) {
			g.log.Warn("requests in flight left", "requests", left)
			return
		}
		<-g.clock.After(handlerPollInterval)
	}
}
