package replica

// EntryKind says how the data of an Entry is used.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryEmpty has no data. A new leader appends one at the start of its term.
	EntryEmpty
	// EntryMembership holds all members of a new membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// entryOverhead is the number of bytes that an entry takes in addition to its data, in
// memory and on the wire, for the accounting of sizes.
const entryOverhead = 24

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// entryLog is the in-memory part of the log, after the last compaction.
//
// Invariants: entries[i].Index == base+1+i; terms never fall along the log;
// base <= applied <= committed <= last; stable <= last.
type entryLog struct {
	base      uint64 // index of the last entry compacted away
	baseTerm  uint64
	entries   []Entry
	stable    uint64 // index of the last entry known to be on this replica's disk
	committed uint64
	applied   uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index; false if the entry is compacted away or
// does not exist.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isUpToDate reports whether a log whose last entry is (index, term) is at least as up to
// date as this one, by Raft's rule for granting votes. Such a log holds every entry of
// this one that may be committed.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// slice returns the entries from index from on, up to maxBytes but at least one; none if
// from is not in the log.
func (l *entryLog) slice(from uint64, maxBytes int) []Entry {
	if from <= l.base || from > l.last() {
		return nil
	}
	rest := l.entries[from-l.base-1:]
	size := 0
	for i := range rest {
		size += rest[i].size()
		if size > maxBytes && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// append adds entries, whose indexes have to continue those of the log.
func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// merge adds entries of a leader, which follow a matching entry. A suffix that conflicts
// with them is truncated; it cannot hold a committed entry. merge returns the first index
// that changed, zero for none.
func (l *entryLog) merge(entries []Entry) uint64 {
	for i := range entries {
		e := &entries[i]
		if e.Index <= l.base || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.committed {
			panic("replica: leader sent an entry that conflicts with a committed entry")
		}
		l.truncate(e.Index)
		l.append(entries[i:]...)
		return e.Index
	}
	return 0
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	// The capacity is cut too, so that a later append does not overwrite slices that
	// were returned earlier.
	n := index - l.base - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index-1)
}

// commitTo raises the commit index and reports whether it moved.
func (l *entryLog) commitTo(index uint64) bool {
	index = min(index, l.last())
	if index <= l.committed {
		return false
	}
	l.committed = index
	return true
}

// stableTo records that the entry (index, term) and all before it are on disk.
func (l *entryLog) stableTo(index, term uint64) {
	if index > l.stable && l.matches(index, term) {
		l.stable = index
	}
}

func (l *entryLog) unstable() []Entry {
	return l.slice(max(l.stable, l.base)+1, int(^uint(0)>>1))
}

// keepFrom returns the index up to which compact may drop entries so that the last entries up to index stay: at most
// maxEntries of at most maxBytes together.
func (l *entryLog) keepFrom(index, maxEntries uint64, maxBytes int) uint64 {
	from := index
	for size := 0; from > l.base && from <= l.last() && index-from < maxEntries; from-- {
		if size += l.entries[from-l.base-1].size(); size > maxBytes {
			break
		}
	}
	return from
}

// compact drops the entries up to index, which have been applied.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base || index > l.applied {
		return
	}
	rest := l.entries[index-l.base:]
	l.entries = append([]Entry(nil), rest...)
	l.base, l.baseTerm = index, term
	l.stable = max(l.stable, index)
}

// reset replaces the log by an empty one after a snapshot at (index, term).
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index, committed: index, applied: index}
}

// hint returns the last index at or below index whose term is at most term, and its term.
// It is the highest index at which this log can match one that has term at index, so a
// leader skips a whole term of conflicting entries at a time.
func (l *entryLog) hint(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.base; index-- {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
	}
	return l.base, l.baseTerm
}
