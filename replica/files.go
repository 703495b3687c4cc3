package replica

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	reserveName    = "reserve"
	// temporaryPrefix is the prefix of files that are being written, and are renamed when
	// complete.
	temporaryPrefix = "temporary-"
	// failedName is the file that marks a disk on which a write failed. Until the machine
	// restarts, the operating system may return data that never reached the disk, so a
	// new process must not trust what it reads.
	failedName = "failed"

	// segmentBytes is the size from which the next frame goes into a new segment.
	segmentBytes = 4 << 20
	// defaultReserveBytes is the size of the reserve file. Its space is used for votes and
	// entries in flight when the disk is full.
	defaultReserveBytes = 4 << 20
)

// segment is one file of the log.
type segment struct {
	name string
	last uint64 // highest index of its entries; zero if none is needed any more
}

// store keeps a replica's log, hard state and snapshots on a Disk.
//
// Invariant: after an error other than ErrDiskFull the store writes nothing more. After a
// failed sync the content of the disk is unknown, and a second sync could report success
// without having written the data.
type store struct {
	disk     Disk
	sequence uint64 // sequence of the next frame
	segments []segment
	file     File   // the last segment, open for writing
	size     int64  // size of the last segment, in whole frames
	full     int64  // size from which a segment is full
	reserve  int    // size of the reserve file in bytes; zero for none
	failed   error  // the error that stopped the store, or nil
	buf      []byte // reused by writeFrame
	payload  []byte // reused by save and writeFrame
}

// openStore reads the log and the description of the latest snapshot, and cuts off a torn
// tail of the log.
func openStore(disk Disk, reserve int) (*store, restored, error) {
	s := &store{disk: disk, reserve: reserve, full: segmentBytes, sequence: 1}
	names, err := disk.List()
	if err != nil {
		return nil, restored{}, errors.Wrap(err, "replica: list files")
	}
	slices.Sort(names)
	if slices.Contains(names, failedName) {
		return nil, restored{}, ErrDiskFailed
	}
	if err := removeTemporary(disk, names); err != nil {
		return nil, restored{}, err
	}
	snap, err := s.loadSnapshotMeta(names)
	if err != nil {
		return nil, restored{}, err
	}
	p, err := s.loadSegments(names)
	if err != nil {
		return nil, restored{}, err
	}
	from, rebase, err := combineSnapshotAndLog(snap, p)
	if err != nil {
		return nil, restored{}, err
	}
	if rebase {
		err = s.rebase(&from)
	}
	return s, from, err
}

// rebase replaces the log by an empty one after the snapshot. On a full disk it releases the
// reserve, as the replica could not start otherwise.
func (s *store) rebase(from *restored) error {
	records := appendPairRecord(nil, recordBase, from.base, from.baseTerm)
	err := s.writeFrame(records, from.hard, from.base)
	if !errors.Is(err, ErrDiskFull) || s.releaseReserve() != nil {
		return err
	}
	return s.writeFrame(records, from.hard, from.base)
}

// removeTemporary removes files that an earlier process did not complete.
func removeTemporary(disk Disk, names []string) error {
	for _, name := range names {
		if !strings.HasPrefix(name, temporaryPrefix) {
			continue
		}
		if err := disk.Remove(name); err != nil {
			return errors.Wrap(err, "replica: remove unfinished file")
		}
	}
	return nil
}

