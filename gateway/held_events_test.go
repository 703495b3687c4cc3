package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A whole event was held back while its endpoint paused within the next one.
func TestWholeEventIsNotHeldBackByTheNextOne(t *testing.T) {
	is := is.New(t)
	received := make(chan bool)
	w := newTestGateway(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(rw, "id: 1\ndata: event 1\n\nid: 2\nda")
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-received:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(rw, "ta: event 2\n\n")
	})
	c := dialRaw(t, w.url)
	c.send(requestHead("POST", "/tell/1", "Content-Length: 4"), "body")
	res, err := http.ReadResponse(c.in, nil)
	is.NoErr(err)
	first := make([]byte, len(allEvents(1, 1)))
	_, err = io.ReadFull(res.Body, first)
	is.NoErr(err)
	is.Equal(string(first), allEvents(1, 1))
	close(received)
	rest, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(string(rest), allEvents(2, 2))
}
