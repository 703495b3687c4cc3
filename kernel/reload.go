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

// settingsInterval is the time between two looks at the settings file, which may change
// without a signal.
const settingsInterval = time.Second

// Reloader is a plug-in that takes over changed settings while it runs.
type Reloader interface {
	// Reload takes over what it can of next, a plug-in of the same type with settings
	// that are good, and names the changed settings that count from the next start only.
	Reload(next any) (later []string)
}

// reloader keeps a running process's settings up to date.
type reloader struct {
	host *Host
	log  *Log
	// hangUp gets the signals. It is set up before anything else: a signal that finds
	// nobody waiting ends the process.
	hangUp chan os.Signal
	// read reads and checks the settings file.
	read func() (*settings.File, error)
	// content returns what the settings file holds.
	content func() string
	// current are the settings in force, and seen what the file held when last read.
	current *settings.File
	seen    string
}

// notifyHangUp returns a channel that gets SIGHUP from now on. It is never taken back: a
// signal during the end of the process must not end it sooner.
func notifyHangUp() chan os.Signal {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	return hangUp
}

// run reads the settings again at each SIGHUP and each change of the file, until ctx ends.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangUp:
			r.seen = r.content()
			r.reload("signal")
		case <-r.host.Clock.After(settingsInterval):
			if now := r.content(); now != r.seen {
				r.seen = now
				r.reload("the file changed")
			}
		}
	}
}

// reload takes over the settings of the file. With a fault in it everything stays as it is.
func (r *reloader) reload(cause string) {
	next, err := r.read()
	if err != nil {
		r.host.Log.Error("settings not read again", "cause", cause, "error", err)
		return
	}
	if next.Log.Level != r.current.Log.Level {
		r.log.SetLevel(levelOf(next.Log))
	}
	var changed, later []string
	for _, n := range r.host.runners {
		if bytes.Equal(r.current.Plugins[n.id], next.Plugins[n.id]) {
			continue
		}
		changed = append(changed, n.id)
		later = append(later, r.reloadPlugin(n, next.Plugins[n.id])...)
	}
	r.current = next
	r.host.Log.Info("settings read again", "cause", cause, "level", next.Log.Level,
		"changed", strings.Join(changed, ","), "from_next_start", strings.Join(later, ","))
}

// reloadPlugin hands changed settings to a plug-in and names those that it did not take.
func (r *reloader) reloadPlugin(n named, raw json.RawMessage) []string {
	target, ok := n.runner.(Reloader)
	if !ok || raw == nil {
		return []string{n.id}
	}
	next, err := decode(n.id, raw)
	if err != nil {
		// The file was checked whole; only another version of the plug-in could differ.
		r.host.Log.Error("settings not read again", "plugin", n.id, "error", err)
		return []string{n.id}
	}
	var later []string
	for _, name := range target.Reload(next) {
		later = append(later, n.id+"."+name)
	}
	return later
}

// fileContent returns what a file holds, or why it cannot be read. Times of files are
// too coarse to tell two changes in a row from one.
func fileContent(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
