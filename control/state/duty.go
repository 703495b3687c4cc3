package state

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/lease"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// maxWindows is the largest number of usage windows that are stored, open or closed. With windows
	// of 5 s, it covers an outage of the receiver of 21 minutes.
	maxWindows = 256
	// maxFutureWindows is the largest number of open windows that begin more than maxWindows after the oldest
	// one. They come from a source whose clock is ahead, or follow an outage in which nothing was closed:
	// entries then report the 32 windows that they keep.
	maxFutureWindows = 64
	// maxWindowAccounts is the largest number of client accounts with counts in a window. The largest
	// deployment has 3,100.
	maxWindowAccounts = 4096
	// maxWindowSources is the largest number of sources with counts in an open window. Each start of an
	// entry is a source.
	maxWindowSources = 4096
	// maxDutyTTL bounds the duration of a grant, because a grant is never released early.
	maxDutyTTL = time.Minute
	// maxNameBytes bounds the names of holders and sources.
	maxNameBytes = 256
)

// duties holds the rights to duties and the usage windows that are not reported yet.
type duties struct {
	grants *lease.Table
	open   map[uint64]*openWindow
	// closed holds the counts of the closed windows by window. The counts of a window never change.
	closed map[uint64]map[string]uint64
	// oldestOpen is the oldest window that may get counts. All windows in open have at least this number,
	// and all in closed have a lower one.
	oldestOpen uint64
	// newestReported is the newest window whose counts were reported, or zero.
	newestReported uint64
	// dropped counts what was dropped because of the bounds.
	dropped DroppedUsage
}

// openWindow holds the counts of a window that may still increase.
type openWindow struct {
	// sources holds the counts of each client account by the name of the source.
	sources map[string]map[string]uint64
	// accounts is the set of the client accounts of all sources.
	accounts map[string]struct{}
}

// DroppedUsage counts the usage that was dropped because a bound was reached.
type DroppedUsage struct {
	// Windows is the number of windows dropped, and LastWindow the last of them.
	Windows    uint64 `cbor:"1,keyasint"`
	LastWindow uint64 `cbor:"2,keyasint"`
	// Counts is the number of counts ignored because their window had too many accounts or sources.
	Counts uint64 `cbor:"3,keyasint"`
}

func newDuties() *duties {
	return &duties{
		grants: lease.NewTable(), open: map[uint64]*openWindow{}, closed: map[uint64]map[string]uint64{},
	}
}

func newOpenWindow() *openWindow {
	return &openWindow{sources: map[string]map[string]uint64{}, accounts: map[string]struct{}{}}
}

// isDutyCommand reports whether the command is about duties or usage. The answers to these commands are
// not stored: an old answer to command.NameDuty would show a grant that has expired since.
func isDutyCommand(name string) bool {
	switch name {
	case command.NameDuty, command.NameUsage, command.NameCloseWindow, command.NameReportedWindow:
		return true
	}
	return false
}

// applyDuty carries out a command for which isDutyCommand is true.
func (m *Machine) applyDuty(e *Entry) *wire.Answer {
	switch e.Name {
	case command.NameDuty:
		return m.acquireDuty(e)
	case command.NameUsage:
		return m.recordUsage(e)
	case command.NameCloseWindow:
		return m.closeWindow(e)
	}
	return m.reportedWindow(e)
}

// acquireDuty carries out a command.AcquireDuty.
func (m *Machine) acquireDuty(e *Entry) *wire.Answer {
	var c command.AcquireDuty
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	if c.Duty != command.DutyUsage && c.Duty != command.DutyScaling {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "unknown duty %q", c.Duty))
	}
	if !validName(c.Holder) || c.TTL <= 0 || c.TTL > maxDutyTTL {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0,
			"a duty needs a holder of 1 to %d bytes and a time of at most %v: holder has %d bytes, time is %v",
			maxNameBytes, maxDutyTTL, len(c.Holder), c.TTL))
	}
	g, granted := m.duties.grants.Acquire(m.time(), c.Duty, c.Holder, c.TTL)
	return accepted(command.DutyGrant{
		Granted: granted, Holder: g.Holder, Number: g.FencingNumber, Left: g.Until.Sub(m.time()),
	})
}

// validName reports whether s may name a holder or a source.
func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// checkUsageHolder refuses a command whose number is not that of the valid grant of command.DutyUsage.
func (m *Machine) checkUsageHolder(number uint64) *verdict.Refusal {
	g, valid := m.duties.grants.Lookup(m.time(), command.DutyUsage)
	switch {
	case g.FencingNumber != number:
		return verdict.Refuse(verdict.ReasonFenced, 0,
			"grant %d of duty %s was replaced or never existed: the last one is %d", number, command.DutyUsage, g.FencingNumber)
	case !valid:
		return verdict.Refuse(verdict.ReasonFenced, 0, "grant %d of duty %s has expired", number, command.DutyUsage)
	}
	return nil
}

