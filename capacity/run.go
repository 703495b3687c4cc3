package capacity

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Options are the sizes at which to measure; each list has at least two.
type Options struct {
	// Sessions are numbers of sessions of sidecars, and of entries.
	Sessions []int
	// Accounts are numbers of client accounts in the configuration, ActiveAccounts those
	// that use one entry.
	Accounts, ActiveAccounts []int
	// Endpoints are lengths of the list of endpoints.
	Endpoints []int
	// Callers are numbers of callers with a claim each.
	Callers []int
	// Streams are numbers of open answers.
	Streams []int
	// Requests are numbers of short requests, one after the other.
	Requests []int
	// Window is the time for which bytes and processor time are counted; where
	// messages are few and large it is twice as long.
	Window time.Duration
}

// DefaultOptions returns the sizes of the figures in docs/CAPACITY.md.
func DefaultOptions() Options {
	return Options{
		Sessions:       []int{25, 50, 100, 200},
		Accounts:       []int{400, 800, 1600, 3100},
		ActiveAccounts: []int{50, 100, 200, 400},
		Endpoints:      []int{100, 300, 600, 1000, 2000},
		Callers:        []int{1, 4, 16, 64},
		Streams:        []int{100, 200, 400, 800},
		Requests:       []int{100, 200, 400, 800},
		Window:         2 * time.Second,
	}
}

// series measures some tables with data below dir.
type series struct {
	name    string
	measure func(dir string, o Options) ([]*Table, error)
}

var allSeries = []series{
	{"sidecars", sidecarSessions},
	{"entries", entrySessions},
	{"accounts", configuredAccountsTable},
	{"active", activeAccounts},
	{"choice", choices},
	{"path", paths},
	{"claims", claims},
}

// Names returns the names of the series.
func Names() []string {
	var names []string
	for _, s := range allSeries {
		names = append(names, s.name)
	}
	return names
}

// Run measures the series called names, or every one, writes the tables to w as they
// come, and returns them.
func Run(w io.Writer, o Options, names ...string) (*Report, error) {
	dir, err := os.MkdirTemp("", "rosemary-capacity-")
	if err != nil {
		return nil, errors.Wrap(err, "make folder for data")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	report := &Report{}
	for _, s := range allSeries {
		if len(names) > 0 && !slices.Contains(names, s.name) {
			continue
		}
		tables, err := s.measure(filepath.Join(dir, s.name), o)
		if err != nil {
			return nil, errors.Wrapf(err, "measure %s", s.name)
		}
		for _, t := range tables {
			if err := t.fit(); err != nil {
				return nil, err
			}
			if err := t.Write(w); err != nil {
				return nil, err
			}
		}
		report.Tables = append(report.Tables, tables...)
	}
	return report, nil
}
