package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/engine"
)

// Values of engine.Order.Action.
const (
	actionLoad    = "load"
	actionAdapter = "adapter"
	actionVersion = "version"
	actionRole    = "role"
)

// serveOrder executes an order and answers once the order has taken effect.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if fail := readJSON(w, r, &order); fail != nil {
		fail.write(w)
		return
	}
	if !slices.Contains([]string{actionLoad, actionAdapter, actionVersion, actionRole}, order.Action) {
		fail := httpError{http.StatusBadRequest, "bad_request", "unknown action"}
		fail.write(w)
		return
	}
	if newest, ok := e.checkFence(order.Fence); !ok {
		writeJSON(w, http.StatusConflict, engine.OrderRefused{Newest: newest})
		return
	}
	if fail := e.execute(r.Context(), &order); fail != nil {
		fail.write(w)
		return
	}
	writeJSON(w, http.StatusOK, order)
}

// checkFence records the fencing number of an order and returns the highest number
// seen. With ChecksFence, it reports false for a lower number.
func (e *Engine) checkFence(fence uint64) (newest uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && fence < e.modelState.fence {
		return e.modelState.fence, false
	}
	e.modelState.fence = max(e.modelState.fence, fence)
	return e.modelState.fence, true
}

// execute carries out an order.
func (e *Engine) execute(ctx context.Context, order *engine.Order) *httpError {
	if order.Action == actionLoad || order.Action == actionVersion {
		return e.reload(ctx, order)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Action == actionRole {
		e.modelState.role = order.Value
	} else if !slices.Contains(e.modelState.adapters, order.Value) {
		e.modelState.adapters = append(e.modelState.adapters, order.Value)
	}
	e.sampleLoad(e.clock.Now())
	return nil
}

// reload reads the weights for an order to load a model or version, and restarts the
// engine with them, which aborts all requests. After a failed read, the engine goes
// on as before.
func (e *Engine) reload(ctx context.Context, order *engine.Order) *httpError {
	e.mu.Lock()
	if e.modelState.loading {
		e.mu.Unlock()
		return &httpError{http.StatusServiceUnavailable, "loading", "another load is in progress"}
	}
	e.modelState.loading = true
	model := e.modelState.model
	e.mu.Unlock()
	if order.Action == actionLoad {
		model = order.Value
	}
	err := e.fetchWeights(ctx, model)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.modelState.loading = false
	if err != nil {
		return &httpError{http.StatusBadGateway, "load_failed", err.Error()}
	}
	e.modelState.model = model
	if order.Action == actionVersion {
		e.modelState.version = order.Value
	}
	e.abortAll()
	e.reboot(e.clock.Now())
	return nil
}

// fetchWeights reads and discards a model's weights from the weight store, so that a
// load takes a realistic time.
func (e *Engine) fetchWeights(ctx context.Context, model string) error {
	if e.cfg.WeightStore == "" {
		return nil
	}
	address := fmt.Sprintf("%s%s%s?bytes=%d", e.cfg.WeightStore, PathWeights, url.PathEscape(model), e.cfg.WeightBytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask the weight store")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("the weight store answered %s", resp.Status)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && n != e.cfg.WeightBytes {
		err = errors.Errorf("got %d of %d bytes", n, e.cfg.WeightBytes)
	}
	return errors.Wrap(err, "read weights")
}
