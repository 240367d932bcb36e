package strictyaml

import (
	"errors"
	"regexp"
	"strconv"
	"strings"

	precise "github.com/goccy/go-yaml"
	preciseparser "github.com/goccy/go-yaml/parser"
	"go.yaml.in/yaml/v3"
)

var libraryLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// syntaxProblem describes text that is not YAML.
//
// The library that decodes documents gives the line on which the broken list
// or mapping begins, which may be hundreds of lines above the mistake. A
// second parser, asked only about text that has been refused already, points
// at the line itself. What is accepted does not depend on it.
func syntaxProblem(file string, data []byte, refused error) Problem {
	if line, reason, ok := preciseError(data); ok {
		return Problem{File: file, Line: line, Reason: reason}
	}
	return libraryProblems(file, refused)[0]
}

// preciseError asks the second parser. Since the text is broken by then, a
// panic in that parser must not end the process; the first parser's report is
// used in its place.
func preciseError(data []byte) (line int, reason string, ok bool) {
	defer func() {
		if recover() != nil {
			ok = false
		}
	}()
	_, err := preciseparser.ParseBytes(data, 0)
	var positioned precise.Error
	if !errors.As(err, &positioned) || positioned.GetToken() == nil {
		return 0, "", false
	}
	return positioned.GetToken().Position.Line, positioned.GetMessage(), true
}

// libraryProblems turns the library's errors, which carry the line only in
// their text, into problems.
func libraryProblems(file string, err error) Problems {
	texts := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		texts = typeError.Errors
	}
	var problems Problems
	for _, text := range texts {
		problems = append(problems, libraryProblem(file, text))
	}
	return problems
}

func libraryProblem(file, text string) Problem {
	match := libraryLine.FindStringSubmatch(text)
	if match == nil {
		return Problem{File: file, Line: 1, Reason: strings.TrimPrefix(text, "yaml: ")}
	}
	line, _ := strconv.Atoi(match[1])
	return Problem{File: file, Line: line, Reason: match[2]}
}
