package wire

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

// Role is what a process may do, as its certificate says.
type Role string

// The roles. A certificate carries its role as its organizational unit.
const (
	RoleEntry    Role = "entry"
	RoleSidecar  Role = "sidecar"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// Peer is the authenticated process at the other end of a connection.
type Peer struct {
	// Name is the common name of the peer's certificate.
	Name string
	// Role is what the peer may do.
	Role Role
}

// protocol is the ALPN name of this protocol and its version.
const protocol = "rosemary/1"

// reloadInterval is how often the identity's files are looked at for a change.
const reloadInterval = time.Second

// Identity is a process's certificate and the authority it trusts. It reads its
// files again when they change, so that keys rotate without a restart.
type Identity struct {
	// files is nil for an identity that believes everybody.
	files *settings.TLS

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// OpenIdentity returns the identity that the settings ask for. One that trusts the
// network is made anew at each start, under the name and role that are given.
func OpenIdentity(s *settings.TLS, name string, role Role) (*Identity, error) {
	if s == nil || s.Trust != settings.TrustNetwork {
		return LoadIdentity(s)
	}
	cert, err := selfSigned(name, role)
	if err != nil {
		return nil, err
	}
	return &Identity{cert: cert}, nil
}

// LoadIdentity reads the identity's files.
func LoadIdentity(files *settings.TLS) (*Identity, error) {
	if files == nil {
		return nil, errors.New("no files of an identity are set")
	}
	id := &Identity{files: files}
	if err := id.reload(); err != nil {
		return nil, err
	}
	return id, nil
}

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
	id.stamp = id.modified()
	return nil
}

func (id *Identity) modified() [3]time.Time {
	var stamp [3]time.Time
	for i, name := range []string{id.files.CA, id.files.Cert, id.files.Key} {
		if info, err := os.Stat(name); err == nil {
			stamp[i] = info.ModTime()
		}
	}
	return stamp
}

// current returns the certificate and pool in force. Files that cannot be read
// in the middle of a rotation leave the old ones in force.
func (id *Identity) current() (*tls.Certificate, *x509.CertPool) {
	if id.files == nil {
		return id.cert, nil
	}
	id.mu.Lock()
	defer id.mu.Unlock()
	if now := time.Now(); now.Sub(id.checked) > reloadInterval {
		id.checked = now
		if id.modified() != id.stamp {
			_ = id.reload()
		}
	}
	return id.cert, id.pool
}

// verify checks the peer's chain against the authority. Names are not compared
// with addresses: processes meet by IP number and are told apart by role.
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
		return errors.Wrap(err, "verify peer")
	}
}

// ServerConfig returns the TLS settings of a listener.
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

// ClientConfig returns the TLS settings of a dialer.
func (id *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, // VerifyConnection checks the chain without a host name.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := id.current()
			return cert, nil
		},
		VerifyConnection: id.verify(x509.ExtKeyUsageServerAuth),
	}
}

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
