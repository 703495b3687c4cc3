// Package dev runs a complete deployment in one process, through the same settings
// and code as separate processes: control replicas, entries, sidecars, and
// stand-ins of engines and services. It is used for trying out the software on one
// machine, for tests and for experiments.
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

// Endpoint describes a stand-in and its sidecar. Settings in maps are keyed by their
// JSON names.
type Endpoint struct {
	// Name is the name of the endpoint and of its sidecar's process.
	Name string
	Zone string
	// Target is the model or service that the endpoint serves.
	Target string
	// Engine holds settings of the plug-in "standin.engine". It is not used when Worker
	// is set.
	Engine map[string]any
	// Worker holds settings of the plug-in "standin.worker". If it isn't nil, the
	// stand-in is an application worker instead of an engine.
	Worker map[string]any
	// URL is the base URL of a stand-in that runs elsewhere. When it is empty, the
	// deployment runs the stand-in.
	URL string
	// Sidecar holds settings that are added to those of the sidecar and override them.
	Sidecar map[string]any
}

// Plan describes a deployment on loopback addresses.
type Plan struct {
	// Dir is the folder for keys, settings and data. It is created when missing.
	Dir    string
	Region string
	// Zones are the availability zones, to which replicas and entries are assigned in
	// turn.
	Zones []string
	// Replicas and Entries are the numbers of control replicas and entries.
	Replicas  int
	Entries   int
	Endpoints []Endpoint
	// Bootstrap is the initial configuration.
	Bootstrap *config.Document
	// Entry and Control hold settings, by JSON name, that are added to those of each
	// entry and each control replica and override them.
	Entry   map[string]any
	Control map[string]any
	// LogLevel is the log level of every process.
	LogLevel string
	// Metrics gives every process an operator address, where it serves its metrics.
	Metrics bool
	// EntryAddrs are the addresses on which entries listen for callers, one for each
	// entry. When empty, Entries free loopback addresses are used.
	EntryAddrs []string
}

// Files holds the settings of every process of a deployment, and its addresses.
type Files struct {
	// Settings holds the settings by name of the process.
	Settings map[string]*settings.File
	// Entries are the addresses on which entries listen for callers.
	Entries []string
	// Control are the addresses of the control replicas.
	Control []string
	// Operator is the TLS identity of rosemaryctl.
	Operator *settings.TLS
	// Metrics holds the operator addresses by name of the process, if Plan.Metrics is
	// set.
	Metrics map[string]string
	// StandInURLs holds the base URLs of the stand-ins by name of the endpoint.
	StandInURLs map[string]string
}

// Settings issues keys in Dir and returns the settings of every process of the plan.
// A stand-in is a process of its own, with the name of its endpoint and the suffix
// "-standin".
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

// openAuthority opens the certificate authority in dir, or creates one.
func openAuthority(dir string) (*wire.Authority, error) {
	if _, err := os.Stat(filepath.Join(dir, "ca.pem")); err == nil {
		return wire.OpenAuthority(dir)
	}
	return wire.NewAuthority(dir)
}

// builder creates the settings of the processes of a plan.
type builder struct {
	plan      *Plan
	files     *Files
	authority *wire.Authority
	keys      string
}

// buildAll writes the bootstrap configuration and creates the settings of every
// process.
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

// add creates the settings of a process with one plug-in. The plug-in's settings are
// those in base, overridden by those in overrides. A process without a role, such as
// a stand-in, gets no TLS identity.
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
		plugin, standInSettings := "standin.engine", e.Engine
		if e.Worker != nil {
			plugin, standInSettings = "standin.worker", e.Worker
		}
		if err := b.add(e.Name+"-standin", e.Zone, "", plugin, map[string]any{"listen": addr[0]}, standInSettings); err != nil {
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

// Deployment is a deployment whose processes run within this one.
type Deployment struct {
	Files *Files

	log hclog.Logger
	// mu guards running.
	mu sync.Mutex
	// running holds the running processes by name.
	running map[string]*process
}

// process is a running process of a deployment.
type process struct {
	host   *kernel.Host
	cancel context.CancelFunc
	// done is closed when the host has stopped; err is its error from then on.
	done chan struct{}
	err  error
}

// Start starts every process of the plan. When one fails to start, it stops all.
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

// StartProcess starts the process with the given name.
func (d *Deployment) StartProcess(name string) error {
	f, ok := d.Files.Settings[name]
	if !ok {
		return errors.Errorf("deployment has no process %q", name)
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

// StopProcess stops the process with the given name gracefully and waits until it has
// stopped.
func (d *Deployment) StopProcess(name string) error {
	d.mu.Lock()
	r := d.running[name]
	delete(d.running, name)
	d.mu.Unlock()
	if r == nil {
		return errors.Errorf("process %q is not running", name)
	}
	r.cancel()
	<-r.done
	return r.err
}

// Metric returns the value of a metric of the process with the given name. It returns
// 0 when the process is not running or has no such metric.
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

// Stop stops all processes gracefully: entries first, then sidecars, stand-ins and
// control.
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
