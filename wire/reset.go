package wire

import (
	"crypto"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// A server that has restarted answers packets of connections that it does not know with a stateless
// reset (RFC 9000, section 10.3), which ends them at the peer within a round trip. Without it a peer
// finds out only by a timeout. Resets need a key that is the same after a restart and that nobody else
// can compute, since whoever has it can end the server's connections.

const (
	// resetSecretBytes is the length of a generated secret.
	resetSecretBytes = 32
	// resetSecretMode is the file mode of a stored secret.
	resetSecretMode = 0o600
	// resetKeyLabel separates reset keys from other keys that may be derived from the same secret.
	resetKeyLabel = "rosemary stateless reset "
)

// privateKeySecret returns the secret for resets of a process that has its private key after a restart.
func privateKeySecret(key crypto.PrivateKey) ([]byte, error) {
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	return secret, errors.Wrap(err, "encode private key")
}

// KeepResetSecret sets the secret for resets to the one in the file at path, and creates the file if it
// does not hold one. It has no effect on an identity with a private key from a file, from which the
// secret follows. If the file is lost, connections of before a restart end by their timeouts.
func (id *Identity) KeepResetSecret(path string) error {
	if id.files != nil {
		return nil
	}
	secret, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "read secret of stateless resets")
	}
	if len(secret) != resetSecretBytes {
		secret = make([]byte, resetSecretBytes)
		// crypto/rand.Read returns no error.
		_, _ = rand.Read(secret)
		if err := os.WriteFile(path, secret, resetSecretMode); err != nil {
			return errors.Wrap(err, "store secret of stateless resets")
		}
	}
	id.resetSecret = secret
	return nil
}

// resetKey returns the key for resets of the server at addr, or nil without a secret. It differs by
// address, so that a server never sends a reset for the connection of another one.
func (id *Identity) resetKey(addr string) (*quic.StatelessResetKey, error) {
	if len(id.resetSecret) == 0 {
		return nil, nil
	}
	var key quic.StatelessResetKey
	derived, err := hkdf.Key(sha256.New, id.resetSecret, nil, resetKeyLabel+addr, len(key))
	if err != nil {
		return nil, errors.Wrap(err, "derive key of stateless resets")
	}
	copy(key[:], derived)
	return &key, nil
}
