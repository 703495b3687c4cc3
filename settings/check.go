// Package settings reads the JSON settings of a process and checks them whole:
// every fault is listed with its JSON path, and a file with a fault starts nothing.
package settings

import (
	"os"
	"reflect"

	"github.com/pkg/errors"
)

// Checker is implemented by settings with checks that span several fields.
type Checker interface {
	// CheckSettings returns the faults found, with paths below the value.
	CheckSettings() Faults
}

// Decode decodes raw into dst, a pointer to a struct, and checks it. All faults
// are reported together as Faults, with paths below path. Fields of dst that raw
// does not name keep their values, so that defaults are set beforehand. On
// faults, dst holds what could be decoded.
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
			f.Path = join(path, f.Path)
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

// ReadFile reads and checks the settings file name. When the error is Faults,
// the file holds what could be decoded, so that the caller can check the
// plug-ins' settings too and report everything at once.
func ReadFile(name string) (*File, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	f := &File{}
	return f, Decode("", raw, f)
}
