package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Section describes one section of the settings reference: a settings type with its
// defaults.
type Section struct {
	// Title is the section's heading.
	Title string
	// Path is the JSON path of the settings; empty for the complete file.
	Path string
	// Defaults is a pointer to a struct that holds the default values.
	Defaults any
}

// WriteReference writes a Markdown reference of the sections to w. docs holds the
// descriptions of the fields; it may be nil.
func WriteReference(w io.Writer, sections []Section, docs *Docs) error {
	for _, s := range sections {
		r := sectionWriter{docs: docs}
		r.heading(s)
		r.rows(s.Path, reflect.ValueOf(s.Defaults).Elem(), true)
		r.table()
		if _, err := io.WriteString(w, r.out.String()); err != nil {
			return errors.Wrap(err, "write settings reference")
		}
	}
	return nil
}

// sectionWriter builds the text of one section.
type sectionWriter struct {
	docs    *Docs
	out     strings.Builder
	entries []row
}

// row is one setting's row of the table.
type row struct {
	path, kind, rule, defaultValue, meaning string
}

// heading writes the section's title and the doc comment of its type.
func (r *sectionWriter) heading(s Section) {
	fmt.Fprintf(&r.out, "\n## %s\n\n", s.Title)
	t := reflect.TypeOf(s.Defaults).Elem()
	if text := r.docs.typeText(t); text != "" {
		fmt.Fprintf(&r.out, "%s\n\n", text)
	}
}

// rows adds a row for each setting of the struct v, each followed by the rows of its nested
// settings. defaults reports whether v holds default values; elements of lists and maps, and
// values behind pointers, have none.
func (r *sectionWriter) rows(path string, v reflect.Value, defaults bool) {
	for _, f := range reflect.VisibleFields(v.Type()) {
		name, ok := jsonName(f)
		if !ok {
			continue
		}
		value := v.FieldByIndex(f.Index)
		entry := row{
			path:    joinPath(path, name),
			kind:    kindName(f.Type),
			rule:    describeRules(f.Tag.Get("validate")),
			meaning: r.docs.fieldText(v.Type(), f),
		}
		if defaults {
			entry.defaultValue = defaultText(value)
		}
		r.entries = append(r.entries, entry)
		r.nested(joinPath(path, name), value, defaults)
	}
}

// nested adds the rows of the settings nested in value, if its type, or the type of its
// elements, is a struct that does not decode itself.
func (r *sectionWriter) nested(path string, value reflect.Value, defaults bool) {
	t := value.Type()
	if t.Kind() == reflect.Pointer {
		t, defaults = t.Elem(), false
	}
	switch t.Kind() {
	case reflect.Slice:
		path, t, defaults = path+"[]", t.Elem(), false
	case reflect.Map:
		path, t, defaults = path+".<name>", t.Elem(), false
	}
	if t.Kind() != reflect.Struct || reflect.PointerTo(t).Implements(unmarshalerType) {
		return
	}
	if value.Type() != t {
		value = reflect.New(t).Elem()
	}
	r.rows(path, value, defaults)
}

// table writes the collected rows as a table.
func (r *sectionWriter) table() {
	if len(r.entries) == 0 {
		r.out.WriteString("No settings.\n")
		return
	}
	r.out.WriteString("| Setting | Type | Rule | Default | Meaning |\n|---|---|---|---|---|\n")
	for _, entry := range r.entries {
		fmt.Fprintf(&r.out, "| `%s` | %s | %s | %s | %s |\n", entry.path, entry.kind, entry.rule, entry.defaultValue, entry.meaning)
	}
}

// kindName returns the name of the JSON type that a field of type t takes.
func kindName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[Duration]():
		return "duration"
	case reflect.TypeFor[Addr]():
		return "address"
	case reflect.TypeFor[Port]():
		return "port"
	case reflect.TypeFor[json.RawMessage]():
		return "object"
	case reflect.TypeFor[time.Duration]():
		return "nanoseconds"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return kindName(t.Elem())
	case reflect.Slice:
		return "list of " + kindName(t.Elem())
	case reflect.Map, reflect.Struct, reflect.Interface:
		return "object"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "string"
	case reflect.Float32, reflect.Float64:
		return "number"
	}
	return "whole number"
}

// describeRules describes the rules of a validate tag in words, up to "dive".
func describeRules(tag string) string {
	var words []string
	for _, check := range strings.Split(tag, ",") {
		name, param, _ := strings.Cut(check, "=")
		switch name {
		case "", "-", "omitempty":
		case "dive":
			return strings.Join(words, ", ")
		case "required":
			words = append(words, "required")
		case "min", "gte":
			words = append(words, "at least "+param)
		case "max", "lte":
			words = append(words, "at most "+param)
		case "gt":
			words = append(words, "more than "+param)
		case "lt":
			words = append(words, "less than "+param)
		case "oneof":
			words = append(words, "one of "+strings.ReplaceAll(param, " ", ", "))
		default:
			words = append(words, strings.TrimSpace(name+" "+param))
		}
	}
	return strings.Join(words, ", ")
}

// defaultText returns a default value as JSON, or "" for zero values and objects.
func defaultText(v reflect.Value) string {
	if v.IsZero() || v.Kind() == reflect.Struct || v.Kind() == reflect.Pointer {
		return ""
	}
	raw, err := json.Marshal(v.Interface())
	if err != nil {
		return ""
	}
	return "`" + strings.ReplaceAll(string(raw), "|", `\|`) + "`"
}
