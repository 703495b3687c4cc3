package kernel

import (
	"context"
	"encoding/json"
	"os/signal"
	"sort"
	"strings"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// Host is what a process gives to its plug-ins.
type Host struct {
	// Node says who the process is.
	Node settings.Node
	// TLS names the files of the process's identity.
	TLS *settings.TLS
	// Log writes one key=value line an event.
	Log hclog.Logger
	// Clock is the process's time.
	Clock Clock
	// Metrics holds the process's metrics.
	Metrics *metrics.Set

	runners []named
}

type named struct {
	id     string
	runner Runner
}

// NewHost returns a host for the process described by f.
func NewHost(f *settings.File, log hclog.Logger) *Host {
	return &Host{Node: f.Node, TLS: f.TLS, Log: log, Clock: SystemClock{}, Metrics: metrics.NewSet()}
}

// decode creates the plug-in id and decodes its settings.
func decode(id string, raw json.RawMessage) (any, error) {
	info, err := Lookup(id)
	if err != nil {
		return nil, settings.Faults{{Path: "plugins." + id, Problem: err.Error()}}
	}
	p := info.New()
	return p, settings.Decode("plugins."+id, raw, p)
}

// Check decodes the settings of every plug-in and starts nothing. Its error is
// settings.Faults.
func Check(f *settings.File) error {
	var faults settings.Faults
	for _, id := range sortedIDs(f) {
		if info, err := Lookup(id); err == nil && info.RequiresTLS && f.TLS == nil {
			faults = append(faults, settings.Fault{Path: "tls", Problem: "is missing; " + id + " needs it"})
		}
		_, err := decode(id, f.Plugins[id])
		var found settings.Faults
		if errors.As(err, &found) {
			faults = append(faults, found...)
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

func sortedIDs(f *settings.File) []string {
	ids := make([]string, 0, len(f.Plugins))
	for id := range f.Plugins {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Load creates the plug-in id from its settings, provisions and validates it.
func (h *Host) Load(id string, raw json.RawMessage) (any, error) {
	p, err := decode(id, raw)
	if err != nil {
		return nil, err
	}
	if pr, ok := p.(Provisioner); ok {
		if err := pr.Provision(h); err != nil {
			return nil, errors.Wrapf(err, "provision %s", id)
		}
	}
	if v, ok := p.(Validator); ok {
		if err := v.Validate(); err != nil {
			return nil, errors.Wrapf(err, "validate %s", id)
		}
	}
	return p, nil
}

// LoadAll loads every plug-in of f and keeps the runners. Nothing is provisioned
// unless all settings are good.
func (h *Host) LoadAll(f *settings.File) error {
	if err := Check(f); err != nil {
		return err
	}
	if f.Operator != "" {
		o, err := newOperatorServer(f.Operator, h.Metrics)
		if err != nil {
			return err
		}
		h.runners = append(h.runners, named{id: "operator", runner: o})
	}
	for _, id := range sortedIDs(f) {
		p, err := h.Load(id, f.Plugins[id])
		if err != nil {
			return err
		}
		if r, ok := p.(Runner); ok {
			h.runners = append(h.runners, named{id: id, runner: r})
		}
	}
	return nil
}

// Run runs all loaded plug-ins until ctx ends or one fails. Each plug-in stops
// gracefully before Run returns.
func (h *Host) Run(ctx context.Context) error {
	var g run.Group
	for _, n := range h.runners {
		ctx, cancel := context.WithCancel(ctx)
		g.Add(func() error {
			return errors.Wrap(n.runner.Run(ctx), n.id)
		}, func(error) { cancel() })
	}
	return g.Run()
}

// Main runs a whole process from its settings file until SIGTERM or SIGINT. The file is
// read again with read when it changes and at SIGHUP.
func Main(program, file string, read func() (*settings.File, error)) error {
	hangUp := notifyHangUp()
	content := fileContent(file)
	f, err := read()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := NewLogger(program, f.Log)
	writing, stopWriting := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { log.Run(writing) })
	defer running.Wait()
	defer stopWriting()
	h := NewHost(f, log.With("node", f.Node.Name))
	h.Metrics.NewGauge("rosemary_log_lines_left_out", func() float64 { return float64(log.leftOut.Load()) })
	if err := h.LoadAll(f); err != nil {
		h.Log.Error("process not started", "program", program, "error", err)
		return err
	}
	h.Log.Info("process started", "program", program, "zone", f.Node.Zone, "plugins", strings.Join(sortedIDs(f), ","))
	reloads := &reloader{
		host: h, log: log, hangUp: hangUp, read: read, content: func() string { return fileContent(file) }, current: f, seen: content,
	}
	running.Go(func() { reloads.run(writing) })
	err = h.Run(ctx)
	h.Log.Info("process stopped", "program", program, "error", err)
	return err
}
