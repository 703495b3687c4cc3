// Package kernel runs a process of rosemaryproxy, which is made of plug-ins.
//
// A plug-in registers itself in an init function under a dotted identifier. The kernel
// creates each plug-in that the settings file names, decodes its JSON settings into it,
// provisions and validates it, and runs it until the process stops.
package kernel

import (
	"context"
	"sort"
	"sync"

	"github.com/pkg/errors"
)

// PluginInfo describes one registered plug-in.
type PluginInfo struct {
	// ID names the plug-in: "<namespace>.<name>", or "<name>" for a daemon.
	ID string
	// New returns a plug-in with its default settings. It must return a pointer, into which
	// the plug-in's JSON settings are decoded.
	New func() any
	// RequiresTLS is true for a plug-in that cannot work without settings.File.TLS.
	RequiresTLS bool
}

// Provisioner is implemented by plug-ins that need set-up before they run.
type Provisioner interface {
	// Provision sets the plug-in up. It must not wait for other processes.
	Provision(h *Host) error
}

// Validator is implemented by plug-ins that check their settings after Provision.
type Validator interface {
	// Validate returns an error if the plug-in cannot run with its settings.
	Validate() error
}

// Runner is implemented by plug-ins that run until the process stops.
type Runner interface {
	// Run blocks until ctx ends and the plug-in has stopped gracefully. If it returns
	// earlier, the process stops.
	Run(ctx context.Context) error
}

var (
	registryMu sync.Mutex
	// registry holds the registered plug-ins by identifier, guarded by registryMu.
	registry = map[string]PluginInfo{}
)

// Register adds a plug-in to the program. It panics on a missing constructor and on an
// empty or duplicate identifier, which are programming errors.
func Register(info PluginInfo) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if info.ID == "" || info.New == nil {
		panic("kernel: plug-in without identifier or constructor")
	}
	if _, ok := registry[info.ID]; ok {
		panic("kernel: plug-in registered twice: " + info.ID)
	}
	registry[info.ID] = info
}

// Lookup returns the plug-in registered as id, or an error if there is none.
func Lookup(id string) (PluginInfo, error) {
	registryMu.Lock()
	defer registryMu.Unlock()
	info, ok := registry[id]
	if !ok {
		return PluginInfo{}, errors.Errorf("no plug-in %q is built into this program", id)
	}
	return info, nil
}

// Plugins returns the identifiers of all registered plug-ins, sorted.
func Plugins() []string {
	registryMu.Lock()
	defer registryMu.Unlock()
	ids := make([]string, 0, len(registry))
	for id := range registry {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
