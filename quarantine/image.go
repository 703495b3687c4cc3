package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Image is the serializable state of a List in a snapshot. Equal lists have equal
// images.
type Image struct {
	Records []RecordImage `cbor:"1,keyasint"`
	// Failures lists the failures, oldest first.
	Failures []FailureImage `cbor:"2,keyasint"`
}

// RecordImage is the serializable state of one record, apart from its failures.
type RecordImage struct {
	// Holder, Endpoint and Incarnation are those of the permit. They are empty if there is
	// no permit.
	Digest         uint64 `cbor:"1,keyasint"`
	Convicted      bool   `cbor:"2,keyasint"`
	ExpiredPermits int    `cbor:"3,keyasint"`
	Holder         string `cbor:"4,keyasint"`
	Endpoint       string `cbor:"5,keyasint"`
	Incarnation    uint64 `cbor:"6,keyasint"`
	// PermitDeadline is in nanoseconds since the Unix epoch, or zero if there is no permit.
	PermitDeadline int64 `cbor:"7,keyasint"`
	// Part is set for a part of prompts. Carriers, Trials and NextTrial, in nanoseconds since the Unix
	// epoch, are only set for one.
	Part      bool     `cbor:"8,keyasint,omitempty"`
	Carriers  []uint64 `cbor:"9,keyasint,omitempty"`
	Trials    int      `cbor:"10,keyasint,omitempty"`
	NextTrial int64    `cbor:"11,keyasint,omitempty"`
}

// FailureImage is the serializable state of one failure.
type FailureImage struct {
	Endpoint    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// At is in nanoseconds since the Unix epoch.
	At        int64    `cbor:"3,keyasint"`
	Digests   []uint64 `cbor:"4,keyasint"`
	Cleared   []uint64 `cbor:"5,keyasint"`
	Alone     bool     `cbor:"6,keyasint"`
	Outage    bool     `cbor:"7,keyasint"`
	Explained bool     `cbor:"8,keyasint"`
	// Holder is the request that held the permit for the instance, if HasHolder is set.
	Holder           uint64 `cbor:"9,keyasint,omitempty"`
	HasHolder        bool   `cbor:"10,keyasint,omitempty"`
	HolderDispatched bool   `cbor:"11,keyasint,omitempty"`
	Direct           bool   `cbor:"12,keyasint,omitempty"`
	// Parts and ClearedParts are parts of prompts.
	Parts        []uint64 `cbor:"13,keyasint,omitempty"`
	ClearedParts []uint64 `cbor:"14,keyasint,omitempty"`
}

// Image returns the serializable state of the list.
func (l *List) Image() Image {
	var img Image
	for _, digest := range slices.Sorted(maps.Keys(l.records)) {
		r := l.records[digest]
		image := RecordImage{
			Digest: digest, Convicted: r.convicted, ExpiredPermits: r.expiredPermits,
			Holder: r.permit.holder, Endpoint: r.permit.instance.endpoint,
			Incarnation: r.permit.instance.incarnation, PermitDeadline: toUnixNanos(r.permit.deadline),
		}
		if p := r.partRecord; p != nil {
			image.Part, image.Carriers, image.Trials, image.NextTrial = true, slices.Clone(p.carriers), p.trials, toUnixNanos(p.nextTrial)
		}
		img.Records = append(img.Records, image)
	}
	for _, f := range l.failures {
		img.Failures = append(img.Failures, FailureImage{
			Endpoint: f.instance.endpoint, Incarnation: f.instance.incarnation, At: toUnixNanos(f.at),
			Digests: slices.Clone(f.digests), Cleared: slices.Clone(f.cleared),
			Alone: f.alone, Outage: f.outage, Explained: f.explained,
			Holder: f.holder, HasHolder: f.hasHolder, HolderDispatched: f.holderDispatched, Direct: f.direct,
			Parts: slices.Clone(f.parts), ClearedParts: slices.Clone(f.clearedParts),
		})
	}
	return img
}

// Restore returns the list with the state in img. It fails if a failure names a request
// without a record, or a record has no failure.
func Restore(limits Limits, img Image) (*List, error) {
	l := NewList(limits)
	for _, r := range img.Records {
		l.records[r.Digest] = &record{convicted: r.Convicted, expiredPermits: r.ExpiredPermits, permit: permit{
			holder: r.Holder, instance: instance{endpoint: r.Endpoint, incarnation: r.Incarnation}, deadline: fromUnixNanos(r.PermitDeadline),
		}}
		if r.Part {
			l.records[r.Digest].partRecord = &partRecord{carriers: slices.Clone(r.Carriers), trials: r.Trials, nextTrial: fromUnixNanos(r.NextTrial)}
		}
	}
	for _, i := range img.Failures {
		f := &failure{
			instance: instance{endpoint: i.Endpoint, incarnation: i.Incarnation}, at: fromUnixNanos(i.At),
			digests: slices.Clone(i.Digests), cleared: slices.Clone(i.Cleared),
			alone: i.Alone, outage: i.Outage, explained: i.Explained,
			holder: i.Holder, hasHolder: i.HasHolder, holderDispatched: i.HolderDispatched, direct: i.Direct,
			parts: slices.Clone(i.Parts), clearedParts: slices.Clone(i.ClearedParts),
		}
		l.failures = append(l.failures, f)
		for _, digest := range slices.Concat(f.digests, f.parts) {
			r := l.records[digest]
			if r == nil {
				return nil, errors.Errorf("failure of endpoint %s names request or part %016x, which has no record", i.Endpoint, digest)
			}
			r.failures = append(r.failures, f)
		}
		for _, digest := range f.parts {
			if r := l.records[digest]; !r.isPart() {
				return nil, errors.Errorf("failure of endpoint %s names part %016x, which has the record of a request", i.Endpoint, digest)
			}
			f.explainedByPart = f.explainedByPart || l.records[digest].convicted
		}
	}
	for digest, r := range l.records {
		if len(r.failures) == 0 {
			return nil, errors.Errorf("record of request %016x has no failure", digest)
		}
	}
	return l, nil
}

// toUnixNanos returns nanoseconds since the Unix epoch, and zero for the zero time.
func toUnixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNanos is the inverse of toUnixNanos.
func fromUnixNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
