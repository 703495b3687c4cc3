package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// forwardComplete reads a complete answer and sends it to the caller.
func (c *call) forwardComplete(ctx context.Context, a *assign.Assignment, res *http.Response, timer *silenceTimer) error {
	held := c.holdAnswer(maxAnswerBytes)
	defer held.reset()
	progress := &progressReader{r: res.Body, progressed: func() { timer.reset(c.firstEventTimeout(a)) }}
	body, err := io.ReadAll(&heldReader{progress, held})
	if err != nil {
		return c.handleBrokenAnswer(ctx, a, err)
	}
	if c.committed {
		return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "endpoint %s did not resume the stream: status %d", a.Primary.Name, res.StatusCode)
	}
	if impliesNotRun(res.StatusCode) {
		return verdict.Uncertain(verdict.ReasonEngineError, 0, "endpoint %s answered %d without saying that it has not run the request", a.Primary.Name, res.StatusCode)
	}
	if res.StatusCode >= http.StatusInternalServerError && c.route.Kind == Repeatable {
		c.failure = &failureAnswer{head: res, body: body}
		return verdict.Uncertain(verdict.ReasonEngineError, defaultRetryAfter, "endpoint %s answered %d", a.Primary.Name, res.StatusCode)
	}
	c.markAlive(a)
	c.writeHead(res)
	return c.write(body)
}

// failureAnswer is an error answer of an endpoint.
type failureAnswer struct {
	head *http.Response
	body []byte
}

// impliesNotRun reports whether callers take the status as a statement that the request
// was not executed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// markAlive records activity of the primary endpoint.
func (c *call) markAlive(a *assign.Assignment) {
	now := c.g.clock.Now()
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.fleet.MarkAlive(now, a.Primary.Name)
	c.g.returnPermits(c.g.losses.Active(now, instanceOf(a.Primary)))
}

// writeHead sends the status and the headers of the answer to the caller.
func (c *call) writeHead(res *http.Response) {
	c.committed = true
	for _, name := range connectionHeaders(res.Header) {
		if name != "Content-Length" {
			res.Header.Del(name)
		}
	}
	h := c.w.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	c.w.WriteHeader(res.StatusCode)
}

// write sends data to the caller. Its errors wrap errCallerGone.
func (c *call) write(data []byte) error {
	control := http.NewResponseController(c.w)
	if err := control.SetWriteDeadline(c.g.clock.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if _, err := c.w.Write(data); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// relayStream forwards a stream event by event.
func (c *call) relayStream(ctx context.Context, a *assign.Assignment, res *http.Response, timer *silenceTimer) error {
	held := c.holdAnswer(maxEventBytes)
	defer held.reset()
	events := newEventReader(res.Body, held)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			if !c.committed {
				c.writeHead(res)
			}
			return nil
		}
		if err != nil {
			return firstErr(c.flush(), c.handleBrokenAnswer(ctx, a, err))
		}
		if !ev.hasData {
			if err := c.forwardComment(ev, events.hasBuffered()); err != nil {
				return err
			}
			continue
		}
		timer.reset(c.eventGapTimeout())
		c.markAlive(a)
		if err := c.deliverEvent(res, a, ev, events.hasBuffered()); err != nil {
			return err
		}
	}
}

// forwardComment sends an event without data to the caller, which may rely on it as a sign that the
// connection is open. It begins no answer and is no progress of the endpoint.
func (c *call) forwardComment(ev event, more bool) error {
	if !c.committed {
		return nil
	}
	if err := c.write(ev.raw); err != nil || more {
		return err
	}
	return c.flush()
}

// deliverEvent sends one event to the caller, unless the caller already has it. It
// flushes unless more events are buffered.
func (c *call) deliverEvent(res *http.Response, a *assign.Assignment, ev event, more bool) error {
	if ev.id != "" && c.LastEvent != "" && alreadyDelivered(ev.id, c.LastEvent) {
		return nil
	}
	now := c.g.clock.Now()
	if c.delivered > 0 {
		c.recordPause(now.Sub(c.lastDelivery), a)
	}
	c.lastDelivery = now
	if !c.committed {
		c.writeHead(res)
		c.placed.markAnswered()
		c.g.metrics.observeFirstEvent(c.class(), now.Sub(c.started))
		c.suspectLateEngines(a, now.Sub(c.sentAt))
		c.log().Info("stream begun", "took", now.Sub(c.started), "predicted", a.PredictedPrefill, "waited", now.Sub(c.sentAt),
			"prompt_tokens", c.PromptTokens, "helpers", len(a.Helpers))
	}
	if err := c.write(ev.raw); err != nil {
		return err
	}
	c.delivered++
	if ev.id != "" {
		c.LastEvent = ev.id
	}
	if more {
		return nil
	}
	return c.flush()
}

// recordPause records the time between two events. A pause over the target of the route is logged with
// what runs at the endpoint.
func (c *call) recordPause(pause time.Duration, a *assign.Assignment) {
	c.longestPause = max(c.longestPause, pause)
	if target := c.route.EventGapTarget; target <= 0 || pause <= target {
		return
	}
	c.g.mu.Lock()
	load := c.g.fleet.LoadOf(c.g.clock.Now(), a.Primary.Name)
	c.g.suspectSlow(a.Primary.Name, load)
	c.g.mu.Unlock()
	c.log().Info("stream paused", "pause", pause, "target", c.route.EventGapTarget, "events", c.delivered, "running", load.Running, "short_running", load.ShortRunning,
		"helping", load.Helping, "backlog", load.Backlog)
}

// flush sends buffered data to the caller.
func (c *call) flush() error {
	if !c.committed {
		return nil
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// firstErr returns first if it is not nil, and otherwise second.
func firstErr(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
