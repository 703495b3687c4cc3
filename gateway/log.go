package gateway

import (
	"strings"

	"github.com/hashicorp/go-hclog"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

func init() {
	kernel.RegisterRequestEnds("request answered", "request refused", "request abandoned by its caller",
		"request cut at the end of the grace time", "request panicked")
}

// logger adds the same fields to each line.
type logger struct {
	log    hclog.Logger
	fields []any
}

func (l logger) Info(event string, args ...any)  { l.log.Info(event, append(l.fields, args...)...) }
func (l logger) Warn(event string, args ...any)  { l.log.Warn(event, append(l.fields, args...)...) }
func (l logger) Debug(event string, args ...any) { l.log.Debug(event, append(l.fields, args...)...) }

// serverLog writes what net/http reports as lines of one event.
type serverLog struct{ log hclog.Logger }

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	l.log.Warn("connection of a caller failed", "detail", strings.TrimSpace(string(line)))
	return len(line), nil
}
