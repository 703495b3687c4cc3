package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

const (
	// defaultFile is the settings file that is read if it exists and no other is named.
	defaultFile         = "rosemaryctl.json"
	defaultIdentityName = "operator"
	defaultTimeout      = 10 * time.Second
)

// options holds the flags of all commands; addFlags describes them.
type options struct {
	settingsFile string
	control      []string
	tlsFolder    string
	identityName string
	orderID      string
	json         bool
	timeout      time.Duration
}

// access holds the settings of the connections to control.
type access struct {
	// Control lists the addresses of the replicas of control.
	Control []settings.Addr `json:"control" validate:"min=1"`
	// TLS names the files of the operator's certificate, its key and the authority.
	TLS *settings.TLS `json:"tls"`
}

func (o *options) addFlags(root *cobra.Command) {
	f := root.PersistentFlags()
	f.StringVarP(&o.settingsFile, "settings", "s", "", `the JSON file with control's addresses and the operator's identity (default "`+defaultFile+`" where it exists)`)
	f.StringSliceVar(&o.control, "control", nil, "the addresses of control's replicas, such as 127.0.0.1:7000,127.0.0.1:7001")
	f.StringVar(&o.tlsFolder, "tls", "", "the folder with ca.pem and the operator's .pem and .key")
	f.StringVar(&o.identityName, "name", defaultIdentityName, "the name of the operator's files in the folder of --tls")
	f.StringVar(&o.orderID, "id", "", "give an order again under the identifier of a sending whose answer was lost")
	f.BoolVar(&o.json, "json", false, "print results as JSON, one value a line")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "the time for one statement; wait has its own")
}

// access returns the settings from the settings file, overridden by the flags.
func (o *options) access() (*access, error) {
	a := &access{}
	if raw, err := o.readSettings(); err != nil {
		return nil, err
	} else if raw != nil {
		if err := settings.Decode("", raw, a); err != nil {
			return nil, err
		}
	}
	if o.tlsFolder != "" {
		a.TLS = &settings.TLS{
			CA:   filepath.Join(o.tlsFolder, "ca.pem"),
			Cert: filepath.Join(o.tlsFolder, o.identityName+".pem"),
			Key:  filepath.Join(o.tlsFolder, o.identityName+".key"),
		}
	}
	if len(o.control) > 0 {
		a.Control = nil
	}
	for _, addr := range o.control {
		parsed, err := settings.ParseAddr(addr)
		if err != nil {
			return nil, &cli.UsageError{Err: errors.Wrap(err, "--control")}
		}
		a.Control = append(a.Control, parsed)
	}
	return a, a.check()
}

// readSettings returns the content of the settings file. It returns nil if no file is named and
// the default one does not exist.
func (o *options) readSettings() ([]byte, error) {
	name := o.settingsFile
	if name == "" {
		name = defaultFile
	}
	raw, err := os.ReadFile(name)
	if os.IsNotExist(err) && o.settingsFile == "" {
		return nil, nil
	}
	if err != nil {
		return nil, &cli.UsageError{Err: errors.Wrap(err, "read settings")}
	}
	return raw, nil
}

// check refuses settings without addresses or without a certificate.
func (a *access) check() error {
	switch {
	case len(a.Control) == 0:
		return &cli.UsageError{Err: errors.New("say where control is, with --control or in " + defaultFile)}
	case a.TLS.Cert == "":
		return &cli.UsageError{Err: errors.New("say where the operator's identity is, with --tls or in " + defaultFile)}
	}
	return nil
}
