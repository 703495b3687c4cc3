// Package docs_test compares the operators' pages with the code.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	// event finds the events that the code logs, and metric the metrics that it keeps.
	event  = regexp.MustCompile(`(?i:log\(\)|log|log\.With\([^)]*\))\.(?:Info|Warn|Error)\("([^"]+)"`)
	metric = regexp.MustCompile(`"((?:rosemary|entry|sidecar)_[a-z_]+)[{"]`)
)

// daemons are the packages whose lines and metrics operators see.
var daemons = []string{"gateway", "platform", "control", "kernel", "entry", "sidecar", "replica"}

// pages returns the text that operators read about lines and metrics.
func pages(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, name := range []string{"OPERATIONS.md", filepath.Join("operations", "logs-and-metrics.md")} {
		raw, err := os.ReadFile(name)
		is.New(t).NoErr(err)
		all.Write(raw)
	}
	return all.String()
}

// found calls f for each match in the daemons' code, and returns how many there were.
func found(t *testing.T, pattern *regexp.Regexp, f func(file, match string)) int {
	t.Helper()
	n := 0
	for _, dir := range daemons {
		err := filepath.WalkDir(filepath.Join("..", dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, m := range pattern.FindAllStringSubmatch(string(source), -1) {
				n++
				f(path, m[1])
			}
			return err
		})
		is.New(t).NoErr(err)
	}
	return n
}

func TestEveryEventIsListedForOperators(t *testing.T) {
	text := pages(t)
	n := found(t, event, func(file, name string) {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("%s writes %q, which no page for operators lists", file, name)
		}
	})
	is.New(t).True(n > 60)
}

func TestEveryMetricIsListedForOperators(t *testing.T) {
	text := pages(t)
	n := found(t, metric, func(file, name string) {
		// Metrics of traffic get their suffixes where they are registered.
		if !strings.Contains(text, "`"+name+"`") && !strings.Contains(text, "`"+name+"{") && !strings.Contains(text, "`"+name+"_sent_bytes`") {
			t.Errorf("%s keeps %q, which no page for operators lists", file, name)
		}
	})
	is.New(t).True(n > 20)
}