// combineSnapshotAndLog returns the state of the latest snapshot and the log. It reports
// whether the log does not contain the entry of the snapshot's index and term. The log is
// then replaced by an empty one after the snapshot, as when a process ended while it
// installed a snapshot from the leader.
func combineSnapshotAndLog(snap snapshotMeta, p *replay) (restored, bool, error) {
	from := restored{hard: p.hard, snapshot: snap, base: p.base, baseTerm: p.baseTerm, entries: p.entries}
	if p.base > snap.Index {
		return from, false, errors.Wrapf(ErrDamaged, "log starts at %d, latest snapshot is at %d", p.base, snap.Index)
	}
	l := entryLog{base: p.base, baseTerm: p.baseTerm, entries: p.entries}
	if snap.Index == 0 || l.matches(snap.Index, snap.Term) {
		return from, false, nil
	}
	from.base, from.baseTerm, from.entries = snap.Index, snap.Term, nil
	return from, true, nil
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

// loadSegments reads all segments among the sorted names.
func (s *store) loadSegments(names []string) (*replay, error) {
	p := &replay{}
	var found []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			found = append(found, name)
		}
	}
	for i, name := range found {
		if err := s.loadSegment(name, i, i == len(found)-1, p); err != nil {
			return nil, errors.Wrapf(err, "replica: %s", name)
		}
	}
	return p, nil
}

// loadSegment reads segment number i, checks that its frames continue those of the
// segment before, and opens the last one for writing.
func (s *store) loadSegment(name string, i int, last bool, p *replay) error {
	var first uint64
	if _, err := fmt.Sscanf(name, segmentPrefix+"%016x", &first); err != nil {
		return errors.Wrap(ErrDamaged, "file name holds no frame sequence")
	}
	if i > 0 && first != s.sequence {
		return errors.Wrapf(ErrDamaged, "frames %d to %d are missing", s.sequence, first-1)
	}
	b, err := s.disk.Read(name)
	if err != nil {
		return err
	}
	next, good, err := readFrames(b, first, last, p.addFrame)
	if err != nil {
		return err
	}
	if good < len(b) {
		if err := s.disk.Truncate(name, int64(good)); err != nil {
			return errors.Wrap(err, "truncate torn tail")
		}
	}
	s.sequence = next
	s.segments = append(s.segments, segment{name: name, last: p.base + uint64(len(p.entries))})
	s.size = int64(good)
	if !last {
		return nil
	}
	return s.openLast(name)
}

// openLast opens the last segment for writing and syncs it. The previous process may have
// ended between a write and its sync, and from here on all frames that were read count as
// being on the disk.
func (s *store) openLast(name string) error {
	f, err := s.disk.Append(name)
	if err != nil {
		return err
	}
	s.file = f
	if err := f.Sync(); err != nil {
		return s.fail(err, "sync log")
	}
	if err := s.disk.SyncDir(); err != nil {
		return s.fail(err, "sync folder")
	}
	return nil
}

// save writes the hard state and entries of a batch in one frame with one sync, after the
// snapshot if there is one. After ErrDiskFull the batch counts as not saved and may be
// saved again later.
func (s *store) save(rd *ready) error {
	if rd.snapshot != nil {
		if err := s.saveSnapshot(rd.snapshot.meta, rd.snapshot.data); err != nil {
			return err
		}
	}
	s.payload = s.payload[:0]
	last := uint64(0)
	if rd.snapshot != nil {
		last = rd.snapshot.meta.Index
		s.payload = appendPairRecord(s.payload, recordBase, last, rd.snapshot.meta.Term)
	}
	for i := range rd.entries {
		s.payload = appendEntryRecord(s.payload, &rd.entries[i])
		last = rd.entries[i].Index
	}
	if err := s.writeFrame(s.payload, rd.hardState, last); err != nil {
		return err
	}
	if rd.snapshot != nil {
		s.markObsolete(len(s.segments) - 1)
	}
	return nil
}

