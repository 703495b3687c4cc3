package once

import (
	"bytes"
	"crypto/sha256"
	"encoding/base32"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// MaxKeyBytes is the most bytes that an idempotency key may have.
const MaxKeyBytes = 255

const (
	ulidLength     = 26
	ulidTimeDigits = 10
	// unixSecondsDigits and unixMillisDigits are the number of decimal digits of a
	// Unix time in seconds and in milliseconds from 2001 to 2286.
	unixSecondsDigits = 10
	unixMillisDigits  = 13

	// Times outside the years from firstYear to lastYear are taken for digits that
	// look like a time by chance.
	firstYear = 2020
	lastYear  = 2099

	uuidVersion7 = 7
	uuidLength   = 36
)

// keyHash identifies an idempotency key. At 128 bits, collisions are negligible.
type keyHash [16]byte

func (h keyHash) compare(o keyHash) int { return bytes.Compare(h[:], o[:]) }

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:len(keyHash{})])
}

// KeyTime returns the time that is encoded in an idempotency key, and whether there
// is one. It recognizes UUIDs of version 7, ULIDs, and keys that begin with a Unix
// time in seconds or milliseconds, or with a time in RFC 3339, followed by "-", "_"
// or ":".
//
// The time need not be correct, but must be stable: the same key always yields the
// same time. Times outside the years 2020 to 2099 are ignored, because digits of a
// random key can look like one.
func KeyTime(key string) (time.Time, bool) {
	for _, parse := range []func(string) (time.Time, bool){uuidTime, ulidTime, unixOrRFC3339Time} {
		if t, ok := parse(key); ok && t.Year() >= firstYear && t.Year() <= lastYear {
			return t, true
		}
	}
	return time.Time{}, false
}

func uuidTime(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}, false
	}
	return time.UnixMilli(bigEndian(id[:6])).UTC(), true
}

// ulidEncoding is Crockford's Base32, in which ULIDs are written.
var ulidEncoding = base32.NewEncoding("0123456789ABCDEFGHJKMNPQRSTVWXYZ").WithPadding(base32.NoPadding)

func ulidTime(key string) (time.Time, bool) {
	if len(key) != ulidLength {
		return time.Time{}, false
	}
	upper := strings.ToUpper(key)
	// The 26 digits hold 130 bits, of which the leading 2 are zero. The first 10
	// digits hold 50 bits, of which the last 48 are the time in milliseconds. Six
	// zero digits in front pad them to the 80 bits of 10 whole bytes.
	padded := "000000" + upper[:ulidTimeDigits]
	raw, err := ulidEncoding.DecodeString(padded)
	if err != nil || upper[0] > '7' {
		return time.Time{}, false
	}
	if _, err := ulidEncoding.DecodeString(upper[ulidTimeDigits:]); err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(bigEndian(raw[2:])).UTC(), true
}

func bigEndian(b []byte) int64 {
	var v int64
	for _, x := range b {
		v = v<<8 | int64(x)
	}
	return v
}

// unixOrRFC3339Time parses the leading time of a key such as "1764794040-bay-7" or
// "2026-12-03T20:34:00Z_7".
func unixOrRFC3339Time(key string) (time.Time, bool) {
	if t, ok := rfc3339Time(key); ok {
		return t, true
	}
	digits := 0
	for digits < len(key) && key[digits] >= '0' && key[digits] <= '9' {
		digits++
	}
	if digits == len(key) || !isSeparator(key[digits]) {
		return time.Time{}, false
	}
	value, err := strconv.ParseInt(key[:digits], 10, 64)
	switch {
	case err != nil:
		return time.Time{}, false
	case digits == unixSecondsDigits:
		return time.Unix(value, 0).UTC(), true
	case digits == unixMillisDigits:
		return time.UnixMilli(value).UTC(), true
	}
	return time.Time{}, false
}

func rfc3339Time(key string) (time.Time, bool) {
	for _, form := range []string{"2006-01-02T15:04:05Z", "2006-01-02T15:04:05+01:00"} {
		length := len(form)
		if len(key) <= length || !isSeparator(key[length]) {
			continue
		}
		if t, err := time.Parse(time.RFC3339, key[:length]); err == nil {
			return t.UTC(), true
		}
	}
	return time.Time{}, false
}

func isSeparator(c byte) bool { return c == '-' || c == '_' || c == ':' }
