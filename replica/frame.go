package replica

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A frame is what one sync makes last. Its header holds, in little endian:
//
//	magic    4 bytes
//	length   4 bytes  of the payload
//	sequence 8 bytes  one more than the frame before
//	payload  4 bytes  CRC-32C of the payload
//	header   4 bytes  CRC-32C of the bytes before
//
// Invariant: a frame is written only after the one before is synced. So only the
// last frame of the last segment can be torn; whatever else does not check is damage.
const (
	frameMagic      = 0x72706c31
	frameHeaderSize = 24
	maxFrameBytes   = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// appendFrame appends a frame around payload to b.
func appendFrame(b []byte, sequence uint64, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, sequence)
	b = binary.LittleEndian.AppendUint32(b, checksum(payload))
	b = binary.LittleEndian.AppendUint32(b, checksum(b[start:]))
	return append(b, payload...)
}

type frameHeader struct {
	length   int
	sequence uint64
	checksum uint32
}

// parseHeader reads the header at the start of b; false when it does not check.
func parseHeader(b []byte) (frameHeader, bool) {
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b) != frameMagic {
		return frameHeader{}, false
	}
	own := frameHeaderSize - 4
	if checksum(b[:own]) != binary.LittleEndian.Uint32(b[own:]) {
		return frameHeader{}, false
	}
	h := frameHeader{
		length:   int(binary.LittleEndian.Uint32(b[4:])),
		sequence: binary.LittleEndian.Uint64(b[8:]),
		checksum: binary.LittleEndian.Uint32(b[16:]),
	}
	return h, h.length <= maxFrameBytes
}

// parseFrame returns the payload of the frame at the start of b.
func parseFrame(b []byte, sequence uint64) ([]byte, bool) {
	h, ok := parseHeader(b)
	if !ok || h.sequence != sequence || len(b)-frameHeaderSize < h.length {
		return nil, false
	}
	payload := b[frameHeaderSize : frameHeaderSize+h.length]
	return payload, checksum(payload) == h.checksum
}

// readFrames calls each for the frames of a segment, of which the first has the given
// sequence. It returns the next sequence and the length of the part that checks.
//
// What follows the frames that check is a torn tail when the segment is the last and
// nothing in it was written later; otherwise the error is ErrDamaged.
func readFrames(b []byte, sequence uint64, last bool, each func([]byte) error) (uint64, int, error) {
	at := 0
	for at < len(b) {
		payload, ok := parseFrame(b[at:], sequence)
		if !ok {
			break
		}
		if err := each(payload); err != nil {
			return 0, 0, errors.Wrapf(ErrDamaged, "frame %d at byte %d: %v", sequence, at, err)
		}
		at += frameHeaderSize + len(payload)
		sequence++
	}
	if at < len(b) && (!last || !isTorn(b[at:], sequence)) {
		return 0, 0, errors.Wrapf(ErrDamaged, "frame %d at byte %d", sequence, at)
	}
	return sequence, at, nil
}

// isTorn says whether b, whose first frame does not check, can be the remains of a
// single unsynced frame: no bytes after its stated end, and no later frame inside.
func isTorn(b []byte, sequence uint64) bool {
	if h, ok := parseHeader(b); ok && h.sequence == sequence {
		return len(b)-frameHeaderSize <= h.length
	}
	for i := range b {
		if h, ok := parseHeader(b[i:]); ok && h.sequence > sequence {
			return false
		}
	}
	return true
}
