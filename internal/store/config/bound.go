package config

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"
)

// ErrNoAccount means that the base document has no account of the given name, or can't be read.
var ErrNoAccount = errs.Class("no such account")

// Bound is what an operator sets of an account's limits; nil fields stay as they are.
type Bound struct {
	RequestsPerSecond *float64
	Concurrency       *int
}

// WithBound returns a base document in which the limits of an account are replaced. Comments and the order
// of fields stay. The burst is the default of the new rate. Errors: ErrNoAccount.
func WithBound(base []byte, account string, bound Bound) ([]byte, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(base, &doc); err != nil {
		return nil, ErrNoAccount.Wrap(err)
	}
	node := findAccount(&doc, account)
	if node == nil {
		return nil, ErrNoAccount.New("%q", account)
	}
	if bound.RequestsPerSecond != nil {
		setField(node, "requests_per_second", strconv.FormatFloat(*bound.RequestsPerSecond, 'g', -1, 64))
		removeField(node, "burst")
	}
	if bound.Concurrency != nil {
		setField(node, "concurrency", strconv.Itoa(*bound.Concurrency))
	}
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(&doc); err != nil {
		return nil, ErrNoAccount.Wrap(err)
	}
	return out.Bytes(), encoder.Close()
}

// findAccount returns the mapping of an account, or nil.
func findAccount(doc *yaml.Node, name string) *yaml.Node {
	if len(doc.Content) == 0 {
		return nil
	}
	accounts := fieldOf(doc.Content[0], "accounts")
	if accounts == nil {
		return nil
	}
	for _, account := range accounts.Content {
		if n := fieldOf(account, "name"); n != nil && n.Value == name {
			return account
		}
	}
	return nil
}

// fieldOf returns the value of a field of a mapping, or nil.
func fieldOf(mapping *yaml.Node, key string) *yaml.Node {
	if mapping.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == key {
			return mapping.Content[i+1]
		}
	}
	return nil
}

func setField(mapping *yaml.Node, key, value string) {
	if field := fieldOf(mapping, key); field != nil {
		*field = yaml.Node{Kind: yaml.ScalarNode, Value: value, LineComment: field.LineComment}
		return
	}
	mapping.Content = append(mapping.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: key}, &yaml.Node{Kind: yaml.ScalarNode, Value: value})
}

func removeField(mapping *yaml.Node, key string) {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == key {
			mapping.Content = slices.Delete(mapping.Content, i, i+2)
			return
		}
	}
}
