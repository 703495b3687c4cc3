package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/dev"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

const (
	// pacedPrompt is the prompt to which the stand-in answers with one token every
	// tokenInterval until release.
	pacedPrompt = "paced"
	// tokenInterval is the time between two tokens of a paced answer.
	tokenInterval = 100 * time.Millisecond
	// engineTokens is the memory of the stand-in, in KV tokens.
	engineTokens = 1_000_000_000
)

// minimalEngine is a stand-in of an engine that uses as little processor time as
// possible: it writes tokens and simulates nothing else.
type minimalEngine struct {
	mu sync.Mutex
	// released is closed to end the paced answers, and then replaced. The mutex guards
	// it.
	released chan struct{}
}

func newMinimalEngine() *minimalEngine { return &minimalEngine{released: make(chan struct{})} }

// release ends all paced answers in progress.
func (e *minimalEngine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.released)
	e.released = make(chan struct{})
}

// done returns a channel that the next release closes.
func (e *minimalEngine) done() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.released
}

// handler returns the HTTP interface of an engine that is always idle.
func (e *minimalEngine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.complete)
	mux.HandleFunc("GET "+engine.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, engine.Load{
			Boot: 1, TotalTokens: engineTokens, FreeTokens: engineTokens, PrefillRate: 1e6, DecodeRate: 1e4,
			Model: dev.SmallModel, Version: "1",
		})
	})
	mux.HandleFunc("GET "+engine.PathKV, func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, engine.KVList{})
	})
	mux.HandleFunc("GET "+engine.PathCacheEvents, func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, engine.CacheEvents{})
	})
	mux.HandleFunc("DELETE "+engine.PathRequests+"{id}", func(http.ResponseWriter, *http.Request) {})
	return mux
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// complete streams as many tokens as requested or, for pacedPrompt, tokens until
// release.
func (e *minimalEngine) complete(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	done := e.done()
	for i := 0; i < c.MaxTokens || c.Prompt == pacedPrompt; i++ {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"text\":\"token %d\"}]}\n\n", i)
		_ = out.Flush()
		if c.Prompt == pacedPrompt && !waitForNextToken(r, done) {
			break
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// waitForNextToken waits between two tokens. It reports false if the answer has to end
// because done is closed or the client has disconnected.
func waitForNextToken(r *http.Request, done <-chan struct{}) bool {
	select {
	case <-time.After(tokenInterval):
		return true
	case <-done:
		return false
	case <-r.Context().Done():
		return false
	}
}
