package once

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// segmentSpan is the time in keys that one segment covers.
const segmentSpan = 10 * time.Second

// segment is the records of one account whose keys carry about the same time, and
// what they look like in a snapshot. A replica stands still while a snapshot is
// taken, and hardly any but the newest segments change between two, so only those
// are encoded again.
type segment struct {
	// keys lists the records that were entered; some may be forgotten since.
	keys []keyHash
	// live counts those that are not.
	live int
	// encoded is the segment in a snapshot, or nil since it changed.
	encoded cbor.RawMessage
}

// changed notes that a record of the segment is not as it was.
func (s *segment) changed() { s.encoded = nil }

// segmentNumber says in which segment a key belongs. Keys without a time are
// spread over some by their hash, below zero.
func segmentNumber(hash keyHash, at int64) int64 {
	if at == 0 {
		return -1 - int64(hash[0])
	}
	return at / int64(segmentSpan)
}

// enter puts a new record into its segment.
func (a *account) enter(hash keyHash, r *record) {
	number := segmentNumber(hash, r.at)
	s, ok := a.segments[number]
	if !ok {
		s = &segment{}
		a.segments[number] = s
	}
	s.keys = append(s.keys, hash)
	s.live++
	s.changed()
	r.segment = s
}

// leave takes a forgotten record out of its segment.
func (a *account) leave(hash keyHash, r *record) {
	r.segment.live--
	r.segment.changed()
	if r.segment.live == 0 {
		delete(a.segments, segmentNumber(hash, r.at))
	}
}

// encode returns the segment as a list of RecordImage by key.
func (s *segment) encode(a *account) (cbor.RawMessage, error) {
	if s.encoded != nil {
		return s.encoded, nil
	}
	s.keys = slices.DeleteFunc(s.keys, func(h keyHash) bool { return a.records[h] == nil })
	slices.SortFunc(s.keys, keyHash.compare)
	images := make([]RecordImage, len(s.keys))
	for i, h := range s.keys {
		images[i] = a.records[h].image(h)
	}
	raw, err := encoding.Marshal(images)
	if err != nil {
		return nil, errors.Wrap(err, "encode claims")
	}
	s.encoded = raw
	return raw, nil
}

// encoding writes maps in one order, so that equal segments have equal bytes.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}
