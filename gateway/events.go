package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// event is one complete server-sent event in its original bytes.
type event struct {
	raw []byte
	id  string
	// hasData is false for comments and empty lines, which endpoints may send to keep a
	// connection open.
	hasData bool
}

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	r    *bufio.Reader
	held *heldAnswer
}

// newEventReader returns a reader that accounts for the current event in held.
func newEventReader(r io.Reader, held *heldAnswer) *eventReader {
	return &eventReader{r: bufio.NewReader(r), held: held}
}

// next returns the next event. It returns io.EOF if the stream ends between two events
// and io.ErrUnexpectedEOF if it ends within one.
func (e *eventReader) next() (event, error) {
	var ev event
	e.held.reset()
	for {
		line, err := e.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err := e.held.grow(len(line)); err != nil {
			return ev, err
		}
		ev.raw = append(ev.raw, line...)
		switch {
		case errors.Is(err, io.EOF) && len(ev.raw) > 0:
			return ev, io.ErrUnexpectedEOF
		case err != nil:
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(value))
		}
		ev.hasData = ev.hasData || bytes.HasPrefix(text, []byte("data"))
		if len(text) == 0 && line[len(line)-1] == '\n' {
			return ev, nil
		}
	}
}

// hasBuffered reports whether a further event is buffered completely.
func (e *eventReader) hasBuffered() bool {
	// Peek returns no error for what is buffered.
	rest, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(rest, []byte("\n\n")) || bytes.Contains(rest, []byte("\n\r\n"))
}

// alreadyDelivered reports whether the event ID is not greater than last, the ID of the
// last event delivered. It is false if one of them is not a number.
func alreadyDelivered(id, last string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	return err == nil && number <= lastNumber
}
