package kernel

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// startLog runs the log until the returned function is called.
func startLog(l *Log) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

func TestLinesAreKeyValuePairs(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := NewLog("rosemary-entry", settings.Log{}, &out)
	stop := startLog(l)
	l.Info("request answered", "request", "9c41", "took", "3ms")
	l.Debug("not shown")
	stop()
	is.True(strings.Contains(out.String(), "rosemary-entry: request answered: request=9c41 took=3ms\n"))
	is.Equal(strings.Count(out.String(), "\n"), 1)
}

func TestLinesOfAnEventAreRateLimitedAndCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := NewLog("rosemary-entry", settings.Log{}, &out)
	for range 3 * maxLineBurst {
		l.Info("request refused")
	}
	l.Info("request answered") // another event has its own limit
	stop := startLog(l)
	stop()
	written := strings.Count(out.String(), "request refused\n")
	is.True(written >= maxLineBurst && written < 2*maxLineBurst)
	is.True(strings.Contains(out.String(), "request answered"))
	is.True(strings.Contains(out.String(), `log lines left out: event="request refused" lines=`))
}

func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	l := NewLog("rosemary-entry", settings.Log{}, writer)
	stop := startLog(l)
	for i := range 3 * maxQueuedLines {
		// Different events keep the lines below the rate limits. Nothing reads from the
		// pipe: if a line waited for the reader, the test would never end.
		l.Info("event " + strings.Repeat("x", i%50))
	}
	is.True(l.out.dropped.Load() > 0)
	stop()
	is.NoErr(reader.Close())
}

// An entry whose log nobody read was killed: it has 0.5 s left when it has closed its connections.
func TestUnreadLogOutlastsTheGraceTime(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	l := NewLog("rosemary-entry", settings.Log{}, writer)
	stop := startLog(l)
	l.Info("event")
	l.Info("event")
	began := time.Now()
	stop()
	is.True(time.Since(began) < 500*time.Millisecond)
	is.NoErr(reader.Close())
}

// stalledWriter accepts a number of lines, and then no more.
type stalledWriter struct {
	bytes.Buffer
	left  int
	ended chan struct{}
}

func (w *stalledWriter) Write(line []byte) (int, error) {
	if w.left--; w.left < 0 {
		<-w.ended
		return 0, io.ErrClosedPipe
	}
	return w.Buffer.Write(line)
}

// The line of a request's end was left out for the rate of such lines, for a queue full of lines that say less, and
// behind those at the end of the process.
func TestLineOfARequestsEndIsLeftOut(t *testing.T) {
	RegisterRequestEnds("request ended")
	const ends = maxQueuedLines / 8
	logOthers := func(l *Log, n int) {
		for i := range n {
			l.Info("other event " + strings.Repeat("x", i%50))
		}
	}
	tests := map[string]struct {
		before func(l *Log)
		// accepted is the number of lines that the reader takes.
		accepted int
		end      string
		warn     bool
		ends     int
	}{
		"more than others may write in a second": {
			before: func(l *Log) {}, accepted: 2 * maxQueuedLines, end: "request ended", ends: 2 * maxLineBurst,
		},
		"full queue": {
			before: func(l *Log) { logOthers(l, 2*maxQueuedLines) }, accepted: 2 * maxQueuedLines, end: "request ended", ends: ends,
		},
		"full queue, warning": {
			before: func(l *Log) { logOthers(l, 2*maxQueuedLines) }, accepted: 2 * maxQueuedLines, end: "request cut", warn: true, ends: ends,
		},
		"slow reader at the end of the process": {
			before: func(l *Log) { logOthers(l, 2*ends) }, accepted: ends, end: "request ended", ends: ends,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := &stalledWriter{left: test.accepted, ended: make(chan struct{})}
			l := NewLog("rosemary-entry", settings.Log{}, out)
			test.before(l)
			for i := range test.ends {
				if test.warn {
					l.Warn(test.end, "request", i)
				} else {
					l.With("node", "entry-1").Info(test.end, "request", i)
				}
			}
			l.out.ending.Store(true)
			go l.out.run()
			l.out.close(flushTimeout)
			close(out.ended)
			<-l.out.done
			is.Equal(strings.Count(out.String(), ": "+test.end+":"), test.ends)
		})
	}
}
