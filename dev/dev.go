// Package dev runs a whole deployment in one process, through the same settings
// and code as separate processes: control replicas, entries, sidecars, and
// stand-ins of engines and services. It serves the first run on one machine,
// tests and experiments.
package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/internal/loopback"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"

	// The daemons and stand-ins register themselves.
	_ "github.com/rosemaryproxy/rosemaryproxy/control"
	_ "github.com/rosemaryproxy/rosemaryproxy/entry"
	_ "github.com/rosemaryproxy/rosemaryproxy/sidecar"
	_ "github.com/rosemaryproxy/rosemaryproxy/standin"
)

// Endpoint is one stand-in and its sidecar.
type Endpoint struct {
	Name   string
	Zone   string
	Target string
	// Engine is the settings of a "standin.engine"; nil with Worker.
	Engine map[string]any
	// Worker is the settings of a "standin.worker"; nil with Engine.
	Worker map[string]any
	// URL is the base URL of a stand-in that runs elsewhere; empty starts one here.
	URL string
	// Sidecar is added to the sidecar's settings.
	Sidecar map[string]any
}

// Plan describes a deployment on loopback addresses.
type Plan struct {
	// Dir is the folder for keys, settings and data; it is made when missing.
	Dir       string
	Region    string
	Zones     []string
	Replicas  int
	Entries   int
	Endpoints []Endpoint
	Bootstrap *config.Document
	// Entry and Control are added to the settings of each entry and replica.
	Entry   map[string]any
	Control map[string]any
	// LogLevel is the level of every process.
	LogLevel string
	// Metrics gives every process an operator address.
	Metrics bool
	// EntryAddrs are the entries' addresses; empty takes free ones.
	EntryAddrs []string
}

// Files is the settings of every process of a deployment, by name.
type Files struct {
	Settings map[string]*settings.File
	// Entries are the callers' addresses and Control the replicas'.
	Entries []string
	Control []string
	// Operator is the identity of rosemaryctl.
	Operator *settings.TLS
	// Metrics are the operator addresses by process, where the plan asks for them.
	Metrics map[string]string
	// StandInURLs are the base URLs of the stand-ins by endpoint.
	StandInURLs map[string]string
}

// Settings makes keys and the settings of every process of the plan. A stand-in
// is a process of its own, called like its endpoint with "-standin".
func (p *Plan) Settings() (*Files, error) {
	f := &Files{Settings: map[string]*settings.File{}, StandInURLs: map[string]string{}, Metrics: map[string]string{}}
	keys := filepath.Join(p.Dir, "keys")
	authority, err := openAuthority(keys)
	if err != nil {
		return nil, err
	}
	if f.Control, err = loopback.Addrs(p.Replicas); err != nil {
		return nil, err
	}
	f.Entries = p.EntryAddrs
	if len(f.Entries) == 0 {
		if f.Entries, err = loopback.Addrs(p.Entries); err != nil {
			return nil, err
		}
	}
	b := &builder{plan: p, files: f, authority: authority, keys: keys}
	if f.Operator, err = authority.Issue(keys, "operator", wire.RoleOperator); err != nil {
		return nil, err
	}
	return f, b.buildAll()
}

func openAuthority(dir string) (*wire.Authority, error) {
	if _, err := os.Stat(filepath.Join(dir, "ca.pem")); err == nil {
		return wire.OpenAuthority(dir)
	}
	return wire.NewAuthority(dir)
}

// builder makes the settings of the processes one by one.
type builder struct {
	plan      *Plan
	files     *Files
	authority *wire.Authority
	keys      string
}

func (b *builder) buildAll() error {
	bootstrap := filepath.Join(b.plan.Dir, "bootstrap.json")
	raw, err := json.MarshalIndent(b.plan.Bootstrap, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode bootstrap configuration")
	}
	if err := os.WriteFile(bootstrap, raw, 0o644); err != nil {
		return errors.Wrap(err, "write bootstrap configuration")
	}
	for i := range b.plan.Replicas {
		if err := b.replica(i, bootstrap); err != nil {
			return err
		}
	}
	for i := range b.files.Entries {
		if err := b.entry(i); err != nil {
			return err
		}
	}
	for _, e := range b.plan.Endpoints {
		if err := b.endpoint(e); err != nil {
			return err
		}
	}
	return nil
}

func (b *builder) zone(i int) string { return b.plan.Zones[i%len(b.plan.Zones)] }

// add makes the settings of a process with one plug-in. The settings in more go
// before those in own.
func (b *builder) add(name, zone string, role wire.Role, plugin string, base, overrides map[string]any) error {
	merged := map[string]any{}
	for _, m := range []map[string]any{base, overrides} {
		for k, v := range m {
			merged[k] = v
		}
	}
	raw, err := json.Marshal(merged)
	if err != nil {
		return errors.Wrapf(err, "encode settings of %s", name)
	}
	f := &settings.File{
		Node:    settings.Node{Name: name, Region: b.plan.Region, Zone: zone},
		Log:     settings.Log{Level: b.plan.LogLevel},
		Plugins: map[string]json.RawMessage{plugin: raw},
	}
	if role != "" {
		if f.TLS, err = b.authority.Issue(b.keys, name, role); err != nil {
			return err
		}
	}
	b.files.Settings[name] = f
	if !b.plan.Metrics {
		return nil
	}
	addr, err := loopback.Addrs(1)
	if err != nil {
		return err
	}
	f.Operator = settings.Addr(addr[0])
	b.files.Metrics[name] = addr[0]
	return nil
}

