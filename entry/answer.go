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
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// maxBufferedBytes is the most of a whole answer that is held back until its end mark
// has come, so that a broken one can still become a refusal.
const maxBufferedBytes = 256 << 10

// errCallerGone marks a caller that has gone or takes nothing.
var errCallerGone = errors.New("the caller takes nothing")

// answer writes one endpoint's answer to the caller.
type answer struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	call          *call
	clock         kernel.Clock
	writeTimeout  time.Duration
	head          *wire.Head
	isEventStream bool
	buffered      []byte
	// committed is set once the caller has seen a status, which ends all retries.
	committed bool
	sentBytes int64
	// onComplete is called with a onComplete answer before the caller sees any of it; it is
	// set for a call that runs at most once.
	onComplete func(*command.Result)
}

func newAnswer(w http.ResponseWriter, c *call, timeout time.Duration, clock kernel.Clock) *answer {
	return &answer{w: w, control: http.NewResponseController(w), call: c, clock: clock, writeTimeout: timeout}
}

// reset forgets what a failed attempt left behind. Nothing of it was sent.
func (a *answer) reset() {
	a.head = nil
	a.buffered = a.buffered[:0]
}

// setHead takes the head of the endpoint's answer.
func (a *answer) setHead(h *wire.Head) {
	a.head = h
	a.isEventStream = strings.HasPrefix(h.Header["Content-Type"], "text/event-stream")
}

// write passes data on: at once for events, else when the answer is whole or too
// long to be held back.
func (a *answer) write(data []byte) error {
	if a.call.firstByteAt.IsZero() {
		a.call.firstByteAt = a.clock.Now()
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

// finish passes on what was held back once the answer is whole.
func (a *answer) finish() error {
	if a.onComplete != nil {
		a.onComplete(&command.Result{Status: a.head.Status, Header: a.head.Header, Body: a.buffered})
	}
	return a.send(nil)
}

// replay answers with the kept result of a call that ran before.
func (a *answer) replay(r *command.Result) error {
	a.onComplete = nil
	a.setHead(&wire.Head{Status: r.Status, Header: r.Header})
	return a.send(r.Body)
}

func (a *answer) send(data []byte) error {
	if !a.committed {
		a.writeHead()
	}
	_ = a.control.SetWriteDeadline(a.clock.Now().Add(a.writeTimeout))
	for _, part := range [][]byte{a.buffered, data} {
		n, err := a.w.Write(part)
		a.sentBytes += int64(n)
		if err != nil {
			return errors.Wrap(errCallerGone, err.Error())
		}
	}
	a.buffered = a.buffered[:0]
	if err := a.control.Flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

func (a *answer) writeHead() {
	a.committed = true
	for k, v := range a.head.Header {
		a.w.Header().Set(k, v)
	}
	a.w.Header().Set(HeaderRequestID, requestID(a.call))
	a.w.Header().Set("X-Verdict", verdict.Ran.String())
	if a.isEventStream {
		a.w.Header().Del("X-Verdict")
	}
	a.w.WriteHeader(a.head.Status)
}

// abort ends a started answer so that the caller cannot take it for whole: an
// error event without the end mark, or a broken connection.
func (a *answer) abort(r *verdict.Refusal) {
	if a.isEventStream {
		body, _ := json.Marshal(refusalBody(a.call, r))
		_, _ = a.w.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
		_ = a.control.Flush()
	}
	panic(http.ErrAbortHandler)
}

// refusalJSON is the body of every refusal.
type refusalJSON struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Verdict    string  `json:"verdict"`
	Reason     string  `json:"reason"`
	Message    string  `json:"message"`
	RequestID  string  `json:"request_id,omitempty"`
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
}

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

// answerRefusal gives the caller a refusal at once.
func (e *Entry) answerRefusal(w http.ResponseWriter, c *call, r *verdict.Refusal) {
	if c != nil {
		e.metrics.refused(c, r)
		e.log.Info("request refused", c.logFields("verdict", r.Verdict.String(), "reason", string(r.Reason), "retry_after", r.RetryAfter, "detail", r.Detail)...)
		w.Header().Set(HeaderRequestID, requestID(c))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Verdict", r.Verdict.String())
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(statusOf(r))
	_ = json.NewEncoder(w).Encode(refusalBody(c, r))
}

// statusOf returns the HTTP status of a refusal.
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
