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
	// maxLinesPerSecond and maxLineBurst limit the lines of each event. An entry that serves
	// 100 requests per second writes about four lines per request, each of another event.
	maxLinesPerSecond = 200
	maxLineBurst      = 1000
	// maxEndsPerSecond and maxEndBurst limit the lines of the events that RegisterRequestEnds names.
	maxEndsPerSecond = 10 * maxLinesPerSecond
	maxEndBurst      = maxQueuedLines
	// maxQueuedLines bounds the lines that are queued while the reader of standard output
	// does not read. They take about a megabyte. The last reservedLines of them are kept for warnings and for
	// the ends of requests.
	maxQueuedLines = 4096
	reservedLines  = maxQueuedLines / 4
	// reportInterval is the time between two reports of omitted lines in the log.
	reportInterval = time.Second
	// flushTimeout bounds the time for writing the queued lines at the end of the process. It is less than what
	// an entry has left of its grace time once it has closed its connections.
	flushTimeout = 200 * time.Millisecond
)

// Log writes one line of key=value pairs per event. It never blocks on the reader of the
// lines, and limits the lines per second of each event. It counts the lines that it omits
// and reports their number in the log. Run has to run for lines to be written.
type Log struct {
	hclog.Logger
	out     *queuedWriter
	limiter *eventLimiter
	// omitted counts the reported lines that were not written.
	omitted atomic.Int64
}

// NewLog returns the log of a process that writes to out.
func NewLog(name string, l settings.Log, out io.Writer) *Log {
	log := &Log{out: newQueuedWriter(out), limiter: &eventLimiter{events: map[string]*eventState{}}}
	log.Logger = hclog.New(&hclog.LoggerOptions{
		Name: name, Level: minLevel(l), Output: log.out, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Exclude: log.limiter.exclude,
	})
	return log
}

// minLevel returns the lowest level that is written: info unless l sets one.
func minLevel(l settings.Log) hclog.Level {
	if level := hclog.LevelFromString(l.Level); level != hclog.NoLevel {
		return level
	}
	return hclog.Info
}

// NewLogger returns the log of a process that writes to standard output.
func NewLogger(name string, l settings.Log) *Log { return NewLog(name, l, os.Stdout) }

// Run writes the lines and reports omitted ones until ctx ends. Then it writes the lines
// that are still queued, for at most flushTimeout.
func (l *Log) Run(ctx context.Context) {
	// The goroutine is not waited for without a limit: a blocked write must not keep the
	// process from ending.
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

// report logs and counts the lines omitted since the last call.
func (l *Log) report() {
	for event, n := range l.limiter.takeSuppressed() {
		l.omitted.Add(int64(n))
		l.Warn("log lines left out", "event", event, "lines", n, "reason", "more than the event may write in a second")
	}
	if n := l.out.dropped.Swap(0); n > 0 {
		l.omitted.Add(n)
		l.Warn("log lines left out", "lines", n, "reason", "the reader of the log is slow")
	}
}

// eventLimiter limits the rate of lines of each event and counts those above the limit.
// Events are constants in the code, so the map stays small.
type eventLimiter struct {
	mu sync.Mutex
	// events is guarded by mu.
	events map[string]*eventState
}

// eventState holds the rate limit of one event and the lines suppressed since the last
// report.
type eventState struct {
	limiter    *rate.Limiter
	suppressed int
}

// exclude implements hclog.LoggerOptions.Exclude. It reports whether the line is above the
// rate limit of its event.
func (e *eventLimiter) exclude(_ hclog.Level, event string, _ ...any) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.events[event]
	if c == nil {
		c = &eventState{limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst)}
		if requestEnds[event] {
			c.limiter = rate.NewLimiter(maxEndsPerSecond, maxEndBurst)
		}
		e.events[event] = c
	}
	if c.limiter.Allow() {
		return false
	}
	c.suppressed++
	return true
}

// takeSuppressed returns the number of suppressed lines by event and resets it to 0.
func (e *eventLimiter) takeSuppressed() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for event, c := range e.events {
		if c.suppressed > 0 {
			out[event], c.suppressed = c.suppressed, 0
		}
	}
	return out
}
