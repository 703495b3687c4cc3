package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/drain"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// maxBufferedBytes is the longest answer that is buffered until its end has been
// checked, so that a broken answer can still be replaced by a refusal.
const maxBufferedBytes = 256 << 10

// errCallerGone is the cause of an attempt's failure if writing to the caller fails.
var errCallerGone = errors.New("the caller takes nothing")

// answer relays the answer of an endpoint to the caller. It buffers an answer that is not
// an event stream, up to maxBufferedBytes. It is used by one goroutine at a time.
type answer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	c          *call
	clock      kernel.Clock
	// writeTimeout bounds each write to the caller.
	writeTimeout time.Duration
	// head is the head of the current attempt's answer, or nil before it has arrived.
	head          *wire.Head
	isEventStream bool
	// buffered holds the bytes that have not been written to the caller.
	buffered []byte
	// committed is set once the status has been written to the caller. The call must not be
	// retried after that.
	committed bool
	// sentBytes counts the bytes of the body written to the caller.
	sentBytes int64
	// onComplete is called with the complete answer before any of it is written to the
	// caller. It is set for a call that runs at most once, and nil for all others.
	onComplete func(*command.Result)
}

// newAnswer returns an empty answer to the call, which is written to w.
func newAnswer(w http.ResponseWriter, c *call, writeTimeout time.Duration, clock kernel.Clock) *answer {
	return &answer{w: w, controller: http.NewResponseController(w), c: c, clock: clock, writeTimeout: writeTimeout}
}

// reset discards the head and the buffered bytes of a failed attempt. It must not be
// called once the answer is committed.
func (a *answer) reset() {
	a.head = nil
	a.buffered = a.buffered[:0]
}

// acceptHead sets the status and headers of the answer.
func (a *answer) acceptHead(h *wire.Head) {
	a.head = h
	a.isEventStream = strings.HasPrefix(h.Header["Content-Type"], "text/event-stream")
}

// write adds data to the answer. Data of an event stream goes to the caller at once. Other
// data is buffered until the answer is complete or longer than maxBufferedBytes. The
// answer of a call that runs at most once is always buffered and must not be longer.
func (a *answer) write(data []byte) error {
	if a.c.firstByteAt.IsZero() {
		a.c.firstByteAt = a.clock.Now()
	}
	if a.onComplete != nil && len(a.buffered)+len(data) > maxBufferedBytes {
		return verdict.Uncertain(verdict.ReasonTooLarge, 0, "the result of a call that runs at most once is over %d bytes", maxBufferedBytes)
	}
	if a.onComplete != nil || !a.isEventStream && !a.committed && len(a.buffered)+len(data) <= maxBufferedBytes {
		a.buffered = append(a.buffered, data...)
		return nil
	}
	return a.send(data)
}

// finish writes the buffered rest of a complete answer to the caller.
func (a *answer) finish() error {
	if a.onComplete != nil {
		a.onComplete(&command.Result{Status: a.head.Status, Header: a.head.Header, Body: a.buffered})
	}
	return a.send(nil)
}

// replay answers with the stored result of a call that ran earlier.
func (a *answer) replay(r *command.Result) error {
	a.onComplete = nil
	a.acceptHead(&wire.Head{Status: r.Status, Header: r.Header})
	return a.send(r.Body)
}

