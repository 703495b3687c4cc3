package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the digest under which the configuration keeps a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