// recordUsage carries out a command.Usage.
func (m *Machine) recordUsage(e *Entry) *wire.Answer {
	var c command.Usage
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	if !validName(c.Source) || len(c.Windows) > maxWindows {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0,
			"usage needs a source of 1 to %d bytes and at most %d windows: source has %d bytes, and there are %d windows",
			maxNameBytes, maxWindows, len(c.Source), len(c.Windows)))
	}
	for _, w := range c.Windows {
		m.duties.merge(c.Source, w)
	}
	return accepted(command.UsageRecorded{OldestOpen: m.duties.oldestOpen})
}

// merge records the counts of a source in a window. The larger of two counts is kept, because counts are
// cumulative: a report that arrives late or again changes nothing. Counts of windows before oldestOpen are
// dropped.
func (d *duties) merge(source string, w command.WindowCounts) {
	if w.Window < d.oldestOpen || len(w.Counts) == 0 {
		return
	}
	o := d.open[w.Window]
	if o == nil {
		o = newOpenWindow()
		d.open[w.Window] = o
	}
	d.dropped.Counts += o.merge(source, w.Counts)
	d.enforceBound()
}

// merge records the counts of a source and returns the number of counts that were ignored because of
// the bounds.
func (o *openWindow) merge(source string, counts map[string]uint64) (ignored uint64) {
	known := o.sources[source]
	if known == nil {
		if len(o.sources) >= maxWindowSources {
			return uint64(len(counts))
		}
		known = make(map[string]uint64, len(counts))
		o.sources[source] = known
	}
	if len(o.accounts)+o.newAccounts(counts) <= maxWindowAccounts {
		for account, n := range counts {
			o.accounts[account] = struct{}{}
			known[account] = max(known[account], n)
		}
		return 0
	}
	// The order decides which accounts are ignored, so it must be the same on all replicas.
	for _, account := range slices.Sorted(maps.Keys(counts)) {
		if _, ok := o.accounts[account]; !ok && len(o.accounts) >= maxWindowAccounts {
			ignored++
			continue
		}
		o.accounts[account] = struct{}{}
		known[account] = max(known[account], counts[account])
	}
	return ignored
}

// newAccounts returns how many accounts of counts have no count in the window yet.
func (o *openWindow) newAccounts(counts map[string]uint64) int {
	n := 0
	for account := range counts {
		if _, ok := o.accounts[account]; !ok {
			n++
		}
	}
	return n
}

// sums returns the counts of all sources together.
func (o *openWindow) sums() map[string]uint64 {
	out := make(map[string]uint64, len(o.accounts))
	for _, counts := range o.sources {
		for account, n := range counts {
			out[account] += n
		}
	}
	return out
}

// closeWindow carries out a command.CloseWindow.
func (m *Machine) closeWindow(e *Entry) *wire.Answer {
	var c command.CloseWindow
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	if refusal := m.checkUsageHolder(c.Number); refusal != nil {
		return refused(refusal)
	}
	if c.Window+1 == 0 {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "window %d has no successor", c.Window))
	}
	if c.Window >= m.duties.oldestOpen {
		m.duties.closeUpTo(c.Window)
	}
	counts, ok := m.duties.closed[c.Window]
	if !ok {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0,
			"the counts of window %d are no longer stored: the newest reported window is %d, the oldest open one %d",
			c.Window, m.duties.newestReported, m.duties.oldestOpen))
	}
	// The counts are encoded in sorted order, so that all replicas return the same bytes.
	raw, err := canonicalEncoding.Marshal(command.ClosedWindow{Window: c.Window, Counts: counts})
	if err != nil {
		return refused(internalError(err))
	}
	return &wire.Answer{Body: raw}
}

// closeUpTo closes the window last, and each window before it that has counts. A window that is closed
// without counts is stored, too, so that each holder gets the same empty counts.
func (d *duties) closeUpTo(last uint64) {
	for window, o := range d.open {
		if window <= last {
			d.closed[window] = o.sums()
			delete(d.open, window)
		}
	}
	if d.closed[last] == nil {
		d.closed[last] = map[string]uint64{}
	}
	d.oldestOpen = last + 1
	d.enforceBound()
}

// enforceBound drops the newest window while there are more than maxFutureWindows, and then the oldest window
// while there are more than maxWindows. A source whose clock is ahead would otherwise displace the counts of
// all others. Closed windows are older than all open ones. An open window that is dropped as the oldest does
// not open again.
func (d *duties) enforceBound() {
	d.boundFuture()
	for len(d.open)+len(d.closed) > maxWindows {
		var oldest uint64
		if len(d.closed) > 0 {
			oldest = slices.Min(slices.Collect(maps.Keys(d.closed)))
			delete(d.closed, oldest)
		} else {
			oldest = slices.Min(slices.Collect(maps.Keys(d.open)))
			delete(d.open, oldest)
			d.oldestOpen = max(d.oldestOpen, oldest+1)
		}
		d.dropped.Windows++
		d.dropped.LastWindow = oldest
	}
}

