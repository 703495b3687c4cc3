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

// Section is one part of the settings reference: a settings type with its defaults.
type Section struct {
	// Title is the section's heading.
	Title string
	// Path is the JSON path at which the settings stand; empty for the whole file.
	Path string
	// Defaults is a pointer to a struct that holds the default values.
	Defaults any
}

// WriteReference writes a Markdown reference of the sections. Docs gives the
// fields' descriptions; it may be nil.
func WriteReference(w io.Writer, sections []Section, docs *Docs) error {
	for _, s := range sections {
		r := reference{docs: docs}
		r.heading(s)
		r.rows(s.Path, reflect.ValueOf(s.Defaults).Elem(), true)
		r.table()
		if _, err := io.WriteString(w, r.out.String()); err != nil {
			return errors.Wrap(err, "write settings reference")
		}
	}
	return nil
}

// reference is the text of one section.
type reference struct {
	docs *Docs
	out  strings.Builder
	rest []row
}

// row is one setting.
type row struct {
	path, kind, needed, standard, text string
}

func (r *reference) heading(s Section) {
	fmt.Fprintf(&r.out, "\n## %s\n\n", s.Title)
	t := reflect.TypeOf(s.Defaults).Elem()
	if text := r.docs.typeText(t); text != "" {
		fmt.Fprintf(&r.out, "%s\n\n", text)
	}
}

// rows adds a row for each setting of the struct v, nested ones after it. Values
// below a list or map have no defaults to show.
func (r *reference) rows(path string, v reflect.Value, defaults bool) {
	for _, f := range reflect.VisibleFields(v.Type()) {
		name, ok := jsonName(f)
		if !ok {
			continue
		}
		value := v.FieldByIndex(f.Index)
		one := row{
			path:   join(path, name),
			kind:   kindName(f.Type),
			needed: checksInWords(f.Tag.Get("validate")),
			text:   r.docs.fieldText(v.Type(), f),
		}
		if defaults {
			one.standard = defaultText(value)
		}
		r.rest = append(r.rest, one)
		r.nested(join(path, name), value, defaults)
	}
}

func (r *reference) nested(path string, value reflect.Value, defaults bool) {
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

func (r *reference) table() {
	if len(r.rest) == 0 {
		r.out.WriteString("No settings.\n")
		return
	}
	r.out.WriteString("| Setting | Type | Rule | Default | Meaning |\n|---|---|---|---|---|\n")
	for _, one := range r.rest {
		fmt.Fprintf(&r.out, "| `%s` | %s | %s | %s | %s |\n", one.path, one.kind, one.needed, one.standard, one.text)
	}
}

// kindName names the JSON type of a field.
func kindName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[Duration]():
		return "duration"
	case reflect.TypeFor[Addr]():
		return "address"
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

// checksInWords describes a validate tag.
func checksInWords(tag string) string {
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

// defaultText shows a default value; zero values and whole objects show nothing.
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
