package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time span written as a Go duration string, such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalJSON parses a duration string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.New(`want a duration such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf(`want a duration such as "250ms", got %q`, s)
	}
	if v < 0 {
		return errors.Errorf("want a duration of zero or more, got %q", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Addr is an IP address and port. Host names are refused: processes meet by IP number.
type Addr string

// UnmarshalJSON checks that the address is an IP number and a port.
func (a *Addr) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.New(`want an address such as "127.0.0.1:7000"`)
	}
	parsed, err := ParseAddr(s)
	if err != nil {
		return err
	}
	*a = parsed
	return nil
}

// ParseAddr checks that s is an IP number and a port.
func ParseAddr(s string) (Addr, error) {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return "", errors.Errorf(`want an IP address and port such as "127.0.0.1:7000", got %q`, s)
	}
	return Addr(s), nil
}

// Addrs returns the addresses as strings.
func Addrs(in []Addr) []string {
	out := make([]string, len(in))
	for i, a := range in {
		out[i] = string(a)
	}
	return out
}

// Node says who a process is and where it stands.
type Node struct {
	// Name is unique among the processes of a deployment.
	Name string `json:"name" validate:"required"`
	// Region is the region of the VM.
	Region string `json:"region" validate:"required"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone" validate:"required"`
}

// TLS names the files of a process's identity. The files are read again when
// they change, so that keys rotate without a restart.
type TLS struct {
	// Trust says whom the process believes. With "authority", the default, peers show
	// certificates of the deployment's authority. With "network" everybody who reaches
	// the process's port is believed, and connections are encrypted only: it is for
	// platforms that hand out no secrets and keep that network to the deployment.
	Trust string `json:"trust,omitempty" validate:"omitempty,oneof=authority network"`
	// CA is the PEM file of the deployment's certificate authority.
	CA string `json:"ca,omitempty" validate:"required_unless=Trust network"`
	// Cert is the PEM file of the process's certificate chain.
	Cert string `json:"cert,omitempty" validate:"required_unless=Trust network"`
	// Key is the PEM file of the process's private key.
	Key string `json:"key,omitempty" validate:"required_unless=Trust network"`
}

// TrustNetwork is the value of TLS.Trust that believes everybody.
const TrustNetwork = "network"

// Log sets the process's log.
type Log struct {
	// Level is one of "debug", "info", "warn" and "error".
	Level string `json:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Zone is an availability zone that the deployment knows.
type Zone struct {
	// Region is the region that the zone is in.
	Region string `json:"region" validate:"required"`
	// Name is the zone's name.
	Name string `json:"name" validate:"required"`
}

// File is the whole settings file of one process.
type File struct {
	// Node says who the process is.
	Node Node `json:"node"`
	// Log sets the log.
	Log Log `json:"log"`
	// TLS is the identity for connections between processes. A stand-in needs none.
	TLS *TLS `json:"tls,omitempty"`
	// Operator is the address of metrics, health and profiles. Empty turns it off.
	Operator Addr `json:"operator,omitempty"`
	// Zones lists the availability zones of the deployment. When it is set, the
	// node's region and zone have to be in it.
	Zones []Zone `json:"zones,omitempty" validate:"dive"`
	// Plugins holds each plug-in's own settings under its identifier. All run.
	Plugins map[string]json.RawMessage `json:"plugins" validate:"required,min=1"`
}

var _ Checker = (*File)(nil)

// CheckSettings checks that the process's zone is known to the deployment.
func (f *File) CheckSettings() Faults {
	return f.checkZone()
}

func (f *File) checkZone() Faults {
	if len(f.Zones) == 0 || f.Node.Zone == "" {
		return nil
	}
	names := make([]string, len(f.Zones))
	for i, z := range f.Zones {
		names[i] = z.Name
		if z.Name == f.Node.Zone {
			return f.checkRegion(z)
		}
	}
	problem := fmt.Sprintf("no zone %q in this deployment; known: %s", f.Node.Zone, strings.Join(names, ", "))
	if near := Nearest(f.Node.Zone, names); near != "" {
		problem = fmt.Sprintf("no zone %q in this deployment; did you mean %q?", f.Node.Zone, near)
	}
	return Faults{{Path: "node.zone", Problem: problem}}
}

func (f *File) checkRegion(z Zone) Faults {
	if f.Node.Region == z.Region {
		return nil
	}
	problem := fmt.Sprintf("zone %q is in region %q, not in %q", z.Name, z.Region, f.Node.Region)
	return Faults{{Path: "node.region", Problem: problem}}
}
