package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// reasons returns the values of the Reason constants in package verdict.
func reasons(t *testing.T) []string {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "..", "verdict", "verdict.go"), nil, 0)
	is.NoErr(err)
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Reason") {
			return true
		}
		reason, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		is.NoErr(err)
		found = append(found, reason)
		return false
	})
	return found
}

func TestErrorsPageHasEveryReason(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operations", "errors.md"))
	is.NoErr(err)
	all := reasons(t)
	is.True(len(all) > 20)
	for _, reason := range all {
		if !strings.Contains(string(page), "\n| `"+reason+"` | ") {
			t.Errorf("docs/operations/errors.md has no row for %s", reason)
		}
	}
}
