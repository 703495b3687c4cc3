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
