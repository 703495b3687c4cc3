package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
)

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
	if _, err := c.w.Write(data); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// takeEvent sends an event of a stream to the caller, unless the caller already has it. The attempt that
// it comes from has gone on, so the others are cancelled.
func (c *call) takeEvent(m message) error {
	ev := m.event
	if !ev.hasData {
		return c.forwardComment(m)
	}
	if ev.id != "" && c.LastEvent != "" && alreadyDelivered(ev.id, c.LastEvent) {
		return nil
	}
	c.keepOnly(m.from)
	a, now := m.from.placed.Assignment, c.g.clock.Now()
	if c.delivered > 0 {
		c.recordPause(now.Sub(c.lastDelivery), a)
	}
	c.lastDelivery = now
	if !c.committed {
		c.beginStream(m)
	}
	if err := c.write(ev.raw); err != nil {
		return err
	}
	c.delivered++
	if ev.id != "" {
		c.LastEvent = ev.id
	}
	if m.more {
		return nil
	}
	return c.flush()
}

// beginStream sends the head of a stream to the caller.
func (c *call) beginStream(m message) {
	a, now := m.from.placed, c.g.clock.Now()
	c.writeHead(m.head)
	a.markAnswered()
	waited := now.Sub(m.from.sentAt)
	c.g.metrics.observeFirstEvent(c.class(), now.Sub(c.started))
	c.suspectLateEngines(a.Assignment, waited)
	c.log().Info("stream begun", "took", now.Sub(c.started), "predicted", a.PredictedPrefill, "waited", waited,
		"prompt_tokens", c.PromptTokens, "helpers", len(a.Helpers))
}

// forwardComment sends an event without data to the caller, which may rely on it as a sign that the
// connection is open. It begins no answer and is no progress of the endpoint, nor is it passed on
// while it is open which attempt goes on.
func (c *call) forwardComment(m message) error {
	if !c.committed || len(c.open) > 1 {
		return nil
	}
	if err := c.write(m.event.raw); err != nil || m.more {
		return err
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
