package settings

import (
	"bytes"
	"fmt"
	"net"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// The tags of the custom checks.
const (
	// checkHostPort requires an IP address and a port other than zero.
	checkHostPort = "hostport"
	// checkDuration requires a duration from minDuration to maxDuration.
	checkDuration = "duration"
	// checkPortRange requires the first and the last port of a range.
	checkPortRange = "portrange"
)

func newValidator() *validator.Validate {
	v := validator.New()
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	for tag, check := range map[string]validator.Func{
		checkHostPort:  isHostPort,
		checkDuration:  isDuration,
		checkPortRange: isPortRange,
	} {
		// Registration fails only for an empty tag or a nil function.
		_ = v.RegisterValidation(tag, check)
	}
	return v
}

func isHostPort(f validator.FieldLevel) bool {
	host, port, err := net.SplitHostPort(f.Field().String())
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func isDuration(f validator.FieldLevel) bool {
	d := time.Duration(f.Field().Int())
	return minDuration <= d && d <= maxDuration
}

func isPortRange(f validator.FieldLevel) bool {
	const maxPort = 1<<16 - 1
	ports, ok := f.Field().Interface().([]int)
	return ok && len(ports) == 2 && 0 < ports[0] && ports[0] <= ports[1] && ports[1] <= maxPort
}

// fieldError returns an ErrField that lists every invalid field with its line and what is allowed.
func fieldError(data []byte, invalid validator.ValidationErrors) error {
	var problems []string
	for _, f := range invalid {
		_, name, _ := strings.Cut(f.Namespace(), ".")
		problems = append(problems, linePrefix(data, name)+name+" "+describeProblem(f))
	}
	return ErrField.New("%s", strings.Join(problems, "; "))
}

// describeProblem returns what is wrong with a field. It never includes the value of a secret; secrets
// are checked only by min and required, whose messages omit it.
func describeProblem(f validator.FieldError) string {
	text, isText := f.Value().(string)
	switch f.ActualTag() {
	case "required":
		return "is missing"
	case checkHostPort:
		return fmt.Sprintf("is %q, not an IP address and a port", text)
	case "ip":
		return fmt.Sprintf("is %q, not an IP address", text)
	case checkDuration:
		return fmt.Sprintf("is %v, not between %s and %s", f.Value(), minDuration, maxDuration)
	case checkPortRange:
		return fmt.Sprintf("is %v, not the first and the last port of a range", f.Value())
	case "oneof":
		return fmt.Sprintf("is %q, not one of %s", text, f.Param())
	case "min":
		if isText {
			return fmt.Sprintf("is shorter than %s bytes", f.Param())
		}
		return fmt.Sprintf("is %v, less than %s", f.Value(), f.Param())
	case "gt":
		return fmt.Sprintf("is %v, not more than %s", f.Value(), f.Param())
	}
	return fmt.Sprintf("fails the check %s=%s", f.ActualTag(), f.Param())
}

// linePrefix returns the line of a field in the file as a prefix of a message, or an empty string if
// the file doesn't have the field.
func linePrefix(data []byte, field string) string {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return ""
	}
	node, err := path.ReadNode(bytes.NewReader(data))
	if err != nil {
		return ""
	}
	return fmt.Sprintf("line %d: ", node.GetToken().Position.Line)
}
