package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Op is the kind of a difference between two bundles.
type Op string

// Kinds of differences.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// Difference is one difference between two bundles.
type Difference struct {
	Op Op `json:"op"`
	// Path is the file and the field, with list entries by name instead of
	// position, for example base.yaml: pools[language].load_bound.
	Path string `json:"path"`
	// Old and New are the values; Old is empty for an added field, New for a
	// removed one.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the difference as one line for a terminal.
func (l Difference) String() string {
	switch l.Op {
	case OpAdded:
		return "+ " + l.Path + " " + l.New
	case OpRemoved:
		return "- " + l.Path + " " + l.Old
	}
	return "~ " + l.Path + " " + l.Old + " -> " + l.New
}

// Diff returns the differences from a to b, sorted by path. It compares values:
// comments, order and layout are ignored.
func Diff(a, b Bundle) []Difference {
	before, after := flattenBundle(a), flattenBundle(b)
	all := maps.Clone(before)
	maps.Copy(all, after)
	var lines []Difference
	for _, path := range slices.Sorted(maps.Keys(all)) {
		if line, differs := diffLine(path, before, after); differs {
			lines = append(lines, line)
		}
	}
	return lines
}

func diffLine(path string, before, after map[string]string) (Difference, bool) {
	oldValue, inOld := before[path]
	newValue, inNew := after[path]
	switch {
	case !inOld:
		return Difference{Op: OpAdded, Path: path, New: newValue}, true
	case !inNew:
		return Difference{Op: OpRemoved, Path: path, Old: oldValue}, true
	}
	return Difference{Op: OpChanged, Path: path, Old: oldValue, New: newValue}, oldValue != newValue
}

// flattenBundle returns the text of each scalar of a bundle by path.
func flattenBundle(b Bundle) map[string]string {
	flat := make(map[string]string)
	for file, data := range b.Files() {
		flattenFile(flat, file, data)
	}
	return flat
}

// flattenFile adds the scalars of one file to flat. Text that is not YAML is
// added as one value, so that it can still be compared.
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
		entryPath := path + "[" + label + "]"
		if item.Kind == yaml.ScalarNode {
			flat[entryPath] = ""
			continue
		}
		flatten(flat, entryPath, item)
	}
}

// entryLabel returns the label of a list entry: the value of a scalar, else the
// name, else the method and path of a route, else the position.
func entryLabel(item *yaml.Node, position int) string {
	if item.Kind == yaml.ScalarNode {
		return item.Value
	}
	if name := childValue(item, "name"); name != "" {
		return name
	}
	if method, path := childValue(item, "method"), childValue(item, "path"); path != "" {
		return method + " " + path
	}
	return fmt.Sprint(position)
}

func childValue(n *yaml.Node, key string) string {
	if value := fieldOf(n, key); value != nil {
		return value.Value
	}
	return ""
}
