package gateway

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// A stream that had begun was broken off when control did not answer at once whether it might run on
// another endpoint.
func TestBegunStreamWaitsForItsPermit(t *testing.T) {
	is := is.New(t)
	var w *testGateway
	w = newTestGateway(t, streaming(9, 4, func(http.ResponseWriter) {
		w.g.suspects.Update(&wire.Update{HasQuarantine: true, Suspects: []uint64{contentDigest("parish", http.MethodPost, "/read/1", []byte("body"))}})
		panic(http.ErrAbortHandler)
	}), streaming(9, 9, nil))
	w.session.permitsFrom.Store(3)
	w.addLoad("scribe", 1, 7)
	got := w.post("/read/1", nil)
	is.True(!got.broken)
	is.Equal(got.body, allEvents(1, 9))
}
