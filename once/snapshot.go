package once

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Image is a Ledger as plain data for a snapshot. Equal ledgers have equal images.
type Image struct {
	First    time.Time      `cbor:"1,keyasint"`
	Accounts []AccountImage `cbor:"2,keyasint"`
	// Kept lists the records with results, oldest first.
	Kept []KeptImage `cbor:"3,keyasint"`
}

// AccountImage is the part of one client account.
type AccountImage struct {
	Name    string        `cbor:"1,keyasint"`
	Horizon time.Time     `cbor:"2,keyasint"`
	Records []RecordImage `cbor:"3,keyasint"`
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

// KeptImage names a record with a result.
type KeptImage struct {
	Account string `cbor:"1,keyasint"`
	Key     []byte `cbor:"2,keyasint"`
	Fence   uint64 `cbor:"3,keyasint"`
}

// Image returns the ledger's state.
func (l *Ledger) Image() Image {
	img := Image{First: l.first}
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		img.Accounts = append(img.Accounts, l.accounts[name].image(name))
	}
	for _, k := range l.kept {
		img.Kept = append(img.Kept, KeptImage{Account: k.account, Key: k.key[:], Fence: k.fence})
	}
	return img
}

func (a *account) image(name string) AccountImage {
	times := make(map[keyHash]int64, len(a.timed))
	for _, t := range a.timed {
		times[t.key] = t.at.UnixNano()
	}
	hashes := slices.SortedFunc(maps.Keys(a.records), func(x, y keyHash) int {
		if x.less(y) {
			return -1
		}
		return 1
	})
	img := AccountImage{Name: name, Horizon: a.horizon, Records: make([]RecordImage, 0, len(hashes))}
	for _, h := range hashes {
		r := a.records[h]
		img.Records = append(img.Records, RecordImage{
			Key: h[:], Fence: r.fence, Digest: r.digest, Endpoint: r.endpoint, Incarnation: r.incarnation,
			Command: r.command[:], State: uint8(r.state), At: times[h], Result: r.result,
		})
	}
	return img
}

// Restore returns the ledger that img describes.
func Restore(limits Limits, img Image) (*Ledger, error) {
	l := NewLedger(limits, img.First)
	for _, accountImage := range img.Accounts {
		a := l.account(accountImage.Name)
		a.horizon = accountImage.Horizon
		for i := range accountImage.Records {
			if err := a.restore(&accountImage.Records[i]); err != nil {
				return nil, errors.Wrapf(err, "client account %s", accountImage.Name)
			}
		}
	}
	for _, k := range img.Kept {
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

func (a *account) restore(img *RecordImage) error {
	if len(img.Key) != len(keyHash{}) || len(img.Command) != len(keyHash{}) || img.State > uint8(released) {
		return errors.Errorf("damaged record of claim %d", img.Fence)
	}
	r := &record{
		fence: img.Fence, digest: img.Digest, endpoint: img.Endpoint, incarnation: img.Incarnation,
		command: keyHash(img.Command), state: progress(img.State), result: img.Result,
	}
	a.add(keyHash(img.Key), r, time.Unix(0, img.At).UTC(), img.At != 0)
	return nil
}
