package strictyaml

import (
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Constraints that NewValidator adds to those of the validator library.
const (
	constraintName  = "name"
	constraintLabel = "label"
)

const (
	nameReason  = "must be a name: a letter or digit, then letters, digits, '.', '_' or '-', 63 at most"
	labelReason = "must be a name: a letter or digit, then letters, digits or any of ._/:@+-, 127 at most"
)

// A name appears in URLs, table keys and metrics. A label names a model, a
// version or an adapter and may also have the form of a path or a tag.
var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:@+-]{0,126}$`)
)

// Validator checks the constraints in the "validate" tags of struct fields and
// reports fields by their YAML keys. It is safe for concurrent use once all
// constraints have been added.
type Validator struct {
	validate *validator.Validate
	reasons  map[string]string
}

// NewValidator returns a validator for the constraints of the library and the
// constraints "name" and "label".
func NewValidator() *Validator {
	v := &Validator{
		validate: validator.New(validator.WithRequiredStructEnabled()),
		reasons:  make(map[string]string),
	}
	v.validate.RegisterTagNameFunc(yamlKey)
	v.Add(constraintName, namePattern.MatchString, nameReason)
	v.Add(constraintLabel, labelPattern.MatchString, labelReason)
	return v
}

// Add registers a constraint on strings under the tag, with the reason that is
// reported for a violation. It must not be called concurrently with Fields. It
// panics on a tag that the library reserves, which is a programming error that
// shows at the first start.
func (v *Validator) Add(tag string, valid func(string) bool, reason string) {
	err := v.validate.RegisterValidation(tag, func(f validator.FieldLevel) bool {
		return valid(f.Field().String())
	})
	if err != nil {
		panic(err)
	}
	v.reasons[tag] = reason
}

// Fields checks the constraints on the fields of value, a struct decoded from
// this source, and returns the violations.
func (s *Source) Fields(v *Validator, value any) Problems {
	var violations validator.ValidationErrors
	if !errors.As(v.validate.Struct(value), &violations) {
		return nil
	}
	var problems Problems
	for _, violation := range violations {
		_, path, _ := strings.Cut(violation.Namespace(), ".")
		problems = append(problems, s.At(path, "%s", v.reason(violation)))
	}
	return problems
}

func (v *Validator) reason(violation validator.FieldError) string {
	if custom, ok := v.reasons[violation.Tag()]; ok {
		return custom
	}
	switch violation.Tag() {
	case "required":
		return "is required"
	case "gt":
		return "must be more than " + violation.Param()
	case "gte", "min":
		return "must be at least " + violation.Param() + unitSuffix(violation.Kind())
	case "lte", "max":
		return "must be at most " + violation.Param() + unitSuffix(violation.Kind())
	case "len":
		return "must be " + violation.Param() + " characters long"
	case "hexadecimal", "lowercase":
		return "must be lower-case hexadecimal"
	case "oneof":
		return "must be one of " + violation.Param()
	case "unique":
		return "must not name the same thing twice"
	}
	return "must satisfy " + violation.Tag() + " " + violation.Param()
}

func unitSuffix(kind reflect.Kind) string {
	if kind == reflect.Slice {
		return " entries"
	}
	return ""
}
