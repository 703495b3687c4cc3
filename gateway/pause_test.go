package gateway

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Half of the late answers were late by one long pause, and no line or metric told it.
func TestLongestPauseOfAStreamIsTold(t *testing.T) {
	is := is.New(t)
	const pause = 250 * time.Millisecond // the route wants 200 ms at most
	endpoint := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"} {
			_, _ = w.Write([]byte(event))
			_ = http.NewResponseController(w).Flush()
			if strings.Contains(event, "b") {
				time.Sleep(pause)
			}
		}
	}
	w := newTestGateway(t, endpoint)
	var lines bytes.Buffer
	w.g.log = hclog.New(&hclog.LoggerOptions{Output: &lines})
	is.Equal(w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "100") }).status, http.StatusOK)
	var paused, answered string
	for line := range strings.SplitSeq(lines.String(), "\n") {
		switch {
		case strings.Contains(line, "stream paused"):
			paused += line
		case strings.Contains(line, "request answered"):
			answered += line
		}
	}
	for _, field := range []string{"endpoint=scribe-1", "target=200ms", "events=2", "running=1", "short_running=1", "helping=0"} {
		is.True(strings.Contains(paused, field)) // what ran there
	}
	is.Equal(strings.Count(paused, "stream paused"), 1)
	is.True(strings.Contains(answered, "longest_pause=") && !strings.Contains(answered, "longest_pause=0s"))
	is.True(strings.Contains(w.metricsText(), `rosemary_gateway_longest_pause_seconds_count{class="short"} 1`))
}
