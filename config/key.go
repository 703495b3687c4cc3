package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the SHA-256 digest of a client account's key in hexadecimal, as stored in
// Account.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
