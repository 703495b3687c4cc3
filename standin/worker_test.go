package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

func TestWorkerCountsExecutions(t *testing.T) {
	cases := []struct {
		name     string
		fault    WorkerFault
		key      string
		answered bool
		want     []Execution
	}{
		{"no fault", 0, "k", true, []Execution{{"k", 1}}},
		{"lookup", CrashBefore, "", true, []Execution{}},
		{"crash before execution", CrashBefore, "k", false, []Execution{}},
		{"crash after execution", CrashAfter, "k", false, []Execution{{"k", 1}}},
		{"lost answer", LoseAnswer, "k", false, []Execution{{"k", 1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := NewWorker(WorkerConfig{Name: "w"}, kernel.SystemClock{})
			server := httptest.NewServer(k.Handler())
			defer server.Close()
			if c.fault != 0 {
				k.InjectFault(c.fault, 1)
			}
			if c.fault == LoseAnswer {
				k.Close() // ends the unanswered call at once
			}
			status, body, err := call(t, http.MethodPost, server.URL+"/seals", "capsule 7", HeaderIdempotencyKey, c.key)
			is.Equal(err == nil, c.answered)
			is.Equal(k.Executions(), c.want)
			if c.answered {
				var r Result
				is.NoErr(json.Unmarshal([]byte(body), &r))
				is.Equal(status, http.StatusOK)
				is.Equal(r.Result, ExpectedResult(http.MethodPost, "/seals", "capsule 7"))
			}
		})
	}
}

func TestWorkerReportsRepeatedExecution(t *testing.T) {
	is := is.New(t)
	k := NewWorker(WorkerConfig{}, kernel.SystemClock{})
	server := httptest.NewServer(k.Handler())
	defer server.Close()
	for range 2 {
		_, _, err := call(t, http.MethodPost, server.URL+"/bookings", "", HeaderIdempotencyKey, "bay-3")
		is.NoErr(err)
	}
	_, body, err := call(t, http.MethodGet, server.URL+PathExecutions, "")
	is.NoErr(err)
	is.Equal(strings.TrimSpace(body), `{"executions":[{"key":"bay-3","count":2}]}`)
}

func TestWorkerDropsCallsOfDisconnectedCallers(t *testing.T) {
	is := is.New(t)
	k := NewWorker(WorkerConfig{Duration: 1 << 50}, kernel.SystemClock{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := httptest.NewRequest(http.MethodPost, "/seals", nil).WithContext(ctx)
	r.Header.Set(HeaderIdempotencyKey, "k")
	k.Handler().ServeHTTP(httptest.NewRecorder(), r)
	is.Equal(k.Executions(), []Execution{})
}
