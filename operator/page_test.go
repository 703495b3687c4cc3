package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPageHasEveryStatementAndColumn checks that the page about the operator language lists
// every form of statement and every column of each table.
func TestPageHasEveryStatementAndColumn(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(filepath.Join("..", "docs", "operations", "operator-language.md"))
	is.NoErr(err)
	page := string(raw)
	for _, f := range Forms {
		row := "| `" + strings.ReplaceAll(f.Syntax, "|", `\|`) + "` | " + f.Meaning + " |\n"
		if !strings.Contains(page, row) {
			t.Errorf("docs/operations/operator-language.md lacks the row\n%s", row)
		}
	}
	for name, table := range tables {
		var columns []string
		for _, c := range table.columns {
			columns = append(columns, "`"+c.name+"`")
		}
		row := "| `" + name + "` | " + strings.Join(columns, ", ") + " |\n"
		if !strings.Contains(page, row) {
			t.Errorf("docs/operations/operator-language.md lacks the row\n%s", row)
		}
	}
}
