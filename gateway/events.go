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

// errNoEvent is the error of bytes in a stream that are no event, such as the head of another answer.
var errNoEvent = errors.New("the stream holds lines that are no event")

// lineKind is what a line of an event is.
type lineKind int

const (
	// fieldLine is a comment or a field of the format other than data.
	fieldLine lineKind = iota
	dataLine
	// extensionLine is a field that the format does not know. Readers of events ignore it.
	extensionLine
	// foreignLine has no name that a field could have.
	foreignLine
)

// kindOfLine returns the kind of a line that is not empty.
func kindOfLine(text []byte) lineKind {
	name, _, _ := bytes.Cut(text, []byte(":"))
	switch string(name) {
	case "", "id", "event", "retry":
		return fieldLine
	case "data":
		return dataLine
	}
	if len(bytes.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-_.")) > 0 {
		return foreignLine
	}
	return extensionLine
}

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	r    *bufio.Reader
	held *heldAnswer
	// begun is set once the first line has been read.
	begun bool
}

// byteOrderMark may stand at the beginning of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// newEventReader returns a reader that accounts for the current event in held.
func newEventReader(r io.Reader, held *heldAnswer) *eventReader {
	return &eventReader{r: bufio.NewReader(r), held: held}
}

// next returns the next event. It returns io.EOF if the stream ends between two events
// and io.ErrUnexpectedEOF if it ends within one. An event with a line that cannot be a field, and one
// with an extension but without data, are errNoEvent.
func (e *eventReader) next() (event, error) {
	var ev event
	extended, continues := false, false
	e.held.reset()
	for {
		line, err := e.r.ReadSlice('\n')
		begins := !continues
		if continues = errors.Is(err, bufio.ErrBufferFull); continues {
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
		if !e.begun {
			e.begun, text = true, bytes.TrimPrefix(text, byteOrderMark)
		}
		switch {
		case !begins:
			continue
		case len(text) > 0:
		case extended && !ev.hasData:
			return ev, errNoEvent
		default:
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(value))
		}
		switch kindOfLine(text) {
		case dataLine:
			ev.hasData = true
		case extensionLine:
			extended = true
		case foreignLine:
			return ev, errNoEvent
		case fieldLine:
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
