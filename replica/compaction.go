package replica

import "github.com/pkg/errors"

const (
	// maxLogBytes is the size of applied entries from which a snapshot is taken before
	// Options.SnapshotEvery is reached. The log is held in memory and on disk, where it must leave room for snapshots.
	maxLogBytes = 8 << 20
	// maxKeptBytes bounds the entries before a snapshot that stay for followers which lag a little.
	maxKeptBytes = 4 << 20
	// streamingFactor multiplies both thresholds while a snapshot is being streamed to a
	// follower.
	streamingFactor = 4
)

// snapshotJob is a snapshot being written outside of the replica's goroutine, so that
// heartbeats go on while a large file is synced.
type snapshotJob struct {
	meta snapshotMeta
	done chan error
}

// maybeSnapshot takes a snapshot if one is due, or checks on the one being written.
func (r *Replica) maybeSnapshot() error {
	if r.job != nil {
		return r.pollSnapshot()
	}
	c := r.core
	if !r.snapshotDue() || r.diskFull || c.pendingSnap != nil || c.log.applied > c.log.stable {
		return nil
	}
	data, err := r.opts.StateMachine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "replica: take snapshot")
	}
	term, _ := c.log.term(c.log.applied)
	r.job = &snapshotJob{done: make(chan error, 1), meta: snapshotMeta{
		Index:    c.log.applied,
		Term:     term,
		Members:  c.membershipAt(c.log.applied).members,
		Size:     uint64(len(data)),
		Checksum: checksum(data),
	}}
	r.bytesSinceSnapshot = 0
	r.writeSnapshotAsync(r.job, data)
	return r.pollSnapshot()
}

// writeSnapshotAsync writes the snapshot of a job on a goroutine of its own. It writes
// synchronously while Run does not run, as in tests that step a replica by hand.
func (r *Replica) writeSnapshotAsync(job *snapshotJob, data []byte) {
	if !r.running {
		job.done <- writeSnapshot(r.opts.Disk, job.meta, data)
		return
	}
	go func() {
		err := writeSnapshot(r.opts.Disk, job.meta, data)
		job.done <- err
		r.inbox.signal()
	}()
}

// pollSnapshot compacts the log once the snapshot of the current job is on disk. The last
// SnapshotEvery/2 entries before the snapshot stay, up to maxKeptBytes, so that a follower
// that lags a little can catch up without a snapshot.
func (r *Replica) pollSnapshot() error {
	var err error
	select {
	case err = <-r.job.done:
	default:
		return nil
	}
	meta := r.job.meta
	r.job = nil
	if errors.Is(err, ErrDiskFull) {
		r.log.Warn("no disk space for a snapshot", "id", uint64(r.founding.ID), "bytes", meta.Size)
		return nil
	}
	if err != nil {
		return r.store.fail(err, "write snapshot")
	}
	if meta.Index <= r.core.snap.Index || r.core.pendingSnap != nil {
		return nil // a later snapshot from the leader has replaced the log
	}
	keep := r.core.log.keepFrom(meta.Index, r.opts.SnapshotEvery/2, maxKeptBytes)
	r.core.compacted(meta, keep)
	r.log.Info("snapshot", "id", uint64(r.founding.ID), "index", meta.Index, "bytes", meta.Size)
	if err := r.store.removeSnapshotsBefore(meta.Index); err != nil {
		return err
	}
	return r.store.compact(keep)
}

// snapshotDue reports whether enough was applied since the last snapshot. A new snapshot
// makes a stream to a follower start over, so the thresholds are higher while a snapshot
// is streamed. They are only multiplied by streamingFactor, because a follower that never
// completes the stream must not fill the disk.
func (r *Replica) snapshotDue() bool {
	applied := r.core.log.applied - r.core.snap.Index
	every, bytes := r.opts.SnapshotEvery, maxLogBytes
	if r.core.streaming() {
		every, bytes = every*streamingFactor, bytes*streamingFactor
	}
	return applied >= every || r.bytesSinceSnapshot >= bytes
}
