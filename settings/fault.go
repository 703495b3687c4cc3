package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	// Path is the JSON path of the setting, such as "plugins.entry.listen".
	Path string `json:"path"`
	// Problem says what is wrong and what is expected.
	Problem string `json:"problem"`
}

// Faults is an error that lists all faults of a settings file.
type Faults []Fault

var _ error = Faults(nil)

// Error lists the faults, one per line.
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

// covers reports whether f has a fault at path or at a value that contains path.
func (f Faults) covers(path string) bool {
	for _, fault := range f {
		if within(path, fault.Path) {
			return true
		}
	}
	return false
}

// within reports whether path equals outer or is below it.
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

// joinPath returns the JSON path of below, a relative path, under path.
func joinPath(path, below string) string {
	if path == "" {
		return below
	}
	if strings.HasPrefix(below, "[") {
		return path + below
	}
	return path + "." + below
}
