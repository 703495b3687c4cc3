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

// embeddedMarker is the name of an embedded struct in the validator's namespaces. In JSON
// the fields of the struct belong to the enclosing object, so jsonPath removes the name.
const embeddedMarker = "^"

// validate checks validate tags. It names fields by their JSON names and treats a Duration
// as a time.Duration.
var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		if f.Anonymous && f.Tag.Get("json") == "" {
			return embeddedMarker
		}
		name, _ := jsonName(f)
		return name
	})
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return time.Duration(f.Int()) }, Duration(0))
	return v
}

// validateStruct checks the validate tags of dst. present holds the paths set in the file,
// so that a missing setting is distinguished from an empty one.
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
		fieldPath := joinPath(path, jsonPath(f.Namespace()))
		faults = append(faults, Fault{Path: fieldPath, Problem: describeViolation(f, present[fieldPath])})
	}
	return faults
}

// mapKeyPattern matches a map key in a validator's namespace, such as [big one]. An index of
// a list consists of digits only and does not match.
var mapKeyPattern = regexp.MustCompile(`\[([^\]]*[^\]0-9][^\]]*)\]`)

// jsonPath converts a validator's namespace to a JSON path without the type's name.
func jsonPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	path = strings.ReplaceAll(path, embeddedMarker+".", "")
	return mapKeyPattern.ReplaceAllString(path, ".$1")
}

// describeViolation describes the rule that f violates.
func describeViolation(f validator.FieldError, present bool) string {
	switch f.Tag() {
	case "required":
		return describeMissing(present)
	case "oneof":
		return fmt.Sprintf("want one of %s, got %q", strings.ReplaceAll(f.Param(), " ", ", "), fmt.Sprint(f.Value()))
	case "min", "gte":
		return describeLimit(f, "at least")
	case "max", "lte":
		return describeLimit(f, "at most")
	case "gt":
		return describeLimit(f, "more than")
	case "lt":
		return describeLimit(f, "less than")
	case "len", "eq":
		return describeLimit(f, "exactly")
	case "unique":
		return "must not hold the same value twice"
	case "gtfield", "gtefield", "ltfield", "ltefield", "nefield", "eqfield":
		return fmt.Sprintf("does not fit the setting %s beside it", f.Param())
	}
	if f.Tag() == "required_unless" {
		return describeMissing(present)
	}
	if strings.HasPrefix(f.Tag(), "required_") {
		return "is missing beside " + f.Param()
	}
	return strings.TrimSpace(fmt.Sprintf("fails the check %q %s", f.Tag(), f.Param()))
}

// describeLimit describes a violated limit: on characters of a string, on entries of a list
// or map, or on the value of a number.
func describeLimit(f validator.FieldError, relation string) string {
	switch f.Kind() {
	case reflect.String:
		return fmt.Sprintf("want %s %s characters", relation, f.Param())
	case reflect.Slice, reflect.Map, reflect.Array:
		return fmt.Sprintf("want %s %s entries", relation, f.Param())
	}
	return fmt.Sprintf("want %s %s, got %v", relation, f.Param(), f.Value())
}

// describeMissing says that a required setting is absent, or empty if present is set.
func describeMissing(present bool) string {
	if present {
		return "must not be empty"
	}
	return "is missing"
}
