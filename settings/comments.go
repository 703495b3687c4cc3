package settings

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
)

// Docs reads the doc comments of settings types from the source tree. A nil *Docs returns no
// comments.
type Docs struct {
	root   string
	module string
	// types caches the comments by package path and type name.
	types map[string]map[string]typeDoc
}

// typeDoc holds the comments of one type and its fields.
type typeDoc struct {
	text   string
	fields map[string]string
}

// NewDocs returns the comments of the Go module with path module, whose source tree is in
// the folder root.
func NewDocs(root, module string) *Docs {
	return &Docs{root: root, module: module, types: map[string]map[string]typeDoc{}}
}

// typeText returns the doc comment of the type t.
func (d *Docs) typeText(t reflect.Type) string {
	return d.lookup(t).text
}

// fieldText returns the comment of f, a visible field of the struct type t. f may belong to
// an embedded struct.
func (d *Docs) fieldText(t reflect.Type, f reflect.StructField) string {
	for _, i := range f.Index[:len(f.Index)-1] {
		t = t.Field(i).Type
	}
	return d.lookup(t).fields[f.Name]
}

// lookup returns the comments of the type t, or none for types outside of the module.
func (d *Docs) lookup(t reflect.Type) typeDoc {
	if d == nil || t.PkgPath() == "" {
		return typeDoc{}
	}
	return d.load(t.PkgPath())[t.Name()]
}

// load returns the comments of the package at path by type name. It parses each package
// once.
func (d *Docs) load(path string) map[string]typeDoc {
	if known, ok := d.types[path]; ok {
		return known
	}
	found := map[string]typeDoc{}
	d.types[path] = found
	relative, ok := strings.CutPrefix(path, d.module)
	if !ok {
		return found
	}
	names, _ := filepath.Glob(filepath.Join(d.root, filepath.FromSlash(relative), "*.go"))
	for _, name := range names {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err == nil {
			collectTypes(file, found)
		}
	}
	return found
}

// collectTypes adds the comments of the types that file declares to found.
func collectTypes(file *ast.File, found map[string]typeDoc) {
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
			found[t.Name.Name] = typeDoc{text: tableCell(text), fields: fieldDocs(t.Type)}
		}
	}
}

// fieldDocs returns the comments of a struct's fields by field name. A field without a
// comment gets that of the field before it if that comment names it.
func fieldDocs(expr ast.Expr) map[string]string {
	fields := map[string]string{}
	s, ok := expr.(*ast.StructType)
	if !ok {
		return fields
	}
	previous := ""
	for _, f := range s.Fields.List {
		text := f.Doc.Text()
		if text == "" {
			text = f.Comment.Text()
		}
		for _, name := range f.Names {
			if text == "" && strings.Contains(previous, name.Name) {
				text = previous
			}
			fields[name.Name] = tableCell(text)
		}
		previous = text
	}
	return fields
}

// tableCell formats a comment for a cell of a Markdown table: on one line, with | escaped.
func tableCell(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", `\|`)
}
