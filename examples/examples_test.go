package examples

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	_ "github.com/rosemaryproxy/rosemaryproxy/control"
	_ "github.com/rosemaryproxy/rosemaryproxy/entry"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	_ "github.com/rosemaryproxy/rosemaryproxy/sidecar"
	_ "github.com/rosemaryproxy/rosemaryproxy/standin"
)

func TestSettingsFilesAreValid(t *testing.T) {
	for name, d := range All() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			is.NoErr(d.Write(dir))
			is.NoErr(d.Write(dir)) // existing keys don't fail the second call
			for _, p := range d.processes() {
				f, err := settings.ReadFile(filepath.Join(dir, p.name+".json"))
				is.NoErr(err)
				is.NoErr(kernel.Check(f))
			}
		})
	}
}

func TestInitialConfigurationIsValid(t *testing.T) {
	for name, d := range All() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			doc := d.Document()
			is.NoErr(config.NewDocument().Check(doc.Bootstrap()))
			is.Equal(len(doc.Zones), 3)
			is.Equal(len(doc.Accounts), 10)
		})
	}
}

func TestAddressesAreDistinct(t *testing.T) {
	is := is.New(t)
	seen := map[string]string{}
	for _, d := range All() {
		for _, p := range d.processes() {
			for _, addr := range []any{p.operator, p.settings["listen"]} {
				if addr == "" {
					continue
				}
				is.Equal(seen[addr.(string)], "")
				seen[addr.(string)] = p.name
			}
		}
	}
}

// TestCommittedFilesAreCurrent checks that the committed sample files are the same as
// the generated ones.
func TestCommittedFilesAreCurrent(t *testing.T) {
	samples := []string{bootstrapFile, operatorFile, "control-1.json", "entry-1.json"}
	for name, d := range All() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := d.Fleets[0].Prefix + "-1"
			files, err := d.Files()
			is.NoErr(err)
			generated := map[string]string{}
			for _, f := range files {
				generated[f.Name] = string(f.Data)
			}
			for _, sample := range append(samples, first+".json", first+"-standin.json") {
				committed, err := os.ReadFile(filepath.Join(name, sample))
				is.NoErr(err)
				if string(committed) != generated[sample] {
					t.Errorf("%s/%s is not what the generator writes; run: rosemaryctl example %s examples/%s", name, sample, name, name)
				}
			}
		})
	}
}

func TestNoKeyIsWritten(t *testing.T) {
	is := is.New(t)
	for _, d := range All() {
		raw, err := json.Marshal(d.Document())
		is.NoErr(err)
		is.True(!strings.Contains(string(raw), DemoKey("")))
	}
}
