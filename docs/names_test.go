package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	// quoted finds the text between back quotes in a page.
	quoted = regexp.MustCompile("`([^`\n]+)`")
	// testName finds names of tests, also without back quotes. A name that ends in "..." or
	// follows -run stands for all tests that begin with it.
	testName = regexp.MustCompile(`(-run )?\b((?:Test|Fuzz|Benchmark)[A-Z]\w*)(\.\.\.)?`)
	// testList finds a package and the tests listed after it.
	testList = regexp.MustCompile("`([\\w/-]+)` ((?:Test|Fuzz|Benchmark)\\w+(?:, (?:Test|Fuzz|Benchmark)\\w+)*)")
	// filePath matches the path of a folder or a file, or the bare name of a file.
	filePath = regexp.MustCompile(`^(?:[\w.-]+/)+[\w.-]*$|^[\w-]+\.(?:go|md|json|toml|txt)$`)
	// symbol matches pkg.Name and pkg.Type.Member, with or without arguments, and member
	// matches Type.Member.
	symbol = regexp.MustCompile(`^([a-z]\w*)((?:\.[A-Za-z]\w*){1,2})(?:\(.*\))?$`)
	member = regexp.MustCompile(`^[A-Z]\w*\.[A-Z]\w*$`)
)

// external holds the quoted paths that are not in this repository: packages of the standard
// library, and a file that the platform knows and this project does not have.
var external = map[string]bool{"net/http": true, "encoding/json": true, "deploy/wire.toml": true}

// tree holds what exists in the repository and can be named on a page.
type tree struct {
	// paths are files and folders, seen from the root, and the bare names of the files.
	paths map[string]bool
	// packages are the names of packages, and symbols what they declare: pkg.Name,
	// pkg.Type.Member and Type.Member. Packages of the same name share their symbols.
	packages, symbols map[string]bool
	// tests are the folders that declare a test, a fuzz target or a benchmark, by its name.
	tests map[string][]string
}

// readTree reads the whole repository.
func readTree(t *testing.T) *tree {
	t.Helper()
	r := &tree{paths: map[string]bool{}, packages: map[string]bool{}, symbols: map[string]bool{}, tests: map[string][]string{}}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && entry.Name() == ".git" {
			return fs.SkipDir
		}
		path = filepath.ToSlash(strings.TrimPrefix(path, ".."+string(filepath.Separator)))
		r.paths[path] = true
		if !entry.IsDir() {
			r.paths[entry.Name()] = true
		}
		return r.addFile(path)
	})
	is.New(t).NoErr(err)
	return r
}

// addFile adds the declarations of a Go file.
func (r *tree) addFile(path string) error {
	if !strings.HasSuffix(path, ".go") {
		return nil
	}
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", path), nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	pkg := strings.TrimSuffix(file.Name.Name, "_test")
	if strings.HasSuffix(path, "_test.go") {
		r.addTests(pkg, filepath.ToSlash(filepath.Dir(path)), file)
		return nil
	}
	r.packages[pkg] = true
	for _, decl := range file.Decls {
		r.addDecl(pkg, decl)
	}
	r.addLiterals(file)
	return nil
}

// addTests adds the tests of a test file. Its other functions are not part of the code that
// pages describe.
func (r *tree) addTests(pkg, dir string, file *ast.File) {
	for _, decl := range file.Decls {
		f, ok := decl.(*ast.FuncDecl)
		if ok && f.Recv == nil && testName.FindString(f.Name.Name) == f.Name.Name {
			r.tests[f.Name.Name] = append(r.tests[f.Name.Name], dir)
			r.symbols[pkg+"."+f.Name.Name] = true
		}
	}
}

// addDecl adds a function or method, or the types, constants and variables of a declaration.
func (r *tree) addDecl(pkg string, decl ast.Decl) {
	switch decl := decl.(type) {
	case *ast.FuncDecl:
		if decl.Recv == nil {
			r.symbols[pkg+"."+decl.Name.Name] = true
			return
		}
		r.addMember(pkg, receiver(decl.Recv.List[0].Type), decl.Name)
	case *ast.GenDecl:
		for _, spec := range decl.Specs {
			r.addSpec(pkg, spec)
		}
	}
}

// addSpec adds a type with its fields or methods, or constants or variables.
func (r *tree) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			r.symbols[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		r.symbols[pkg+"."+spec.Name.Name] = true
		for _, field := range fields(spec.Type) {
			for _, name := range field.Names {
				r.addMember(pkg, spec.Name.Name, name)
			}
		}
	}
}

// addMember adds a field or method of a type.
func (r *tree) addMember(pkg, owner string, name *ast.Ident) {
	r.symbols[owner+"."+name.Name] = true
	r.symbols[pkg+"."+owner+"."+name.Name] = true
}

