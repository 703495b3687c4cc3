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

// tailBytes is the number of bytes that are kept from the end of an answer. The usage report
// and the end marker fit into them.
const tailBytes = 1024

// doneMarker is the last event of a complete answer that an engine streams.
var doneMarker = []byte("data: [DONE]")

var (
	promptUsage = regexp.MustCompile(`"prompt_tokens":\s*(\d+)`)
	outputUsage = regexp.MustCompile(`"completion_tokens":\s*(\d+)`)
)

// tail keeps the end of an answer. It detects whether an answer of server-sent events is
// complete by its end marker, because the end of the HTTP response does not prove it: an
// engine that crashes during a batch may still end the response cleanly. Only the
// goroutine that runs exchange.readAnswer writes the tail. Another goroutine may read the tail
// after readAnswer has called Finish on its stream.Buffer.
type tail struct {
	// sse is set for a successful answer of server-sent events.
	sse   bool
	bytes []byte
}

// newTail returns the empty tail of an answer.
func newTail(res *http.Response) *tail {
	kind := res.Header.Get("Content-Type")
	return &tail{sse: strings.HasPrefix(kind, "text/event-stream") && httpStatusOK(res.StatusCode)}
}

// write appends a part of the answer.
func (t *tail) write(p []byte) {
	t.bytes = append(t.bytes, p[max(0, len(p)-tailBytes):]...)
	if extra := len(t.bytes) - tailBytes; extra > 0 {
		t.bytes = append(t.bytes[:0], t.bytes[extra:]...)
	}
}

// endError returns io.EOF if the answer is complete and io.ErrUnexpectedEOF if it is cut
// off.
func (t *tail) endError() error {
	if t.sse && !bytes.HasSuffix(bytes.TrimSpace(t.bytes), doneMarker) {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// usage returns the numbers of prompt and output tokens that the engine reported, or
// zeros.
func (t *tail) usage() (prompt, output int) {
	return lastNumber(promptUsage, t.bytes), lastNumber(outputUsage, t.bytes)
}

// lastNumber returns the number in the last match of pattern, or zero.
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

// dialError is a failure to establish a connection to the endpoint.
type dialError struct{ err error }

func (d *dialError) Error() string { return "connect to endpoint: " + d.err.Error() }
func (d *dialError) Unwrap() error { return d.err }

// asDialError returns a *dialError if err is a failed dial, and err otherwise.
func asDialError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &dialError{err: err}
	}
	return err
}
