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

// Host holds what all plug-ins of a process share, and runs those that implement Runner.
type Host struct {
	// Node holds the name, region and availability zone of the process.
	Node settings.Node
	// TLS names the files of the process's certificate and key, and of the authority that
	// signs the certificates of peers. It is nil when the settings have none.
	TLS *settings.TLS
	// Log is the process's log, with one line of key=value pairs per event.
	Log hclog.Logger
	// Clock is the process's time source.
	Clock Clock
	// Metrics holds the metrics that the operator address serves.
	Metrics *metrics.Set

	// runners holds the loaded plug-ins that implement Runner, in the order of loading.
	runners []pluginRunner
}

// pluginRunner is a loaded plug-in that implements Runner, with its identifier.
type pluginRunner struct {
	id     string
	runner Runner
}

// NewHost returns a host without plug-ins for the process that f describes.
func NewHost(f *settings.File, log hclog.Logger) *Host {
	return &Host{Node: f.Node, TLS: f.TLS, Log: log, Clock: SystemClock{}, Metrics: metrics.NewSet()}
}

// decode creates the plug-in registered as id and decodes its settings into it. Its error
// is settings.Faults.
func decode(id string, raw json.RawMessage) (any, error) {
	info, err := Lookup(id)
	if err != nil {
		return nil, settings.Faults{{Path: "plugins." + id, Problem: err.Error()}}
	}
	p := info.New()
	return p, settings.Decode("plugins."+id, raw, p)
}

// Check decodes and checks the settings of every plug-in of f, without provisioning or
// starting a plug-in. Its error is settings.Faults.
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

// Notes returns what the settings of the plug-ins of f leave out, with JSON paths. It leaves out settings with faults.
func Notes(f *settings.File) []string {
	var out []string
	for _, id := range sortedIDs(f) {
		plugin, err := decode(id, f.Plugins[id])
		noter, ok := plugin.(settings.Noter)
		if err != nil || !ok {
			continue
		}
		for _, note := range noter.Notes() {
			out = append(out, "plugins."+id+"."+note)
		}
	}
	return out
}

// sortedIDs returns the identifiers of the plug-ins of f, sorted.
func sortedIDs(f *settings.File) []string {
	ids := make([]string, 0, len(f.Plugins))
	for id := range f.Plugins {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Load creates the plug-in registered as id, decodes its settings into it, provisions and
// validates it.
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

// LoadAll loads every plug-in of f and collects those that Run has to run. It provisions
// no plug-in if any settings have a fault.
func (h *Host) LoadAll(f *settings.File) error {
	if err := Check(f); err != nil {
		return err
	}
	if f.Operator != "" {
		o, err := newOperatorServer(f.Operator, h.Metrics)
		if err != nil {
			return err
		}
		h.runners = append(h.runners, pluginRunner{id: "operator", runner: o})
	}
	for _, id := range sortedIDs(f) {
		p, err := h.Load(id, f.Plugins[id])
		if err != nil {
			return err
		}
		if r, ok := p.(Runner); ok {
			h.runners = append(h.runners, pluginRunner{id: id, runner: r})
		}
	}
	return nil
}

// Run runs all loaded plug-ins until ctx ends or one of them returns. Then it cancels the
// others and waits until all have stopped.
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

// Main runs a process with the plug-ins that its settings file names until SIGTERM or
// SIGINT. read reads and checks the settings file at path file. Main calls it again when
// the content of the file changes and on SIGHUP.
func Main(program, file string, read func() (*settings.File, error)) error {
	sighup := notifySIGHUP()
	// A log whose reader has ended must not end the process with its requests: Log counts the lines as left out.
	signal.Ignore(syscall.SIGPIPE)
	content := fileContent(file)
	f, err := read()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := NewLogger(program, f.Log)
	background, stopBackground := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { log.Run(background) })
	defer running.Wait()
	defer stopBackground()
	h := NewHost(f, log.With("node", f.Node.Name))
	h.Metrics.NewGauge("rosemary_log_lines_left_out", func() float64 { return float64(log.omitted.Load()) })
	if err := h.LoadAll(f); err != nil {
		h.Log.Error("process not started", "program", program, "error", err)
		return err
	}
	h.Log.Info("process started", "program", program, "zone", f.Node.Zone, "plugins", strings.Join(sortedIDs(f), ","))
	r := &reloader{
		host: h, log: log, sighup: sighup, read: read, content: func() string { return fileContent(file) }, current: f, lastContent: content,
	}
	running.Go(func() { r.run(background) })
	err = h.Run(ctx)
	h.Log.Info("process stopped", "program", program, "error", err)
	return err
}
