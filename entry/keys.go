package entry

import (
	"crypto/subtle"
	"strings"
	"sync"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

const bearerPrefix = "Bearer "

// keyIndex finds the client account of a key. It keeps an index of the key hashes
// of one configuration revision. The zero value is ready.
type keyIndex struct {
	mu       sync.RWMutex
	revision uint64
	built    bool
	accounts map[string]string
}

// authenticate returns the account of an Authorization header. Only the digest
// of a key is looked up, and it is compared in constant time.
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

func unauthenticated() error {
	return verdict.Refuse(verdict.ReasonUnauthenticated, 0, "the request names no key of a client account")
}
