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

// Actions of an order.
const (
	actionLoad    = "load"
	actionAdapter = "adapter"
	actionVersion = "version"
	actionRole    = "role"
)

// serveOrder answers once the order has taken effect.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if fail := readJSON(w, r, &order); fail != nil {
		fail.write(w)
		return
	}
	if !slices.Contains([]string{actionLoad, actionAdapter, actionVersion, actionRole}, order.Action) {
		fail := failure{http.StatusBadRequest, "bad_request", "unknown action"}
		fail.write(w)
		return
	}
	if newest, ok := e.passFence(order.Fence); !ok {
		writeJSON(w, http.StatusConflict, engine.OrderRefused{Newest: newest})
		return
	}
	if fail := e.obey(r.Context(), &order); fail != nil {
		fail.write(w)
		return
	}
	writeJSON(w, http.StatusOK, order)
}

// passFence records a fencing number. An engine that checks the number refuses
// one that is lower than the newest; others take any.
func (e *Engine) passFence(fence uint64) (newest uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && fence < e.weights.fence {
		return e.weights.fence, false
	}
	e.weights.fence = max(e.weights.fence, fence)
	return e.weights.fence, true
}

func (e *Engine) obey(ctx context.Context, order *engine.Order) *failure {
	if order.Action == actionLoad || order.Action == actionVersion {
		return e.reload(ctx, order)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Action == actionRole {
		e.weights.role = order.Value
	} else if !slices.Contains(e.weights.adapters, order.Value) {
		e.weights.adapters = append(e.weights.adapters, order.Value)
	}
	e.sample(e.clock.Now())
	return nil
}

// reload fetches weights and starts again with them: requests still held break.
func (e *Engine) reload(ctx context.Context, order *engine.Order) *failure {
	e.mu.Lock()
	if e.weights.loading {
		e.mu.Unlock()
		return &failure{http.StatusServiceUnavailable, "loading", "another load is in progress"}
	}
	e.weights.loading = true
	model := e.weights.model
	e.mu.Unlock()
	if order.Action == actionLoad {
		model = order.Value
	}
	err := e.fetchWeights(ctx, model)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights.loading = false
	if err != nil {
		return &failure{http.StatusBadGateway, "load_failed", err.Error()}
	}
	e.weights.model = model
	if order.Action == actionVersion {
		e.weights.version = order.Value
	}
	e.breakAll()
	e.reboot(e.clock.Now())
	return nil
}

// fetchWeights reads a model's weights from the weight store.
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
