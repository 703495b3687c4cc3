package gateway

import (
	"bytes"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// metricsText returns the metrics in the text format that operators scrape.
func (w *testGateway) metricsText() string {
	var out bytes.Buffer
	w.g.metrics.set.WritePrometheus(&out)
	return out.String()
}

func TestMetricsCountOutcomesAndRequestsInFlight(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan bool, 1), make(chan bool)
	var seen atomic.Bool
	endpoint := func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/seal/slow" {
			arrived <- true
			<-release
		}
		if r.URL.Path == "/status/1" && !seen.Swap(true) {
			refusing(http.StatusServiceUnavailable)(rw, r)
			return
		}
		answering(http.StatusOK, "done")(rw, r)
	}
	w := newTestGateway(t, endpoint, endpoint)
	w.g.registerGauges()
	is.Equal(w.post("/status/1", nil).status, http.StatusOK)
	is.Equal(w.post("/nowhere/1", nil).status, http.StatusNotFound)
	slow := make(chan reply, 1)
	go func() { slow <- w.post("/seal/slow", nil) }()
	<-arrived
	text := w.metricsText()
	for _, line := range []string{
		`rosemary_gateway_requests_total{outcome="answered",kind="repeatable",class="short"} 1`,
		`rosemary_gateway_requests_total{outcome="unknown_route",kind="once",class=""} 1`,
		`rosemary_gateway_dispatches_total{reason="again"} 1`,
		`rosemary_gateway_requests_in_flight 1`,
		`rosemary_gateway_endpoints{state="known"} 4`,
		`rosemary_gateway_waiting{service="desk",class="short"} 0`,
		`rosemary_gateway_configuration_version 1`,
		`rosemary_gateway_permission_left_seconds 1`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("%s is missing in:\n%s", line, text)
		}
	}
	close(release)
	is.Equal((<-slow).status, http.StatusOK)
	is.True(strings.Contains(w.metricsText(), "rosemary_gateway_requests_in_flight 0\n"))
}
