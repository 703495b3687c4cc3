package replica

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// Disk is the folder that holds a replica's files. A write survives a crash of the VM only
// after it is synced: the content of a file by File.Sync, its name by SyncDir.
type Disk interface {
	// Create opens a new empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Read returns the complete content of a file.
	Read(name string) ([]byte, error)
	// ReadAt fills b from offset on; it returns io.EOF at the end of the file.
	ReadAt(name string, b []byte, offset int64) (int, error)
	// Truncate cuts a file to size.
	Truncate(name string, size int64) error
	// Rename renames a file and replaces an existing one.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncDir makes created, renamed and removed names durable.
	SyncDir() error
}

// File is a file open for writing.
type File interface {
	io.Writer
	// Sync makes the written content durable.
	Sync() error
	Close() error
}

// OSDisk is a Disk in a folder of the operating system.
type OSDisk struct {
	dir  string
	lock *os.File
}

var _ Disk = (*OSDisk)(nil)

const (
	lockName   = "lock"
	folderMode = 0o700
	fileMode   = 0o600
)

// OpenOSDisk opens the folder dir, creates it if it does not exist, and locks it against
// a second process.
func OpenOSDisk(dir string) (*OSDisk, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, errors.Wrap(err, "replica: create data folder")
	}
	if err := syncFolder(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "replica: open lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, errors.Wrapf(err, "replica: data folder %s is in use by another process", dir)
	}
	return &OSDisk{dir: dir, lock: lock}, nil
}

// Close releases the lock on the folder.
func (d *OSDisk) Close() error { return d.lock.Close() }

func (d *OSDisk) path(name string) string { return filepath.Join(d.dir, name) }

// Create implements Disk.
func (d *OSDisk) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append implements Disk.
func (d *OSDisk) Append(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Read implements Disk.
func (d *OSDisk) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// ReadAt implements Disk.
func (d *OSDisk) ReadAt(name string, b []byte, offset int64) (int, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	return f.ReadAt(b, offset)
}

// Truncate implements Disk.
func (d *OSDisk) Truncate(name string, size int64) error { return os.Truncate(d.path(name), size) }

// Rename implements Disk.
func (d *OSDisk) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements Disk.
func (d *OSDisk) Remove(name string) error { return os.Remove(d.path(name)) }

// List implements Disk.
func (d *OSDisk) List() ([]string, error) {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir implements Disk.
func (d *OSDisk) SyncDir() error { return syncFolder(d.dir) }

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "replica: open folder")
	}
	defer f.Close()
	return errors.Wrap(f.Sync(), "replica: sync folder")
}

// isFull reports whether err means that the disk or the user's quota is full.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
