package capacity

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Options are the sizes at which to measure. Each list needs at least two of them.
type Options struct {
	// Sessions are numbers of sidecar sessions, and of entry sessions.
	Sessions []int
	// Accounts are numbers of client accounts in the configuration, and ActiveAccounts
	// numbers of those that send requests to one entry.
	Accounts, ActiveAccounts []int
	// Endpoints are numbers of endpoints to choose from.
	Endpoints []int
	// Callers are numbers of concurrent callers, each with one claim at a time.
	Callers []int
	// Streams are numbers of concurrent streamed answers.
	Streams []int
	// Requests are numbers of short requests, sent one after the other.
	Requests []int
	// Window is the time over which bytes and processor time are counted. Measurements
	// with few large messages take twice as long.
	Window time.Duration
}

// DefaultOptions returns the sizes that the figures in docs/CAPACITY.md were measured
// at.
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

// series is a named group of measurements.
type series struct {
	name string
	// measure returns the tables of the series. It may write files below dir.
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

// Names returns the names of all series.
func Names() []string {
	var names []string
	for _, s := range allSeries {
		names = append(names, s.name)
	}
	return names
}

// Run measures the series called names, or all series if there are no names. It writes
// each table to w as soon as it is measured, and returns all tables.
func Run(w io.Writer, o Options, names ...string) (*Report, error) {
	dir, err := os.MkdirTemp("", "rosemary-capacity-")
	if err != nil {
		return nil, errors.Wrap(err, "create data directory")
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
