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

// MaxKeyBytes bounds an idempotency key.
const MaxKeyBytes = 255

const (
	ulidLength     = 26
	ulidTimeDigits = 10
	// unixSeconds and unixMillis are how many digits such times have in this era.
	unixSeconds = 10
	unixMillis  = 13

	firstYear = 2020
	lastYear  = 2099

	uuidVersion7 = 7
	uuidLength   = 36
)

// keyHash stands for a key. It is long enough that two keys never meet.
type keyHash [16]byte

func (h keyHash) compare(o keyHash) int { return bytes.Compare(h[:], o[:]) }

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:len(keyHash{})])
}

// KeyTime returns the time that an idempotency key carries, if it carries one. It
// knows UUIDs of version 7, ULIDs, and keys that begin with a time in Unix
// seconds or milliseconds, or in RFC 3339, followed by "-", "_" or ":".
//
// Only the time's stability matters: the same key always yields the same time.
// A time outside this century's plausible years is taken for chance.
func KeyTime(key string) (time.Time, bool) {
	for _, parse := range []func(string) (time.Time, bool){uuidTime, ulidTime, prefixTime} {
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

// crockford is the alphabet of ULIDs.
var crockford = base32.NewEncoding("0123456789ABCDEFGHJKMNPQRSTVWXYZ").WithPadding(base32.NoPadding)

func ulidTime(key string) (time.Time, bool) {
	if len(key) != ulidLength {
		return time.Time{}, false
	}
	upper := strings.ToUpper(key)
	// 26 digits hold 130 bits; the leading 2 are zero. The 10 digits of the time
	// hold 50 bits, of which 48 are the milliseconds.
	padded := "000000" + upper[:ulidTimeDigits]
	raw, err := crockford.DecodeString(padded)
	if err != nil || upper[0] > '7' {
		return time.Time{}, false
	}
	if _, err := crockford.DecodeString(upper[ulidTimeDigits:]); err != nil {
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

// prefixTime reads a key such as "1764794040-bay-7" or "2026-12-03T20:34:00Z_7".
func prefixTime(key string) (time.Time, bool) {
	if t, ok := rfc3339Prefix(key); ok {
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
	case digits == unixSeconds:
		return time.Unix(value, 0).UTC(), true
	case digits == unixMillis:
		return time.UnixMilli(value).UTC(), true
	}
	return time.Time{}, false
}

func rfc3339Prefix(key string) (time.Time, bool) {
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
