package gateway

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/drain"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

// readBody reads the body until the deadline of the call; limit is in bytes.
func (c *call) readBody(limit int64) error {
	var body []byte
	// net/http reads the connection in the background once the body has ended. A deadline that
	// ends this read would cancel the request as if its caller had gone.
	if c.hasBody() {
		var err error
		if body, err = c.readLimited(limit); err != nil {
			return err
		}
	}
	c.body, c.bodyComplete = body, true
	c.content = contentDigest(c.account, c.r.Method, c.r.RequestURI, body)
	c.parts = partDigests(c.Parts)
	return nil
}

// releaseBody gives the memory of the body back.
func (c *call) releaseBody() {
	if c.heldBody != nil {
		c.heldBody.Close()
	}
}

// hasBody reports whether the request has a body.
func (c *call) hasBody() bool { return c.r.Body != nil && c.r.Body != http.NoBody }

// readLimited reads a body of up to limit bytes until the deadline of the call.
func (c *call) readLimited(limit int64) ([]byte, error) {
	limit = min(limit, maxAccountBodyBytes)
	tooLarge := verdict.Refuse(verdict.ReasonTooLarge, 0, "the body is over %d bytes", limit)
	if c.r.ContentLength > limit {
		return nil, tooLarge
	}
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(c.deadline); err != nil {
		return nil, errors.Wrap(err, "set the read deadline of the body")
	}
	endWatch := c.shortenReadOnStop(control)
	c.heldBody = c.g.bodyBytes.Account(c.account)
	body, err := io.ReadAll(&bodyReader{r: io.LimitReader(c.r.Body, limit+1), held: c.heldBody})
	endWatch()
	switch {
	case errors.Is(err, errHeldBytes):
		return nil, verdict.Refuse(verdict.ReasonOverloaded, defaultRetryAfter, "the bodies of requests in progress hold too much memory")
	case err != nil:
		c.bodyFailed = true
		if c.tooLateToSend() && errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, c.refuseStopping()
		}
		return nil, classifyReadError(err)
	case int64(len(body)) > limit:
		return nil, tooLarge
	}
	return body, errors.Wrap(control.SetReadDeadline(time.Time{}), "clear the read deadline of the body")
}

// shortenReadOnStop ends the read of the body when it is too late to send the request because the process
// stops. The returned function ends that, and waits until the deadline no longer changes.
func (c *call) shortenReadOnStop(control *http.ResponseController) (end func()) {
	read, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-c.g.stop.began:
		case <-read:
			return
		}
		by := c.sendBy()
		if by.IsZero() {
			by = c.started // no deadline would be set with a zero time
		}
		if by.Before(c.deadline) {
			if err := control.SetReadDeadline(by); err != nil {
				c.log().Debug("read of the body not shortened", "error", err)
			}
		}
	}()
	return func() { close(read); <-watched }
}

// classifyReadError returns the error of a request whose body was not read to its end.
func classifyReadError(err error) error {
	var network net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refuse(verdict.ReasonDeadline, defaultRetryAfter, "the body has not arrived in time")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), errors.As(err, &network):
		return errors.Wrap(errCallerGone, err.Error())
	}
	return verdict.Refuse(verdict.ReasonBadRequest, 0, "the body is not valid: %v", err)
}

// discardBody reads the rest of the body, within limits, and reports whether the connection can be
// used for another request.
func (c *call) discardBody() bool {
	switch {
	case c.bodyComplete:
		return true
	case c.bodyFailed:
		return false
	}
	reusable, err := drain.DiscardBody(c.w, c.r, c.g.clock.Now())
	if err != nil {
		c.log().Debug("body not discarded", "error", err)
	}
	return reusable
}
