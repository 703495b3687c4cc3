package wire

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 365 * 24 * time.Hour
	// clockSkew is subtracted from the start of a certificate's validity, for processes
	// whose clocks are behind.
	clockSkew = time.Hour

	keyFileMode = 0o600
	pemFileMode = 0o644
	dirMode     = 0o755

	// serialBits is the length of a random serial number.
	serialBits = 128
)

// Authority is the certificate authority of a deployment.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority creates a certificate authority and writes ca.pem and ca.key to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key of certificate authority")
	}
	template, err := newTemplate("rosemary authority", "", authorityValidity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate of authority")
	}
	if err := writeKey(filepath.Join(dir, "ca.key"), key); err != nil {
		return nil, err
	}
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", der, pemFileMode); err != nil {
		return nil, err
	}
	return OpenAuthority(dir)
}

// OpenAuthority reads ca.pem and ca.key from dir.
func OpenAuthority(dir string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return nil, errors.Wrap(err, "read certificate of authority")
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, "ca.key"))
	if err != nil {
		return nil, errors.Wrap(err, "read key of authority")
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, errors.Errorf("no PEM block in ca.pem or ca.key of directory %s", dir)
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate of authority")
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse key of authority")
	}
	return &Authority{cert: cert, key: key, pem: certPEM}, nil
}

// Issue creates a key and a certificate for a process and writes <name>.pem and
// <name>.key to dir. Each file replaces an older one atomically, the key before the
// certificate.
func (a *Authority) Issue(dir, name string, role Role) (*settings.TLS, error) {
	files := &settings.TLS{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(name, role, certificateValidity)
	if err != nil {
		return files, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, errors.Wrap(err, "sign certificate")
	}
	if err := writeKey(files.Key, key); err != nil {
		return files, err
	}
	return files, writePEM(files.Cert, "CERTIFICATE", der, pemFileMode)
}

// selfSigned creates a self-signed certificate, which states a name and a role but
// proves neither.
func selfSigned(name string, role Role) (*tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(name, role, certificateValidity)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// newTemplate returns the common part of a certificate. An empty role is left out.
func newTemplate(name string, role Role, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	subject := pkix.Name{CommonName: name}
	if role != "" {
		subject.OrganizationalUnit = []string{string(role)}
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func writeKey(name string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	return writePEM(name, "EC PRIVATE KEY", der, keyFileMode)
}

// writePEM writes a PEM file and replaces an older one atomically.
func writePEM(name, kind string, der []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(name), dirMode); err != nil {
		return errors.Wrap(err, "create directory for keys")
	}
	temporary := name + ".new"
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return errors.Wrap(err, "write PEM file")
	}
	return errors.Wrap(os.Rename(temporary, name), "replace PEM file")
}
