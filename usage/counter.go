package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
)

const (
	// maxWindows bounds the windows that are kept. With windows of 5 s that is 160 s without an answer
	// from control.
	maxWindows = 32
	// maxAccounts bounds the client accounts of a window. Control keeps as many.
	maxAccounts = 4096
	// maxReported bounds the counts in one report, so that it stays well below the largest message
	// between processes, 4 MiB.
	maxReported = 16384
)

// The reasons for which counts are dropped.
const (
	// ReasonClosed is that control closed the window before it had the counts.
	ReasonClosed = "window closed"
	// ReasonBounds is that there were too many windows or client accounts.
	ReasonBounds = "too many windows or accounts"
)

// Dropped says that requests are missing in the counts of a window.
type Dropped struct {
	Window uint64
	// Count is the largest number of requests that may be missing: a report whose answer was lost may
	// have been recorded.
	Count  uint64
	Reason string
}

// Counter counts the requests of client accounts in windows. The counts of a window are cumulative, so that a
// repeated report changes nothing. A window is kept until control has closed it.
type Counter struct {
	length  time.Duration
	windows map[uint64]*window
	dropped map[Dropped]uint64 // by window and reason, with a zero Count
}

// window holds the counts of one window.
type window struct {
	counts map[string]uint64
	// total is the sum of the counts, and acknowledged the part of it that control has recorded.
	total, acknowledged uint64
}

// NewCounter returns a counter without counts whose windows have this length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, windows: map[uint64]*window{}, dropped: map[Dropped]uint64{}}
}

// windowAt returns the number of the window that holds this true time. Window 0 begins with the year 1970.
func (c *Counter) windowAt(now time.Time) uint64 {
	return uint64(max(now.UnixNano(), 0)) / uint64(c.length)
}

// Began counts a request that an endpoint began to run at this true time.
func (c *Counter) Began(now time.Time, account string) {
	number := c.windowAt(now)
	w := c.windows[number]
	if w == nil {
		if len(c.windows) >= maxWindows {
			c.evict()
		}
		w = &window{counts: map[string]uint64{}}
		c.windows[number] = w
	}
	if _, ok := w.counts[account]; !ok && len(w.counts) >= maxAccounts {
		c.drop(number, 1, ReasonBounds)
		return
	}
	w.counts[account]++
	w.total++
}

// evict removes the oldest window whose counts are all acknowledged, or the oldest one if there is none.
func (c *Counter) evict() {
	numbers := c.numbers()
	victim := numbers[0]
	if i := slices.IndexFunc(numbers, func(n uint64) bool { return c.windows[n].pending() == 0 }); i >= 0 {
		victim = numbers[i]
	}
	c.remove(victim, ReasonBounds)
}

// remove removes a window and records the counts that are lost with it.
func (c *Counter) remove(number uint64, reason string) {
	c.drop(number, c.windows[number].pending(), reason)
	delete(c.windows, number)
}

// drop records that counts of a window are lost.
func (c *Counter) drop(number, count uint64, reason string) {
	if count > 0 {
		c.dropped[Dropped{Window: number, Reason: reason}] += count
	}
}

// pending returns how many requests of the window are not acknowledged.
func (w *window) pending() uint64 { return w.total - w.acknowledged }

// numbers returns the numbers of the windows, the oldest first.
func (c *Counter) numbers() []uint64 { return slices.Sorted(maps.Keys(c.windows)) }

// Report returns the windows with counts that are not acknowledged, the oldest first. The rest of a large
// report follows when these are acknowledged.
func (c *Counter) Report() []command.WindowCounts {
	var out []command.WindowCounts
	reported := 0
	for _, number := range c.numbers() {
		w := c.windows[number]
		if w.pending() == 0 {
			continue
		}
		if reported += len(w.counts); reported > maxReported {
			break
		}
		out = append(out, command.WindowCounts{Window: number, Counts: maps.Clone(w.counts)})
	}
	return out
}

// Pending returns how many requests are not acknowledged.
func (c *Counter) Pending() (total uint64) {
	for _, w := range c.windows {
		total += w.pending()
	}
	return total
}

// Acknowledged records that control has answered a report, and that windows before oldestOpen are closed.
// Counts of open windows that began after the report was made stay to be reported. Those of closed windows
// are dropped, also the ones in this report.
func (c *Counter) Acknowledged(sent []command.WindowCounts, oldestOpen uint64) {
	for _, s := range sent {
		w := c.windows[s.Window]
		if w == nil || s.Window < oldestOpen {
			continue
		}
		total := uint64(0)
		for _, n := range s.Counts {
			total += n
		}
		w.acknowledged = min(max(w.acknowledged, total), w.total)
	}
	for _, number := range c.numbers() {
		if number < oldestOpen {
			c.remove(number, ReasonClosed)
		}
	}
}

// TakeDropped returns what was dropped since the last call, by window.
func (c *Counter) TakeDropped() []Dropped {
	var out []Dropped
	for d, count := range c.dropped {
		d.Count = count
		out = append(out, d)
	}
	clear(c.dropped)
	slices.SortFunc(out, func(a, b Dropped) int {
		if a.Window != b.Window {
			return cmp.Compare(a.Window, b.Window)
		}
		return cmp.Compare(a.Reason, b.Reason)
	})
	return out
}