// boundFuture drops the newest window while there are more than maxFutureWindows.
func (d *duties) boundFuture() {
	if len(d.open) <= maxFutureWindows {
		return
	}
	windows := slices.Sorted(maps.Keys(d.open))
	first := d.oldestOpen
	if first == 0 {
		first = windows[0] // nothing was closed yet
	}
	future := windows
	for len(future) > 0 && future[0]-first <= maxWindows {
		future = future[1:]
	}
	for ; len(future) > maxFutureWindows; future = future[:len(future)-1] {
		newest := future[len(future)-1]
		delete(d.open, newest)
		d.dropped.Windows++
		d.dropped.LastWindow = newest
	}
}

// reportedWindow carries out a command.ReportedWindow. A repeat has no effect.
func (m *Machine) reportedWindow(e *Entry) *wire.Answer {
	var c command.ReportedWindow
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	if refusal := m.checkUsageHolder(c.Number); refusal != nil {
		return refused(refusal)
	}
	if c.Window >= m.duties.oldestOpen {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0,
			"window %d is not closed: the oldest open window is %d", c.Window, m.duties.oldestOpen))
	}
	delete(m.duties.closed, c.Window)
	m.duties.newestReported = max(m.duties.newestReported, c.Window)
	return &wire.Answer{}
}

// Usage returns the usage windows that are not reported yet. The caller must not modify the counts, which
// never change.
func (m *Machine) Usage() command.UsageState {
	out := command.UsageState{
		OldestOpen: m.duties.oldestOpen,
		Open:       slices.Sorted(maps.Keys(m.duties.open)),
	}
	for _, window := range slices.Sorted(maps.Keys(m.duties.closed)) {
		out.Closed = append(out.Closed, command.ClosedWindow{Window: window, Counts: m.duties.closed[window]})
	}
	return out
}

// DroppedUsage returns how much usage was dropped because a bound was reached.
func (m *Machine) DroppedUsage() DroppedUsage { return m.duties.dropped }

// dutiesImage is the form of duties in a snapshot. It is empty in snapshots of versions without duties.
type dutiesImage struct {
	LastNumber     uint64                                  `cbor:"1,keyasint"`
	Grants         []grantImage                            `cbor:"2,keyasint"`
	Open           map[uint64]map[string]map[string]uint64 `cbor:"3,keyasint"`
	Closed         map[uint64]map[string]uint64            `cbor:"4,keyasint"`
	OldestOpen     uint64                                  `cbor:"5,keyasint"`
	NewestReported uint64                                  `cbor:"6,keyasint"`
	Dropped        DroppedUsage                            `cbor:"7,keyasint"`
}

// grantImage is the form of a lease.Grant in a snapshot. Until is in nanoseconds since 1970.
type grantImage struct {
	Name   string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
	Until  int64  `cbor:"4,keyasint"`
}

// image returns the form of d in a snapshot. It shares the maps of d.
func (d *duties) image() dutiesImage {
	img := dutiesImage{
		LastNumber: d.grants.LastNumber(), Closed: d.closed, Open: map[uint64]map[string]map[string]uint64{},
		OldestOpen: d.oldestOpen, NewestReported: d.newestReported, Dropped: d.dropped,
	}
	for _, g := range d.grants.Grants() {
		img.Grants = append(img.Grants, grantImage{
			Name: g.Name, Holder: g.Holder, Number: g.FencingNumber, Until: g.Until.UnixNano(),
		})
	}
	for window, o := range d.open {
		img.Open[window] = o.sources
	}
	return img
}

// restoreDuties returns the duties of a snapshot.
func restoreDuties(img dutiesImage) *duties {
	d := newDuties()
	var grants []lease.Grant
	for _, g := range img.Grants {
		grants = append(grants, lease.Grant{
			Name: g.Name, Holder: g.Holder, FencingNumber: g.Number, Until: time.Unix(0, g.Until).UTC(),
		})
	}
	d.grants = lease.Restore(img.LastNumber, grants)
	for window, sources := range img.Open {
		o := newOpenWindow()
		for source, counts := range sources {
			o.merge(source, counts)
		}
		d.open[window] = o
	}
	for window, counts := range img.Closed {
		if counts == nil {
			counts = map[string]uint64{}
		}
		d.closed[window] = counts
	}
	d.oldestOpen, d.newestReported, d.dropped = img.OldestOpen, img.NewestReported, img.Dropped
	return d
}
