package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// walker decodes a JSON value into a Go value and notes every fault on its way.
type walker struct {
	faults Faults
	// present holds the paths of all values in the file.
	present map[string]bool
}

func (w *walker) fault(path, format string, args ...any) {
	w.faults = append(w.faults, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// value decodes raw, which is valid JSON, into dst.
func (w *walker) value(path string, raw json.RawMessage, dst reflect.Value) {
	w.present[path] = true
	if dst.Kind() == reflect.Pointer {
		w.pointer(path, raw, dst)
		return
	}
	if dst.CanAddr() && dst.Addr().Type().Implements(unmarshalerType) {
		w.unmarshaler(path, raw, dst)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		w.structure(path, raw, dst)
	case reflect.Map:
		w.mapping(path, raw, dst)
	case reflect.Slice:
		w.list(path, raw, dst)
	default:
		w.scalar(path, raw, dst)
	}
}

func (w *walker) pointer(path string, raw json.RawMessage, dst reflect.Value) {
	if kindOf(raw) == "null" {
		dst.SetZero()
		return
	}
	if dst.IsNil() {
		dst.Set(reflect.New(dst.Type().Elem()))
	}
	w.value(path, raw, dst.Elem())
}

func (w *walker) unmarshaler(path string, raw json.RawMessage, dst reflect.Value) {
	u := dst.Addr().Interface().(json.Unmarshaler)
	if err := u.UnmarshalJSON(raw); err != nil {
		w.fault(path, "%v", err)
	}
}

func (w *walker) structure(path string, raw json.RawMessage, dst reflect.Value) {
	if !w.want(path, raw, "an object") {
		return
	}
	known := fieldsOf(dst.Type())
	seen := map[string]bool{}
	for _, m := range members(raw) {
		at := join(path, m.key)
		if !w.first(at, m.key, seen) {
			continue
		}
		index, ok := known[m.key]
		if !ok {
			w.unknown(at, m.key, known)
			continue
		}
		w.value(at, m.value, dst.FieldByIndex(index))
	}
}

// first reports whether key is new to its object and notes a fault otherwise.
func (w *walker) first(path, key string, seen map[string]bool) bool {
	if seen[key] {
		w.fault(path, "is set more than once")
		return false
	}
	seen[key] = true
	return true
}

func (w *walker) unknown(path, key string, known map[string][]int) {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	if near := Nearest(key, names); near != "" {
		w.fault(path, "unknown setting; did you mean %q?", near)
		return
	}
	w.fault(path, "unknown setting")
}

func (w *walker) mapping(path string, raw json.RawMessage, dst reflect.Value) {
	if dst.Type().Key().Kind() != reflect.String {
		w.scalar(path, raw, dst)
		return
	}
	if !w.want(path, raw, "an object") {
		return
	}
	if dst.IsNil() {
		dst.Set(reflect.MakeMap(dst.Type()))
	}
	seen := map[string]bool{}
	for _, m := range members(raw) {
		at := join(path, m.key)
		if !w.first(at, m.key, seen) {
			continue
		}
		elem := reflect.New(dst.Type().Elem()).Elem()
		w.value(at, m.value, elem)
		dst.SetMapIndex(reflect.ValueOf(m.key).Convert(dst.Type().Key()), elem)
	}
}

func (w *walker) list(path string, raw json.RawMessage, dst reflect.Value) {
	if dst.Type().Elem().Kind() == reflect.Uint8 {
		w.scalar(path, raw, dst)
		return
	}
	if !w.want(path, raw, "a list") {
		return
	}
	values := items(raw)
	fresh := reflect.MakeSlice(dst.Type(), len(values), len(values))
	for i, v := range values {
		w.value(fmt.Sprintf("%s[%d]", path, i), v, fresh.Index(i))
	}
	dst.Set(fresh)
}

func (w *walker) scalar(path string, raw json.RawMessage, dst reflect.Value) {
	if kindOf(raw) == "null" && dst.Kind() != reflect.Interface {
		w.fault(path, "want %s, got null", wanted(dst.Type()))
		return
	}
	if err := json.Unmarshal(raw, dst.Addr().Interface()); err != nil {
		w.fault(path, "want %s, got %s", wanted(dst.Type()), excerpt(raw))
	}
}

// want reports whether raw is of the wanted kind and notes a fault otherwise.
func (w *walker) want(path string, raw json.RawMessage, kind string) bool {
	if got := kindOf(raw); got != kind {
		w.fault(path, "want %s, got %s", kind, got)
		return false
	}
	return true
}

// excerpt names a value for a fault: its kind, and the number where it is one.
func excerpt(raw json.RawMessage) string {
	kind := kindOf(raw)
	if kind == "a number" {
		return string(raw)
	}
	return kind
}

// wanted describes in words the JSON value that a type takes.
func wanted(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of zero or more"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.String:
		return "a string"
	}
	return "a value of type " + t.String()
}

// fieldsOf returns the JSON names of a struct's fields, embedded ones included.
func fieldsOf(t reflect.Type) map[string][]int {
	known := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		name, ok := jsonName(f)
		if ok {
			known[name] = f.Index
		}
	}
	return known
}

// jsonName returns the name of a field in JSON, or false when it has none of its own.
func jsonName(f reflect.StructField) (string, bool) {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if !f.IsExported() || name == "-" {
		return "", false
	}
	if name != "" {
		return name, true
	}
	return f.Name, !f.Anonymous
}
