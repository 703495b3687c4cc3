package kernel

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// reloadablePlugin is a plug-in that applies a changed size while it runs; a changed name
// needs a restart.
type reloadablePlugin struct {
	Size int    `json:"size" validate:"min=1"`
	Name string `json:"name"`

	mu            sync.Mutex
	reloadedSizes []int
}

var (
	_ Runner   = (*reloadablePlugin)(nil)
	_ Reloader = (*reloadablePlugin)(nil)
)

func init() {
	Register(PluginInfo{ID: "test.changing", New: func() any { return &reloadablePlugin{} }})
}

func (c *reloadablePlugin) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (c *reloadablePlugin) Reload(next any) []string {
	n := next.(*reloadablePlugin)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reloadedSizes = append(c.reloadedSizes, n.Size)
	if n.Name != c.Name {
		return []string{"name"}
	}
	return nil
}

func (c *reloadablePlugin) currentSize() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.reloadedSizes) == 0 {
		return c.Size
	}
	return c.reloadedSizes[len(c.reloadedSizes)-1]
}

// testProcess is a process whose settings file a test changes. It collects the log.
type testProcess struct {
	t      *testing.T
	path   string
	plugin *reloadablePlugin
	mu     sync.Mutex
	lines  bytes.Buffer
}

// Write implements io.Writer for the log.
func (p *testProcess) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines.Write(line)
}

func (p *testProcess) logOutput() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines.String()
}

func (p *testProcess) writeSettings(raw string) {
	p.t.Helper()
	// A rename replaces the file atomically, as deployment platforms do.
	is.New(p.t).NoErr(os.WriteFile(p.path+".new", []byte(raw), 0o600))
	is.New(p.t).NoErr(os.Rename(p.path+".new", p.path))
}

const initialSettings = `{"node":{"name":"n","region":"r","zone":"z"},"log":{"level":"info"},"plugins":{"test.changing":{"size":1,"name":"a"}}}`

// startProcess runs the reloader of a process that has initialSettings.
func startProcess(t *testing.T) *testProcess {
	t.Helper()
	is := is.New(t)
	p := &testProcess{t: t, path: filepath.Join(t.TempDir(), "settings.json")}
	p.writeSettings(initialSettings)
	read := func() (*settings.File, error) {
		f, err := settings.ReadFile(p.path)
		if err == nil {
			err = Check(f)
		}
		return f, err
	}
	f, err := read()
	is.NoErr(err)
	log := NewLog("test", f.Log, p)
	h := NewHost(f, log)
	is.NoErr(h.LoadAll(f))
	p.plugin = h.runners[0].runner.(*reloadablePlugin)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	r := &reloader{
		host: h, log: log, sighup: notifySIGHUP(), read: read, content: func() string { return fileContent(p.path) }, current: f, lastContent: fileContent(p.path),
	}
	running.Go(func() { log.Run(ctx) })
	running.Go(func() { r.run(ctx) })
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	return p
}

// eventually fails the test if condition does not become true within 20 s.
func (p *testProcess) eventually(what string, condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("timed out waiting until %s; log:\n%s", what, p.logOutput())
		}
	}
}

func TestChangedFileIsReloadedWithoutASignal(t *testing.T) {
	p := startProcess(t)
	p.writeSettings(strings.Replace(initialSettings, `"size":1`, `"size":2`, 1))
	p.eventually("the size is 2", func() bool { return p.plugin.currentSize() == 2 })
	p.writeSettings(strings.NewReplacer(`"size":1`, `"size":3`, `"a"`, `"b"`, `"info"`, `"debug"`).Replace(initialSettings))
	p.eventually("the size is 3", func() bool { return p.plugin.currentSize() == 3 })
	p.eventually("the log names the setting that needs a restart", func() bool {
		return strings.Contains(p.logOutput(), "level=debug changed=test.changing from_next_start=test.changing.name")
	})
}

func TestFaultyFileKeepsSettingsInForce(t *testing.T) {
	is := is.New(t)
	p := startProcess(t)
	p.writeSettings(strings.Replace(initialSettings, `"size":1`, `"size":0`, 1))
	p.eventually("the log names the fault", func() bool {
		return strings.Contains(p.logOutput(), "settings reload failed") && strings.Contains(p.logOutput(), "plugins.test.changing.size")
	})
	is.Equal(p.plugin.currentSize(), 1)
	p.writeSettings(strings.Replace(initialSettings, `"size":1`, `"size":4`, 1))
	p.eventually("the corrected file is applied", func() bool { return p.plugin.currentSize() == 4 })
}

func TestSIGHUPReloadsSettings(t *testing.T) {
	is := is.New(t)
	p := startProcess(t)
	p.eventually("SIGHUP reloads the settings", func() bool {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(20 * time.Millisecond)
		return strings.Contains(p.logOutput(), "cause=signal")
	})
}

func TestPluginWithoutReloadNeedsARestart(t *testing.T) {
	is := is.New(t)
	h := &Host{Log: hclog.NewNullLogger(), runners: []pluginRunner{{id: "test.sample"}}}
	current := &settings.File{Plugins: map[string]json.RawMessage{"test.sample": json.RawMessage(`{"size":3}`)}}

	r := &reloader{host: h, current: current}
	is.Equal(r.reloadPlugin(h.runners[0], json.RawMessage(`{"size":4}`)), []string{"test.sample"})
}
