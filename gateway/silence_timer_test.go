package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// paced is an endpoint that sends a piece of its answer every interval, n times.
func paced(head, piece string, interval time.Duration, n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, head)
		for range n {
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				return
			}
			_, _ = io.WriteString(w, piece)
		}
	}
}

// A large answer was cut after twice its latency target, though its bytes kept coming, and its
// endpoint was distrusted as one that says nothing.
func TestLargeAnswerThatKeepsArrivingIsNotCut(t *testing.T) {
	is := is.New(t)
	piece := strings.Repeat("x", 64<<10)
	w := newTestGateway(t, paced("", piece, 50*time.Millisecond, 16)) // 0.8 s; the target is 0.2 s
	got := w.post("/status/1", nil)
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(got.body), 16*len(piece))
	is.Equal(w.arrivalCount(), 1)
	_, trusted := w.g.countEndpoints()
	is.Equal(trusted, 2)
}

// trickling sends a piece every 50 ms for longer than the callers of the test wait.
func trickling(piece string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		for range 100 {
			if _, err := io.WriteString(w, piece); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// A stalled stream that sent comments or empty lines now and then was never ended.
func TestStalledStreamsThatTrickleAreResumedElsewhere(t *testing.T) {
	for name, piece := range map[string]string{
		"bytes of an event": "id", "comments": ": wait\n\n", "empty lines": "\n", "no data": "id: 5\n\n",
	} {
		for _, begun := range []int{0, 4} {
			t.Run(fmt.Sprint(name, " after ", begun, " events"), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newTestGateway(t, streaming(9, begun, trickling(piece)), streaming(9, 9, nil))
				w.engines.dead.Store(true)
				w.addLoad("scribe", 1, 7)
				got := w.post("/read/1", nil)
				is.Equal(got.status, http.StatusOK)
				is.True(!got.broken)
				is.Equal(withoutComments(got.body), allEvents(1, 9))
				is.Equal(w.arrivals[1].Header.Get("Last"), map[int]string{0: "", 4: "4"}[begun])
			})
		}
	}
}

// withoutComments returns the events of a stream that have data.
func withoutComments(body string) string {
	var out strings.Builder
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if event = strings.TrimLeft(event, "\n"); strings.Contains(event, "data:") {
			out.WriteString(event)
		}
	}
	return out.String()
}

// An answer of which a byte comes now and then must not hold its caller until the deadline.
func TestAnswerThatTricklesIsAskedForElsewhere(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, paced("", "x", 50*time.Millisecond, 100), answering(http.StatusOK, "good"))
	w.addLoad("desk", 1, 5)
	got := w.post("/status/1", nil)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "good")
}
