package replica

import "github.com/pkg/errors"

const (
	// maxLogBytes is the size of applied commands from which a snapshot is taken early.
	maxLogBytes = 64 << 20
	// streamingFactor is how many times longer than usual a snapshot waits for a stream.
	streamingFactor = 4
)

// snapshotJob writes a snapshot beside the replica's goroutine: heartbeats go on while
// a large file is synced.
type snapshotJob struct {
	meta snapshotMeta
	done chan error
}

// maybeSnapshot takes a snapshot once enough was applied, or ends the one being written.
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

// writeSnapshotAsync runs a job, on its own goroutine if the replica has one.
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

// pollSnapshot drops the log before a snapshot that is written, but for a part that
// lets a follower catch up without one.
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
		r.log.Warn("no room for a snapshot", "id", uint64(r.founding.ID), "bytes", meta.Size)
		return nil
	}
	if err != nil {
		return r.store.fail(err, "write snapshot")
	}
	if meta.Index <= r.core.snap.Index || r.core.pendingSnap != nil {
		return nil // one from the leader overtook it
	}
	keep := meta.Index - min(meta.Index, r.opts.SnapshotEvery/2)
	r.core.compacted(meta, keep)
	r.log.Info("snapshot", "id", uint64(r.founding.ID), "index", meta.Index, "bytes", meta.Size)
	if err := r.store.removeSnapshotsBefore(meta.Index); err != nil {
		return err
	}
	return r.store.compact(keep)
}

// snapshotDue says whether enough was applied. While a snapshot is being streamed a new
// one waits, but not for ever: a follower that cannot take it must not fill our disk.
func (r *Replica) snapshotDue() bool {
	applied := r.core.log.applied - r.core.snap.Index
	every, bytes := r.opts.SnapshotEvery, maxLogBytes
	if r.core.streaming() {
		every, bytes = every*streamingFactor, bytes*streamingFactor
	}
	return applied >= every || r.bytesSinceSnapshot >= bytes
}
