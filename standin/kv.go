package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// kvContent is the body with which a stand-in transfers an exported cache to another
// stand-in. It has the fields of cachedPrefix.
type kvContent struct {
	Prefix uint64   `json:"prefix"`
	Blocks []uint64 `json:"blocks"`
	Tokens int64    `json:"tokens"`
}

func (e *Engine) serveKVExport(w http.ResponseWriter, r *http.Request) {
	var params engine.KVExport
	if fail := readJSON(w, r, &params); fail != nil {
		fail.write(w)
		return
	}
	e.mu.Lock()
	entry, ok := e.cache.get(params.Prefix)
	e.mu.Unlock()
	if !ok {
		fail := httpError{http.StatusNotFound, "unknown_prefix", "the prefix is not in the cache"}
		fail.write(w)
		return
	}
	e.holdAndRespond(w, entry)
}

func (e *Engine) serveKVImport(w http.ResponseWriter, r *http.Request) {
	var params engine.KVImport
	if fail := readJSON(w, r, &params); fail != nil {
		fail.write(w)
		return
	}
	content, err := e.fetchCache(r, &params)
	if err != nil {
		fail := httpError{http.StatusBadGateway, "source_failed", err.Error()}
		fail.write(w)
		return
	}
	e.holdAndRespond(w, &cachedPrefix{prefix: content.Prefix, blocks: content.Blocks, tokens: content.Tokens})
}

// fetchCache reads an exported cache from its source engine.
func (e *Engine) fetchCache(r *http.Request, params *engine.KVImport) (*kvContent, error) {
	url := params.Source + engine.PathKV + "/" + params.Handle
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask the source")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the source answered %s", resp.Status)
	}
	content := &kvContent{}
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxBodyBytes)).Decode(content)
	if err == nil && len(content.Blocks) == 0 {
		err = errors.New("no blocks")
	}
	return content, errors.Wrap(err, "read the cache")
}

// holdAndRespond stores a cache under a new handle and writes the handle to w.
func (e *Engine) holdAndRespond(w http.ResponseWriter, entry *cachedPrefix) {
	handle, fail := e.holdCache(entry)
	if fail != nil {
		fail.write(w)
		return
	}
	writeJSON(w, http.StatusOK, engine.KVHandle{Handle: handle, Tokens: entry.tokens})
}

// holdCache allocates memory for a cache until its handle is deleted, and returns the
// handle. The cache also enters the prefix cache, if it fits there.
func (e *Engine) holdCache(entry *cachedPrefix) (string, *httpError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry.tokens > e.free() {
		return "", &httpError{http.StatusInsufficientStorage, "no_memory", "the cache does not fit into free memory"}
	}
	now := e.clock.Now()
	e.nextSeq++
	handle := fmt.Sprintf("kv-%x-%d", e.boot, e.nextSeq)
	e.handles[handle] = entry
	e.exported += entry.tokens
	if entry.tokens <= e.cfg.CacheTokens {
		e.cache.put(entry)
	}
	e.checkMemory(now)
	e.sampleLoad(now)
	return handle, nil
}

func (e *Engine) serveKVList(w http.ResponseWriter, _ *http.Request) {
	list := engine.KVList{Held: []engine.KVHandle{}}
	e.mu.Lock()
	for handle, entry := range e.handles {
		list.Held = append(list.Held, engine.KVHandle{Handle: handle, Tokens: entry.tokens})
	}
	e.mu.Unlock()
	slices.SortFunc(list.Held, func(a, b engine.KVHandle) int { return cmp.Compare(a.Handle, b.Handle) })
	writeJSON(w, http.StatusOK, list)
}

func (e *Engine) serveKVContent(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	entry, ok := e.handles[r.PathValue("handle")]
	e.mu.Unlock()
	if !ok {
		unknownHandle().write(w)
		return
	}
	writeJSON(w, http.StatusOK, kvContent{Prefix: entry.prefix, Blocks: entry.blocks, Tokens: entry.tokens})
}

func (e *Engine) serveKVDelete(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	e.mu.Lock()
	entry, ok := e.handles[handle]
	if ok {
		delete(e.handles, handle)
		e.exported -= entry.tokens
		e.sampleLoad(e.clock.Now())
	}
	e.mu.Unlock()
	if !ok {
		unknownHandle().write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func unknownHandle() *httpError {
	return &httpError{http.StatusNotFound, "unknown_handle", "no cache with this handle is held"}
}
