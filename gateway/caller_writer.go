package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

const (
	// writeTimeout ends a request whose caller reads nothing of its answer for this long.
	writeTimeout = 10 * time.Second
	// writePartBytes is the length of the parts in which an answer is written. A caller that reads
	// slowly gets writeTimeout for each.
	writePartBytes = 16 << 10
)

// callerWriter writes an answer to a caller. A caller that goes on reading gets all of it, however
// slowly it reads.
type callerWriter struct {
	http.ResponseWriter
	clock kernel.Clock
	// lastAnswer reports whether the caller is to use another connection for its next request.
	lastAnswer func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w *callerWriter) WriteHeader(status int) {
	if w.lastAnswer() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *callerWriter) Write(data []byte) (written int, err error) {
	for {
		if err := w.extend(); err != nil {
			return written, err
		}
		part := data[written:min(len(data), written+writePartBytes)]
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// FlushError sends buffered data to the caller.
func (w *callerWriter) FlushError() error {
	if err := w.extend(); err != nil {
		return err
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// extend gives the caller writeTimeout to read what is written next. net/http writes the end of an
// answer after its handler has returned.
func (w *callerWriter) extend() error {
	err := http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.clock.Now().Add(writeTimeout))
	return errors.Wrap(err, "set the write deadline")
}
