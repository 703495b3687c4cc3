package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// maxBodyBytes limits the body of an HTTP request.
const maxBodyBytes = 256 << 20

// httpError is an error answer of a stand-in.
type httpError struct {
	status  int
	kind    string
	message string
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func (f *httpError) write(w http.ResponseWriter) {
	writeJSON(w, f.status, errorBody{Error: errorDetail{Type: f.kind, Message: f.message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body of r into v. It returns nil when that succeeds.
func readJSON(w http.ResponseWriter, r *http.Request, v any) *httpError {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return &httpError{http.StatusBadRequest, "bad_request", err.Error()}
	}
	return nil
}

// Handler returns the engine's HTTP interface, as package engine defines it.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.serveCompletion)
	mux.HandleFunc("POST "+engine.PathChat, e.serveCompletion)
	mux.HandleFunc("GET "+engine.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+engine.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	mux.HandleFunc("DELETE "+engine.PathRequests+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+engine.PathRequests+"{id}", e.serveResume)
	mux.HandleFunc("POST "+engine.PathKVExport, e.serveKVExport)
	mux.HandleFunc("POST "+engine.PathKVImport, e.serveKVImport)
	mux.HandleFunc("GET "+engine.PathKV, e.serveKVList)
	mux.HandleFunc("GET "+engine.PathKV+"/{handle}", e.serveKVContent)
	mux.HandleFunc("DELETE "+engine.PathKV+"/{handle}", e.serveKVDelete)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.awaitResume(r)
		e.abortIfDown()
		mux.ServeHTTP(w, r)
	})
}

// awaitResume waits while the engine is suspended. It aborts the connection when the
// engine is closed or the client disconnects meanwhile.
func (e *Engine) awaitResume(r *http.Request) {
	for {
		e.mu.Lock()
		resumed := e.faults.resumed
		e.mu.Unlock()
		if resumed == nil {
			return
		}
		select {
		case <-resumed:
		case <-e.closed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// abortIfDown aborts the connection while the engine is unreachable.
func (e *Engine) abortIfDown() {
	e.mu.Lock()
	down := e.clock.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.clock.Now()
	e.sampleLoad(now)
	load := e.reports.publish(now, e.faults.lag)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := parseOffset(r.URL.Query().Get("after"))
	if err != nil {
		err.write(w)
		return
	}
	e.mu.Lock()
	page := e.events.after(e.clock.Now(), e.faults.eventLag, uint64(after))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, page)
}

// parseOffset parses a count that is not negative. An empty string stands for 0.
func parseOffset(s string) (int64, *httpError) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0, &httpError{http.StatusBadRequest, "bad_request", "want a count, got " + strconv.Quote(s)}
	}
	return n, nil
}
