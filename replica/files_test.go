package replica

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// batchOf returns a batch of n entries that starts at index.
func batchOf(index uint64, n int) ready {
	rd := ready{hardState: hardState{Term: 3, Vote: 9}}
	for i := range n {
		at := index + uint64(i)
		rd.entries = append(rd.entries, Entry{Index: at, Term: 3, Data: fmt.Appendf(nil, "entry %d", at)})
	}
	return rd
}

// writtenDisk returns a disk with five synced batches of three entries, and the size of its
// only segment after each batch.
func writtenDisk(t *testing.T) (*memDisk, []int) {
	is := is.New(t)
	disk := newMemDisk()
	s, _, err := openStore(disk, 0)
	is.NoErr(err)
	var sizes []int
	for i := range 5 {
		rd := batchOf(uint64(1+3*i), 3)
		is.NoErr(s.save(&rd))
		sizes = append(sizes, int(s.size))
	}
	return disk, sizes
}

func TestTornTailIsCutAtEveryLength(t *testing.T) {
	is := is.New(t)
	disk, sizes := writtenDisk(t)
	name := disk.last(segmentPrefix)
	intact := bytes.Clone(disk.names[name].data)
	for size := sizes[3]; size < sizes[4]; size++ {
		disk.names[name] = &memFile{data: bytes.Clone(intact[:size])}
		s, from, err := openStore(disk, 0)
		is.NoErr(err)
		is.Equal(len(from.entries), 12)
		rd := batchOf(13, 1)
		is.NoErr(s.save(&rd)) // the log continues after the cut
		_, from, err = openStore(disk, 0)
		is.NoErr(err)
		is.Equal(len(from.entries), 13)
	}
}

func TestTornTailOfAnyContentIsCut(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 5))
	disk, sizes := writtenDisk(t)
	name := disk.last(segmentPrefix)
	intact := bytes.Clone(disk.names[name].data)
	for range 500 { // a crash may write any subset of 8-byte blocks of the last frame
		torn := bytes.Clone(intact)
		for at := sizes[3]; at < len(torn); at += 8 {
			if rng.IntN(2) == 0 {
				clear(torn[at:min(at+8, len(torn))])
			}
		}
		disk.names[name] = &memFile{data: torn}
		_, from, err := openStore(disk, 0)
		is.NoErr(err)
		is.True(len(from.entries) == 12 || len(from.entries) == 15 && bytes.Equal(torn, intact))
	}
}

func TestDamageBeforeTheTailStopsTheReplica(t *testing.T) {
	disk, sizes := writtenDisk(t)
	name := disk.last(segmentPrefix)
	for at := range sizes[3] {
		disk.flip(name, at)
		if _, _, err := openStore(disk, 0); !errors.Is(err, ErrDamaged) {
			t.Fatalf("byte %d: %v", at, err)
		}
		disk.flip(name, at)
	}
}

func TestMissingSegmentStopsTheReplica(t *testing.T) {
	is := is.New(t)
	disk := newMemDisk()
	s, _, err := openStore(disk, 0)
	is.NoErr(err)
	for i := range 3 {
		rd := batchOf(uint64(1+i), 1)
		is.NoErr(s.save(&rd))
		s.size = segmentBytes // the next batch starts a new segment
	}
	is.NoErr(disk.Remove(s.segments[1].name))
	_, _, err = openStore(disk, 0)
	is.True(errors.Is(err, ErrDamaged))
}

func TestDamagedSnapshotAndIdentityStopTheReplica(t *testing.T) {
	for _, prefix := range []string{snapshotPrefix, identityName} {
		is := is.New(t)
		c := newCluster(t, 51, 1, func(o *Options) { o.SnapshotEvery = 10 })
		c.commitAll(25)
		c.kill(1)
		disk := c.nodes[1].disk
		name := disk.last(prefix)
		for at := range disk.names[name].data {
			disk.flip(name, at)
			is.True(errors.Is(c.open(1, disk).err, ErrDamaged))
			disk.flip(name, at)
		}
	}
}

