package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
)

type sample struct {
	Size int `json:"size" validate:"min=1"`
}

func init() {
	kernel.Register(kernel.PluginInfo{ID: "test.sample", New: func() any { return &sample{Size: 1} }})
}

func TestCheckListsTheFaultsOfTheFileAndItsPlugins(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "s.json")
	raw := `{"node":{"name":"a","region":"r"},"tls":{"ca":"c","cert":"d","key":"e"},"plugins":{"test.sample":{"size":0,"sise":1},"test.other":{}}}`
	is.NoErr(os.WriteFile(name, []byte(raw), 0o600))
	c := Daemon("test", "Test")
	c.SetArgs([]string{"check", "-s", name})
	var faults settings.Faults
	is.True(errors.As(c.Execute(), &faults))
	is.Equal(faults, settings.Faults{
		{Path: "node.zone", Problem: "is missing"},
		{Path: "plugins.test.other", Problem: `no plug-in "test.other" is built into this program`},
		{Path: "plugins.test.sample.sise", Problem: `unknown setting; did you mean "size"?`},
		{Path: "plugins.test.sample.size", Problem: "want at least 1, got 0"},
	})
}

func TestCheckAcceptsValidSettings(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "s.json")
	raw := `{"node":{"name":"a","region":"r","zone":"z"},"tls":{"ca":"c","cert":"d","key":"e"},"plugins":{"test.sample":{}}}`
	is.NoErr(os.WriteFile(name, []byte(raw), 0o600))
	var out bytes.Buffer
	c := Daemon("test", "Test")
	c.SetOut(&out)
	c.SetArgs([]string{"check", "-s", name})
	is.NoErr(c.Execute())
	is.Equal(out.String(), "settings are good\n")
}

func TestMissingFileIsAUsageError(t *testing.T) {
	is := is.New(t)
	c := Daemon("test", "Test")
	c.SetArgs([]string{"check", "-s", filepath.Join(t.TempDir(), "none.json")})
	err := c.Execute()
	var usage *UsageError
	is.True(errors.As(err, &usage))
}
