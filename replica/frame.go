package replica

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A frame is the unit of writing to a log file: one frame is written and synced at a time.
// It is a header and a payload. The header holds, in little endian:
//
//	magic    4 bytes
//	length   4 bytes  of the payload
//	sequence 8 bytes  one more than that of the previous frame
//	payload  4 bytes  CRC-32C of the payload
//	header   4 bytes  CRC-32C of the header bytes before this one
//
// Invariant: a frame is written only after the previous one is synced. So only the last
// frame of the last segment can be torn, that is, written in part when the VM crashed.
// Any other frame with a wrong checksum or sequence is damaged.
const (
	frameMagic      = 0x72706c31
	frameHeaderSize = 24
	maxFrameBytes   = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of b.
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

// parseHeader reads the header at the start of b; false if the header is invalid.
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

// parseFrame returns the payload of the frame at the start of b; false if the frame is
// invalid or does not have the given sequence.
func parseFrame(b []byte, sequence uint64) ([]byte, bool) {
	h, ok := parseHeader(b)
	if !ok || h.sequence != sequence || len(b)-frameHeaderSize < h.length {
		return nil, false
	}
	payload := b[frameHeaderSize : frameHeaderSize+h.length]
	return payload, checksum(payload) == h.checksum
}

// readFrames calls each for the payloads of the frames in a segment, of which the first has
// the given sequence. It returns the sequence after the last valid frame, and the length
// of the valid frames.
//
// Bytes after the valid frames are a torn tail if the segment is the last and the bytes
// hold no later frame; otherwise the error is ErrDamaged.
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

// isTorn reports whether b, which starts with an invalid frame, can be the rest of a single
// unsynced frame: no bytes follow the end given in a valid header, or with an invalid
// header no later frame is found in b.
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
