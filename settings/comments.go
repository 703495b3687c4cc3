package settings

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
)

// Docs reads the doc comments of settings types from the source tree. A nil
// Docs knows no comment.
type Docs struct {
	root   string
	module string
	types  map[string]map[string]typeDoc
}

// typeDoc holds the comments of one type and its fields.
type typeDoc struct {
	text   string
	fields map[string]string
}

// NewDocs returns the comments of the Go module named module, with its source
// below the folder root.
func NewDocs(root, module string) *Docs {
	return &Docs{root: root, module: module, types: map[string]map[string]typeDoc{}}
}

// typeText returns the comment of the type t.
func (d *Docs) typeText(t reflect.Type) string {
	return d.lookup(t).text
}

// fieldText returns the comment of a visible field of the struct type t.
func (d *Docs) fieldText(t reflect.Type, f reflect.StructField) string {
	for _, i := range f.Index[:len(f.Index)-1] {
		t = t.Field(i).Type
	}
	return d.lookup(t).fields[f.Name]
}

func (d *Docs) lookup(t reflect.Type) typeDoc {
	if d == nil || t.PkgPath() == "" {
		return typeDoc{}
	}
	return d.load(t.PkgPath())[t.Name()]
}

// load parses the package at path once.
func (d *Docs) load(path string) map[string]typeDoc {
	if known, ok := d.types[path]; ok {
		return known
	}
	found := map[string]typeDoc{}
	d.types[path] = found
	below, ok := strings.CutPrefix(path, d.module)
	if !ok {
		return found
	}
	names, _ := filepath.Glob(filepath.Join(d.root, filepath.FromSlash(below), "*.go"))
	for _, name := range names {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err == nil {
			collect(file, found)
		}
	}
	return found
}

// collect adds the struct types of file to found.
func collect(file *ast.File, found map[string]typeDoc) {
	for _, decl := range file.Decls {
		gen, ok := decl.(*ast.GenDecl)
		if !ok || gen.Tok != token.TYPE {
			continue
		}
		for _, spec := range gen.Specs {
			t := spec.(*ast.TypeSpec)
			text := t.Doc.Text()
			if text == "" {
				text = gen.Doc.Text()
			}
			found[t.Name.Name] = typeDoc{text: oneLine(text), fields: fieldDocs(t.Type)}
		}
	}
}

// fieldDocs returns the comments of a struct's fields. A comment that names
// several fields counts for those below it too.
func fieldDocs(expr ast.Expr) map[string]string {
	fields := map[string]string{}
	s, ok := expr.(*ast.StructType)
	if !ok {
		return fields
	}
	above := ""
	for _, f := range s.Fields.List {
		text := f.Doc.Text()
		if text == "" {
			text = f.Comment.Text()
		}
		for _, name := range f.Names {
			if text == "" && strings.Contains(above, name.Name) {
				text = above
			}
			fields[name.Name] = oneLine(text)
		}
		above = text
	}
	return fields
}

// oneLine makes a comment fit a cell of a Markdown table.
func oneLine(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", `\|`)
}
