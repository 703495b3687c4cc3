// Package stream checks that an answer is whole and its own, and bounds the
// memory held for slow readers.
package stream

import (
	"fmt"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Assembler puts the chunks of one attempt in order. It delivers a byte once, in
// order and only of its own attempt; everything else is dropped or ends the
// attempt as broken. The zero value is not ready; use NewAssembler.
type Assembler struct {
	attempt wire.Attempt
	seq     uint64
	offset  int64
	ended   bool
}

// NewAssembler returns an assembler for attempt a whose answer starts at the byte
// offset from: zero, or the exact count of bytes that the caller already has.
func NewAssembler(a wire.Attempt, from int64) *Assembler {
	return &Assembler{attempt: a, offset: from}
}

// Offset is the count of the answer's bytes delivered so far.
func (a *Assembler) Offset() int64 { return a.offset }

// Complete reports whether the end mark has come and matched.
func (a *Assembler) Complete() bool { return a.ended }

// AcceptChunk returns the bytes of c to deliver; none for a repeated chunk. Its error
// is a *verdict.Refusal: the answer has a gap or belongs to another attempt.
func (a *Assembler) AcceptChunk(c *wire.Chunk) ([]byte, error) {
	switch {
	case c.Attempt != a.attempt:
		return nil, broken("chunk of another attempt")
	case a.ended:
		return nil, broken("chunk after the end")
	case c.Seq <= a.seq:
		return nil, nil
	case c.Seq != a.seq+1:
		return nil, broken(fmt.Sprintf("chunk %d follows on %d", c.Seq, a.seq))
	case c.Offset != a.offset:
		return nil, broken(fmt.Sprintf("chunk at byte %d follows on byte %d", c.Offset, a.offset))
	}
	a.seq = c.Seq
	a.offset += int64(len(c.Data))
	return c.Data, nil
}

// AcceptEnd checks the end mark against what was delivered.
func (a *Assembler) AcceptEnd(e *wire.End) error {
	switch {
	case e.Attempt != a.attempt:
		return broken("end of another attempt")
	case a.ended:
		return nil
	case e.Chunks != a.seq || e.Bytes != a.offset:
		return broken(fmt.Sprintf("end after %d chunks and byte %d, have %d and %d", e.Chunks, e.Bytes, a.seq, a.offset))
	}
	a.ended = true
	return nil
}

func broken(detail string) *verdict.Refusal {
	return verdict.Uncertain(verdict.ReasonStreamBroken, 0, "%s", detail)
}
