package gateway

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// logged finds the events that the code writes.
var logged = regexp.MustCompile(`(?:log\(\)|log)\.(?:Info|Warn|Error)\("([^"]+)"`)

func TestEveryEventIsListedForOperators(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	is.NoErr(err)
	files, err := filepath.Glob("*.go")
	is.NoErr(err)
	found := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		source, err := os.ReadFile(name)
		is.NoErr(err)
		for _, m := range logged.FindAllStringSubmatch(string(source), -1) {
			found++
			if !strings.Contains(string(page), "`"+m[1]+"`") {
				t.Errorf("%s writes %q, which docs/OPERATIONS.md does not list", name, m[1])
			}
		}
	}
	is.True(found > 10)
}
