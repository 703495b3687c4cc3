package entry

import (
	"crypto/subtle"
	"strings"
	"sync"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const bearerPrefix = "Bearer "

// keyIndex finds the client account of an API key. It indexes the key hashes of one
// configuration revision and is rebuilt when the revision changes. It is safe for concurrent
// use. The zero value is ready.
type keyIndex struct {
	mu       sync.RWMutex
	revision uint64
	built    bool
	// accounts holds the names of client accounts by key hash.
	accounts map[string]string
}

// authenticate returns the client account of an Authorization header. Keys are looked up by
// their hash, and the hash is compared in constant time.
func (k *keyIndex) authenticate(doc *config.Document, header string) (config.Account, error) {
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" {
		return config.Account{}, unauthenticated()
	}
	hash := config.HashKey(key)
	account, ok := doc.Accounts[k.lookup(doc, hash)]
	if !ok {
		return config.Account{}, unauthenticated()
	}
	for _, known := range account.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(known), []byte(hash)) == 1 {
			return account, nil
		}
	}
	return config.Account{}, unauthenticated()
}

// lookup returns the name of the account with the key hash, or an empty string.
func (k *keyIndex) lookup(doc *config.Document, hash string) string {
	k.mu.RLock()
	name, current := k.accounts[hash], k.built && k.revision == doc.Revision
	k.mu.RUnlock()
	if current {
		return name
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.accounts = make(map[string]string, len(doc.Accounts))
	for _, a := range doc.Accounts {
		for _, h := range a.KeyHashes {
			k.accounts[h] = a.Name
		}
	}
	k.revision, k.built = doc.Revision, true
	return k.accounts[hash]
}

// unauthenticated returns the refusal of a request without a valid key.
func unauthenticated() error {
	return verdict.Refuse(verdict.ReasonUnauthenticated, 0, "the request names no key of a client account")
}