// send writes the status if necessary, the buffered bytes and data to the caller. Its
// error wraps errCallerGone.
func (a *answer) send(data []byte) error {
	if !a.committed {
		a.writeHead()
	}
	_ = a.controller.SetWriteDeadline(a.clock.Now().Add(a.writeTimeout))
	for _, part := range [][]byte{a.buffered, data} {
		n, err := a.w.Write(part)
		a.sentBytes += int64(n)
		if err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
	a.buffered = a.buffered[:0]
	if err := a.controller.Flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// writeHead writes the status and headers to the caller. The header X-Verdict is left out
// for an event stream, whose outcome is not known yet.
func (a *answer) writeHead() {
	a.committed = true
	for k, v := range a.head.Header {
		a.w.Header().Set(k, v)
	}
	a.w.Header().Set(HeaderRequestID, requestID(a.c))
	a.w.Header().Set("X-Verdict", verdict.Ran.String())
	if a.isEventStream {
		a.w.Header().Del("X-Verdict")
	}
	a.w.WriteHeader(a.head.Status)
}

// abort ends an answer that has been written in part, so that the caller cannot mistake it
// for a complete one. An event stream gets an error event without the end marker. The
// connection is then closed by panicking with http.ErrAbortHandler.
func (a *answer) abort(r *verdict.Refusal) {
	if a.isEventStream {
		body, _ := json.Marshal(refusalBody(a.c, r))
		_, _ = a.w.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
		_ = a.controller.Flush()
	}
	panic(http.ErrAbortHandler)
}

// refusalJSON is the JSON body of a refusal.
type refusalJSON struct {
	Error refusalDetail `json:"error"`
}

// refusalDetail describes a refusal to the caller.
type refusalDetail struct {
	Verdict    string  `json:"verdict"`
	Reason     string  `json:"reason"`
	Message    string  `json:"message"`
	RequestID  string  `json:"request_id,omitempty"`
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
}

// refusalBody returns the JSON body for r. c is nil if the request's path is unknown.
func refusalBody(c *call, r *verdict.Refusal) refusalJSON {
	body := refusalJSON{Error: refusalDetail{
		Verdict:    r.Verdict.String(),
		Reason:     string(r.Reason),
		Message:    r.Detail,
		RetryAfter: r.RetryAfter.Seconds(),
	}}
	if c != nil {
		body.Error.RequestID = requestID(c)
	}
	return body
}

// answerRefusal writes a refusal to the caller and closes the connection if the rest of the body is
// still on its way. It also counts and logs the refusal, unless c is nil because the request's path
// is unknown.
func (e *Entry) answerRefusal(w http.ResponseWriter, req *http.Request, c *call, r *verdict.Refusal) {
	if c != nil {
		e.metrics.refused(c, r)
		e.log.Info("request refused", c.logFields("verdict", r.Verdict.String(), "reason", string(r.Reason), "retry_after", r.RetryAfter, "detail", r.Detail)...)
		w.Header().Set(HeaderRequestID, requestID(c))
	}
	reusable := e.discardBody(w, req, c)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Verdict", r.Verdict.String())
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	body, err := json.Marshal(refusalBody(c, r))
	if err != nil {
		e.log.Debug("refusal not encoded", "error", err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !reusable {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(statusOf(r))
	if _, err := w.Write(body); err != nil {
		e.log.Debug("refusal not delivered", "error", err)
	}
	if reusable {
		return
	}
	if c != nil {
		e.freeMemory(c)
	}
	if err := drain.Linger(w, e.clock.Now()); err != nil {
		e.log.Debug("connection not closed in order", "error", err)
	}
}

// discardBody reads the rest of the body, within limits, and reports whether the connection can be
// used for another request.
func (e *Entry) discardBody(w http.ResponseWriter, req *http.Request, c *call) bool {
	switch {
	case c != nil && c.bodyComplete:
		return true
	case c != nil && c.bodyFailed:
		return false
	}
	reusable, err := drain.DiscardBody(w, req, e.clock.Now())
	if err != nil {
		e.log.Debug("body not discarded", "error", err)
	}
	return reusable
}

// statusOf returns the HTTP status for a refusal, by its reason.
func statusOf(r *verdict.Refusal) int {
	switch r.Reason {
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case verdict.ReasonUnauthenticated:
		return http.StatusUnauthorized
	case verdict.ReasonUnknownRoute:
		return http.StatusNotFound
	case verdict.ReasonTooLarge, verdict.ReasonPromptTooLong:
		return http.StatusRequestEntityTooLarge
	case verdict.ReasonAccountLimit:
		return http.StatusTooManyRequests
	case verdict.ReasonKeyReused, verdict.ReasonInProgress, verdict.ReasonKeyExpired:
		return http.StatusConflict
	case verdict.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	case verdict.ReasonEndpointLost, verdict.ReasonStreamBroken, verdict.ReasonEngineError:
		return http.StatusBadGateway
	case verdict.ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}
