// Package wire implements the protocol between the processes of rosemaryproxy: typed
// messages in CBOR over QUIC streams with mutual TLS.
//
// A frame on a stream consists of a big-endian length of four bytes, which counts the
// bytes after it, one byte with the Kind, and the message in CBOR.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// MaxFrameBytes is the maximum length of a frame without its length field. Both the
	// sender and the receiver reject a longer one.
	MaxFrameBytes = 4 << 20
	// BodyChunkBytes is the maximum number of bytes that a sender puts into one Body or
	// Chunk.
	BodyChunkBytes = 32 << 10

	lengthBytes = 4
	headerBytes = lengthBytes + 1
)

// strictText decodes what is replicated or stored, and anyText messages between two processes. Both bound
// the numbers of array elements, map pairs and nesting levels. anyText takes text that is not UTF-8, which callers
// and endpoints may use in names, paths and headers: one such text must not end a stream that others share. A
// replica that took it in a command would differ from one of an earlier version, which refuses the command.
var (
	strictText = newDecMode(cbor.UTF8RejectInvalid)
	anyText    = newDecMode(cbor.UTF8DecodeInvalid)
)

func newDecMode(text cbor.UTF8Mode) cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16, UTF8: text}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v in CBOR for Unmarshal. It returns an error for a text that Unmarshal refuses.
func Marshal(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err == nil {
		err = checkText(b)
	}
	return b, errors.Wrapf(err, "encode %T", v)
}

// Unmarshal decodes CBOR into v. It returns an error if the limits on the number of
// elements and on nesting are exceeded, and for text that is not UTF-8.
func Unmarshal(b []byte, v any) error {
	return errors.Wrapf(strictText.Unmarshal(b, v), "decode %T", v)
}

// UnmarshalAnyText is like Unmarshal, but takes text that is not UTF-8. It is for what is neither replicated nor stored.
func UnmarshalAnyText(b []byte, v any) error {
	return errors.Wrapf(anyText.Unmarshal(b, v), "decode %T", v)
}

// WriteMessage writes m as one frame and returns the number of bytes written.
func WriteMessage(w io.Writer, m Message) (int, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %T", m)
	}
	if len(body)+1 > MaxFrameBytes {
		return 0, errors.Errorf("message of %d bytes is over the limit of %d", len(body), MaxFrameBytes)
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)+1))
	frame[lengthBytes] = byte(m.Kind())
	return w.Write(append(frame, body...))
}

// ReadMessage reads one frame and returns its message and its length in bytes, including
// the length field. It returns io.EOF if the stream ended before the frame, and io.ErrUnexpectedEOF if it
// ended within the frame.
func ReadMessage(r io.Reader) (Message, int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > MaxFrameBytes {
		return nil, 0, errors.Errorf("invalid frame length of %d bytes", size)
	}
	m := newMessage(Kind(header[lengthBytes]))
	if m == nil {
		return nil, 0, errors.Errorf("unknown kind of message %d", header[lengthBytes])
	}
	body := make([]byte, size-1)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, err
	}
	if err := UnmarshalAnyText(body, m); err != nil {
		return nil, 0, err
	}
	return m, headerBytes + len(body), nil
}
