package wire

import (
	"encoding/binary"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// The major types of CBOR that hold a string of bytes, and the form of an initial byte whose argument follows it.
const (
	majorBytes = 2
	majorText  = 3
	// firstLongForm to lastLongForm stand for an argument of 1, 2, 4 or 8 bytes.
	firstLongForm = 24
	lastLongForm  = 27
)

// checkText returns an error if b, which the encoder has written, holds a text string that is not UTF-8. The
// encoder writes one as it is, and a strict decoder refuses the whole message for it.
func checkText(b []byte) error {
	for len(b) > 0 {
		major, argument := b[0]>>5, uint64(b[0]&0x1f)
		b = b[1:]
		if argument >= firstLongForm {
			if argument > lastLongForm || len(b) < 1<<(argument-firstLongForm) {
				return errors.New("CBOR of an unknown form")
			}
			size := 1 << (argument - firstLongForm)
			var wide [8]byte
			copy(wide[8-size:], b[:size])
			argument, b = binary.BigEndian.Uint64(wide[:]), b[size:]
		}
		if major != majorBytes && major != majorText {
			continue
		}
		if argument > uint64(len(b)) {
			return errors.New("CBOR of an unknown form")
		}
		if major == majorText && !utf8.Valid(b[:argument]) {
			return errors.Errorf("text %.80q is not UTF-8", b[:argument])
		}
		b = b[argument:]
	}
	return nil
}
