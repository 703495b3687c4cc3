package gateway

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// panickingDialect fails on the answers of endpoints.
type panickingDialect struct{ testDialect }

func (panickingDialect) ClassifyAnswer(*http.Response, string) (Outcome, string) { panic("test") }

// A panic in an attempt ended the process.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, answering(http.StatusOK, "good"))
	w.g.dialect = panickingDialect{}
	is.Equal(w.post("/seal/1", nil).status, http.StatusBadGateway)
	w.g.dialect = testDialect{}
	is.Equal(w.post("/seal/1", nil).status, http.StatusOK)
}
