package operator

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// faultAt returns a fault at the position of a word.
func faultAt(n Name, format string, args ...any) *StatementError {
	return &StatementError{Column: n.Pos.Column, Problem: fmt.Sprintf(format, args...)}
}

// byteUnits are the units of a size. The suffix "B" is last because the other suffixes end with
// it.
var byteUnits = []struct {
	suffix string
	bytes  float64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40},
	{"kB", 1e3}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12}, {"B", 1},
}

func parseBytes(n Name) (int64, error) {
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(n.Text, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(number, 64)
		if err != nil || !(v >= 0) || v*u.bytes > math.MaxInt64/2 {
			break
		}
		return int64(v * u.bytes), nil
	}
	return 0, faultAt(n, "want a size such as 4MB, found %q", n.Text)
}

func parseRate(n Name) (float64, error) {
	number, ok := strings.CutSuffix(n.Text, "/s")
	v, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return 0, faultAt(n, "want a rate such as 10/s, found %q", n.Text)
	}
	return v, nil
}

func parseCount(n Name) (int, error) {
	v, err := strconv.ParseInt(n.Text, 10, 32)
	if err != nil || v < 0 {
		return 0, faultAt(n, "want a whole number such as 8, found %q", n.Text)
	}
	return int(v), nil
}

// parseNumber parses a revision or a replica's number. what names it in the fault, with an
// article: "a revision". It refuses the highest value, which is command.AnyRevision.
func parseNumber(n Name, what string) (uint64, error) {
	v, err := strconv.ParseUint(n.Text, 10, 64)
	if err != nil || v == math.MaxUint64 {
		return 0, faultAt(n, "want %s such as 12, found %q", what, n.Text)
	}
	return v, nil
}

func parseDuration(n Name) (time.Duration, error) {
	v, err := time.ParseDuration(n.Text)
	if err != nil || v <= 0 {
		return 0, faultAt(n, "want a duration such as 30s, found %q", n.Text)
	}
	return v, nil
}

func parseAddr(n Name) (string, error) {
	if _, err := netip.ParseAddrPort(n.Text); err != nil {
		return "", faultAt(n, "want an IP address and port such as 127.0.0.1:7000, found %q", n.Text)
	}
	return n.Text, nil
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func parseMethod(n Name) (string, error) {
	method := strings.ToUpper(n.Text)
	if !slices.Contains(methods, method) {
		return "", faultAt(n, "want an HTTP method such as POST, found %q", n.Text)
	}
	return method, nil
}

func parsePath(n Name) (string, error) {
	if !strings.HasPrefix(n.Text, "/") {
		return "", faultAt(n, "want a path such as /seal, found %q", n.Text)
	}
	return n.Text, nil
}

// maxNameBytes is the maximum length of the name of a new object, in bytes.
const maxNameBytes = 128

// parseNewName checks the length and the characters of a name that need not exist yet.
func parseNewName(n Name) (string, error) {
	if n.Text == "" || len(n.Text) > maxNameBytes || strings.ContainsFunc(n.Text, isControl) {
		return "", faultAt(n, "want a name of 1 to %d printable characters", maxNameBytes)
	}
	return n.Text, nil
}

// isControl reports whether r is an ASCII control character or the replacement character, which
// stands for invalid UTF-8.
func isControl(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }

// parseNewNames checks a list of names that need not exist yet and refuses repeated ones.
func parseNewNames(list []Name) ([]string, error) {
	var names []string
	for _, n := range list {
		name, err := parseNewName(n)
		if err != nil {
			return nil, err
		}
		if slices.Contains(names, name) {
			return nil, faultAt(n, "%q is listed twice", name)
		}
		names = append(names, name)
	}
	return names, nil
}
