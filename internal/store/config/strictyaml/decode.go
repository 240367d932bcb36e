// Package strictyaml decodes YAML into Go structs, rejects everything that the
// struct does not declare, and reports each problem with its file and line.
//
// The YAML library is lenient in ways that hide mistakes: it drops a misspelt
// key, turns the number 1.10 into the string "1.10" or "1.1" depending on the
// decoder, and reads a bare 10 as a duration of ten nanoseconds. In a fleet's
// configuration each of these is a change that seems to be accepted but has no
// effect. The checks therefore run on the parsed tree before it is decoded.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// MaxBytes is the maximum size in bytes of a document that Decode accepts.
const MaxBytes = 4 << 20

// Tags that the YAML library resolves scalars to.
const (
	tagString = "!!str"
	tagInt    = "!!int"
	tagFloat  = "!!float"
	tagBool   = "!!bool"
	tagNull   = "!!null"
)

var durationType = reflect.TypeFor[time.Duration]()

// Decode reads the single YAML document in data into out, a pointer to a
// struct. It returns the positions of the fields and all problems found. The
// content of out is valid only if there are no problems.
func Decode(file string, data []byte, out any) (*Source, Problems) {
	src := NewSource(file)
	root, problem := parse(file, data)
	if problem != nil {
		return src, Problems{*problem}
	}
	c := checker{src: src}
	c.checkValue(root, reflect.TypeOf(out).Elem(), "")
	if len(c.problems) > 0 {
		return src, c.problems
	}
	if err := root.Decode(out); err != nil {
		return src, decoderProblems(file, err)
	}
	return src, nil
}

// parse returns the root value of the only document in data.
func parse(file string, data []byte) (*yaml.Node, *Problem) {
	if len(data) > MaxBytes {
		return nil, &Problem{File: file, Reason: fmt.Sprintf("is larger than %d bytes", MaxBytes)}
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return nil, &Problem{File: file, Line: 1, Reason: "is empty"}
	}
	if err != nil {
		problem := syntaxProblem(file, data, err)
		return nil, &problem
	}
	var next yaml.Node
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		return nil, &Problem{File: file, Line: next.Line, Reason: "has more than one document"}
	}
	return doc.Content[0], nil
}

// checker compares a YAML tree with the Go type that it will be decoded into.
type checker struct {
	src      *Source
	problems Problems
}

func (c *checker) addProblem(n *yaml.Node, path, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		File:   c.src.file,
		Line:   n.Line,
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (c *checker) checkValue(n *yaml.Node, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if !c.checkPlainValue(n, path) {
		return
	}
	switch {
	case t == durationType:
		c.checkDuration(n, path)
	case t.Kind() == reflect.Struct:
		c.checkMapping(n, t, path)
	case t.Kind() == reflect.Slice:
		c.checkSequence(n, t, path)
	default:
		c.checkScalar(n, t, path)
	}
}

// checkPlainValue reports whether the node holds a value of its own. Anchors
// and aliases are rejected because one text would then set two fields; a null
// is rejected because the field would be present without a value.
func (c *checker) checkPlainValue(n *yaml.Node, path string) bool {
	switch {
	case n.Kind == yaml.AliasNode || n.Anchor != "":
		c.addProblem(n, path, "anchors and aliases are not allowed; write the value out")
		return false
	case n.ShortTag() == tagNull:
		c.addProblem(n, path, "has no value; write one or leave the key out")
		return false
	}
	return true
}

func (c *checker) checkMapping(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.MappingNode {
		c.addProblem(n, path, "must be a mapping")
		return
	}
	fieldTypes := fieldTypesByKey(t)
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := joinPath(path, key.Value)
		fieldType, known := fieldTypes[key.Value]
		firstLine, duplicate := seen[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !known:
			c.addProblem(key, path, "unknown key %q", key.Value)
		case duplicate:
			c.addProblem(key, path, "key %q is already set on line %d", key.Value, firstLine)
		default:
			seen[key.Value] = key.Line
			c.src.lines[fieldPath] = key.Line
			c.checkValue(value, fieldType, fieldPath)
		}
	}
}

func (c *checker) checkSequence(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.SequenceNode {
		c.addProblem(n, path, "must be a list")
		return
	}
	for i, item := range n.Content {
		itemPath := path + "[" + strconv.Itoa(i) + "]"
		c.src.lines[itemPath] = item.Line
		c.checkValue(item, t.Elem(), itemPath)
	}
}

func (c *checker) checkScalar(n *yaml.Node, t reflect.Type, path string) {
	tag := n.ShortTag()
	switch t.Kind() {
	case reflect.String:
		if tag != tagString {
			c.addProblem(n, path, "must be a string; put %q in quotes", n.Value)
		}
	case reflect.Bool:
		if tag != tagBool {
			c.addProblem(n, path, "must be true or false")
		}
	case reflect.Float64:
		if tag != tagFloat && tag != tagInt {
			c.addProblem(n, path, "must be a number")
		}
	default:
		if tag != tagInt {
			c.addProblem(n, path, "must be a whole number")
		}
	}
}

func (c *checker) checkDuration(n *yaml.Node, path string) {
	if n.ShortTag() != tagString {
		c.addProblem(n, path, `must be a duration with a unit, for example "10s"`)
		return
	}
	if _, err := time.ParseDuration(n.Value); err != nil {
		c.addProblem(n, path, `must be a duration with a unit, for example "10s"`)
	}
}

// fieldTypesByKey maps the YAML keys of a struct type to the types of their
// fields.
func fieldTypesByKey(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		f := t.Field(i)
		if key := yamlKey(f); key != "" {
			fields[key] = f.Type
		}
	}
	return fields
}

// yamlKey returns the YAML key of a struct field, or "" for a field that is
// not read from YAML.
func yamlKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if !f.IsExported() || key == "-" {
		return ""
	}
	return key
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
