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

// memDisk is a Disk in memory, with crashes that lose unsynced writes and with injected
// faults.
type memDisk struct {
	names    map[string]*memFile // the files that the process sees
	durable  map[string]*memFile // the files whose names survive a crash
	capacity int                 // in bytes; zero for no limit
	failSync bool                // syncs fail
	noSync   bool                // syncs report success and do nothing
	syncs    int
	written  int
}

type memFile struct {
	data   []byte // as the process sees it
	synced []byte // as it is after a crash
	// dropped is set by a failed sync: the operating system treats the data that it
	// could not write as written, and later syncs succeed without writing it.
	dropped bool
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

func (h memHandle) Write(b []byte) (int, error) {
	space := len(b)
	if h.disk.capacity > 0 {
		space = max(0, min(space, h.disk.capacity-h.disk.used()))
	}
	h.file.data = append(h.file.data, b[:space]...)
	h.disk.written += space
	if space < len(b) {
		return space, syscall.ENOSPC
	}
	return space, nil
}

func (h memHandle) Sync() error {
	if h.disk.failSync {
		h.file.dropped = true
		return errSyncFailed
	}
	h.disk.syncs++
	if !h.disk.noSync && !h.file.dropped {
		h.file.synced = append(h.file.synced, h.file.data[len(h.file.synced):]...)
	}
	return nil
}

func (h memHandle) Close() error { return nil }

func (d *memDisk) Create(name string) (File, error) {
	f := &memFile{}
	d.names[name] = f
	return memHandle{d, f}, nil
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
	f.data = f.data[:size:size]
	f.synced = f.synced[:min(len(f.synced), int(size))]
	return nil
}

func (d *memDisk) Rename(from, to string) error {
	f, err := d.find(from)
	if err != nil {
		return err
	}
	delete(d.names, from)
	d.names[to] = f
	return nil
}

func (d *memDisk) Remove(name string) error {
	if _, err := d.find(name); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
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
	if d.failSync {
		return errSyncFailed
	}
	d.durable = map[string]*memFile{}
	for name, f := range d.names {
		d.durable[name] = f
	}
	return nil
}

// crash drops unsynced writes. Of each file a random part of the unsynced tail may be kept,
// possibly with a flipped bit.
func (d *memDisk) crash(rng *rand.Rand) {
	d.names = map[string]*memFile{}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		f := d.durable[name]
		kept := slices.Clone(f.synced)
		if extra := len(f.data) - len(f.synced); extra > 0 && !d.noSync && rng.IntN(2) == 0 {
			tail := slices.Clone(f.data[len(f.synced):][:rng.IntN(extra+1)])
			if len(tail) > 0 && rng.IntN(2) == 0 {
				tail[rng.IntN(len(tail))] ^= 0x40
			}
			kept = append(kept, tail...)
		}
		d.names[name] = &memFile{data: kept, synced: slices.Clone(kept)}
	}
	d.durable = map[string]*memFile{}
	for name, f := range d.names {
		d.durable[name] = f
	}
	d.failSync = false
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
