package kernel

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// requestEnds are the events that RegisterRequestEnds names.
var requestEnds = map[string]bool{}

// RegisterRequestEnds names events whose lines are the last one of a request. These lines are the last to be left
// out. It is called from init functions.
func RegisterRequestEnds(events ...string) {
	for _, event := range events {
		requestEnds[event] = true
	}
}

// queuedLine is a line to write. The zero value ends the writing.
type queuedLine struct {
	text []byte
	// urgent marks warnings and the ends of requests.
	urgent bool
}

// queuedWriter queues lines for a goroutine that writes them to out, and drops lines when
// the queue is full.
type queuedWriter struct {
	out   io.Writer
	lines chan queuedLine
	// dropped counts the lines that did not fit into the queue or could not be written.
	dropped atomic.Int64
	// ending is set once the process ends. From then on, urgent lines are written first.
	ending atomic.Bool
	// done is closed when run returns.
	done chan struct{}
}

var _ hclog.LevelWriter = (*queuedWriter)(nil)

func newQueuedWriter(out io.Writer) *queuedWriter {
	return &queuedWriter{out: out, lines: make(chan queuedLine, maxQueuedLines), done: make(chan struct{})}
}

// Write implements io.Writer and never blocks.
func (w *queuedWriter) Write(line []byte) (int, error) { return w.LevelWrite(hclog.NoLevel, line) }

// LevelWrite implements hclog.LevelWriter and never blocks.
func (w *queuedWriter) LevelWrite(level hclog.Level, line []byte) (int, error) {
	urgent := level >= hclog.Warn || requestEnds[string(eventOf(line))]
	if !urgent && len(w.lines) >= maxQueuedLines-reservedLines {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- queuedLine{text: bytes.Clone(line), urgent: urgent}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// eventOf returns the event of a line, which follows the time, the level and the name of the program.
func eventOf(line []byte) []byte {
	_, event, _ := bytes.Cut(line, []byte(": "))
	if end := bytes.IndexAny(event, ":\n"); end >= 0 {
		event = event[:end]
	}
	return event
}

// run writes the queued lines until it receives the zero value.
func (w *queuedWriter) run() {
	defer close(w.done)
	var later [][]byte
	for line := range w.lines {
		switch {
		case line.text == nil:
			for _, text := range later {
				w.write(text)
			}
			return
		case w.ending.Load() && !line.urgent:
			later = append(later, line.text)
		default:
			w.write(line.text)
		}
	}
}

func (w *queuedWriter) write(text []byte) {
	if _, err := w.out.Write(text); err != nil {
		// A failure of the log itself cannot be logged, so it is only counted.
		w.dropped.Add(1)
	}
}

// close makes run return once the queued lines are written, urgent ones first, and waits for that for at most
// limit.
func (w *queuedWriter) close(limit time.Duration) {
	w.ending.Store(true)
	end := time.After(limit)
	select {
	case w.lines <- queuedLine{}:
	case <-end:
		return
	}
	select {
	case <-w.done:
	case <-end:
	}
}
