package replica

import (
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

var errSyncFailed = errors.New("sync failed")

// errNoPower is the error of all operations after the VM has lost power.
var errNoPower = errors.New("no power")

// memDisk is a Disk in memory, with injected faults. A crash keeps or loses each change that
// is not synced independently of the others.
type memDisk struct {
	names    map[string]*memFile // the files that the process sees
	durable  map[string]*memFile // the files after the last SyncDir
	renames  []nameChange        // changes of names since the last SyncDir
	capacity int                 // in bytes; zero for no limit
	failSync bool                // syncs fail
	noSync   bool                // syncs report success and do nothing
	// powerLeft is the number of changes until the VM loses power in the middle of one;
	// zero for no limit.
	powerLeft int
	off       bool // the VM has lost power, and nothing has an effect before the next crash
	syncs     int
	written   int
}

// nameChange is a created, renamed or removed file. The name from or to is empty if there is
// none.
type nameChange struct {
	from, to string
	file     *memFile
}

type memFile struct {
	data     []byte          // as the process sees it
	synced   []byte          // as of the last sync
	unsynced []contentChange // the changes since then
	// dropped is set by a failed sync: the operating system treats the data that it
	// could not write as written, and later syncs succeed without writing it.
	dropped bool
}

// contentChange is a write at an offset, or a truncation to that offset if data is nil.
type contentChange struct {
	offset int
	data   []byte
}

func newMemDisk() *memDisk {
	return &memDisk{names: map[string]*memFile{}, durable: map[string]*memFile{}}
}

type memHandle struct {
	disk *memDisk
	file *memFile
}

func (d *memDisk) used() int {
	n := 0
	for _, f := range d.names {
		n += len(f.data)
	}
	return n
}

// usePower counts a change, and fails if the VM has no power or loses it now. The change that
// loses the power takes effect without being synced.
func (d *memDisk) usePower() error {
	if d.powerLeft > 0 {
		d.powerLeft--
		d.off = d.powerLeft == 0
	}
	if d.off {
		return errNoPower
	}
	return nil
}

// change records a change of names, unless the VM had lost power before.
func (d *memDisk) change(c nameChange) error {
	if d.off {
		return errNoPower
	}
	delete(d.names, c.from)
	if c.to != "" {
		d.names[c.to] = c.file
	}
	d.renames = append(d.renames, c)
	return d.usePower()
}

func (h memHandle) Write(b []byte) (int, error) {
	if h.disk.off {
		return 0, errNoPower
	}
	space := len(b)
	if h.disk.capacity > 0 {
		space = max(0, min(space, h.disk.capacity-h.disk.used()))
	}
	h.file.unsynced = append(h.file.unsynced, contentChange{len(h.file.data), slices.Clone(b[:space])})
	h.file.data = append(h.file.data, b[:space]...)
	h.disk.written += space
	if err := h.disk.usePower(); err != nil {
		return space, err
	}
	if space < len(b) {
		return space, syscall.ENOSPC
	}
	return space, nil
}

func (h memHandle) Sync() error {
	if err := h.disk.usePower(); err != nil {
		return err
	}
	if h.disk.failSync {
		h.file.dropped = true
		return errSyncFailed
	}
	h.disk.syncs++
	if !h.disk.noSync && !h.file.dropped {
		h.file.synced = slices.Clone(h.file.data)
		h.file.unsynced = nil
	}
	return nil
}

func (h memHandle) Close() error { return nil }

func (d *memDisk) Create(name string) (File, error) {
	f := &memFile{}
	return memHandle{d, f}, d.change(nameChange{to: name, file: f})
}

func (d *memDisk) find(name string) (*memFile, error) {
	if f := d.names[name]; f != nil {
		return f, nil
	}
	return nil, errors.Wrap(os.ErrNotExist, name)
}

func (d *memDisk) Append(name string) (File, error) {
	f, err := d.find(name)
	return memHandle{d, f}, err
}

func (d *memDisk) Read(name string) ([]byte, error) {
	f, err := d.find(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(f.data), nil
}

func (d *memDisk) ReadAt(name string, b []byte, offset int64) (int, error) {
	f, err := d.find(name)
	if err != nil {
		return 0, err
	}
	if offset >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.data[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (d *memDisk) Truncate(name string, size int64) error {
	f, err := d.find(name)
	if err != nil {
		return err
	}
	if d.off {
		return errNoPower
	}
	f.data = f.data[:size:size]
	f.unsynced = append(f.unsynced, contentChange{offset: int(size)})
	return d.usePower()
}

func (d *memDisk) Rename(from, to string) error {
	f, err := d.find(from)
	if err != nil {
		return err
	}
	return d.change(nameChange{from: from, to: to, file: f})
}

func (d *memDisk) Remove(name string) error {
	if _, err := d.find(name); err != nil {
		return err
	}
	return d.change(nameChange{from: name})
}

func (d *memDisk) List() ([]string, error) {
	var names []string
	for name := range d.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *memDisk) SyncDir() error {
	if err := d.usePower(); err != nil {
		return err
	}
	if d.failSync {
		return errSyncFailed
	}
	d.durable = maps.Clone(d.names)
	d.renames = nil
	return nil
}

// crash drops unsynced changes: at some crashes all of them, at others each one independently
// of the others. A write may also be torn.
func (d *memDisk) crash(rng *rand.Rand) {
	allLost := rng.IntN(3) == 0
	names := maps.Clone(d.durable)
	for _, c := range d.renames {
		if allLost || rng.IntN(2) == 0 {
			continue
		}
		delete(names, c.from)
		if c.to != "" {
			names[c.to] = c.file
		}
	}
	d.names = map[string]*memFile{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		kept := names[name].afterCrash(rng, allLost || d.noSync)
		d.names[name] = &memFile{data: kept, synced: slices.Clone(kept)}
	}
	d.durable = maps.Clone(d.names)
	d.renames = nil
	d.failSync = false
	d.off, d.powerLeft = false, 0
}

// afterCrash returns the content of the file after a crash.
func (f *memFile) afterCrash(rng *rand.Rand, allLost bool) []byte {
	kept := slices.Clone(f.synced)
	if allLost || f.dropped {
		return kept
	}
	for _, c := range f.unsynced {
		kind := rng.IntN(3)
		switch {
		case kind == 0: // missing
		case c.data == nil:
			kept = kept[:min(len(kept), c.offset)]
		case kind == 1:
			kept = writeAt(kept, c.offset, c.data)
		default:
			kept = tear(rng, kept, c)
		}
	}
	return kept
}

// writeAt writes data at an offset, after zeros if the content ends before the offset.
func writeAt(content []byte, offset int, data []byte) []byte {
	if grow := offset + len(data) - len(content); grow > 0 {
		content = append(content, make([]byte, grow)...)
	}
	copy(content[offset:], data)
	return content
}

// tear writes a part of a change: a prefix, possibly with a flipped bit, or some of its blocks.
func tear(rng *rand.Rand, content []byte, c contentChange) []byte {
	const block = 16
	if rng.IntN(2) == 0 {
		prefix := slices.Clone(c.data[:rng.IntN(len(c.data)+1)])
		if len(prefix) > 0 && rng.IntN(2) == 0 {
			prefix[rng.IntN(len(prefix))] ^= 0x40
		}
		return writeAt(content, c.offset, prefix)
	}
	for at := 0; at < len(c.data); at += block {
		if rng.IntN(2) == 0 {
			content = writeAt(content, c.offset+at, c.data[at:min(at+block, len(c.data))])
		}
	}
	return content
}

// flip inverts one bit of a file.
func (d *memDisk) flip(name string, offset int) {
	d.names[name].data[offset] ^= 1
	if f := d.names[name]; offset < len(f.synced) {
		f.synced[offset] ^= 1
	}
}

// last returns the last file name, in sorted order, with the given prefix.
func (d *memDisk) last(prefix string) string {
	found := ""
	names, _ := d.List()
	for _, name := range names {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			found = name
		}
	}
	return found
}
