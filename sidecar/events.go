package sidecar

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// doneMark ends a whole answer of server-sent events from an engine.
var doneMark = []byte("data: [DONE]")

// eventCheck sees whether an answer of server-sent events has its end mark. HTTP
// alone does not tell: an engine that falls within its batch may still close the
// response cleanly.
type eventCheck struct {
	events bool
	tail   []byte
}

func newEventCheck(res *http.Response) *eventCheck {
	kind := res.Header.Get("Content-Type")
	return &eventCheck{events: strings.HasPrefix(kind, "text/event-stream") && httpStatusOK(res.StatusCode)}
}

// write keeps as much of the answer's tail as the end mark can take.
func (e *eventCheck) write(p []byte) {
	const keep = 64
	if !e.events {
		return
	}
	e.tail = append(e.tail, p[max(0, len(p)-keep):]...)
	if extra := len(e.tail) - keep; extra > 0 {
		e.tail = append(e.tail[:0], e.tail[extra:]...)
	}
}

// end returns io.EOF for a whole answer and io.ErrUnexpectedEOF for a cut one.
func (e *eventCheck) end() error {
	if e.events && !bytes.HasSuffix(bytes.TrimSpace(e.tail), doneMark) {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// dialError marks a connection to the endpoint that was never made.
type dialError struct{ err error }

func (d *dialError) Error() string { return "connect to endpoint: " + d.err.Error() }
func (d *dialError) Unwrap() error { return d.err }

// asDialError tells a failed dial from all later failures.
func asDialError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &dialError{err: err}
	}
	return err
}
