package wire

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// Role is the kind of process that a certificate authenticates. It determines what the
// process may do.
type Role string

// The roles. A certificate has its role as the organizational unit of its subject.
const (
	RoleEntry    Role = "entry"
	RoleSidecar  Role = "sidecar"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// Peer is the process at the other end of a connection, as its certificate names it. The
// certificate is verified unless the settings say that the network is trusted.
type Peer struct {
	// Name is the common name of the peer's certificate.
	Name string
	// Role is the organizational unit of the peer's certificate, empty if it has none.
	Role Role
}

// protocol is the ALPN identifier of the protocol, with its version.
const protocol = "rosemary/1"

// reloadInterval is the minimum time between two checks whether the identity's files
// have changed.
const reloadInterval = time.Second

// Identity is the certificate of a process and the authority that the process trusts. It
// reloads its files when they change, so that keys can be rotated without a restart.
type Identity struct {
	// files is nil for an identity that accepts every peer certificate without
	// verification.
	files *settings.TLS
	// bindIP replaces the host of listen addresses, and is the source of connections, unless it
	// is empty.
	bindIP string
	// resetSecret is what resetKey is derived from. It is empty if the process keeps no secret.
	resetSecret []byte

	// mu guards the fields below.
	mu          sync.Mutex
	lastChecked time.Time
	modTimes    [3]time.Time
	cert        *tls.Certificate
	pool        *x509.CertPool
}

// OpenIdentity returns the identity of a process that the settings describe. If they say
// that the network is trusted, it generates a self-signed certificate with the name of the
// process and its role, and accepts every peer certificate without verification.
func OpenIdentity(s *settings.TLS, node settings.Node, role Role) (*Identity, error) {
	if s == nil || s.Trust != settings.TrustNetwork {
		id, err := LoadIdentity(s)
		if err == nil {
			id.bindIP = node.BindIP
		}
		return id, err
	}
	cert, err := selfSigned(node.Name, role)
	if err != nil {
		return nil, err
	}
	return &Identity{cert: cert, bindIP: node.BindIP}, nil
}

// BindAddr returns the address to listen on for connections to addr, see settings.Node.BindIP.
func (id *Identity) BindAddr(addr string) (string, error) {
	if id.bindIP == "" {
		return addr, nil
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return "", errors.Wrapf(err, "parse listen address %q", addr)
	}
	return net.JoinHostPort(id.bindIP, port), nil
}

// LoadIdentity reads an identity from its files.
func LoadIdentity(files *settings.TLS) (*Identity, error) {
	if files == nil {
		return nil, errors.New("no certificate, key and CA files are configured")
	}
	id := &Identity{files: files}
	err := id.reload()
	if err == nil {
		id.resetSecret, err = privateKeySecret(id.cert.PrivateKey)
	}
	if err != nil {
		return nil, err
	}
	return id, nil
}

// reload reads all files. The identity stays unchanged if one of them cannot be read.
// The caller holds id.mu, unless no other goroutine has the identity yet.
func (id *Identity) reload() error {
	cert, err := tls.LoadX509KeyPair(id.files.Cert, id.files.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(id.files.CA)
	if err != nil {
		return errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("no certificate in %s", id.files.CA)
	}
	id.cert, id.pool = &cert, pool
	id.modTimes = id.readModTimes()
	return nil
}

// readModTimes returns the modification times of the files, zero for a missing one.
func (id *Identity) readModTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{id.files.CA, id.files.Cert, id.files.Key} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the current certificate and pool of authorities, after a reload if
// the files have changed. While files cannot be read, as during a rotation, the old
// ones stay in use.
func (id *Identity) current() (*tls.Certificate, *x509.CertPool) {
	if id.files == nil {
		return id.cert, nil
	}
	id.mu.Lock()
	defer id.mu.Unlock()
	if now := time.Now(); now.Sub(id.lastChecked) > reloadInterval {
		id.lastChecked = now
		if id.readModTimes() != id.modTimes {
			_ = id.reload()
		}
	}
	return id.cert, id.pool
}

// verify returns a function that verifies the peer's certificate chain against the
// authority. It does not compare host names, because processes connect by IP address
// and are authorized by role.
func (id *Identity) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		if id.files == nil {
			return nil
		}
		_, pool := id.current()
		inter := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			inter.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         pool,
			Intermediates: inter,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		return errors.Wrap(err, "verify peer certificate")
	}
}

// ServerConfig returns the TLS configuration of a listener.
func (id *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := id.current()
			return cert, nil
		},
		VerifyConnection: id.verify(x509.ExtKeyUsageClientAuth),
	}
}

// ClientConfig returns the TLS configuration of a dialer.
func (id *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain, without a host name.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := id.current()
			return cert, nil
		},
		VerifyConnection: id.verify(x509.ExtKeyUsageServerAuth),
	}
}

// peerOf returns the peer that a certificate names.
func peerOf(state tls.ConnectionState) Peer {
	if len(state.PeerCertificates) == 0 {
		return Peer{}
	}
	subject := state.PeerCertificates[0].Subject
	p := Peer{Name: subject.CommonName}
	if len(subject.OrganizationalUnit) > 0 {
		p.Role = Role(subject.OrganizationalUnit[0])
	}
	return p
}
