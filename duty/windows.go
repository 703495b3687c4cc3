package duty

import (
	"maps"
	"slices"
	"time"
)

// maxBehind is the number of windows that are closed one by one after an outage. It is the number of
// windows that control keeps.
const maxBehind = 256

// windows is what the holder knows of the usage windows.
type windows struct {
	// loaded is set once the state was read under the present grant.
	loaded     bool
	oldestOpen uint64
	open       []uint64
	closed     map[uint64]*closedWindow
	// busy is set while a command to control has no answer. Commands are sent one by one, so that an
	// answer never contradicts a later one.
	busy    bool
	retryAt time.Time
}

// closedWindow is a window whose counts never change again.
type closedWindow struct {
	counts map[string]uint64
	// done is set once the window needs no further call.
	done bool
}

// reset forgets the state. A command without an answer stays busy until it has one.
func (w *windows) reset() { *w = windows{busy: w.busy} }

// next returns the call for the oldest closed window that needs one, or nil. Until the state was read
// there may be older ones.
func (w *windows) next() *Call {
	if !w.loaded {
		return nil
	}
	for _, k := range slices.Sorted(maps.Keys(w.closed)) {
		if !w.closed[k].done {
			return &Call{Duty: Usage, Window: k, Counts: w.closed[k].counts}
		}
	}
	return nil
}

// done records that the window of a call needs no further one.
func (w *windows) done(call *Call) {
	if c := w.closed[call.Window]; c != nil && call.Duty == Usage {
		c.done = true
	}
}

// toMark returns the oldest window that is done, and whether there is one.
func (w *windows) toMark() (uint64, bool) {
	for _, k := range slices.Sorted(maps.Keys(w.closed)) {
		if w.closed[k].done {
			return k, true
		}
	}
	return 0, false
}

// commandWindows sends the next command about windows, if this process holds the duty: it reads the state,
// marks what is done, and closes the next window when it is due.
func (c *Core) commandWindows(now time.Time) {
	r, w := c.right(Usage), &c.windows
	if r == nil || r.left(now) == 0 || w.busy || now.Before(w.retryAt) {
		return
	}
	if !w.loaded {
		w.busy = true
		c.emit(Read{Number: r.number})
		return
	}
	if k, ok := w.toMark(); ok {
		w.busy = true
		c.emit(Mark{Number: r.number, Window: k})
		return
	}
	if k, ok := c.toClose(now); ok {
		w.busy = true
		c.emit(Close{Number: r.number, Window: k})
	}
}

// toClose returns the window to close next, and whether it is due. Windows without counts are closed and
// reported too: the platform cannot tell an empty window from a missing one.
func (c *Core) toClose(now time.Time) (uint64, bool) {
	wall := c.wall.Add(now.Sub(c.wallAt))
	closable := wall.Add(-time.Duration(closeFraction * float64(c.settings.ReportWithin)))
	ended := closable.UnixNano() / int64(c.settings.Window) // windows before this one may be closed
	if ended <= 0 {
		return 0, false
	}
	next := c.windows.oldestOpen
	if next == 0 {
		// No window was closed yet: the first is the oldest with counts, or the last that has ended.
		next = uint64(ended) - 1
		if len(c.windows.open) > 0 {
			next = min(next, slices.Min(c.windows.open))
		}
	}
	if uint64(ended) > maxBehind {
		next = max(next, uint64(ended)-maxBehind)
	}
	return next, next < uint64(ended)
}

// answeredCommand takes the end of a command about windows and reports whether its answer counts.
func (c *Core) answeredCommand(now time.Time, number uint64, failed bool) bool {
	c.windows.busy = false
	r := c.right(Usage)
	if r == nil || r.number == 0 || r.number != number {
		return false
	}
	if failed {
		c.windows.retryAt = now.Add(minBackoff)
	}
	return !failed
}

func (c *Core) windowsRead(now time.Time, ev WindowsRead) {
	if !c.answeredCommand(now, ev.Number, ev.Failed) {
		return
	}
	w := &c.windows
	before := w.closed
	w.loaded, w.oldestOpen, w.open = true, max(w.oldestOpen, ev.OldestOpen), ev.Open
	w.closed = make(map[uint64]*closedWindow, len(ev.Closed))
	for k, counts := range ev.Closed {
		w.closed[k] = &closedWindow{counts: counts, done: before[k] != nil && before[k].done}
	}
}

func (c *Core) windowClosed(now time.Time, ev WindowClosed) {
	if !c.answeredCommand(now, ev.Number, ev.Failed) || !c.windows.loaded {
		return // without the state, a read follows that includes this window
	}
	w := &c.windows
	if ev.Window != w.oldestOpen {
		// Older windows that had counts were closed with this one.
		w.loaded = false
	}
	w.oldestOpen = max(w.oldestOpen, ev.Window+1)
	if w.closed[ev.Window] == nil {
		w.closed[ev.Window] = &closedWindow{counts: ev.Counts}
	}
}

func (c *Core) marked(now time.Time, ev Marked) {
	if c.answeredCommand(now, ev.Number, ev.Failed) {
		delete(c.windows.closed, ev.Window)
	}
}
