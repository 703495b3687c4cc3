package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
)

func init() {
	kernel.Register(kernel.PluginInfo{ID: "standin.worker", New: func() any {
		return &WorkerPlugin{WorkerConfig: DefaultWorkerConfig()}
	}})
	kernel.Register(kernel.PluginInfo{ID: "standin.fleet", New: func() any { return &FleetPlugin{} }})
}

// WorkerPlugin is the plug-in "standin.worker", which runs one application worker.
type WorkerPlugin struct {
	WorkerConfig
	worker   *Worker
	listener net.Listener
}

var (
	_ kernel.Provisioner = (*WorkerPlugin)(nil)
	_ kernel.Runner      = (*WorkerPlugin)(nil)
)

// Provision opens the listener and creates the worker.
func (p *WorkerPlugin) Provision(h *kernel.Host) error {
	var err error
	p.listener, err = listen(p.Listen)
	if err != nil {
		return err
	}
	p.worker = NewWorker(p.WorkerConfig, h.Clock)
	h.Log.Info("stand-in worker listens", "name", p.Name, "addr", p.listener.Addr())
	return nil
}

// Run serves until ctx ends, and then waits for the calls in flight.
func (p *WorkerPlugin) Run(ctx context.Context) error {
	defer p.worker.Close()
	return serve(ctx, p.listener, p.worker.Handler())
}

// FleetPlugin is the plug-in "standin.fleet", which runs many engines and workers in
// one process.
type FleetPlugin struct {
	// Engines are the engines to run. Settings that an engine omits have their defaults.
	Engines []EngineConfig `json:"engines" validate:"dive"`
	// Workers are the application workers to run.
	Workers []WorkerConfig `json:"workers" validate:"dive"`
	runners []kernel.Runner
}

var (
	_ kernel.Provisioner = (*FleetPlugin)(nil)
	_ kernel.Runner      = (*FleetPlugin)(nil)
)

// Provision opens the listeners and starts the engines and workers.
func (p *FleetPlugin) Provision(h *kernel.Host) error {
	for _, cfg := range p.Engines {
		e := &EnginePlugin{EngineConfig: cfg}
		if err := e.Provision(h); err != nil {
			return errors.Wrapf(err, "engine %q", cfg.Name)
		}
		p.runners = append(p.runners, e)
	}
	for _, cfg := range p.Workers {
		k := &WorkerPlugin{WorkerConfig: cfg}
		if err := k.Provision(h); err != nil {
			return errors.Wrapf(err, "worker %q", cfg.Name)
		}
		p.runners = append(p.runners, k)
	}
	return nil
}

// Run serves all engines and workers until ctx ends or one of them fails.
func (p *FleetPlugin) Run(ctx context.Context) error {
	var g run.Group
	for _, r := range p.runners {
		ctx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return r.Run(ctx) }, func(error) { cancel() })
	}
	return g.Run()
}

// UnmarshalJSON decodes settings over those of DefaultEngineConfig. Unknown fields are
// errors.
func (c *EngineConfig) UnmarshalJSON(b []byte) error {
	type plain EngineConfig
	p := plain(DefaultEngineConfig())
	if err := decodeStrict(b, &p); err != nil {
		return err
	}
	*c = EngineConfig(p)
	return nil
}

// UnmarshalJSON decodes settings over those of DefaultWorkerConfig. Unknown fields are
// errors.
func (c *WorkerConfig) UnmarshalJSON(b []byte) error {
	type plain WorkerConfig
	p := plain(DefaultWorkerConfig())
	if err := decodeStrict(b, &p); err != nil {
		return err
	}
	*c = WorkerConfig(p)
	return nil
}

func decodeStrict(b []byte, dst any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	return dec.Decode(dst)
}

// Serve serves h on a free loopback port until stop is called. It returns the base
// URL.
func Serve(h http.Handler) (url string, stop func(), err error) {
	return ServeAt("127.0.0.1:0", h)
}

// ServeAt serves h on an address until stop is called. It returns the base URL.
func ServeAt(addr string, h http.Handler) (url string, stop func(), err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), func() { _ = server.Close() }, nil
}