// writeFrame appends a frame with the given records and the hard state, and syncs it. last
// is the highest index in the records. Every frame holds the hard state, so that older
// segments can be removed at any time.
func (s *store) writeFrame(records []byte, hard hardState, last uint64) error {
	if s.failed != nil {
		return s.failed
	}
	if s.file == nil || s.size >= s.full {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	records = appendPairRecord(records, recordHardState, hard.Term, uint64(hard.Vote))
	s.payload = records
	s.buf = appendFrame(s.buf[:0], s.sequence, records)
	if _, err := s.file.Write(s.buf); err != nil {
		return s.undoWrite(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(err, "sync log")
	}
	s.sequence++
	s.size += int64(len(s.buf))
	at := &s.segments[len(s.segments)-1]
	at.last = max(at.last, last)
	return nil
}

// undoWrite truncates the partial frame that a write to a full disk has left, and returns
// ErrDiskFull. Any other write error stops the store.
func (s *store) undoWrite(err error) error {
	if !isFull(err) {
		return s.fail(err, "write log")
	}
	name := s.segments[len(s.segments)-1].name
	if err := s.disk.Truncate(name, s.size); err != nil {
		return s.fail(err, "truncate partial frame")
	}
	return ErrDiskFull
}

// fail stops the store, and tries to mark the disk as failed for later processes. It
// returns the error that all later writes return.
func (s *store) fail(err error, operation string) error {
	s.failed = errors.Wrapf(err, "replica: %s", operation)
	if f, err := s.disk.Create(failedName); err == nil {
		f.Close()
	}
	return s.failed
}

// startSegment creates a segment, which becomes the last one.
func (s *store) startSegment() error {
	name := segmentName(s.sequence)
	f, err := s.disk.Create(name)
	if err == nil {
		err = s.disk.SyncDir()
	}
	switch {
	case err != nil && isFull(err):
		return ErrDiskFull
	case err != nil:
		return s.fail(err, "create segment")
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file = f
	s.size = 0
	s.segments = append(s.segments, segment{name: name})
	return nil
}

// markObsolete marks the first n segments as not needed, after a snapshot has replaced
// their entries. The next compaction removes them.
func (s *store) markObsolete(n int) {
	for i := range s.segments[:n] {
		s.segments[i].last = 0
	}
}

// compact removes the segments without entries after index. Only a prefix of the segments
// is removed, as entries in a later segment may overwrite those in an earlier one. The folder
// is synced after each: of two removals that are not synced, a loss of power may undo only the
// first, which leaves a gap.
func (s *store) compact(index uint64) error {
	n := 0
	for n < len(s.segments)-1 && s.segments[n].last <= index {
		if err := s.disk.Remove(s.segments[n].name); err != nil {
			return s.fail(err, "remove segment")
		}
		if err := s.disk.SyncDir(); err != nil {
			return s.fail(err, "sync folder")
		}
		n++
	}
	s.segments = slices.Delete(s.segments, 0, n)
	return nil
}

// releaseReserve deletes the reserve file, so that its space can be used for the log.
func (s *store) releaseReserve() error {
	err := s.disk.Remove(reserveName)
	if err != nil {
		return errors.Wrap(err, "replica: release reserve")
	}
	return errors.Wrap(s.disk.SyncDir(), "replica: release reserve")
}

// allocateReserve writes the reserve file unless it exists, and reports whether it exists
// now.
func (s *store) allocateReserve() bool {
	if s.reserve == 0 {
		return true
	}
	if b, err := s.disk.ReadAt(reserveName, make([]byte, 1), int64(s.reserve)-1); err == nil && b == 1 {
		return true
	}
	if err := writeFile(s.disk, reserveName, make([]byte, s.reserve)); err != nil {
		s.disk.Remove(reserveName)
		return false
	}
	return true
}

// close closes the open segment.
func (s *store) close() {
	if s.file != nil {
		s.file.Close()
	}
}

// writeFile creates or replaces a file with content b and syncs it.
func writeFile(disk Disk, name string, b []byte) error {
	f, err := disk.Create(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Sync()
}

// replaceFile replaces the content of the file name by b atomically: it writes the file
// temporary and renames it.
func replaceFile(disk Disk, temporary, name string, b []byte) error {
	if err := writeFile(disk, temporary, b); err != nil {
		return err
	}
	if err := disk.Rename(temporary, name); err != nil {
		return err
	}
	return disk.SyncDir()
}