func TestMissingIdentityOrLogStopsTheReplica(t *testing.T) {
	for _, prefix := range []string{identityName, segmentPrefix} {
		is := is.New(t)
		c := newCluster(t, 52, 1, nil)
		c.commit("a")
		c.kill(1)
		disk := c.nodes[1].disk
		is.NoErr(disk.Remove(disk.last(prefix)))
		is.True(errors.Is(c.open(1, disk).err, ErrDamaged))
	}
}

func TestCrashBetweenSnapshotAndLogOfAnInstallation(t *testing.T) {
	is := is.New(t)
	disk, _ := writtenDisk(t)
	s, _, err := openStore(disk, 0)
	is.NoErr(err)
	meta := snapshotMeta{Index: 100, Term: 4, Size: 2, Checksum: checksum([]byte("ab"))}
	is.NoErr(s.saveSnapshot(meta, []byte("ab")))
	for range 2 {
		_, from, err := openStore(disk, 0)
		is.NoErr(err)
		is.Equal(from.base, uint64(100))
		is.Equal(len(from.entries), 0)
		is.Equal(from.hard, hardState{Term: 3, Vote: 9}) // the vote is kept although the log was replaced
	}
}

// As before, and the disk is full when the replica starts again.
func TestCrashDuringAnInstallationOnAFullDisk(t *testing.T) {
	is := is.New(t)
	disk, _ := writtenDisk(t)
	s, _, err := openStore(disk, 512)
	is.NoErr(err)
	is.True(s.allocateReserve())
	is.NoErr(s.saveSnapshot(snapshotMeta{Index: 100, Term: 4, Size: 2, Checksum: checksum([]byte("ab"))}, []byte("ab")))
	disk.capacity = disk.used()
	_, from, err := openStore(disk, 512)
	is.NoErr(err)
	is.Equal(from.base, uint64(100))
	is.Equal(from.hard, hardState{Term: 3, Vote: 9})
}

func TestCompactionKeepsVoteAndLaterEntries(t *testing.T) {
	is := is.New(t)
	disk := newMemDisk()
	s, _, err := openStore(disk, 0)
	is.NoErr(err)
	for i := range 10 {
		rd := batchOf(uint64(1+10*i), 10)
		is.NoErr(s.save(&rd))
		s.size = segmentBytes
	}
	is.NoErr(s.saveSnapshot(snapshotMeta{Index: 60, Term: 3}, nil))
	is.NoErr(s.compact(45))
	is.Equal(len(s.segments), 6)
	_, from, err := openStore(disk, 0)
	is.NoErr(err)
	is.Equal(from.hard, hardState{Term: 3, Vote: 9})
	is.Equal(from.entries[len(from.entries)-1].Index, uint64(100))
	is.NoErr(disk.Remove(snapshotName(60))) // the compacted log is useless without its snapshot
	_, _, err = openStore(disk, 0)
	is.True(errors.Is(err, ErrDamaged))
}

// The VM loses power after a compaction that removed several segments. If only some of the
// removals took effect, the log would have a gap, and the replica would refuse a sound disk.
func TestCrashAfterACompactionLeavesNoGap(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(100) {
		disk := newMemDisk()
		s, _, err := openStore(disk, 0)
		is.NoErr(err)
		for i := range 10 {
			rd := batchOf(uint64(1+10*i), 10)
			is.NoErr(s.save(&rd))
			s.size = segmentBytes
		}
		is.NoErr(s.saveSnapshot(snapshotMeta{Index: 60, Term: 3}, nil))
		rng := rand.New(rand.NewPCG(seed, 6))
		disk.powerLeft = rng.IntN(12)
		if err := s.compact(55); err != nil {
			is.True(errors.Is(err, errNoPower))
		}
		disk.crash(rng)
		_, from, err := openStore(disk, 0)
		is.NoErr(err)
		is.Equal(from.entries[len(from.entries)-1].Index, uint64(100))
	}
}

