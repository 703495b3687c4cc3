package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/experiment"
)

// TestRunKeepsPromises runs a complete deployment and a plain reverse proxy with
// scheduled faults, and checks the report of the command: the deployment has completed
// requests and violated no guarantee, and all faults were injected.
func TestRunKeepsPromises(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	c := rootCommand()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&bytes.Buffer{})
	c.SetArgs([]string{"run", "testdata/small.json", "--variants", "rosemaryproxy,least-requests", "--seeds", "1", "--out", dir})
	is.NoErr(c.Execute())
	raw, err := os.ReadFile(filepath.Join(dir, "report.json"))
	is.NoErr(err)
	var report experiment.Report
	is.NoErr(json.Unmarshal(raw, &report))
	is.Equal(len(report.Service), 2)
	is.Equal(report.Service[0].Variant, defaultVariant)
	is.True(report.Service[0].Completed > 0)
	is.Equal(report.Service[0].Checks, experiment.Checks{Checked: true})
	for _, f := range report.Runs[0].Faults {
		is.Equal(f.Error, "")
	}
}

func TestCheckListsFaults(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(file, []byte(`{"name":"x"}`), 0o600))
	c := rootCommand()
	c.SetArgs([]string{"check", file})
	is.True(c.Execute() != nil)
}
