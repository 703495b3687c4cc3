package sidecar

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// tailBytes is as much of an answer's end as usage and end mark take.
const tailBytes = 1024

// doneMark ends a whole answer of server-sent events from an engine.
var doneMark = []byte("data: [DONE]")

var (
	promptUsage = regexp.MustCompile(`"prompt_tokens":\s*(\d+)`)
	outputUsage = regexp.MustCompile(`"completion_tokens":\s*(\d+)`)
)

// tail keeps the end of an answer. It tells whether an answer of server-sent
// events has its end mark: HTTP alone does not tell, because an engine that falls
// within its batch may still close the response cleanly. It is written before the
// buffer's end is marked and read after that.
type tail struct {
	events bool
	bytes  []byte
}

func newTail(res *http.Response) *tail {
	kind := res.Header.Get("Content-Type")
	return &tail{events: strings.HasPrefix(kind, "text/event-stream") && httpStatusOK(res.StatusCode)}
}

func (t *tail) write(p []byte) {
	t.bytes = append(t.bytes, p[max(0, len(p)-tailBytes):]...)
	if extra := len(t.bytes) - tailBytes; extra > 0 {
		t.bytes = append(t.bytes[:0], t.bytes[extra:]...)
	}
}

// end returns io.EOF for a whole answer and io.ErrUnexpectedEOF for a cut one.
func (t *tail) end() error {
	if t.events && !bytes.HasSuffix(bytes.TrimSpace(t.bytes), doneMark) {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// usage returns the tokens that the engine reported, or zeros.
func (t *tail) usage() (prompt, output int) {
	return lastNumber(promptUsage, t.bytes), lastNumber(outputUsage, t.bytes)
}

func lastNumber(pattern *regexp.Regexp, b []byte) int {
	all := pattern.FindAllSubmatch(b, -1)
	if len(all) == 0 {
		return 0
	}
	n, err := strconv.Atoi(string(all[len(all)-1][1]))
	if err != nil {
		return 0
	}
	return n
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
