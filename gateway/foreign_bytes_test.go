package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
)

// A stream broke off, and what came next from an endpoint was an error: its text, or its whole head, was passed on
// within the stream, or the stream looked complete.
func TestErrorOfTheNextEndpointIsNotPassedOnWithinAStream(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"error\":\"busy\"}"
	resumed := func(contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Seal", "seal")
			w.Header().Set("Content-Type", contentType)
			_, _ = io.WriteString(w, body)
		}
	}
	writing := func(text string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { _, _ = io.WriteString(w, text) }
	}
	const events, json = "text/event-stream", "application/json"
	tests := map[string]struct {
		first func(http.ResponseWriter)
		next  http.HandlerFunc
		// whole is set if the stream is to be completed by a third endpoint.
		whole bool
	}{
		"error with status 200":                      {abort, resumed(json, "{\"error\":\"busy\"}\n"), false},
		"empty answer with status 200":               {abort, resumed(json, ""), false},
		"empty answer that ends with its connection": {abort, closing(""), false},
		"comment that ends with its connection":      {abort, closing(": wait\n\n"), false},
		"text with status 200":                       {abort, resumed("text/plain; charset=utf-8", "busy\n\n"), false},
		"error in place of events":                   {abort, resumed(events, "{\"error\":\"busy\"}\n\n"), false},
		"plain error in place of events":             {abort, resumed(events, "error: busy\n\n"), false},
		"answer of another request":                  {abort, resumed(events, head), false},
		"error answer":                               {abort, answering(500, "busy"), false},
		"head within the same answer":                {writing(head + "\n\n"), streaming(9, 9, nil), true},
		"head within an event":                       {writing("id: 5\ndata: event 5" + head + "\n\n"), streaming(9, 9, nil), true},
		"head after an unfinished field":             {writing("id: 5\nda" + head + "\n\n"), streaming(9, 9, nil), true},
		"head in lower case":                         {writing("http/1.1 503\r\ncontent-type: text/plain\r\n\r\n"), streaming(9, 9, nil), true},
		"extension without an event":                 {writing("reason: busy\n\n"), streaming(9, 9, nil), true},
		"comment, then the stream broken off":        {func(w http.ResponseWriter) { writing(": wait\n\n")(w); abort(w) }, streaming(9, 9, nil), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, streaming(9, 4, test.first), test.next)
			w.addLoad("scribe", 1, 7)
			got := w.post("/read/1", nil)
			body := strings.ReplaceAll(got.body, ": wait\n\n", "")
			is.Equal(got.broken, !test.whole)
			want := allEvents(1, 4)
			if test.whole {
				want = allEvents(1, 9)
			}
			is.Equal(body, want)
		})
	}
}

// closing is an endpoint whose answer has neither a length nor chunks and ends with its connection.
func closing(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Id"), body)
		_ = conn.Close()
	}
}

// A stream that ends with its connection is whole if it ends between two events, resumed or not.
func TestStreamEndsWithItsConnection(t *testing.T) {
	tests := map[string]struct {
		first, next http.HandlerFunc
		want        string
		broken      bool
	}{
		"first answer":                          {closing(allEvents(1, 9)), closing(""), allEvents(1, 9), false},
		"resumed":                               {streaming(9, 4, abort), closing(allEvents(5, 9)), allEvents(1, 9), false},
		"resumed after an end within an event":  {closing(allEvents(1, 4) + "id: 5\ndata: ev"), closing(allEvents(5, 9)), allEvents(1, 9), false},
		"resumed answer ends within an event":   {streaming(9, 4, abort), closing(allEvents(5, 8) + "id: 9\ndata: ev"), allEvents(1, 8), true},
		"resumed answer ends before its events": {streaming(9, 4, abort), closing(""), allEvents(1, 4), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, test.first, test.next)
			w.addLoad("scribe", 1, 7)
			got := w.post("/read/1", nil)
			is.Equal(got.body, test.want)
			is.Equal(got.broken, test.broken)
		})
	}
}