func TestFullDiskUndoesAPartialWrite(t *testing.T) {
	is := is.New(t)
	disk, _ := writtenDisk(t)
	s, _, err := openStore(disk, 0)
	is.NoErr(err)
	rd := batchOf(16, 3)
	for space := range 60 {
		disk.capacity = disk.used() + space
		is.True(errors.Is(s.save(&rd), ErrDiskFull))
	}
	disk.capacity = 0
	is.NoErr(s.save(&rd))
	_, from, err := openStore(disk, 0)
	is.NoErr(err)
	is.Equal(len(from.entries), 18)
}

func TestSecondProcessCannotOpenTheFolder(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	disk, err := OpenOSDisk(dir)
	is.NoErr(err)
	_, err = OpenOSDisk(dir)
	is.True(err != nil)
	is.NoErr(disk.Close())
	again, err := OpenOSDisk(dir)
	is.NoErr(err)
	is.NoErr(again.Close())
}

func FuzzLogFile(f *testing.F) {
	payload := appendEntryRecord(nil, &Entry{Index: 1, Term: 1, Data: []byte("x")})
	payload = appendPairRecord(payload, recordHardState, 1, 2)
	f.Add(appendFrame(nil, 1, payload))
	f.Add(appendFrame(appendFrame(nil, 1, payload), 2, appendPairRecord(nil, recordBase, 7, 1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		disk := newMemDisk()
		disk.names[segmentName(1)] = &memFile{data: b}
		s, from, err := openStore(disk, 0)
		if err != nil {
			return
		}
		for i, e := range from.entries { // an accepted log has no gaps
			if e.Index != from.base+1+uint64(i) {
				t.Fatalf("entry %d has index %d after base %d", i, e.Index, from.base)
			}
		}
		rd := batchOf(from.base+uint64(len(from.entries))+1, 1)
		if err := s.save(&rd); err != nil {
			t.Fatal(err)
		}
		if _, _, err := openStore(disk, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzRecords feeds payloads of frames directly, as the checksum of a frame refuses most
// inputs of FuzzLogFile.
func FuzzRecords(f *testing.F) {
	f.Add(appendEntryRecord(nil, &Entry{Index: 5, Term: 1, Data: []byte("x")}))
	f.Add(appendPairRecord(nil, recordBase, 3, 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p replay
		if p.addFrame(b) != nil {
			return
		}
		for i, e := range p.entries {
			if e.Index != p.base+1+uint64(i) {
				t.Fatalf("entry %d has index %d after base %d", i, e.Index, p.base)
			}
		}
	})
}

func FuzzMessage(f *testing.F) {
	m := Message{Type: MsgAppend, From: 1, To: 2, Term: 1, Entries: []Entry{{Index: 1, Term: 1}}}
	b, err := m.Marshal()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if m.Unmarshal(b) != nil || m.check() != nil {
			return
		}
		again, err := m.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		var second Message
		if err := second.Unmarshal(again); err != nil {
			t.Fatal(err)
		}
		if third, _ := second.Marshal(); !bytes.Equal(again, third) {
			t.Fatal("message changes when it is encoded again")
		}
		opts := coreOptions{id: 2, electionTicks: 10, heartbeatTicks: 2, rand: rand.New(rand.NewPCG(1, 1))}
		newCore(opts, restored{}).step(&second)
	})
}

// The log was kept by the number of entries, whatever their size, in memory and on disk.
func TestLargeEntriesAreKeptByNumberOnly(t *testing.T) {
	tests := map[string]struct {
		size, entries int
		maxEntries    uint64
		want          uint64 // the entries that stay
	}{
		"small ones by number": {10, 100, 30, 30},
		"large ones by size":   {1000 - entryOverhead, 100, 50, 10},
		"one too large":        {20_000, 3, 50, 0},
		"fewer than the limit": {10, 5, 50, 5},
		"none":                 {10, 0, 50, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &entryLog{base: 7}
			for i := range test.entries {
				l.entries = append(l.entries, Entry{Index: 8 + uint64(i), Term: 1, Data: make([]byte, test.size)})
			}
			l.applied, l.committed, l.stable = l.last(), l.last(), l.last()
			from := l.keepFrom(l.last(), test.maxEntries, 10_000)
			is.Equal(l.last()-from, test.want)
			l.compact(from)
			is.Equal(uint64(len(l.entries)), test.want)
		})
	}
}
