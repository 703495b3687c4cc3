package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	// Path is the JSON path, such as "plugins.entry.listen".
	Path string `json:"path"`
	// Problem says what is wrong and what is expected.
	Problem string `json:"problem"`
}

// Faults is the error that lists everything wrong with a settings file.
type Faults []Fault

var _ error = Faults(nil)

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// String describes the fault in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem
	}
	return fmt.Sprintf("%s: %s", f.Path, f.Problem)
}

// covers reports whether a fault at path, or at a value that holds it, is listed.
func (f Faults) covers(path string) bool {
	for _, fault := range f {
		if within(path, fault.Path) {
			return true
		}
	}
	return false
}

// within reports whether path is outer or lies below it.
func within(path, outer string) bool {
	if outer == "" {
		return true
	}
	rest, ok := strings.CutPrefix(path, outer)
	if !ok {
		return false
	}
	return rest == "" || rest[0] == '.' || rest[0] == '['
}

func join(path, below string) string {
	if path == "" {
		return below
	}
	if strings.HasPrefix(below, "[") {
		return path + below
	}
	return path + "." + below
}
