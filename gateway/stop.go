package gateway

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const (
	// answerReserve is how long before connections are closed at the end of a stop the last requests are
	// answered.
	answerReserve = 200 * time.Millisecond
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

// sendBy is when a request has to be sent by a stopping process so that it ends before connections are
// closed; zero means that it is not sent. Until the listener closes, the load balancer may still send requests here;
// those are served whose longest time fits, after a backlog of other prompts. Later, only requests whose own
// deadline comes before.
func (s *stop) sendBy(deadline time.Time, r *assign.Request, backlog time.Duration) time.Time {
	if !deadline.After(s.answerBy) {
		return s.answerBy
	}
	longest, ok := longestAnswerTime(r)
	if !ok {
		return time.Time{}
	}
	by := s.answerBy.Add(-longest - backlog)
	if by.After(s.listenUntil) {
		return s.listenUntil
	}
	return by
}

// longestAnswerTime returns the longest time of a request at a full engine; false if nothing bounds it.
func longestAnswerTime(r *assign.Request) (longest time.Duration, ok bool) {
	if r.Engine == nil || r.OutputTokens <= 0 {
		return 0, false
	}
	return r.Engine.LongestAnswerTime(r.PromptTokens, r.OutputTokens)
}

// sendBy is when the request has to be sent by the stopping process.
func (c *call) sendBy() time.Time { return c.g.stop.sendBy(c.deadline, &c.placementRequest, 0) }

// tooLateToSend reports whether the request might not be answered before the process ends.
func (c *call) tooLateToSend() bool {
	return c.g.stop.hasBegun() && c.g.clock.Now().After(c.sendBy())
}

// tooLateToSend is that of the call, once endpoints are chosen.
func (a *attempt) tooLateToSend() bool {
	g := a.c.g
	return g.stop.hasBegun() && g.clock.Now().After(g.stop.sendBy(a.c.deadline, &a.request, a.placed.PredictedPrefill))
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

// hasSent reports whether an open attempt has been sent.
func (c *call) hasSent() bool {
	return slices.ContainsFunc(c.open, func(a *attempt) bool { return a.sent })
}

// awaitHandlers waits until no request is in flight, for at most handlerEndTime after connections were closed.
func (g *Gateway) awaitHandlers() {
	for end := g.clock.Now().Add(handlerEndTime); g.metrics.inFlight.Load() > 0; {
		if g.clock.Now().After(end) {
			g.log.Warn("requests in flight left", "requests", g.metrics.inFlight.Load())
			return
		}
		<-g.clock.After(handlerPollInterval)
	}
}
