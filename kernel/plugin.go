// Package kernel starts a process of rosemaryproxy from plug-ins.
//
// A plug-in registers itself in an init function under a dotted identifier. The
// kernel creates it, decodes its own JSON settings into it, provisions and
// validates it, and runs it until the process stops.
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
	// New returns a plug-in with its defaults set. It must return a pointer,
	// into which the plug-in's JSON settings are decoded.
	New func() any
	// RequiresTLS is set for a plug-in that cannot work without settings.File.TLS.
	RequiresTLS bool
}

// Provisioner is a plug-in that needs set-up before it runs.
type Provisioner interface {
	// Provision readies the plug-in. It may not block on other processes.
	Provision(h *Host) error
}

// Validator is a plug-in that checks its settings after Provision.
type Validator interface {
	Validate() error
}

// Runner is a plug-in with work of its own.
type Runner interface {
	// Run works until ctx ends and returns after a graceful stop.
	Run(ctx context.Context) error
}

var (
	registryMu sync.Mutex
	registry   = map[string]PluginInfo{}
)

// Register adds a plug-in. It panics on a duplicate or an empty identifier,
// which are programming errors.
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

// Lookup returns the plug-in registered as id.
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
