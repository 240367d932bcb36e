package strictyaml

import (
	"errors"
	"regexp"
	"strconv"
	"strings"

	goccy "github.com/goccy/go-yaml"
	goccyparser "github.com/goccy/go-yaml/parser"
	"go.yaml.in/yaml/v3"
)

var decoderErrorPattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// syntaxProblem describes text that is not YAML.
//
// The decoder reports the line on which the malformed list or mapping begins,
// which may be hundreds of lines above the mistake. A second parser, which runs
// only on text that the decoder has rejected, reports the line itself. It does
// not affect which documents are accepted.
func syntaxProblem(file string, data []byte, decodeErr error) Problem {
	if line, reason, ok := locateSyntaxError(data); ok {
		return Problem{File: file, Line: line, Reason: reason}
	}
	return decoderProblems(file, decodeErr)[0]
}

// locateSyntaxError runs the second parser. The text is known to be malformed,
// so a panic in that parser must not end the process; ok is then false and the
// decoder's error is reported instead.
func locateSyntaxError(data []byte) (line int, reason string, ok bool) {
	defer func() {
		if recover() != nil {
			ok = false
		}
	}()
	_, err := goccyparser.ParseBytes(data, 0)
	var syntaxErr goccy.Error
	if !errors.As(err, &syntaxErr) || syntaxErr.GetToken() == nil {
		return 0, "", false
	}
	return syntaxErr.GetToken().Position.Line, syntaxErr.GetMessage(), true
}

// decoderProblems converts the decoder's errors, which contain the line only in
// their text, into problems.
func decoderProblems(file string, err error) Problems {
	texts := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		texts = typeError.Errors
	}
	var problems Problems
	for _, text := range texts {
		problems = append(problems, decoderProblem(file, text))
	}
	return problems
}

func decoderProblem(file, text string) Problem {
	match := decoderErrorPattern.FindStringSubmatch(text)
	if match == nil {
		return Problem{File: file, Line: 1, Reason: strings.TrimPrefix(text, "yaml: ")}
	}
	line, _ := strconv.Atoi(match[1])
	return Problem{File: file, Line: line, Reason: match[2]}
}
