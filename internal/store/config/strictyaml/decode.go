// Package strictyaml decodes YAML into Go structs and refuses whatever the
// struct does not declare, reporting every fault with its file and line.
//
// The YAML library is lenient in ways that hide mistakes: a misspelt key is
// dropped, the number 1.10 becomes the string "1.10" or "1.1" depending on
// the reader, a bare 10 becomes a duration of ten nanoseconds. In a fleet's
// configuration each of these is a change that looks accepted and is not in
// force. The checks here run on the parsed tree before it is decoded.
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

// MaxBytes is the size of the largest document that Decode reads.
const MaxBytes = 4 << 20

// Tags of YAML scalars, as the library resolves them.
const (
	tagString = "!!str"
	tagInt    = "!!int"
	tagFloat  = "!!float"
	tagBool   = "!!bool"
	tagNull   = "!!null"
)

var durationType = reflect.TypeFor[time.Duration]()

// Decode reads the single YAML document in data into out, a pointer to a
// struct. It returns the positions of the fields, and all problems found; out
// is only meaningful when there are none.
func Decode(file string, data []byte, out any) (*Source, Problems) {
	src := NewSource(file)
	root, problem := parse(file, data)
	if problem != nil {
		return src, Problems{*problem}
	}
	c := checker{src: src}
	c.value(root, reflect.TypeOf(out).Elem(), "")
	if len(c.problems) > 0 {
		return src, c.problems
	}
	if err := root.Decode(out); err != nil {
		return src, libraryProblems(file, err)
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
	var second yaml.Node
	if err := dec.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, &Problem{File: file, Line: second.Line, Reason: "has more than one document"}
	}
	return doc.Content[0], nil
}

// checker compares a YAML tree with the Go type that it will be decoded into.
type checker struct {
	src      *Source
	problems Problems
}

func (c *checker) fail(n *yaml.Node, path, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		File:   c.src.file,
		Line:   n.Line,
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (c *checker) value(n *yaml.Node, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if !c.plain(n, path) {
		return
	}
	switch {
	case t == durationType:
		c.duration(n, path)
	case t.Kind() == reflect.Struct:
		c.mapping(n, t, path)
	case t.Kind() == reflect.Slice:
		c.sequence(n, t, path)
	default:
		c.scalar(n, t, path)
	}
}

// plain refuses what would let one text stand for two fields, or a field
// stand there without a value.
func (c *checker) plain(n *yaml.Node, path string) bool {
	switch {
	case n.Kind == yaml.AliasNode || n.Anchor != "":
		c.fail(n, path, "anchors and aliases are not allowed; write the value out")
		return false
	case n.ShortTag() == tagNull:
		c.fail(n, path, "has no value; write one or leave the key out")
		return false
	}
	return true
}

func (c *checker) mapping(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.MappingNode {
		c.fail(n, path, "must be a mapping")
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		at := join(path, key.Value)
		field, known := fields[key.Value]
		first, duplicate := seen[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !known:
			c.fail(key, path, "unknown key %q", key.Value)
		case duplicate:
			c.fail(key, path, "key %q is already set on line %d", key.Value, first)
		default:
			seen[key.Value] = key.Line
			c.src.lines[at] = key.Line
			c.value(value, field, at)
		}
	}
}

func (c *checker) sequence(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.SequenceNode {
		c.fail(n, path, "must be a list")
		return
	}
	for i, item := range n.Content {
		at := path + "[" + strconv.Itoa(i) + "]"
		c.src.lines[at] = item.Line
		c.value(item, t.Elem(), at)
	}
}

func (c *checker) scalar(n *yaml.Node, t reflect.Type, path string) {
	tag := n.ShortTag()
	switch t.Kind() {
	case reflect.String:
		if tag != tagString {
			c.fail(n, path, "must be a string; put %q in quotes", n.Value)
		}
	case reflect.Bool:
		if tag != tagBool {
			c.fail(n, path, "must be true or false")
		}
	case reflect.Float64:
		if tag != tagFloat && tag != tagInt {
			c.fail(n, path, "must be a number")
		}
	default:
		if tag != tagInt {
			c.fail(n, path, "must be a whole number")
		}
	}
}

func (c *checker) duration(n *yaml.Node, path string) {
	if n.ShortTag() != tagString {
		c.fail(n, path, `must be a duration with a unit, for example "10s"`)
		return
	}
	if _, err := time.ParseDuration(n.Value); err != nil {
		c.fail(n, path, `must be a duration with a unit, for example "10s"`)
	}
}

// fieldsOf maps the YAML keys of a struct type to the types of their fields.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		f := t.Field(i)
		if key := keyOf(f); key != "" {
			fields[key] = f.Type
		}
	}
	return fields
}

// keyOf returns the YAML key of a struct field, or "" for a field that is not
// read from YAML.
func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if !f.IsExported() || key == "-" {
		return ""
	}
	return key
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
