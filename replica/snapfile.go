package replica

import (
	"fmt"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// snapshotName returns the name of the snapshot file for an index. Names sort by index.
func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// A snapshot file is one frame with the encoded snapshotMeta, followed by the data.

// writeSnapshot writes a snapshot file atomically. It may run concurrently with writes of
// the log.
func writeSnapshot(disk Disk, meta snapshotMeta, data []byte) error {
	payload, err := cbor.Marshal(meta)
	if err != nil {
		return errors.Wrap(err, "replica: encode snapshot")
	}
	file := append(appendFrame(nil, meta.Index, payload), data...)
	temporary := temporaryPrefix + snapshotName(meta.Index)
	err = replaceFile(disk, temporary, snapshotName(meta.Index), file)
	if err != nil && isFull(err) {
		disk.Remove(temporary)
		return ErrDiskFull
	}
	return err
}

// saveSnapshot writes a snapshot received from the leader and removes older ones.
func (s *store) saveSnapshot(meta snapshotMeta, data []byte) error {
	if s.failed != nil {
		return s.failed
	}
	err := writeSnapshot(s.disk, meta, data)
	switch {
	case errors.Is(err, ErrDiskFull):
		return err
	case err != nil:
		return s.fail(err, "write snapshot")
	}
	return s.removeSnapshotsBefore(meta.Index)
}

// removeSnapshotsBefore removes the snapshots of lower indexes.
func (s *store) removeSnapshotsBefore(index uint64) error {
	names, err := s.disk.List()
	if err != nil {
		return s.fail(err, "list files")
	}
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || name >= snapshotName(index) {
			continue
		}
		if err := s.disk.Remove(name); err != nil {
			return s.fail(err, "remove snapshot")
		}
	}
	return nil
}

// loadSnapshotMeta reads and verifies the latest snapshot among the sorted names, and
// returns its description, which is zero if there is no snapshot.
func (s *store) loadSnapshotMeta(names []string) (snapshotMeta, error) {
	latest := ""
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) {
			latest = name
		}
	}
	if latest == "" {
		return snapshotMeta{}, nil
	}
	sn, err := s.readSnapshot(latest)
	return sn.meta, err
}

// loadSnapshot reads and verifies the snapshot at index.
func (s *store) loadSnapshot(index uint64) (snapshot, error) {
	return s.readSnapshot(snapshotName(index))
}

func (s *store) readSnapshot(name string) (snapshot, error) {
	b, err := s.disk.Read(name)
	if err != nil {
		return snapshot{}, errors.Wrapf(err, "replica: read %s", name)
	}
	sn, err := decodeSnapshot(b)
	if err == nil && snapshotName(sn.meta.Index) != name {
		err = errors.Wrap(ErrDamaged, "file name does not match the snapshot index")
	}
	return sn, errors.Wrapf(err, "replica: %s", name)
}

// decodeSnapshot decodes and verifies the content of a snapshot file.
func decodeSnapshot(b []byte) (snapshot, error) {
	h, ok := parseHeader(b)
	if !ok {
		return snapshot{}, errors.Wrap(ErrDamaged, "header")
	}
	payload, ok := parseFrame(b, h.sequence)
	if !ok {
		return snapshot{}, errors.Wrap(ErrDamaged, "description")
	}
	var meta snapshotMeta
	if err := decoding.Unmarshal(payload, &meta); err != nil {
		return snapshot{}, errors.Wrap(ErrDamaged, err.Error())
	}
	data := b[frameHeaderSize+len(payload):]
	if uint64(len(data)) != meta.Size || checksum(data) != meta.Checksum {
		return snapshot{}, errors.Wrap(ErrDamaged, "size or checksum of the data is wrong")
	}
	return snapshot{meta: meta, data: data}, nil
}

// readChunk returns the data of a snapshot from offset on, up to snapshotChunkBytes. size
// is the size of the complete data.
func (s *store) readChunk(index, offset, size uint64) ([]byte, error) {
	name := snapshotName(index)
	head := make([]byte, frameHeaderSize)
	if _, err := s.disk.ReadAt(name, head, 0); err != nil {
		return nil, errors.Wrapf(err, "replica: read %s", name)
	}
	h, ok := parseHeader(head)
	if !ok {
		return nil, errors.Wrapf(ErrDamaged, "replica: %s: invalid frame header", name)
	}
	chunk := make([]byte, min(size-offset, snapshotChunkBytes))
	n, err := s.disk.ReadAt(name, chunk, int64(frameHeaderSize+h.length)+int64(offset))
	if n < len(chunk) && err != io.EOF {
		return nil, errors.Wrapf(err, "replica: read %s", name)
	}
	return chunk[:n], nil
}
