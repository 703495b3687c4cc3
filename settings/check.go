// Package settings reads the JSON settings of a process and checks all of them. It lists
// every fault with its JSON path. A process whose settings have a fault does not start.
package settings

import (
	"os"
	"reflect"

	"github.com/pkg/errors"
)

// Checker is implemented by settings with checks that involve several fields.
type Checker interface {
	// CheckSettings returns the faults found, with paths relative to the value.
	CheckSettings() Faults
}

// Noter is implemented by settings that leave something out which an operator may expect.
type Noter interface {
	// Notes returns a line for each, with a path relative to the value.
	Notes() []string
}

// Decode decodes raw into dst, a pointer to a struct, and checks it. Its error is Faults and
// lists all faults, with JSON paths below path. Fields of dst that raw does not set keep
// their values, so the caller sets defaults beforehand. When there are faults, dst holds
// what could be decoded.
func Decode(path string, raw []byte, dst any) error {
	w := &walker{present: map[string]bool{}}
	if fault, ok := checkSyntax(path, raw); !ok {
		return Faults{fault}
	}
	w.value(path, raw, reflect.ValueOf(dst).Elem())
	faults := w.faults
	for _, f := range validateStruct(path, dst, w.present) {
		if !faults.covers(f.Path) {
			faults = append(faults, f)
		}
	}
	if c, ok := dst.(Checker); ok {
		for _, f := range c.CheckSettings() {
			f.Path = joinPath(path, f.Path)
			if !faults.covers(f.Path) {
				faults = append(faults, f)
			}
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// ReadFile reads and checks the settings file at path name, except for the settings of the
// plug-ins. When the error is Faults, the returned File holds what could be decoded, so that
// the caller can check the plug-ins' settings too and report all faults at once.
func ReadFile(name string) (*File, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	f := &File{}
	return f, Decode("", raw, f)
}
