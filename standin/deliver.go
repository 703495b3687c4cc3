package standin

import (
	"net/http"
	"strconv"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// delivery writes the answer of a request to one reader, an HTTP connection.
type delivery struct {
	engine *Engine
	req    *request
	w      http.ResponseWriter
	r      *http.Request
	// readerSeq is the value of req.readerSeq that belongs to this reader.
	readerSeq uint64
	// skip is the number of bytes that are left to omit, as the reader has them.
	skip int64
}

// deliver writes the answer from a byte offset on. The connection of an earlier
// reader of the request is aborted.
func (e *Engine) deliver(w http.ResponseWriter, r *http.Request, req *request, offset int64) {
	d := &delivery{engine: e, req: req, w: w, r: r, skip: offset}
	e.attach(d)
	defer e.detach(d)
	w.Header().Set(engine.HeaderOffset, strconv.FormatInt(offset, 10))
	if req.id != "" {
		w.Header().Set(engine.HeaderRequestID, req.id)
	}
	if req.answer.stream {
		d.stream()
		return
	}
	d.nonStreaming()
}

// attach makes d the reader of its request.
func (e *Engine) attach(d *delivery) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d.req.readerSeq++
	d.readerSeq = d.req.readerSeq
	d.req.detached = false
	d.req.signal()
}

// detach ends a delivery. Unless a newer reader has taken over, it aborts a request
// without an ID, and starts the resume window of a request with an ID.
func (e *Engine) detach(d *delivery) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d.req.readerSeq != d.readerSeq {
		return
	}
	if d.req.id == "" {
		e.end(d.req, aborted)
		e.remove(d.req)
		e.sampleLoad(e.clock.Now())
		return
	}
	d.req.detached = true
	d.req.detachedAt = e.clock.Now()
}

// await waits until more than sent tokens are generated and returns their number. It
// aborts the connection when the request is aborted, another reader has taken it
// over, or this reader has disconnected.
func (d *delivery) await(sent int) int {
	for {
		d.engine.awaitResume(d.r)
		n, ok := d.available()
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if n > sent {
			return n
		}
		select {
		case <-d.req.progress:
		case <-d.r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// available returns the number of tokens generated so far, and false when the
// request is aborted or another reader has taken it over.
func (d *delivery) available() (int, bool) {
	d.engine.mu.Lock()
	defer d.engine.mu.Unlock()
	if d.req.readerSeq != d.readerSeq {
		d.req.signal()
		return 0, false
	}
	if d.req.phase == waiting || d.req.phase == prefilling {
		return 0, true
	}
	return d.req.generated(), d.req.phase != aborted
}

// stream writes one server-sent event per token.
func (d *delivery) stream() {
	d.w.Header().Set("Content-Type", "text/event-stream")
	d.w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(d.w)
	_ = flush.Flush()
	sent := 0
	for sent < d.req.answer.tokens {
		n := d.await(sent)
		for ; sent < n; sent++ {
			if !d.write(d.req.answer.event(sent)) {
				return
			}
		}
		if flush.Flush() != nil {
			return
		}
	}
}

// nonStreaming writes the complete answer once all tokens are generated.
func (d *delivery) nonStreaming() {
	d.await(d.req.answer.tokens - 1)
	d.w.Header().Set("Content-Type", "application/json")
	d.write(d.req.answer.nonStreaming())
}

// write writes b without the bytes that the reader already has. It reports whether
// the write succeeded.
func (d *delivery) write(b []byte) bool {
	n := min(d.skip, int64(len(b)))
	d.skip -= n
	if n == int64(len(b)) {
		return true
	}
	_, err := d.w.Write(b[n:])
	return err == nil
}
