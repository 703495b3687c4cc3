package once

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Image is a Ledger as plain data for a snapshot. Equal ledgers have equal images.
type Image struct {
	InitialHorizon time.Time      `cbor:"1,keyasint"`
	Accounts       []AccountImage `cbor:"2,keyasint"`
	// ResultOrder lists the records with results, oldest first.
	ResultOrder []ResultRef `cbor:"3,keyasint"`
}

// AccountImage is the part of one client account.
type AccountImage struct {
	Name    string    `cbor:"1,keyasint"`
	Horizon time.Time `cbor:"2,keyasint"`
	// Segments are lists of RecordImage in CBOR.
	Segments []cbor.RawMessage `cbor:"3,keyasint"`
}

// RecordImage is one record.
type RecordImage struct {
	Key         []byte `cbor:"1,keyasint"`
	Fence       uint64 `cbor:"2,keyasint"`
	Digest      uint64 `cbor:"3,keyasint"`
	Endpoint    string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Command     []byte `cbor:"6,keyasint"`
	State       uint8  `cbor:"7,keyasint"`
	// At is the time that the key carries, in nanoseconds since 1970; zero when
	// it carries none.
	At     int64   `cbor:"8,keyasint"`
	Result *Result `cbor:"9,keyasint,omitempty"`
}

// ResultRef names a record with a result.
type ResultRef struct {
	Account string `cbor:"1,keyasint"`
	Key     []byte `cbor:"2,keyasint"`
	Fence   uint64 `cbor:"3,keyasint"`
}

// Image returns the ledger's state. It shares the segments with the ledger.
func (l *Ledger) Image() (Image, error) {
	img := Image{InitialHorizon: l.first}
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		account, err := l.accounts[name].image(name)
		if err != nil {
			return img, err
		}
		img.Accounts = append(img.Accounts, account)
	}
	for _, k := range l.kept {
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

// Restore returns the ledger that img describes.
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
			return nil, errors.New("kept result with a damaged key")
		}
		name := ref{account: k.Account, key: keyHash(k.Key), fence: k.Fence}
		l.kept = append(l.kept, name)
		if r := l.find(name); r != nil && r.result != nil {
			l.bytes += r.result.bytes()
		}
	}
	return l, nil
}

func (a *account) restoreSegment(raw cbor.RawMessage) error {
	var images []RecordImage
	if err := cbor.Unmarshal(raw, &images); err != nil {
		return errors.Wrap(err, "decode claims")
	}
	for i := range images {
		if err := a.restore(&images[i]); err != nil {
			return err
		}
	}
	return nil
}

func (a *account) restore(img *RecordImage) error {
	if len(img.Key) != len(keyHash{}) || len(img.Command) != len(keyHash{}) || img.State > uint8(released) {
		return errors.Errorf("damaged record of claim %d", img.Fence)
	}
	r := &record{
		fence: img.Fence, digest: img.Digest, endpoint: img.Endpoint, incarnation: img.Incarnation,
		command: keyHash(img.Command), state: progress(img.State), result: img.Result, at: img.At,
	}
	a.add(keyHash(img.Key), r)
	return nil
}
