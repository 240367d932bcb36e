package strictyaml

import (
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Names of the constraints that NewValidator adds to the library's own.
const (
	constraintName  = "name"
	constraintLabel = "label"
)

const (
	nameReason  = "must be a name: a letter or digit, then letters, digits, '.', '_' or '-', 63 at most"
	labelReason = "must be a name: a letter or digit, then letters, digits or any of ._/:@+-, 127 at most"
)

// A name appears in URLs, table keys and metrics; a label, which names a
// model, a version or an adapter, may also look like a path or a tag.
var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:@+-]{0,126}$`)
)

// Validator checks the constraints in the "validate" tags of struct fields,
// and calls the fields by their YAML keys. It is safe for concurrent use once
// all constraints have been added.
type Validator struct {
	validate *validator.Validate
	reasons  map[string]string
}

// NewValidator returns a validator that knows "name" and "label" beside the
// library's own constraints.
func NewValidator() *Validator {
	v := &Validator{
		validate: validator.New(validator.WithRequiredStructEnabled()),
		reasons:  make(map[string]string),
	}
	v.validate.RegisterTagNameFunc(keyOf)
	v.Add(constraintName, namePattern.MatchString, nameReason)
	v.Add(constraintLabel, labelPattern.MatchString, labelReason)
	return v
}

// Add makes a constraint on strings known, with the reason to give when it
// does not hold. It panics on a tag that the library reserves, which is a
// programming error seen at the first start.
func (v *Validator) Add(tag string, holds func(string) bool, reason string) {
	err := v.validate.RegisterValidation(tag, func(f validator.FieldLevel) bool {
		return holds(f.Field().String())
	})
	if err != nil {
		panic(err)
	}
	v.reasons[tag] = reason
}

// Fields checks the constraints on the fields of value, a struct decoded from
// this source, and returns what does not hold.
func (s *Source) Fields(v *Validator, value any) Problems {
	var failed validator.ValidationErrors
	if !errors.As(v.validate.Struct(value), &failed) {
		return nil
	}
	var problems Problems
	for _, f := range failed {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		problems = append(problems, s.At(path, "%s", v.reason(f)))
	}
	return problems
}

func (v *Validator) reason(f validator.FieldError) string {
	if own, ok := v.reasons[f.Tag()]; ok {
		return own
	}
	switch f.Tag() {
	case "required":
		return "is required"
	case "gt":
		return "must be more than " + f.Param()
	case "gte", "min":
		return "must be at least " + f.Param() + unit(f.Kind())
	case "lte", "max":
		return "must be at most " + f.Param() + unit(f.Kind())
	case "len":
		return "must be " + f.Param() + " characters long"
	case "hexadecimal", "lowercase":
		return "must be lower-case hexadecimal"
	case "oneof":
		return "must be one of " + f.Param()
	case "unique":
		return "must not name the same thing twice"
	}
	return "must satisfy " + f.Tag() + " " + f.Param()
}

func unit(kind reflect.Kind) string {
	if kind == reflect.Slice {
		return " entries"
	}
	return ""
}
