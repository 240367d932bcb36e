package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one error in a YAML document, with its position.
type Problem struct {
	// File is the name of the document as passed to Decode.
	File string `json:"file"`
	// Line counts from 1; 0 means that the problem has no line of its own.
	Line int `json:"line"`
	// Path names the field, for example pools[0].load_bound.
	Path string `json:"path,omitempty"`
	// Reason describes the error and, where that helps, the accepted values.
	Reason string `json:"reason"`
}

// String formats the problem as file:line: path: reason.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Reason)
}

// Problems is the error that reports all problems found, in document order.
type Problems []Problem

// Error implements error. It returns one problem per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil when there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Source records the line of each field of a document, so that checks made
// after decoding can report it.
type Source struct {
	file  string
	lines map[string]int
}

// NewSource returns a source without fields, for a value that was not read
// from a document.
func NewSource(name string) *Source {
	return &Source{file: name, lines: make(map[string]int)}
}

// Has reports whether the document contains the field.
func (s *Source) Has(path string) bool {
	_, ok := s.lines[path]
	return ok
}

// At returns a problem at the line of path. For a field that is absent from
// the document it reports the line of the nearest enclosing field, or 1.
func (s *Source) At(path, format string, args ...any) Problem {
	return Problem{
		File:   s.file,
		Line:   s.line(path),
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	}
}

func (s *Source) line(path string) int {
	for path != "" {
		if line, ok := s.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return 1
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
