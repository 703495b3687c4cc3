package settings

import (
	"encoding/json"
	"net/netip"
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
		return errors.New(`want a duration such as "250ms"`)
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
	if _, err := netip.ParseAddrPort(s); err != nil {
		return errors.New(`want an IP address and port such as "127.0.0.1:7000"`)
	}
	*a = Addr(s)
	return nil
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
	// CA is the PEM file of the deployment's certificate authority.
	CA string `json:"ca" validate:"required"`
	// Cert is the PEM file of the process's certificate chain.
	Cert string `json:"cert" validate:"required"`
	// Key is the PEM file of the process's private key.
	Key string `json:"key" validate:"required"`
}

// Log sets the process's log.
type Log struct {
	// Level is one of "debug", "info", "warn" and "error".
	Level string `json:"level" validate:"omitempty,oneof=debug info warn error"`
}

// File is the whole settings file of one process.
type File struct {
	// Node says who the process is.
	Node Node `json:"node"`
	// Log sets the log.
	Log Log `json:"log"`
	// TLS is the identity for connections between processes.
	TLS TLS `json:"tls"`
	// Operator is the address of metrics, health and profiles. Empty turns it off.
	Operator Addr `json:"operator,omitempty"`
	// Plugins holds each plug-in's own settings under its identifier. All run.
	Plugins map[string]json.RawMessage `json:"plugins" validate:"required,min=1"`
}
