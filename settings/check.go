// Package settings reads the JSON settings of a process and checks them whole:
// every fault is listed with its JSON path, and a file with a fault starts nothing.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	// Path is the JSON path, such as "plugins.entry.listen".
	Path string
	// Problem says what is wrong and what is expected.
	Problem string
}

// Faults is the error that lists everything wrong with a settings file.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fmt.Sprintf("%s: %s", fault.Path, fault.Problem)
	}
	return strings.Join(lines, "\n")
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// Decode decodes raw into dst, a pointer to a struct, and checks it. Faults are
// reported below path.
func Decode(path string, raw []byte, dst any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return Faults{{Path: path, Problem: err.Error()}}
	}
	err := validate.Struct(dst)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	faults := make(Faults, len(fields))
	for i, f := range fields {
		_, below, _ := strings.Cut(f.Namespace(), ".")
		faults[i] = Fault{Path: join(path, below), Problem: fmt.Sprintf("fails the check %q %s", f.Tag(), f.Param())}
	}
	return faults
}

func join(path, below string) string {
	if path == "" {
		return below
	}
	return path + "." + below
}

// ReadFile reads and checks the settings file name.
func ReadFile(name string) (*File, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	f := &File{}
	if err := Decode("", raw, f); err != nil {
		return nil, err
	}
	return f, nil
}
