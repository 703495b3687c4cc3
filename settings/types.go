package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a non-negative duration, written as a Go duration string such as "250ms".
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

// MarshalJSON returns the duration string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Number is a finite number. Templates write it as a string, so that a value that is missing is
// reported for its own setting.
type Number float64

// UnmarshalJSON parses a number, or a string that holds one.
func (n *Number) UnmarshalJSON(b []byte) error {
	text := strings.Trim(string(b), `"`)
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(v, 0) || math.IsNaN(v) {
		return errors.Errorf("want a number such as 0.2 or 40, got %q", text)
	}
	*n = Number(v)
	return nil
}

// Port is the number of a TCP or UDP port. Like a Number, it may be written as a string.
type Port uint16

// UnmarshalJSON parses a port number, or a string that holds one.
func (p *Port) UnmarshalJSON(b []byte) error {
	text := strings.Trim(string(b), `"`)
	v, err := strconv.ParseUint(text, 10, 16)
	if err != nil || v == 0 {
		return errors.Errorf("want a port from 1 to 65535, got %q", text)
	}
	*p = Port(v)
	return nil
}

// Names is a list of names. It may be written as a string with commas between them, as templates do.
type Names []string

// UnmarshalJSON parses a list of strings, or a string that holds them. An empty string holds none.
func (n *Names) UnmarshalJSON(b []byte) error {
	var list []string
	if json.Unmarshal(b, &list) == nil {
		*n = list
		return nil
	}
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return errors.New(`want a list of names, or a string such as "first,second"`)
	}
	*n = nil
	if text != "" {
		*n = strings.Split(text, ",")
	}
	return nil
}

// Addr is an IP address and port. Host names are refused, because processes address each
// other by IP address only.
type Addr string

// UnmarshalJSON parses a string with ParseAddr.
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

// ParseAddr returns s as an Addr, or an error if s is not an IP address and port.
func ParseAddr(s string) (Addr, error) {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return "", errors.Errorf(`want an IP address and port such as "127.0.0.1:7000", got %q`, s)
	}
	return Addr(s), nil
}

// Addrs converts addresses to strings.
func Addrs(in []Addr) []string {
	out := make([]string, len(in))
	for i, a := range in {
		out[i] = string(a)
	}
	return out
}

// Node identifies a process and its location.
type Node struct {
	// Name is unique among the processes of a deployment.
	Name string `json:"name" validate:"required"`
	// Region is the region of the VM.
	Region string `json:"region" validate:"required"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone" validate:"required"`
	// BindIP is the IP address on which the process listens for other processes, and from which
	// it connects to them, if they reach it at another, translated one. By default it listens on
	// the address that it names to them.
	BindIP string `json:"bind_ip,omitempty" validate:"omitempty,ip"`
}

// TLS names the files of a process's TLS identity. The files are read again when they
// change, so that keys are rotated without a restart.
type TLS struct {
	// Trust says which peers the process trusts. With "authority", the default, peers need
	// a certificate signed by the deployment's certificate authority. With "network", every
	// peer that can reach the process's port is trusted; connections are encrypted but not
	// authenticated. It is for platforms that distribute no secrets and restrict that
	// network to the deployment.
	Trust string `json:"trust,omitempty" validate:"omitempty,oneof=authority network"`
	// CA is the PEM file of the deployment's certificate authority.
	CA string `json:"ca,omitempty" validate:"required_unless=Trust network"`
	// Cert is the PEM file of the process's certificate chain.
	Cert string `json:"cert,omitempty" validate:"required_unless=Trust network"`
	// Key is the PEM file of the process's private key.
	Key string `json:"key,omitempty" validate:"required_unless=Trust network"`
}

// TrustNetwork is the value of TLS.Trust with which peers are not authenticated.
const TrustNetwork = "network"

// Log configures the process's log.
type Log struct {
	// Level is the lowest level that is written: "debug", "info", "warn" or "error".
	Level string `json:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Zone is an availability zone of the deployment.
type Zone struct {
	// Region is the region that the zone is in.
	Region string `json:"region" validate:"required"`
	// Name is the zone's name.
	Name string `json:"name" validate:"required"`
}

// File is the complete settings file of one process.
type File struct {
	// Node identifies the process and its location.
	Node Node `json:"node"`
	// Log configures the log.
	Log Log `json:"log"`
	// TLS is the identity for connections between processes. A process that runs only
	// stand-ins for engines and other services, as tests and trials do, needs none.
	TLS *TLS `json:"tls,omitempty"`
	// Operator is the address that serves metrics and profiles over HTTP. Empty turns it off.
	Operator Addr `json:"operator,omitempty"`
	// Zones lists the availability zones of the deployment. If it is set, it must contain
	// the node's region and zone.
	Zones []Zone `json:"zones,omitempty" validate:"dive"`
	// Plugins holds the settings of each plug-in under its identifier. The process runs all
	// plug-ins named here.
	Plugins map[string]json.RawMessage `json:"plugins" validate:"required,min=1"`
}

var _ Checker = (*File)(nil)

// CheckSettings checks the node's region and zone against Zones.
func (f *File) CheckSettings() Faults {
	return f.checkZone()
}

// checkZone returns a fault if Zones is set and does not contain the node's zone.
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
	if suggestion := Nearest(f.Node.Zone, names); suggestion != "" {
		problem = fmt.Sprintf("no zone %q in this deployment; did you mean %q?", f.Node.Zone, suggestion)
	}
	return Faults{{Path: "node.zone", Problem: problem}}
}

// checkRegion returns a fault if z, the node's zone, is in another region than the node's.
func (f *File) checkRegion(z Zone) Faults {
	if f.Node.Region == z.Region {
		return nil
	}
	problem := fmt.Sprintf("zone %q is in region %q, not in %q", z.Name, z.Region, f.Node.Region)
	return Faults{{Path: "node.region", Problem: problem}}
}
