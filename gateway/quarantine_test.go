package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
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

// withPart adds a part to the prompt of a request.
func withPart(id string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Part", id) }
}

// convict makes control's lists name the parts as those that crash endpoints.
func (w *testGateway) convict(ids ...string) {
	w.g.updateSuspects(&wire.Update{HasQuarantine: true, Quarantine: partDigests(ids)})
}

// Requests with a part that had crashed endpoints were sent on, as each has a content of its own.
func TestRequestWithACrashingPartIsRefused(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "fine"))
	w.convict("bad")
	for _, path := range []string{"/status/1", "/seal/1", "/read/1"} {
		got := w.post(path, withPart("bad"))
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(got.body, string(verdict.ReasonQuarantined)))
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after <= (quarantine.FirstTrial + retryJitter).Seconds()) // the part may come free then
	}
	is.Equal(w.arrivalCount(), 0)
	is.Equal(w.post("/status/1", withPart("sound")).status, http.StatusOK)
}

// A request that was on its retry when its part was convicted went to another endpoint.
func TestRequestIsNotSentAgainOnceItsPartIsConvicted(t *testing.T) {
	is := is.New(t)
	var w *testGateway
	convicting := func(http.ResponseWriter, *http.Request) {
		w.convict("bad")
		panic(http.ErrAbortHandler)
	}
	w = newTestGateway(t, convicting, convicting)
	got := w.post("/status/1", withPart("bad"))
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(w.arrivalCount(), 1)
}

func TestPartWithARecentAnswerHereIsServed(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "fine"))
	is.Equal(w.post("/status/1", withPart("shared")).status, http.StatusOK)
	w.convict("shared", "bad")
	is.Equal(w.post("/status/2", withPart("shared")).status, http.StatusOK)
	is.Equal(w.post("/status/3", withPart("bad")).status, http.StatusServiceUnavailable)
}

// A request that waited for an endpoint when its part was convicted waited on until it had one.
func TestWaitEndsOnceThePartIsConvicted(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, streaming(9, 9, nil))
	w.addLoad("scribe", 0, 8)
	go func() {
		for len(w.g.placing.all()) == 0 {
			time.Sleep(time.Millisecond)
		}
		w.convict("bad")
	}()
	began := time.Now()
	got := w.post("/read/1", func(r *http.Request) {
		withPart("bad")(r)
		r.Header.Set("Tokens", "10")
	})
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, string(verdict.ReasonQuarantined)))
	is.True(time.Since(began) < time.Second) // half of its time is left
	is.Equal(len(w.g.placing.all()), 0)
}

// A sound part that was convicted for another request's crashes had its requests refused until an entry with a complete answer had
// cleared it.
func TestRequestWithAPartThatIsClearedAtOnceIsNotRefused(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "fine"))
	w.convict("sound", "bad")
	time.AfterFunc(quarantine.ClearanceTime/4, func() { w.convict("bad") })
	is.Equal(w.post("/status/1", withPart("sound")).status, http.StatusOK)
	is.Equal(w.post("/status/2", withPart("bad")).status, http.StatusServiceUnavailable)
	is.Equal(w.arrivalCount(), 1)
}
