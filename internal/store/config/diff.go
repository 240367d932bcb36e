package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Op says what happened to a field between two bundles.
type Op string

// The kinds of difference.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// Line is one difference between two bundles.
type Line struct {
	Op Op `json:"op"`
	// Path names the field, with list entries by name and not by position:
	// base.yaml: pools[language].load_bound.
	Path string `json:"path"`
	// Old and New are the values; the one that does not exist is empty.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the line for a terminal.
func (l Line) String() string {
	switch l.Op {
	case OpAdded:
		return "+ " + l.Path + " " + l.New
	case OpRemoved:
		return "- " + l.Path + " " + l.Old
	}
	return "~ " + l.Path + " " + l.Old + " -> " + l.New
}

// Diff returns what changed from a to b, in the order of the paths. It compares
// meaning: comments, order and layout make no difference.
func Diff(a, b Bundle) []Line {
	before, after := flattenBundle(a), flattenBundle(b)
	all := maps.Clone(before)
	maps.Copy(all, after)
	var lines []Line
	for _, path := range slices.Sorted(maps.Keys(all)) {
		if line, differs := diffLine(path, before, after); differs {
			lines = append(lines, line)
		}
	}
	return lines
}

func diffLine(path string, before, after map[string]string) (Line, bool) {
	old, was := before[path]
	now, is := after[path]
	switch {
	case !was:
		return Line{Op: OpAdded, Path: path, New: now}, true
	case !is:
		return Line{Op: OpRemoved, Path: path, Old: old}, true
	}
	return Line{Op: OpChanged, Path: path, Old: old, New: now}, old != now
}

// flattenBundle maps the path of each scalar of a bundle to its text.
func flattenBundle(b Bundle) map[string]string {
	flat := make(map[string]string)
	for file, data := range b.Files() {
		flattenFile(flat, file, data)
	}
	return flat
}

// flattenFile takes a text that is not YAML as one value, so that it can still
// be compared.
func flattenFile(flat map[string]string, file string, data []byte) {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil || len(doc.Content) == 0 {
		flat[file] = string(data)
		return
	}
	flatten(flat, file+": ", doc.Content[0])
}

func flatten(flat map[string]string, path string, n *yaml.Node) {
	switch n.Kind {
	case yaml.MappingNode:
		flattenMapping(flat, path, n)
	case yaml.SequenceNode:
		flattenSequence(flat, path, n)
	default:
		flat[path] = n.Value
	}
}

func flattenMapping(flat map[string]string, path string, n *yaml.Node) {
	if !strings.HasSuffix(path, ": ") {
		path += "."
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		flatten(flat, path+n.Content[i].Value, n.Content[i+1])
	}
}

func flattenSequence(flat map[string]string, path string, n *yaml.Node) {
	seen := make(map[string]int)
	for i, item := range n.Content {
		label := entryLabel(item, i)
		seen[label]++
		if seen[label] > 1 {
			label = fmt.Sprintf("%s#%d", label, seen[label])
		}
		at := path + "[" + label + "]"
		if item.Kind == yaml.ScalarNode {
			flat[at] = ""
			continue
		}
		flatten(flat, at, item)
	}
}

// entryLabel names a list entry by what it is: a scalar by its value, a route
// by method and path, anything else by its name, and at last by its position.
func entryLabel(item *yaml.Node, position int) string {
	if item.Kind == yaml.ScalarNode {
		return item.Value
	}
	if name := child(item, "name"); name != "" {
		return name
	}
	if method, path := child(item, "method"), child(item, "path"); path != "" {
		return method + " " + path
	}
	return fmt.Sprint(position)
}

func child(n *yaml.Node, key string) string {
	if n.Kind != yaml.MappingNode {
		return ""
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1].Value
		}
	}
	return ""
}
