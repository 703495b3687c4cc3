package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// embedded stands in a validator's namespace for an embedded struct, whose
// fields are settings of the struct around it.
const embedded = "^"

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		if f.Anonymous && f.Tag.Get("json") == "" {
			return embedded
		}
		name, _ := jsonName(f)
		return name
	})
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return time.Duration(f.Int()) }, Duration(0))
	return v
}

// validateStruct checks the validate tags of dst. Present tells a missing
// setting from an empty one.
func validateStruct(path string, dst any, present map[string]bool) Faults {
	err := validate.Struct(dst)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return Faults{{Path: path, Problem: err.Error()}}
	}
	var faults Faults
	for _, f := range fields {
		at := join(path, below(f.Namespace()))
		faults = append(faults, Fault{Path: at, Problem: inWords(f, present[at])})
	}
	return faults
}

var mapKey = regexp.MustCompile(`\[([^\]]*[^\]0-9][^\]]*)\]`)

// below turns a validator's namespace into a JSON path without the type's name.
func below(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	path = strings.ReplaceAll(path, embedded+".", "")
	return mapKey.ReplaceAllString(path, ".$1")
}

// inWords says what a failed check expects.
func inWords(f validator.FieldError, present bool) string {
	switch f.Tag() {
	case "required":
		return missing(present)
	case "oneof":
		return fmt.Sprintf("want one of %s, got %q", strings.ReplaceAll(f.Param(), " ", ", "), fmt.Sprint(f.Value()))
	case "min", "gte":
		return bound(f, "at least")
	case "max", "lte":
		return bound(f, "at most")
	case "gt":
		return bound(f, "more than")
	case "lt":
		return bound(f, "less than")
	case "len", "eq":
		return bound(f, "exactly")
	case "unique":
		return "must not hold the same value twice"
	case "gtfield", "gtefield", "ltfield", "ltefield", "nefield", "eqfield":
		return fmt.Sprintf("does not fit the setting %s beside it", f.Param())
	}
	if f.Tag() == "required_unless" {
		return missing(present)
	}
	if strings.HasPrefix(f.Tag(), "required_") {
		return "is missing beside " + f.Param()
	}
	return strings.TrimSpace(fmt.Sprintf("fails the check %q %s", f.Tag(), f.Param()))
}

// bound describes a limit on a value's size in the unit that fits its kind.
func bound(f validator.FieldError, relation string) string {
	switch f.Kind() {
	case reflect.String:
		return fmt.Sprintf("want %s %s characters", relation, f.Param())
	case reflect.Slice, reflect.Map, reflect.Array:
		return fmt.Sprintf("want %s %s entries", relation, f.Param())
	}
	return fmt.Sprintf("want %s %s, got %v", relation, f.Param(), f.Value())
}

// missing says whether a required setting is absent or empty.
func missing(present bool) string {
	if present {
		return "must not be empty"
	}
	return "is missing"
}