// A field that the format of events does not know is passed on with its event.
func TestExtensionOfAnEventIsPassedOn(t *testing.T) {
	is := is.New(t)
	const text = "rosemaryproxy-weight-versions: 3\nid: 1\nevent: token\nretry: 5\ndata: event 1\n\n"
	w := newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(rw, text)
	})
	got := w.post("/tell/1", nil)
	is.True(!got.broken)
	is.Equal(got.body, text)
}

// The format allows a byte order mark at the beginning of a stream, and only there.
func TestStreamMayBeginWithAByteOrderMark(t *testing.T) {
	is := is.New(t)
	const mark = "\xef\xbb\xbf"
	w := newTestGateway(t, closing(mark+allEvents(1, 9)))
	got := w.post("/read/1", nil)
	is.True(!got.broken)
	is.Equal(got.body, mark+allEvents(1, 9))

	w = newTestGateway(t, closing(allEvents(1, 4)+mark+allEvents(5, 9)), closing(""))
	w.addLoad("scribe", 1, 7)
	got = w.post("/read/1", nil)
	is.True(got.broken)
	is.Equal(got.body, allEvents(1, 4))
}

// Events that are longer than the reader's buffer are one event, whatever stands in their middle.
func TestLongLineIsOneField(t *testing.T) {
	is := is.New(t)
	text := "id: 1\ndata: " + strings.Repeat("HTTP/1.1 503 X: ", 2000) + "\n\n"
	w := newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(rw, text)
	})
	got := w.post("/tell/1", nil)
	is.True(!got.broken)
	is.Equal(got.body, text)
}

// rawEndpoint answers the n-th request on each of its connections, from 1 on, with the bytes that answer returns. It
// closes a connection for which they are empty.
func rawEndpoint(t *testing.T, answer func(connection, n int, id string) string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for connection := 1; ; connection++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serveRaw(conn, func(n int, id string) string { return answer(connection, n, id) })
			}()
		}
	}()
	return l.Addr().String()
}

// serveRaw answers the requests on a connection.
func serveRaw(conn net.Conn, answer func(n int, id string) string) {
	in := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := answer(n, r.Header.Get("Id"))
		if _, err := io.WriteString(conn, text); err != nil || text == "" {
			return
		}
	}
}

// A faulty endpoint wrote an earlier refusal once more. Each request has a connection of its own, on which no answer to
// another one can be due.
func TestRefusalWrittenOnceMoreIsNoAnswerToAnotherRequest(t *testing.T) {
	refusal := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n", id)
	}
	for name, path := range map[string]string{"call that runs at most once": "/seal/1", "call that may be repeated": "/status/1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestGateway(t, answering(http.StatusOK, ""))
			var connections atomic.Int64
			addr := rawEndpoint(t, func(connection, n int, id string) string {
				connections.Store(int64(connection))
				if connection%2 == 1 {
					return strings.Repeat(refusal(id), 2)
				}
				body := "answer to " + id
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			})
			w.g.fleet.Update(assign.Endpoint{Name: "desk-1", Service: "desk", Addr: addr, Zone: "zone-0", Slots: 8, Incarnation: 2})
			for i := 0; connections.Load() < 6 && i < 100; i++ {
				id, before := fmt.Sprint("attempt-", i), connections.Load()
				got := w.post(path, func(r *http.Request) { r.Header.Set("Id", id) })
				switch got.status {
				case http.StatusOK:
					is.Equal(got.body, "answer to "+id)
				case http.StatusServiceUnavailable:
					is.True(connections.Load() == before || connections.Load()%2 == 1) // the last one did not run it
				default:
					t.Fatalf("status %d", got.status)
				}
				time.Sleep(20 * time.Millisecond)
			}
			is.True(connections.Load() >= 6)
		})
	}
}
