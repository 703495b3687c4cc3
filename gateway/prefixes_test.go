package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/prefix"
)

// A request must go to the endpoint that has begun to answer one with the same prefix, where the configuration says that
// engines cache prefixes, and nowhere else; an endpoint that started again holds nothing.
func TestRequestsFollowTheirPrefix(t *testing.T) {
	segments := []prefix.Segment{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 50}}
	for _, policy := range []*prefix.Policy{nil, {Hold: time.Minute, Tokens: 10_000}} {
		is := is.New(t)
		answer := answering(http.StatusOK, "id: 1\ndata: x\n\n")
		w := newTestGateway(t, answer, answer)
		w.g.deployment.Load().Services["scribe"].Prefix = policy
		is.Equal(w.post("/read/1", func(r *http.Request) { r.Header.Set("Tokens", "150") }).status, http.StatusOK)
		c := w.call("/read/1", 150)
		c.Segments = segments
		is.Equal(len(c.keptTokens()), 0) // the request before had no segments
		a := c.newAttempt(t.Context())
		is.NoErr(a.place())
		a.recordPrefix()
		kept := c.keptTokens()
		is.Equal(len(kept) == 1, policy != nil)
		is.Equal(kept[a.endpoint()] > 0, policy != nil)
		w.g.fleet.Update(assign.Endpoint{Name: a.endpoint(), Service: "scribe", Addr: a.placed.Primary.Addr, Incarnation: 2})
		is.Equal(len(c.keptTokens()), 0)
		a.placed.release(true)
	}
}
