package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Image is a List as plain data for a snapshot. Equal lists have equal images.
type Image struct {
	Records []RecordImage `cbor:"1,keyasint"`
	// Failures are listed oldest first.
	Failures []FailureImage `cbor:"2,keyasint"`
}

// RecordImage is what is known of one request, beside its falls.
type RecordImage struct {
	Digest         uint64 `cbor:"1,keyasint"`
	Convicted      bool   `cbor:"2,keyasint"`
	ExpiredPermits int    `cbor:"3,keyasint"`
	PermitHolder   string `cbor:"4,keyasint"`
	Endpoint       string `cbor:"5,keyasint"`
	Incarnation    uint64 `cbor:"6,keyasint"`
	// PermitDeadline is in nanoseconds since 1970; zero without a permit.
	PermitDeadline int64 `cbor:"7,keyasint"`
}

// FailureImage is one fall of an endpoint.
type FailureImage struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// At is in nanoseconds since 1970.
	At        int64    `cbor:"3,keyasint"`
	Digests   []uint64 `cbor:"4,keyasint"`
	Cleared   []uint64 `cbor:"5,keyasint"`
	Alone     bool     `cbor:"6,keyasint"`
	Outage    bool     `cbor:"7,keyasint"`
	Explained bool     `cbor:"8,keyasint"`
	// PermittedDigest had the permit for the place, when Held is set.
	PermittedDigest     uint64 `cbor:"9,keyasint,omitempty"`
	HadPermit           bool   `cbor:"10,keyasint,omitempty"`
	PermittedDispatched bool   `cbor:"11,keyasint,omitempty"`
}

// Image returns the list's state.
func (l *List) Image() Image {
	var img Image
	for _, digest := range slices.Sorted(maps.Keys(l.records)) {
		r := l.records[digest]
		img.Records = append(img.Records, RecordImage{
			Digest: digest, Convicted: r.convicted, ExpiredPermits: r.lapsed,
			PermitHolder: r.permit.holder, Endpoint: r.permit.place.endpoint,
			Incarnation: r.permit.place.incarnation, PermitDeadline: nanos(r.permit.until),
		})
	}
	for _, f := range l.falls {
		img.Failures = append(img.Failures, FailureImage{
			Endpoint: f.place.endpoint, Incarnation: f.place.incarnation, At: nanos(f.at),
			Digests: slices.Clone(f.digests), Cleared: slices.Clone(f.cleared),
			Alone: f.alone, Outage: f.outage, Explained: f.explained,
			PermittedDigest: f.holder, HadPermit: f.held, PermittedDispatched: f.dispatched,
		})
	}
	return img
}

// Restore returns the list that img describes.
func Restore(limits Limits, img Image) (*List, error) {
	l := NewList(limits)
	for _, r := range img.Records {
		l.records[r.Digest] = &record{convicted: r.Convicted, lapsed: r.ExpiredPermits, permit: permit{
			holder: r.PermitHolder, place: place{endpoint: r.Endpoint, incarnation: r.Incarnation}, until: fromNanos(r.PermitDeadline),
		}}
	}
	for _, i := range img.Failures {
		f := &fall{
			place: place{endpoint: i.Endpoint, incarnation: i.Incarnation}, at: fromNanos(i.At),
			digests: slices.Clone(i.Digests), cleared: slices.Clone(i.Cleared),
			alone: i.Alone, outage: i.Outage, explained: i.Explained,
			holder: i.PermittedDigest, held: i.HadPermit, dispatched: i.PermittedDispatched,
		}
		l.falls = append(l.falls, f)
		for _, digest := range f.digests {
			r := l.records[digest]
			if r == nil {
				return nil, errors.Errorf("fall of endpoint %s without the record of request %016x", i.Endpoint, digest)
			}
			r.falls = append(r.falls, f)
		}
	}
	for digest, r := range l.records {
		if len(r.falls) == 0 {
			return nil, errors.Errorf("record of request %016x without a fall", digest)
		}
	}
	return l, nil
}

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
