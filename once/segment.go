package once

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// segmentSpan is the range of key times that one segment covers.
const segmentSpan = 10 * time.Second

// segment is a group of records of one client account whose keys contain nearby
// times, with its cached encoding in a snapshot. A replica applies no commands while
// it takes a snapshot, so the cache keeps that pause short: only segments that changed
// since the previous snapshot are encoded again, mostly those with the newest keys.
type segment struct {
	// keys lists the records that were added. Some may have been evicted since.
	keys []keyHash
	// live is the number of records that were not evicted.
	live int
	// encoded is the cached encoding, or nil if a record changed since.
	encoded cbor.RawMessage
}

// invalidate drops the cached encoding. It must be called whenever a record of the
// segment changes.
func (s *segment) invalidate() { s.encoded = nil }

// segmentNumber returns the number of the segment for a key. at is the time in the key,
// in nanoseconds since the Unix epoch, or zero if the key contains no time. Keys without
// a time are spread by their hash over the 256 negative numbers from -256 to -1.
func segmentNumber(hash keyHash, at int64) int64 {
	if at == 0 {
		return -1 - int64(hash[0])
	}
	return at / int64(segmentSpan)
}

// addToSegment adds a new record to its segment, creating the segment if needed.
func (a *account) addToSegment(hash keyHash, r *record) {
	number := segmentNumber(hash, r.at)
	s, ok := a.segments[number]
	if !ok {
		s = &segment{}
		a.segments[number] = s
	}
	s.keys = append(s.keys, hash)
	s.live++
	s.invalidate()
	r.segment = s
}

// removeFromSegment removes an evicted record from its segment, and deletes the
// segment once it is empty. The record's hash stays in keys until the next encoding.
func (a *account) removeFromSegment(hash keyHash, r *record) {
	r.segment.live--
	r.segment.invalidate()
	if r.segment.live == 0 {
		delete(a.segments, segmentNumber(hash, r.at))
	}
}

// encode returns the CBOR encoding of the segment: a list of RecordImage, sorted by
// key.
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
	raw, err := encMode.Marshal(images)
	if err != nil {
		return nil, errors.Wrap(err, "encode segment of records")
	}
	s.encoded = raw
	return raw, nil
}

// encMode sorts map keys, so that equal segments have equal encodings.
var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}