func (b *builder) replica(i int, bootstrap string) error {
	addrs := map[string]string{}
	for j, addr := range b.files.Control {
		addrs[fmt.Sprint(j+1)] = addr
	}
	name := fmt.Sprintf("control-%d", i+1)
	return b.add(name, b.zone(i), wire.RoleControl, "control", map[string]any{
		"listen":    b.files.Control[i],
		"id":        i + 1,
		"replicas":  addrs,
		"data":      filepath.Join(b.plan.Dir, name),
		"bootstrap": bootstrap,
	}, b.plan.Control)
}

func (b *builder) entry(i int) error {
	return b.add(fmt.Sprintf("entry-%d", i+1), b.zone(i), wire.RoleEntry, "entry", map[string]any{
		"listen":  b.files.Entries[i],
		"control": b.files.Control,
	}, b.plan.Entry)
}

func (b *builder) endpoint(e Endpoint) error {
	url := e.URL
	if url == "" {
		addr, err := loopback.Addrs(1)
		if err != nil {
			return err
		}
		url = "http://" + addr[0]
		plugin, own := "standin.engine", e.Engine
		if e.Worker != nil {
			plugin, own = "standin.worker", e.Worker
		}
		if err := b.add(e.Name+"-standin", e.Zone, "", plugin, map[string]any{"listen": addr[0]}, own); err != nil {
			return err
		}
	}
	b.files.StandInURLs[e.Name] = url
	return b.add(e.Name, e.Zone, wire.RoleSidecar, "sidecar", map[string]any{
		"listen":   "127.0.0.1:0",
		"control":  b.files.Control,
		"endpoint": url,
		"target":   e.Target,
		"service":  e.Worker != nil,
	}, e.Sidecar)
}

// Write writes every settings file to dir, as "<name>.json".
func (f *Files) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make folder for settings")
	}
	for name, file := range f.Settings {
		raw, err := json.MarshalIndent(file, "", "  ")
		if err != nil {
			return errors.Wrapf(err, "encode settings of %s", name)
		}
		if err := os.WriteFile(filepath.Join(dir, name+".json"), raw, 0o644); err != nil {
			return errors.Wrapf(err, "write settings of %s", name)
		}
	}
	return nil
}

// Deployment is a running deployment in this process.
type Deployment struct {
	Files *Files

	log     hclog.Logger
	mu      sync.Mutex
	running map[string]*process
}

type process struct {
	host   *kernel.Host
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Start starts every process of the plan.
func Start(p *Plan, log hclog.Logger) (*Deployment, error) {
	files, err := p.Settings()
	if err != nil {
		return nil, err
	}
	d := &Deployment{Files: files, log: log, running: map[string]*process{}}
	for _, name := range d.names() {
		if err := d.StartProcess(name); err != nil {
			d.Stop()
			return nil, errors.Wrapf(err, "start %s", name)
		}
	}
	return d, nil
}

func (d *Deployment) names() []string {
	names := make([]string, 0, len(d.Files.Settings))
	for name := range d.Files.Settings {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// StartProcess starts the process called name.
func (d *Deployment) StartProcess(name string) error {
	f, ok := d.Files.Settings[name]
	if !ok {
		return errors.Errorf("no process %q", name)
	}
	h := kernel.NewHost(f, d.log.With("node", name))
	if err := h.LoadAll(f); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &process{host: h, cancel: cancel, done: make(chan struct{})}
	d.mu.Lock()
	d.running[name] = r
	d.mu.Unlock()
	go func() {
		r.err = h.Run(ctx)
		close(r.done)
	}()
	return nil
}

// StopProcess stops the process called name in good order and waits for it.
func (d *Deployment) StopProcess(name string) error {
	d.mu.Lock()
	r := d.running[name]
	delete(d.running, name)
	d.mu.Unlock()
	if r == nil {
		return errors.Errorf("process %q does not run", name)
	}
	r.cancel()
	<-r.done
	return r.err
}

// Metric returns the value of a metric of the process called name, or 0.
func (d *Deployment) Metric(name, metric string) float64 {
	d.mu.Lock()
	r := d.running[name]
	d.mu.Unlock()
	if r == nil {
		return 0
	}
	var text bytes.Buffer
	r.host.Metrics.WritePrometheus(&text)
	for lines := bufio.NewScanner(&text); lines.Scan(); {
		key, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || key != metric {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0
		}
		return v
	}
	return 0
}

// Stop stops all processes: entries first, then sidecars, stand-ins and control.
func (d *Deployment) Stop() {
	for _, plugin := range []string{"entry", "sidecar", "standin.worker", "standin.engine", "control"} {
		var wg sync.WaitGroup
		for name, f := range d.Files.Settings {
			if _, ok := f.Plugins[plugin]; ok {
				wg.Go(func() { _ = d.StopProcess(name) })
			}
		}
		wg.Wait()
	}
}
