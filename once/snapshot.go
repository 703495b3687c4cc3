package once

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Image is the serializable state of a Ledger in a snapshot. Equal ledgers have
// equal images.
type Image struct {
	InitialHorizon time.Time      `cbor:"1,keyasint"`
	Accounts       []AccountImage `cbor:"2,keyasint"`
	// ResultOrder lists the records that got a result, in the order in which the
	// results were stored.
	ResultOrder []ResultRef `cbor:"3,keyasint"`
}

// AccountImage is the serializable state of one client account.
type AccountImage struct {
	Name    string    `cbor:"1,keyasint"`
	Horizon time.Time `cbor:"2,keyasint"`
	// Segments are the encoded segments, each a CBOR list of RecordImage.
	Segments []cbor.RawMessage `cbor:"3,keyasint"`
}

// RecordImage is the serializable state of one record. Key and Command are hashes.
type RecordImage struct {
	Key         []byte `cbor:"1,keyasint"`
	Fence       uint64 `cbor:"2,keyasint"`
	Digest      uint64 `cbor:"3,keyasint"`
	Endpoint    string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Command     []byte `cbor:"6,keyasint"`
	State       uint8  `cbor:"7,keyasint"`
	// At is the time in the key, in nanoseconds since the Unix epoch, or zero if the
	// key contains no time.
	At     int64   `cbor:"8,keyasint"`
	Result *Result `cbor:"9,keyasint,omitempty"`
}

// ResultRef identifies a record that got a result.
type ResultRef struct {
	Account string `cbor:"1,keyasint"`
	Key     []byte `cbor:"2,keyasint"`
	Fence   uint64 `cbor:"3,keyasint"`
}

// Image returns the serializable state of the ledger. The image shares the encoded
// segments with the ledger and must not be modified.
func (l *Ledger) Image() (Image, error) {
	img := Image{InitialHorizon: l.initialHorizon}
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		account, err := l.accounts[name].image(name)
		if err != nil {
			return img, err
		}
		img.Accounts = append(img.Accounts, account)
	}
	for _, k := range l.resultOrder {
		img.ResultOrder = append(img.ResultOrder, ResultRef{Account: k.account, Key: k.key[:], Fence: k.fence})
	}
	return img, nil
}

func (a *account) image(name string) (AccountImage, error) {
	img := AccountImage{Name: name, Horizon: a.horizon}
	for _, number := range slices.Sorted(maps.Keys(a.segments)) {
		raw, err := a.segments[number].encode(a)
		if err != nil {
			return img, err
		}
		img.Segments = append(img.Segments, raw)
	}
	return img, nil
}

func (r *record) image(h keyHash) RecordImage {
	return RecordImage{
		Key: h[:], Fence: r.fence, Digest: r.digest, Endpoint: r.endpoint, Incarnation: r.incarnation,
		Command: r.command[:], State: uint8(r.state), At: r.at, Result: r.result,
	}
}

// Restore returns the ledger with the state in img. It fails if img is malformed.
func Restore(limits Limits, img Image) (*Ledger, error) {
	l := NewLedger(limits, img.InitialHorizon)
	for _, accountImage := range img.Accounts {
		a := l.account(accountImage.Name)
		a.horizon = accountImage.Horizon
		for _, raw := range accountImage.Segments {
			if err := a.restoreSegment(raw); err != nil {
				return nil, errors.Wrapf(err, "client account %s", accountImage.Name)
			}
		}
	}
	for _, k := range img.ResultOrder {
		if len(k.Key) != len(keyHash{}) {
			return nil, errors.New("key hash of a stored result has the wrong length")
		}
		id := recordRef{account: k.Account, key: keyHash(k.Key), fence: k.Fence}
		l.resultOrder = append(l.resultOrder, id)
		if r := l.find(id); r != nil && r.result != nil {
			l.bytes += r.result.bytes()
		}
	}
	return l, nil
}

// restoreSegment adds the records of an encoded segment.
func (a *account) restoreSegment(raw cbor.RawMessage) error {
	var images []RecordImage
	if err := cbor.Unmarshal(raw, &images); err != nil {
		return errors.Wrap(err, "decode segment of records")
	}
	for i := range images {
		if err := a.restore(&images[i]); err != nil {
			return err
		}
	}
	return nil
}

// restore adds one record.
func (a *account) restore(img *RecordImage) error {
	if len(img.Key) != len(keyHash{}) || len(img.Command) != len(keyHash{}) || img.State > uint8(released) {
		return errors.Errorf("record with fencing number %d has a key or command hash of the wrong length or an unknown state", img.Fence)
	}
	r := &record{
		fence: img.Fence, digest: img.Digest, endpoint: img.Endpoint, incarnation: img.Incarnation,
		command: keyHash(img.Command), state: recordState(img.State), result: img.Result, at: img.At,
	}
	a.addRecord(keyHash(img.Key), r)
	return nil
}
