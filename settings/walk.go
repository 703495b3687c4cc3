package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// walker decodes a JSON value into a Go value and collects all faults.
type walker struct {
	faults Faults
	// present holds the JSON paths of all values in the file.
	present map[string]bool
}

func (w *walker) addFault(path, format string, args ...any) {
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
	if kindOf(raw) == "null" || leftOut(raw, dst.Type().Elem()) {
		dst.SetZero()
		return
	}
	if dst.IsNil() {
		dst.Set(reflect.New(dst.Type().Elem()))
	}
	w.value(path, raw, dst.Elem())
}

// noValue are the strings that templates without conditional sections write between quotes for a value that they do
// not have.
var noValue = []string{`""`, `"null"`}

// leftOut reports whether raw is an object for the struct type t that does not apply: a field of t has the
// tag `settings:"enables"`, and raw has no value for it.
func leftOut(raw json.RawMessage, t reflect.Type) bool {
	if t.Kind() != reflect.Struct || kindOf(raw) != "an object" {
		return false
	}
	for _, f := range reflect.VisibleFields(t) {
		if f.Tag.Get("settings") != "enables" {
			continue
		}
		name, _ := jsonName(f)
		for _, m := range members(raw) {
			if m.key == name && slices.Contains(noValue, string(m.value)) {
				return true
			}
		}
	}
	return false
}

func (w *walker) unmarshaler(path string, raw json.RawMessage, dst reflect.Value) {
	u := dst.Addr().Interface().(json.Unmarshaler)
	if err := u.UnmarshalJSON(raw); err != nil {
		w.addFault(path, "%v", err)
	}
}

// structure decodes an object into the struct dst.
func (w *walker) structure(path string, raw json.RawMessage, dst reflect.Value) {
	if !w.requireKind(path, raw, "an object") {
		return
	}
	known := fieldsOf(dst.Type())
	seen := map[string]bool{}
	for _, m := range members(raw) {
		at := joinPath(path, m.key)
		if !w.isNewKey(at, m.key, seen) {
			continue
		}
		index, ok := known[m.key]
		if !ok {
			w.addUnknownSetting(at, m.key, known)
			continue
		}
		w.value(at, m.value, dst.FieldByIndex(index))
	}
}

// isNewKey reports whether key, at path, is not in seen yet, and adds it. For a duplicate
// key it adds a fault.
func (w *walker) isNewKey(path, key string, seen map[string]bool) bool {
	if seen[key] {
		w.addFault(path, "is set more than once")
		return false
	}
	seen[key] = true
	return true
}

// addUnknownSetting adds a fault for the unknown setting key, with the most similar known
// name.
func (w *walker) addUnknownSetting(path, key string, known map[string][]int) {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	if suggestion := Nearest(key, names); suggestion != "" {
		w.addFault(path, "unknown setting; did you mean %q?", suggestion)
		return
	}
	w.addFault(path, "unknown setting")
}

// mapping decodes an object into the map dst and keeps the map's other entries.
func (w *walker) mapping(path string, raw json.RawMessage, dst reflect.Value) {
	if dst.Type().Key().Kind() != reflect.String {
		w.scalar(path, raw, dst)
		return
	}
	if !w.requireKind(path, raw, "an object") {
		return
	}
	if dst.IsNil() {
		dst.Set(reflect.MakeMap(dst.Type()))
	}
	seen := map[string]bool{}
	for _, m := range members(raw) {
		at := joinPath(path, m.key)
		if !w.isNewKey(at, m.key, seen) {
			continue
		}
		elem := reflect.New(dst.Type().Elem()).Elem()
		w.value(at, m.value, elem)
		dst.SetMapIndex(reflect.ValueOf(m.key).Convert(dst.Type().Key()), elem)
	}
}

// list decodes an array into the slice dst and replaces its elements.
func (w *walker) list(path string, raw json.RawMessage, dst reflect.Value) {
	if dst.Type().Elem().Kind() == reflect.Uint8 {
		w.scalar(path, raw, dst)
		return
	}
	if !w.requireKind(path, raw, "a list") {
		return
	}
	values := items(raw)
	elems := reflect.MakeSlice(dst.Type(), len(values), len(values))
	for i, v := range values {
		w.value(fmt.Sprintf("%s[%d]", path, i), v, elems.Index(i))
	}
	dst.Set(elems)
}

// scalar decodes raw into dst with encoding/json. Unlike encoding/json, it refuses null.
func (w *walker) scalar(path string, raw json.RawMessage, dst reflect.Value) {
	if kindOf(raw) == "null" && dst.Kind() != reflect.Interface {
		w.addFault(path, "want %s, got null", describeType(dst.Type()))
		return
	}
	if err := json.Unmarshal(raw, dst.Addr().Interface()); err != nil {
		w.addFault(path, "want %s, got %s", describeType(dst.Type()), describeValue(raw))
	}
}

// requireKind reports whether raw is of the given kind, and adds a fault if not.
func (w *walker) requireKind(path string, raw json.RawMessage, kind string) bool {
	if got := kindOf(raw); got != kind {
		w.addFault(path, "want %s, got %s", kind, got)
		return false
	}
	return true
}

// describeValue describes a value in a fault: a number by itself, other values by their
// kind.
func describeValue(raw json.RawMessage) string {
	kind := kindOf(raw)
	if kind == "a number" {
		return string(raw)
	}
	return kind
}

// describeType describes the JSON value that a field of type t takes.
func describeType(t reflect.Type) string {
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

// fieldsOf returns the indexes of a struct's fields, including those of embedded structs, by
// JSON name.
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

// jsonName returns the name of a field in JSON, or false if the field is not a JSON member
// itself: unexported, excluded, or an embedded struct.
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
