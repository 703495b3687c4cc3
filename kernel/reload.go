package kernel

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// settingsPollInterval is the time between two checks whether the settings file has
// changed, as it may without a signal.
const settingsPollInterval = time.Second

// Reloader is implemented by plug-ins that apply changed settings while they run.
type Reloader interface {
	// Reload applies the changed settings of next, a plug-in of the same type whose
	// settings have passed all checks. It returns the names of the changed settings that
	// take effect only after a restart of the process.
	Reload(next any) (needRestart []string)
}

// reloader reads the settings file of a running process again and applies the changes. Its
// fields are used by the goroutine of run only.
type reloader struct {
	host *Host
	log  *Log
	// sighup receives SIGHUP. It is registered before anything else in the process,
	// because SIGHUP without a registered channel ends the process.
	sighup chan os.Signal
	// read reads and checks the settings file.
	read func() (*settings.File, error)
	// content returns the content of the settings file.
	content func() string
	// current holds the applied settings, and lastContent the content of the file when it
	// was last read.
	current     *settings.File
	lastContent string
}

// notifySIGHUP returns a channel that receives SIGHUP from now on. The channel is never
// unregistered, because a SIGHUP during shutdown would then kill the process.
func notifySIGHUP() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// run reloads the settings at each SIGHUP and each change of the file until ctx ends.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.sighup:
			r.lastContent = r.content()
			r.reload("signal")
		case <-r.host.Clock.After(settingsPollInterval):
			if now := r.content(); now != r.lastContent {
				r.lastContent = now
				r.reload("the file changed")
			}
		}
	}
}

// reload reads the settings file and applies the changes. If the file has a fault, all
// settings stay as they are.
func (r *reloader) reload(cause string) {
	next, err := r.read()
	if err != nil {
		r.host.Log.Error("settings reload failed", "cause", cause, "error", err)
		return
	}
	if next.Log.Level != r.current.Log.Level {
		r.log.SetLevel(minLevel(next.Log))
	}
	var changed, needRestart []string
	for _, n := range r.host.runners {
		if bytes.Equal(r.current.Plugins[n.id], next.Plugins[n.id]) {
			continue
		}
		changed = append(changed, n.id)
		needRestart = append(needRestart, r.reloadPlugin(n, next.Plugins[n.id])...)
	}
	r.current = next
	r.host.Log.Info("settings reloaded", "cause", cause, "level", next.Log.Level,
		"changed", strings.Join(changed, ","), "from_next_start", strings.Join(needRestart, ","))
}

// reloadPlugin passes changed settings to a plug-in and returns the paths of those that
// take effect only after a restart. For a plug-in that cannot reload, or whose settings
// are no longer in the file or cannot be decoded, that is the plug-in itself.
func (r *reloader) reloadPlugin(n pluginRunner, raw json.RawMessage) []string {
	target, ok := n.runner.(Reloader)
	if !ok || raw == nil {
		return []string{n.id}
	}
	next, err := decode(n.id, raw)
	if err != nil {
		// read has already checked the settings of every plug-in; decoding can fail here only
		// in another version of the plug-in.
		r.host.Log.Error("settings reload failed", "plugin", n.id, "error", err)
		return []string{n.id}
	}
	var needRestart []string
	for _, name := range target.Reload(next) {
		needRestart = append(needRestart, n.id+"."+name)
	}
	return needRestart
}

// fileContent returns the content of a file, or the text of the error if it cannot be
// read. Contents are compared rather than modification times, which are too coarse to distinguish
// two quick changes from one.
func fileContent(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
