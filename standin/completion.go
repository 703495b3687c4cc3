package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// serveCompletion admits a completion or chat request and delivers its answer.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c engine.Completion
	if fail := readJSON(w, r, &c); fail != nil {
		fail.write(w)
		return
	}
	offset, fail := parseOffset(r.Header.Get(engine.HeaderOffset))
	if fail != nil {
		fail.write(w)
		return
	}
	req := newRequest(&c, &e.cfg)
	req.crashes = strings.Contains(PromptText(&c), CrashMarker)
	req.id = r.Header.Get(engine.HeaderRequestID)
	req.priority, _ = strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	req.resumeAt(offset)
	if fail := e.admit(req); fail != nil {
		fail.write(w)
		return
	}
	e.deliver(w, r, req, offset)
}

// admit adds a request and allocates memory for it. The engine crashes when the
// memory of its requests exceeds the limit (see checkMemory).
func (e *Engine) admit(req *request) *httpError {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fail := e.checkAdmission(req); fail != nil {
		return fail
	}
	now := e.clock.Now()
	if len(e.requests) == 0 {
		e.lastStep = now
	}
	e.nextSeq++
	req.seq = e.nextSeq
	e.requests[req.seq] = req
	if req.id != "" {
		e.byID[req.id] = req
	}
	e.held += req.held()
	e.admissionLog.add(req.answer.digest, now)
	e.checkMemory(now)
	e.sampleLoad(now)
	e.wakeLoop()
	return nil
}

// checkAdmission returns why a request is refused, or nil. The caller holds e.mu.
func (e *Engine) checkAdmission(req *request) *httpError {
	select {
	case <-e.closed:
		return &httpError{http.StatusServiceUnavailable, "closed", "the engine is closed"}
	default:
	}
	if e.modelState.loading {
		return &httpError{http.StatusServiceUnavailable, "loading", "the engine is loading weights"}
	}
	model := req.answer.model
	if model != "" && model != e.modelState.model && !slices.Contains(e.modelState.adapters, model) {
		return &httpError{http.StatusNotFound, "model_not_found", "the model is not loaded"}
	}
	if req.id != "" && e.byID[req.id] != nil {
		return &httpError{http.StatusConflict, "duplicate_request", "a request with this id is known"}
	}
	return nil
}

// wakeLoop makes run step at once. It doesn't block.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// serveResume delivers the answer of a known request from an offset on.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, fail := parseOffset(r.URL.Query().Get("offset"))
	if fail != nil {
		fail.write(w)
		return
	}
	e.mu.Lock()
	req := e.byID[r.PathValue("id")]
	e.mu.Unlock()
	if req == nil {
		unknownRequest().write(w)
		return
	}
	e.deliver(w, r, req, offset)
}

// serveCancel aborts and removes a request.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	req := e.byID[r.PathValue("id")]
	if req != nil {
		e.end(req, aborted)
		e.remove(req)
		e.sampleLoad(e.clock.Now())
	}
	e.mu.Unlock()
	if req == nil {
		unknownRequest().write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func unknownRequest() *httpError {
	return &httpError{http.StatusNotFound, "unknown_request", "no request with this id is held"}
}