// addLiterals adds strings of the form pkg.name, which are the names of plug-ins and locks.
func (r *tree) addLiterals(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if text, err := strconv.Unquote(lit.Value); err == nil && symbol.MatchString(text) {
				r.symbols[text] = true
			}
		}
		return true
	})
}

// fields returns the fields of a struct or the methods of an interface.
func fields(expr ast.Expr) []*ast.Field {
	switch expr := expr.(type) {
	case *ast.StructType:
		return expr.Fields.List
	case *ast.InterfaceType:
		return expr.Methods.List
	}
	return nil
}

// receiver returns the name of a receiver's type, without pointer and type parameters.
func receiver(expr ast.Expr) string {
	switch expr := expr.(type) {
	case *ast.StarExpr:
		return receiver(expr.X)
	case *ast.IndexExpr:
		return receiver(expr.X)
	case *ast.IndexListExpr:
		return receiver(expr.X)
	case *ast.Ident:
		return expr.Name
	}
	return ""
}

// hasTest reports whether a test of this name, or one that begins with it, is declared in
// the folder, or in any folder if dir is empty.
func (r *tree) hasTest(name, dir string, isPrefix bool) bool {
	for declared, dirs := range r.tests {
		if declared != name && !(isPrefix && strings.HasPrefix(declared, name)) {
			continue
		}
		for _, d := range dirs {
			if dir == "" || d == dir {
				return true
			}
		}
	}
	return false
}

// hasQuoted reports whether a quoted text exists in the code. A text that is neither a path
// nor a name of a package of the tree is not checked.
func (r *tree) hasQuoted(text string) (exists, checked bool) {
	if filePath.MatchString(text) {
		return external[text] || r.paths[strings.TrimSuffix(text, "/")], true
	}
	if member.MatchString(text) {
		return r.symbols[text], true
	}
	if parts := symbol.FindStringSubmatch(text); parts != nil && r.packages[parts[1]] {
		return r.symbols[parts[1]+parts[2]], true
	}
	return true, false
}

// unknown returns the names on a page that do not exist in the code, and how many names it
// checked.
func (r *tree) unknown(page string) (names []string, checked int) {
	add := func(name string, exists bool) {
		checked++
		if !exists {
			names = append(names, name)
		}
	}
	for _, m := range testName.FindAllStringSubmatch(page, -1) {
		add(m[2], r.hasTest(m[2], "", m[1]+m[3] != ""))
	}
	for _, m := range testList.FindAllStringSubmatch(page, -1) {
		for _, name := range strings.Split(m[2], ", ") {
			add(m[1]+": "+name, r.hasTest(name, m[1], false))
		}
	}
	for _, m := range quoted.FindAllStringSubmatch(page, -1) {
		if exists, isName := r.hasQuoted(m[1]); isName {
			add(m[1], exists)
		}
	}
	return names, checked
}

func TestNamesOnPagesExist(t *testing.T) {
	r := readTree(t)
	pages, err := filepath.Glob("design/*.md")
	is.New(t).NoErr(err)
	total := 0
	for _, page := range append(pages, "ARCHITECTURE.md", "PROOF.md") {
		text, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		names, checked := r.unknown(string(text))
		for _, name := range names {
			t.Errorf("%s names %q, which does not exist in the code", page, name)
		}
		total += checked
	}
	is.New(t).True(total > 400)
}

func TestUnknownNamesAreFound(t *testing.T) {
	r := readTree(t)
	for text, want := range map[string][]string{
		"`kernel.LockOrder`, `docs/PROOF.md`, `docs/`":       nil,
		"`kernel.NoSuchName`":                                {"kernel.NoSuchName"},
		"`config.Document.Check`, `Document.Check`":          nil,
		"`config.Document.NoSuchMember`":                     {"config.Document.NoSuchMember"},
		"`Document.NoSuchMember`":                            {"Document.NoSuchMember"},
		"`config.NoSuchFunction(a, b)`":                      {"config.NoSuchFunction(a, b)"},
		"`entry/no_such_file.go`, `no_such_file.go`":         {"entry/no_such_file.go", "no_such_file.go"},
		"`no/such/folder`, `no-such-folder/`":                {"no/such/folder", "no-such-folder/"},
		"TestUnknownNames..., TestNoSuchTest, TestNoSuch...": {"TestNoSuchTest", "TestNoSuch"},
		"`-run TestUnknown`, `-run TestNoSuch`":              {"TestNoSuch"},
		"`kernel` TestUnknownNamesAreFound":                  {"kernel: TestUnknownNamesAreFound"},
		"`tls.trust`, `platform.entry`, `go vet`":            nil,
	} {
		names, _ := r.unknown(text)
		is.New(t).Equal(names, want)
	}
}
