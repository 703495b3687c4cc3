package standin

import (
	"net/http"
	"strconv"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// delivery writes one request's answer to one reader.
type delivery struct {
	engine *Engine
	req    *request
	w      http.ResponseWriter
	r      *http.Request
	readerSeq uint64
	// skip counts the answer's bytes that the reader already has.
	skip int64
}

// deliver writes the answer from offset on. The reader takes the request over
// from an earlier one.
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

func (e *Engine) attach(d *delivery) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d.req.readerSeq++
	d.readerSeq = d.req.readerSeq
	d.req.detached = false
	d.req.signal()
}

// detach keeps a request with an id for a while, and cancels one without.
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

// await waits for more than sent tokens and returns how many there are. It
// aborts the connection when the request broke or the reader is gone.
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

// available returns the tokens made so far, and false when the request broke or
// another reader took it over.
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

// stream writes one server-sent event a token.
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

func (d *delivery) nonStreaming() {
	d.await(d.req.answer.tokens - 1)
	d.w.Header().Set("Content-Type", "application/json")
	d.write(d.req.answer.nonStreaming())
}

// write writes what the reader does not have yet. It reports whether the reader
// is still there.
func (d *delivery) write(b []byte) bool {
	n := min(d.skip, int64(len(b)))
	d.skip -= n
	if n == int64(len(b)) {
		return true
	}
	_, err := d.w.Write(b[n:])
	return err == nil
}
