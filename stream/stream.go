// Package stream checks that a streamed answer is complete and belongs to its attempt,
// and limits the memory that is buffered for slow readers.
package stream

import (
	"fmt"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Assembler checks the chunks of one attempt's answer. It delivers each byte once and in
// order. It drops repeated chunks and returns an error for gaps and for chunks of other
// attempts. The zero value is not usable; use NewAssembler.
type Assembler struct {
	attempt wire.Attempt
	// seq is the number of the last delivered chunk, offset the offset of the next byte.
	seq    uint64
	offset int64
	ended  bool
}

// NewAssembler returns an assembler for an answer of attempt a that starts at byte
// offset from. A resumed answer starts at the number of bytes that the caller already
// has, any other at zero.
func NewAssembler(a wire.Attempt, from int64) *Assembler {
	return &Assembler{attempt: a, offset: from}
}

// Offset returns the offset in the answer up to which bytes have been delivered.
func (a *Assembler) Offset() int64 { return a.offset }

// Complete reports whether End has accepted the end of the answer.
func (a *Assembler) Complete() bool { return a.ended }

// Chunk returns the bytes of c that are to be delivered, which are none if c was delivered
// before. Its error is a *verdict.Refusal for a chunk that leaves a gap, comes after the end
// or belongs to another attempt.
func (a *Assembler) Chunk(c *wire.Chunk) ([]byte, error) {
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

// End checks that the chunks and bytes counted by e are those that were delivered. Its error
// is a *verdict.Refusal.
func (a *Assembler) End(e *wire.End) error {
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
