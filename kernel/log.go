package kernel

import (
	"context"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

const (
	// linesPerSecond and lineBurst bound the lines of one event. An entry that serves
	// 100 requests a second writes about four lines of different events for each.
	linesPerSecond = 200
	lineBurst      = 1000
	// queuedLines bounds the lines that wait for a reader of standard output that has
	// stopped: about a megabyte.
	queuedLines = 4096
	// reportInterval is how often lines that were left out are counted in the log.
	reportInterval = time.Second
	// flushTimeout bounds the wait for the last lines at the end of the process.
	flushTimeout = time.Second
)

// Log writes one key=value line an event. It never waits for whoever reads the lines,
// and bounds how many lines an event may have in a second. What is left out is counted
// and said.
type Log struct {
	hclog.Logger
	out     *queuedWriter
	limiter *eventLimiter
	// leftOut counts the lines that were not written.
	leftOut atomic.Int64
}

// NewLog returns the log of a process on out, usually standard output.
func NewLog(name string, l settings.Log, out io.Writer) *Log {
	log := &Log{out: newQueuedWriter(out), limiter: &eventLimiter{events: map[string]*eventCount{}}}
	log.Logger = hclog.New(&hclog.LoggerOptions{
		Name: name, Level: levelOf(l), Output: log.out, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Exclude: log.limiter.exclude,
	})
	return log
}

// levelOf returns the least level that is written.
func levelOf(l settings.Log) hclog.Level {
	if level := hclog.LevelFromString(l.Level); level != hclog.NoLevel {
		return level
	}
	return hclog.Info
}

// NewLogger returns the log of a process on standard output.
func NewLogger(name string, l settings.Log) *Log { return NewLog(name, l, os.Stdout) }

// Run writes the lines and says what was left out, until ctx ends. Then it writes what
// is queued still.
func (l *Log) Run(ctx context.Context) {
	// A reader that has stopped must not keep the process from ending either.
	go l.out.run()
	defer l.out.close(flushTimeout)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.report()
			return
		case <-ticker.C:
			l.report()
		}
	}
}

func (l *Log) report() {
	for event, n := range l.limiter.taken() {
		l.leftOut.Add(int64(n))
		l.Warn("log lines left out", "event", event, "lines", n, "reason", "more than the event may write in a second")
	}
	if n := l.out.dropped.Swap(0); n > 0 {
		l.leftOut.Add(n)
		l.Warn("log lines left out", "lines", n, "reason", "the reader of the log is slow")
	}
}

// eventLimiter counts and bounds the lines of each event. Events are constants of the
// code, so that there are few.
type eventLimiter struct {
	mu     sync.Mutex
	events map[string]*eventCount
}

type eventCount struct {
	limit *rate.Limiter
	left  int
}

// exclude implements hclog's filter.
func (e *eventLimiter) exclude(_ hclog.Level, event string, _ ...any) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.events[event]
	if c == nil {
		c = &eventCount{limit: rate.NewLimiter(linesPerSecond, lineBurst)}
		e.events[event] = c
	}
	if c.limit.Allow() {
		return false
	}
	c.left++
	return true
}

// taken returns the lines left out by event, and forgets them.
func (e *eventLimiter) taken() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for event, c := range e.events {
		if c.left > 0 {
			out[event], c.left = c.left, 0
		}
	}
	return out
}

// queuedWriter hands lines to a goroutine that writes them, and drops lines when too
// many wait.
type queuedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// done is closed once everything is written.
	done chan struct{}
}

func newQueuedWriter(out io.Writer) *queuedWriter {
	return &queuedWriter{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
}

// Write implements io.Writer and never blocks.
func (w *queuedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until nil comes.
func (w *queuedWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			// Nobody can be told: the log itself is what fails.
			w.dropped.Add(1)
		}
	}
}

// close has run end once what is queued is written, and waits for it a while.
func (w *queuedWriter) close(limit time.Duration) {
	end := time.After(limit)
	select {
	case w.lines <- nil:
	case <-end:
		return
	}
	select {
	case <-w.done:
	case <-end:
	}
}
