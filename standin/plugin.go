package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

const (
	readHeaderTimeout = 5 * time.Second
	// drainTimeout limits the wait for requests in flight when a server stops.
	drainTimeout = 10 * time.Second
)

func init() {
	kernel.Register(kernel.PluginInfo{ID: "standin.engine", New: func() any {
		return &EnginePlugin{EngineConfig: DefaultEngineConfig()}
	}})
	kernel.Register(kernel.PluginInfo{ID: "standin.weight_store", New: func() any {
		return &WeightStorePlugin{WeightStoreConfig: DefaultWeightStoreConfig()}
	}})
}

// EnginePlugin is the plug-in "standin.engine", which runs one engine.
type EnginePlugin struct {
	EngineConfig
	engine   *Engine
	listener net.Listener
}

var (
	_ kernel.Provisioner = (*EnginePlugin)(nil)
	_ kernel.Runner      = (*EnginePlugin)(nil)
)

// Provision opens the listener and starts the engine.
func (p *EnginePlugin) Provision(h *kernel.Host) error {
	var err error
	p.listener, err = listen(p.Listen)
	if err != nil {
		return err
	}
	p.engine = NewEngine(p.EngineConfig, h.Clock)
	h.Log.Info("stand-in engine listens", "name", p.Name, "addr", p.listener.Addr(), "model", p.Model)
	return nil
}

// Run serves until ctx ends, and then waits for the requests in flight.
func (p *EnginePlugin) Run(ctx context.Context) error {
	defer p.engine.Close()
	return serve(ctx, p.listener, p.engine.Handler())
}

// WeightStorePlugin is the plug-in "standin.weight_store", which runs a weight store.
type WeightStorePlugin struct {
	WeightStoreConfig
	store    *WeightStore
	listener net.Listener
}

var (
	_ kernel.Provisioner = (*WeightStorePlugin)(nil)
	_ kernel.Runner      = (*WeightStorePlugin)(nil)
)

// Provision opens the listener and creates the weight store.
func (p *WeightStorePlugin) Provision(h *kernel.Host) error {
	var err error
	p.listener, err = listen(p.Listen)
	if err != nil {
		return err
	}
	p.store = NewWeightStore(p.WeightStoreConfig)
	h.Log.Info("stand-in weight store listens", "addr", p.listener.Addr())
	return nil
}

// Run serves until ctx ends, and then waits for the downloads in flight.
func (p *WeightStorePlugin) Run(ctx context.Context) error {
	return serve(ctx, p.listener, p.store.Handler())
}

func listen(addr settings.Addr) (net.Listener, error) {
	if addr == "" {
		return nil, settings.Faults{{Path: "listen", Problem: "is missing"}}
	}
	l, err := net.Listen("tcp", string(addr))
	return l, errors.Wrap(err, "listen")
}

// serve serves h until ctx ends, and then waits up to drainTimeout for the requests
// in flight.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if server.Shutdown(drain) != nil {
		return errors.Wrap(server.Close(), "close server")
	}
	return nil
}
