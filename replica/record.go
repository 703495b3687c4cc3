package replica

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// The kinds of records in a frame of the log.
const (
	recordEntry byte = iota + 1
	recordHardState
	// recordBase marks that a snapshot replaced the log. It holds the index and term of
	// the snapshot; the entries after it continue from that index.
	recordBase
)

var errMalformedRecord = errors.New("replica: malformed record")

// appendEntryRecord appends the record of an entry to b.
func appendEntryRecord(b []byte, e *Entry) []byte {
	b = append(b, recordEntry, byte(e.Kind))
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = binary.AppendUvarint(b, uint64(len(e.Data)))
	return append(b, e.Data...)
}

// appendPairRecord appends a record of two numbers to b: term and vote for recordHardState,
// index and term for recordBase.
func appendPairRecord(b []byte, kind byte, first, second uint64) []byte {
	b = append(b, kind)
	b = binary.AppendUvarint(b, first)
	return binary.AppendUvarint(b, second)
}

// recordReader decodes the records in the payload of a frame. err is set if the payload
// is malformed.
type recordReader struct {
	rest []byte
	err  error
}

func (r *recordReader) byte() byte {
	if len(r.rest) == 0 {
		r.err = errMalformedRecord
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *recordReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.err = errMalformedRecord
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *recordReader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.err = errMalformedRecord
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

// replay rebuilds the hard state and the log of a replica from the records of its
// segments.
type replay struct {
	hard     hardState
	base     uint64
	baseTerm uint64
	hasBase  bool // base is known, from a recordBase or the first entry
	entries  []Entry
}

// addFrame processes the records in the payload of one frame.
func (p *replay) addFrame(payload []byte) error {
	r := recordReader{rest: payload}
	for len(r.rest) > 0 && r.err == nil {
		if err := p.addRecord(&r); err != nil {
			return err
		}
	}
	return r.err
}

func (p *replay) addRecord(r *recordReader) error {
	switch kind := r.byte(); kind {
	case recordEntry:
		e := Entry{Kind: EntryKind(r.byte()), Index: r.uvarint(), Term: r.uvarint(), Data: r.bytes()}
		if r.err != nil {
			return r.err
		}
		return p.addEntry(e)
	case recordHardState:
		p.hard = hardState{Term: r.uvarint(), Vote: ID(r.uvarint())}
	case recordBase:
		p.base, p.baseTerm = r.uvarint(), r.uvarint()
		p.hasBase = true
		p.entries = nil
	default:
		return errors.Wrapf(errMalformedRecord, "kind %d", kind)
	}
	return r.err
}

// addEntry adds an entry. It replaces an existing entry of the same index and all entries
// after it.
func (p *replay) addEntry(e Entry) error {
	if e.Kind == EntryMembership {
		if _, err := decodeMembers(e.Data); err != nil {
			return err
		}
	}
	if !p.hasBase {
		// After older segments were removed, the term of the entry before the first one
		// kept is unknown. So the first one kept serves as the base, unless its index is 1.
		p.hasBase = true
		if e.Index > 1 {
			p.base, p.baseTerm = e.Index, e.Term
			return nil
		}
	}
	last := p.base + uint64(len(p.entries))
	if e.Index > last+1 {
		return errors.Wrapf(errMalformedRecord, "entry %d after %d", e.Index, last)
	}
	if e.Index <= p.base {
		p.base, p.baseTerm = e.Index, e.Term
		p.entries = nil
		return nil
	}
	p.entries = append(p.entries[:e.Index-p.base-1], e)
	return nil
}
